"""Which host may act as owner of a shard, decided without coordination.

A shard is pinned to a place and belongs there to the live host with the
greatest rendezvous weight. A host acts only after its predecessor released
the shard to it, or after every predecessor must have stopped by itself; see
``docs/design/ownership.md`` for the argument.
"""

import collections
import dataclasses
import math
import typing as t

import xxhash

from .. import defaults
from ..world import host

LIST_CONFIRM_MAX_S = 5.0
CONTACT_MAX_S = 3.0
CLOCK_MARGIN_S = 1.0
SHARD_LOAN_MAX_S = 8.0
COUNT_PERIOD_S = 0.5
PREDECESSORS_MAX = 3
LIST_AGE_MAX_S = defaults.HOST_LIST_LAG_MAX_S + LIST_CONFIRM_MAX_S
TAKEOVER_WAIT_S = 2 * LIST_AGE_MAX_S + SHARD_LOAN_MAX_S + CLOCK_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """The last sign of life of a peer.

    :param at: when it was received, on this node's clock.
    :param list_version: the host list that the peer had in force.
    """

    at: float
    list_version: int


class Evidence(t.Protocol):
    """What a node knows about the age of its host list and its peers."""

    def confirmed_at(self) -> float:
        """Return when the list in force was last confirmed as the newest.

        A reading of the platform confirms it, also one that a peer passed
        on together with its age.
        """

    def contact(self, host_id: str) -> Contact | None:
        """Return the last sign of life of a peer, if there was one."""


class ListEvidence:
    """Evidence from the platform's host list alone.

    Every listed host counts as heard when the list was confirmed, so that a
    node acts as owner only while it can read the platform.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf
        self._version = 0

    def confirm(self, version: int, now: float) -> None:
        """Note that the platform's newest list has this version."""
        self._version = version
        self._confirmed_at = now

    def confirmed_at(self) -> float:
        """Return when the platform was last read."""
        return self._confirmed_at

    def contact(self, host_id: str) -> Contact | None:
        """Return the time of the last reading for every host."""
        return Contact(self._confirmed_at, self._version)


def weight(shard: str, host_id: str) -> int:
    """Return the rendezvous weight of a host for a shard."""
    return xxhash.xxh3_64_intdigest(f"{shard}\0{host_id}".encode())


class Ranking:
    """Owners of shards among the live hosts of one place in one list.

    :param hosts: identifiers of the live hosts.
    """

    def __init__(self, hosts: frozenset[str]) -> None:
        self.hosts = hosts
        self._owners: dict[str, str] = {}

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


@dataclasses.dataclass(slots=True)
class _Era:
    """A host list that was in force here.

    ``known_at`` is when most of the place was first seen to know it.
    """

    since: float
    version: int
    ranking: Ranking
    known_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class _Stop:
    """A time for which this host could act: from ``since`` until ``at``."""

    since: float
    at: float


