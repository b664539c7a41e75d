"""Which host may act as owner of a shard, decided without coordination.

A shard is pinned to a place and belongs there to the live host with the
greatest rendezvous weight. A host acts only after its predecessor released
the shard to it, or after every predecessor must have stopped by itself; see
``docs/design/ownership.md`` for the argument.
"""

import collections
import dataclasses
import heapq
import math
import typing as t

import xxhash

from .. import defaults
from ..world import host
from . import witness

LIST_CONFIRM_MAX_S = 5.0
CONTACT_MAX_S = 3.0
CLOCK_MARGIN_S = 1.0
SHARD_LOAN_MAX_S = 8.0
WITNESSES = 5
WITNESS_GROUPS = 64
ERAS_MAX = 64
ERA_RETENTION_S = 600.0
PREDECESSORS_MAX = 3
LIST_AGE_MAX_S = defaults.HOST_LIST_LAG_MAX_S + LIST_CONFIRM_MAX_S
TAKEOVER_WAIT_S = 2 * LIST_AGE_MAX_S + SHARD_LOAN_MAX_S + CLOCK_MARGIN_S


class Evidence(t.Protocol):
    """What a node knows about the age of its host list."""

    def confirmed_at(self) -> float:
        """Return when the list in force was last confirmed as the newest.

        A reading of the platform confirms it, also one that a peer passed
        on together with its age.
        """


def weight(shard: str, host_id: str) -> int:
    """Return the rendezvous weight of a host for a shard."""
    return xxhash.xxh3_64_intdigest(f"{shard}\0{host_id}".encode())


def witness_group(shard: str) -> str:
    """Return the group of shards that share their witnesses."""
    return f"witness/{weight(shard, '') % WITNESS_GROUPS}"


class Ranking:
    """Owners of shards among the live hosts of one place in one list.

    :param hosts: identifiers of the live hosts.
    """

    def __init__(self, hosts: frozenset[str]) -> None:
        self.hosts = hosts
        self._owners: dict[str, str] = {}
        self._witnesses: dict[str, frozenset[str]] = {}

    def owner(self, shard: str) -> str:
        """Return the owner of a shard, empty if the place has no host."""
        owner = self._owners.get(shard)
        if owner is None:
            owner = max(
                self.hosts,
                key=lambda item: (weight(shard, item), item),
                default="",
            )
            self._owners[shard] = owner
        return owner

    def witnesses(self, group: str) -> frozenset[str]:
        """Return the hosts that witness a group of shards."""
        found = self._witnesses.get(group)
        if found is None:
            best = heapq.nlargest(
                WITNESSES, self.hosts, key=lambda item: weight(group, item)
            )
            found = self._witnesses[group] = frozenset(best)
        return found

    def derive(self, hosts: frozenset[str]) -> "Ranking":
        """Return the ranking of a newer list.

        Known owners are compared with the added hosts only.
        """
        derived = Ranking(hosts)
        added = hosts - self.hosts
        for shard, owner in self._owners.items():
            if owner in hosts:
                derived._owners[shard] = max(
                    (owner, *added),
                    key=lambda item: (weight(shard, item), item),
                )
        return derived


@dataclasses.dataclass(frozen=True, slots=True)
class _Era:
    """A host list and since when it was in force here."""

    since: float
    version: int
    ranking: Ranking


@dataclasses.dataclass(frozen=True, slots=True)
class _Stop:
    """A time for which this host could act: from ``since`` until ``at``."""

    since: float
    at: float