class Ownership:
    """Tells whether this host may act as owner of a shard of its place.

    :param host_id: this host.
    :param region_id: its place.
    :param evidence: age of the host list and signs of life.
    :param fresh: whether the operator declares that no earlier node of the
        place can still be running, so that nothing has to be waited for.
    """

    def __init__(
        self,
        host_id: str,
        region_id: str,
        evidence: Evidence,
        fresh: bool = False,
    ) -> None:
        self._host_id = host_id
        self._region_id = region_id
        self._evidence = evidence
        self._fresh = fresh
        self._eras: collections.deque[_Era] = collections.deque()
        self._settled: dict[str, float] = {}
        self._stopped: dict[str, _Stop] = {}
        self._released: dict[str, float] = {}
        self._fresh_at = -math.inf
        self._agreed_at = -math.inf
        self._count_at = -math.inf

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
            if item.live and item.place.region_id == self._region_id
        )
        if not self._eras:
            known_at = -math.inf if self._fresh else math.inf
            ranking = Ranking(live)
            self._eras.append(_Era(now, hosts.version, ranking, known_at))
            self._fresh_at = now
            return
        if hosts.version <= self.list_version:
            return
        ranking = self._eras[-1].ranking.derive(live)
        if now - self._fresh_at > LIST_CONFIRM_MAX_S:
            self._eras.clear()
            self._settled.clear()
            self._stopped.clear()
        self._fresh_at = now
        self._agreed_at = -math.inf
        self._eras.append(_Era(now, hosts.version, ranking))
        self._move_away(ranking, now)
        self._forget(now)

    def tick(self, now: float) -> None:
        """Note which lists most of the place knows by now."""
        if not self._unfenced(now) or now < self._count_at:
            return
        self._count_at = now + COUNT_PERIOD_S
        self._forget(now)
        if not self._confirmed(now):
            return
        for era in self._eras:
            if era.known_at == math.inf and self._most_know(era, now):
                era.known_at = now

    def acts(self, shard: str, now: float) -> bool:
        """Return whether this host may act as the shard's owner now."""
        if not self._unfenced(now) or self.owner(shard) != self._host_id:
            return False
        if shard in self._settled:
            return True
        ready_at = self._ready_at(shard, self._eras)
        if now < ready_at or not self._confirmed(now):
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
        if self.owner(shard) != heir or not self._unfenced(now):
            return None
        if shard in self._released:
            return None
        stop = self._stopped.pop(shard, None) or self._last_stop(shard, heir)
        if stop.since > stop.at or now - stop.at > LIST_AGE_MAX_S:
            return None
        self._released[shard] = now
        return stop.since

    def accept(self, shard: str, now: float) -> bool:
        """Act as owner from now on, released by the predecessor."""
        if not self._unfenced(now) or self.owner(shard) != self._host_id:
            return False
        self._settled[shard] = now
        self._released.pop(shard, None)
        return True

    def _move_away(self, ranking: Ranking, now: float) -> None:
        for shard in list(self._settled):
            if ranking.owner(shard) != self._host_id:
                since = self._settled.pop(shard)
                self._stopped[shard] = _Stop(since, now)

    def _last_stop(self, shard: str, heir: str) -> _Stop:
        """Return when this host stopped to be the heir's predecessor."""
        earlier = list(self._eras)
        stopped_at = math.inf
        while earlier and earlier[-1].ranking.owner(shard) == heir:
            stopped_at = earlier.pop().since
        return _Stop(self._ready_at(shard, earlier), stopped_at)

    def _forget(self, now: float) -> None:
        limit = now - TAKEOVER_WAIT_S
        while len(self._eras) > 1 and self._eras[1].known_at <= limit:
            self._eras.popleft()
        for shard, released_at in list(self._released.items()):
            if released_at <= limit:
                del self._released[shard]
        for shard, stop in list(self._stopped.items()):
            if now - stop.at > LIST_AGE_MAX_S:
                del self._stopped[shard]

    def _ready_at(self, shard: str, eras: t.Iterable[_Era]) -> float:
        """Return when the last predecessor must have stopped by itself."""
        ready_at = math.inf
        for era in reversed(list(eras)):
            if era.ranking.owner(shard) != self._host_id:
                break
            ready_at = min(ready_at, era.known_at + TAKEOVER_WAIT_S)
        return ready_at

    def _confirmed(self, now: float) -> bool:
        return now - self._evidence.confirmed_at() <= LIST_CONFIRM_MAX_S

    def _unfenced(self, now: float) -> bool:
        if not self._confirmed(now) and not self._most_agree(now):
            return False
        self._fresh_at = now
        return True

    def _most_agree(self, now: float) -> bool:
        """Return whether most of the place has no newer list.

        The count is repeated once in ``COUNT_PERIOD_S``.
        """
        if now - self._agreed_at <= COUNT_PERIOD_S:
            return True
        if not self._eras:
            return False
        version = self.list_version
        hosts = self._eras[-1].ranking.hosts
        heard = self._heard(hosts, now)
        agreed = sum(item.list_version <= version for item in heard)
        if (agreed + (self._host_id in hosts)) * 2 <= len(hosts):
            return False
        self._agreed_at = now
        return True

    def _most_know(self, era: _Era, now: float) -> bool:
        hosts = self._eras[-1].ranking.hosts
        heard = self._heard(hosts, now)
        known = sum(item.list_version >= era.version for item in heard)
        return (known + (self._host_id in hosts)) * 2 > len(hosts)

    def _heard(self, hosts: frozenset[str], now: float) -> list[Contact]:
        contacts = map(self._evidence.contact, hosts - {self._host_id})
        return [
            item
            for item in contacts
            if item is not None and now - item.at <= CONTACT_MAX_S
        ]