class Ownership:
    """Tells whether this host may act as owner of a shard.

    :param host_id: this host.
    :param belongs: tells whether a host is one of those among which the
        shards are divided, here called the place.
    :param evidence: age of the host list.
    :param witnesses: what peers say of their host lists.
    :param fresh: whether the operator declares that no earlier node of the
        place can still be running, so that nothing has to be waited for.
    """

    def __init__(
        self,
        host_id: str,
        belongs: t.Callable[[host.Host], bool],
        evidence: Evidence,
        witnesses: witness.Witnesses,
        fresh: bool = False,
    ) -> None:
        self._host_id = host_id
        self._belongs = belongs
        self._evidence = evidence
        self._witnesses = witnesses
        self._fresh = fresh
        self._eras: collections.deque[_Era] = collections.deque()
        self._settled: dict[str, float] = {}
        self._stopped: dict[str, _Stop] = {}
        self._released: dict[str, float] = {}
        self._agreed: dict[str, float] = {}

    @property
    def list_version(self) -> int:
        """The version of the host list in force."""
        return self._eras[-1].version if self._eras else 0

    def owner(self, shard: str) -> str:
        """Return the owner by the list in force, empty if unknown."""
        return self._eras[-1].ranking.owner(shard) if self._eras else ""

    def predecessors(self, shard: str) -> list[str]:
        """Return the owners by the last lists, the newest first."""
        owners = (era.ranking.owner(shard) for era in reversed(self._eras))
        others = dict.fromkeys(
            item for item in owners if item and item != self._host_id
        )
        return list(others)[:PREDECESSORS_MAX]

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Apply a newer host list.

        After a gap in the evidence another host may have been owner by a
        list that this node never saw; it then counts as newly started.
        """
        live = frozenset(
            item.host_id
            for item in hosts.hosts.values()
            if item.live and self._belongs(item)
        )
        if not self._eras:
            since = -math.inf if self._fresh else now
            self._eras.append(_Era(since, hosts.version, Ranking(live)))
            return
        if hosts.version <= self.list_version:
            return
        ranking = self._eras[-1].ranking.derive(live)
        if not self._confirmed(now):
            self._eras.clear()
            self._drop_unwitnessed(now)
        self._agreed.clear()
        self._eras.append(_Era(now, hosts.version, ranking))
        self._move_away(ranking, now)
        self._forget(now)

    def tick(self, now: float) -> None:
        """Forget what no longer matters."""
        self._forget(now)

    def acts(self, shard: str, now: float) -> bool:
        """Return whether this host may act as the shard's owner now."""
        if (
            not self._unfenced(shard, now)
            or self.owner(shard) != self._host_id
        ):
            return False
        if shard in self._settled:
            return True
        if not self._confirmed(now):
            return False
        ready_at = self._ready_at(shard, self._eras, now)
        if now < ready_at:
            return False
        self._settled[shard] = ready_at
        return True

    def acting_since(self, shard: str) -> float:
        """Return when this host could first act for a shard."""
        return self._settled.get(shard, math.inf)

    def holds(self, shard: str) -> bool:
        """Return whether the state of a shard must be kept.

        It must while this host acts for the shard, also when it is fenced
        for a time, and as long as it may hand the shard over.
        """
        return shard in self._settled or shard in self._stopped

    def released(self, shard: str) -> bool:
        """Return whether the shard was handed over lately."""
        return shard in self._released

    def release(self, shard: str, heir: str, now: float) -> float | None:
        """Hand a shard over for which this host acted by earlier lists.

        :param heir: the host that asks; it must be the owner by the list in
            force.
        :return: when this host could first act for it, ``None`` if it was
            not the last to act or has released the shard already.
        """
        if self.owner(shard) != heir or not self._unfenced(shard, now):
            return None
        if shard in self._released:
            return None
        stop = self._stopped.pop(shard, None)
        stop = stop or self._last_stop(shard, heir, now)
        if stop.since > stop.at or now - stop.at > LIST_AGE_MAX_S:
            return None
        self._released[shard] = now
        return stop.since

    def accept(self, shard: str, now: float) -> bool:
        """Act as owner from now on, released by the predecessor."""
        if (
            not self._unfenced(shard, now)
            or self.owner(shard) != self._host_id
        ):
            return False
        self._settled[shard] = now
        self._released.pop(shard, None)
        return True

    def _move_away(self, ranking: Ranking, now: float) -> None:
        for shard in list(self._settled):
            if ranking.owner(shard) != self._host_id:
                since = self._settled.pop(shard)
                self._stopped[shard] = _Stop(since, now)

    def _last_stop(self, shard: str, heir: str, now: float) -> _Stop:
        """Return when this host stopped to be the heir's predecessor."""
        earlier = list(self._eras)
        stopped_at = math.inf
        while earlier and earlier[-1].ranking.owner(shard) == heir:
            stopped_at = earlier.pop().since
        return _Stop(self._ready_at(shard, earlier, now), stopped_at)

    def _drop_unwitnessed(self, now: float) -> None:
        """Stop acting for shards whose owner may have changed unseen."""
        limit = now - CONTACT_MAX_S
        for shard in list(self._settled):
            if self._agreed.get(witness_group(shard), -math.inf) < limit:
                del self._settled[shard]
        self._stopped.clear()

    def _forget(self, now: float) -> None:
        limit = now - ERA_RETENTION_S
        while len(self._eras) > 1 and self._eras[1].since <= limit:
            self._eras.popleft()
        while len(self._eras) > ERAS_MAX:
            self._eras.popleft()
        limit = now - TAKEOVER_WAIT_S
        for shard, released_at in list(self._released.items()):
            if released_at <= limit:
                del self._released[shard]
        for shard, stop in list(self._stopped.items()):
            if now - stop.at > LIST_AGE_MAX_S:
                del self._stopped[shard]

    def _ready_at(
        self, shard: str, eras: t.Iterable[_Era], now: float
    ) -> float:
        """Return when the last predecessor must have stopped by itself."""
        first: _Era | None = None
        for era in reversed(list(eras)):
            if era.ranking.owner(shard) != self._host_id:
                break
            first = era
        if first is None:
            return math.inf
        known_at = self._known_at(shard, first, now)
        return known_at + TAKEOVER_WAIT_S

    def _known_at(self, shard: str, era: _Era, now: float) -> float:
        """Return since when most witnesses have known a list."""
        if era.since == -math.inf:
            return -math.inf
        hosts = self._witnesses_of(shard)
        times = [era.since] if self._host_id in hosts else []
        others = hosts - {self._host_id}
        for host_id in others:
            since = self._witnesses.known_since(host_id, era.version)
            if since is not None:
                times.append(since)
        needed = len(hosts) // 2 + 1
        if len(times) < needed:
            self._witnesses.ask(others, era.version, now)
            return math.inf
        return max(sorted(times)[needed - 1], era.since)

    def _witnesses_of(self, shard: str) -> frozenset[str]:
        return self._eras[-1].ranking.witnesses(witness_group(shard))

    def _confirmed(self, now: float) -> bool:
        return now - self._evidence.confirmed_at() <= LIST_CONFIRM_MAX_S

    def _unfenced(self, shard: str, now: float) -> bool:
        age_s = now - self._evidence.confirmed_at()
        if age_s <= LIST_CONFIRM_MAX_S / 2:
            return True
        agreed = self._most_agree(shard, now)
        return age_s <= LIST_CONFIRM_MAX_S or agreed

    def _most_agree(self, shard: str, now: float) -> bool:
        """Return whether most witnesses have no newer list."""
        if not self._eras:
            return False
        hosts = self._witnesses_of(shard)
        others = hosts - {self._host_id}
        version = self.list_version
        self._witnesses.ask(others, version, now)
        agreed = int(self._host_id in hosts)
        for host_id in others:
            contact = self._witnesses.contact(host_id)
            if contact is None or now - contact.at > CONTACT_MAX_S:
                continue
            agreed += contact.list_version <= version
        if agreed * 2 <= len(hosts):
            return False
        self._agreed[witness_group(shard)] = now
        return True
