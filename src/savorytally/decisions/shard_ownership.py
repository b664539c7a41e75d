"""Decides without coordination which host may act as the owner of a shard.

A shard is assigned to a group of hosts, such as a region, and owned there by
the live host with the greatest rendezvous weight. A host acts as owner only
after its predecessor has released the shard to it, or after the time by which
every predecessor must have stopped acting on its own; see
``docs/design/ownership.md`` for the proof.
"""

import collections
import dataclasses
import heapq
import math
import typing as t

import xxhash

from .. import defaults
from ..world import host
from . import list_confirmation

LIST_CONFIRM_MAX_S = 5.0
REPLY_AGE_MAX_S = 3.0
CLOCK_MARGIN_S = 1.0
SHARD_LOAN_MAX_S = 8.0
CONFIRMING_HOSTS = 5
CONFIRMATION_GROUPS = 64
EPOCHS_MAX = 64
EPOCH_RETENTION_S = 600.0
PREDECESSORS_MAX = 3
LIST_AGE_MAX_S = defaults.HOST_LIST_LAG_MAX_S + LIST_CONFIRM_MAX_S
TAKEOVER_WAIT_S = 2 * LIST_AGE_MAX_S + SHARD_LOAN_MAX_S + CLOCK_MARGIN_S


class ListAgeSource(t.Protocol):
    """Provides the time of the host list's last confirmation."""

    def confirmed_at(self) -> float:
        """Return when the active host list was last confirmed as the newest.

        A read of the platform confirms it, as does a peer's reply with the age
        of such a read.
        """


def weight(shard: str, host_id: str) -> int:
    """Return the rendezvous weight of a host for a shard."""
    return xxhash.xxh3_64_intdigest(f"{shard}\0{host_id}".encode())


def confirmation_group(shard: str) -> str:
    """Return the shard's group; a group shares the same confirming hosts."""
    return f"witness/{weight(shard, '') % CONFIRMATION_GROUPS}"


class Ranking:
    """Owners of shards among the live hosts of one group in one list.

    :param hosts: identifiers of the live hosts.
    """

    def __init__(self, hosts: frozenset[str]) -> None:
        self.hosts = hosts
        self._owners: dict[str, str] = {}
        self._confirmations: dict[str, frozenset[str]] = {}

    def owner(self, shard: str) -> str:
        """Return the owner of a shard, empty if there is no host."""
        owner = self._owners.get(shard)
        if owner is None:
            owner = max(
                self.hosts,
                key=lambda item: (weight(shard, item), item),
                default="",
            )
            self._owners[shard] = owner
        return owner

    def confirming_hosts(self, group: str) -> frozenset[str]:
        """Return the hosts that confirm the list for a group of shards."""
        confirming = self._confirmations.get(group)
        if confirming is None:
            best = heapq.nlargest(
                CONFIRMING_HOSTS,
                self.hosts,
                key=lambda item: weight(group, item),
            )
            confirming = self._confirmations[group] = frozenset(best)
        return confirming

    def derive(self, hosts: frozenset[str]) -> "Ranking":
        """Return the ranking for a newer host list.

        Known owners are compared only with the added hosts.
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
class _ListEpoch:
    """A host list and the time since which it has been active here."""

    since: float
    version: int
    ranking: Ranking


@dataclasses.dataclass(frozen=True, slots=True)
class _ActingPeriod:
    """A period in which this host could act, from ``since`` to ``at``."""

    since: float
    at: float


class Ownership:
    """Decides whether this host may act as owner of a shard.

    :param host_id: this host.
    :param belongs: returns whether a host is in the group among which the
        shards are divided.
    :param list_age: when the host list was last confirmed to be current.
    :param confirmations: host list versions reported by peers.
    :param fresh: whether the operator states that no earlier node of the group
        can still be running, so that no wait for predecessors is needed.
    """

    def __init__(
        self,
        host_id: str,
        belongs: t.Callable[[host.Host], bool],
        list_age: ListAgeSource,
        confirmations: list_confirmation.ListConfirmations,
        fresh: bool = False,
    ) -> None:
        self._host_id = host_id
        self._belongs = belongs
        self._list_age = list_age
        self._confirmations = confirmations
        self._fresh = fresh
        self._epochs: collections.deque[_ListEpoch] = collections.deque()
        self._acting: dict[str, float] = {}
        self._stopped_periods: dict[str, _ActingPeriod] = {}
        self._released_at: dict[str, float] = {}
        self._majority_at: dict[str, float] = {}

    @property
    def list_version(self) -> int:
        """Version of the active host list."""
        return self._epochs[-1].version if self._epochs else 0

    def owner(self, shard: str) -> str:
        """Return the owner in the active list, empty if unknown."""
        return self._epochs[-1].ranking.owner(shard) if self._epochs else ""

    def predecessors(self, shard: str) -> list[str]:
        """Return the owners in the previous lists, newest first."""
        owners = (
            epoch.ranking.owner(shard) for epoch in reversed(self._epochs)
        )
        others = dict.fromkeys(
            item for item in owners if item and item != self._host_id
        )
        return list(others)[:PREDECESSORS_MAX]

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Apply a newer host list.

        If the list was not confirmed recently, another host may have been
        owner by a list that this node never received. This node then starts
        over as if it had just been started.
        """
        live = frozenset(
            item.host_id
            for item in hosts.hosts.values()
            if item.live and self._belongs(item)
        )
        if not self._epochs:
            since = -math.inf if self._fresh else now
            self._epochs.append(
                _ListEpoch(since, hosts.version, Ranking(live))
            )
            return
        if hosts.version <= self.list_version:
            return
        ranking = self._epochs[-1].ranking.derive(live)
        if not self._list_confirmed(now):
            self._epochs.clear()
            self._stop_unconfirmed(now)
        self._majority_at.clear()
        self._epochs.append(_ListEpoch(now, hosts.version, ranking))
        self._stop_moved(ranking, now)
        self._drop_expired(now)

    def tick(self, now: float) -> None:
        """Drop expired state."""
        self._drop_expired(now)

    def acts(self, shard: str, now: float) -> bool:
        """Return whether this host may act as the shard's owner now."""
        if (
            not self._unfenced(shard, now)
            or self.owner(shard) != self._host_id
        ):
            return False
        if shard in self._acting:
            return True
        if not self._list_confirmed(now):
            return False
        ready_at = self._ready_at(shard, self._epochs, now)
        if now < ready_at:
            return False
        self._acting[shard] = ready_at
        return True

    def acting_since(self, shard: str) -> float:
        """Return the time since which this host may act for a shard."""
        return self._acting.get(shard, math.inf)

    def holds(self, shard: str) -> bool:
        """Return whether the state of a shard must be kept.

        It must be kept while this host acts for the shard, even if fenced for
        a time, and as long as it may hand the shard over.
        """
        return shard in self._acting or shard in self._stopped_periods

    def released(self, shard: str) -> bool:
        """Return whether the shard was handed over recently."""
        return shard in self._released_at

    def release(self, shard: str, new_owner: str, now: float) -> float | None:
        """Hand over a shard for which this host acted by earlier lists.

        :param new_owner: the requesting host, which must own the shard by the
            active list.
        :return: the time since which this host could act for it, ``None`` if
            it was not the last to act or has released the shard already.
        """
        if self.owner(shard) != new_owner or not self._unfenced(shard, now):
            return None
        if shard in self._released_at:
            return None
        period = self._stopped_periods.pop(shard, None)
        period = period or self._last_period(shard, new_owner, now)
        if period.since > period.at or now - period.at > LIST_AGE_MAX_S:
            return None
        self._released_at[shard] = now
        return period.since

    def accept(self, shard: str, now: float) -> bool:
        """Act as owner from now on after the predecessor's release."""
        if (
            not self._unfenced(shard, now)
            or self.owner(shard) != self._host_id
        ):
            return False
        self._acting[shard] = now
        self._released_at.pop(shard, None)
        return True

    def _stop_moved(self, ranking: Ranking, now: float) -> None:
        """Stop acting for the shards that belong to other hosts now."""
        for shard in list(self._acting):
            if ranking.owner(shard) != self._host_id:
                since = self._acting.pop(shard)
                self._stopped_periods[shard] = _ActingPeriod(since, now)

    def _last_period(
        self, shard: str, new_owner: str, now: float
    ) -> _ActingPeriod:
        """Return the period in which this host preceded the new owner."""
        earlier = list(self._epochs)
        stopped_at = math.inf
        while earlier and earlier[-1].ranking.owner(shard) == new_owner:
            stopped_at = earlier.pop().since
        return _ActingPeriod(self._ready_at(shard, earlier, now), stopped_at)

    def _stop_unconfirmed(self, now: float) -> None:
        """Stop acting for shards whose owner may have changed unnoticed."""
        limit = now - REPLY_AGE_MAX_S
        for shard in list(self._acting):
            if (
                self._majority_at.get(confirmation_group(shard), -math.inf)
                < limit
            ):
                del self._acting[shard]
        self._stopped_periods.clear()

    def _drop_expired(self, now: float) -> None:
        """Drop old lists, releases and periods."""
        limit = now - EPOCH_RETENTION_S
        while len(self._epochs) > 1 and self._epochs[1].since <= limit:
            self._epochs.popleft()
        while len(self._epochs) > EPOCHS_MAX:
            self._epochs.popleft()
        limit = now - TAKEOVER_WAIT_S
        for shard, released_at in list(self._released_at.items()):
            if released_at <= limit:
                del self._released_at[shard]
        for shard, period in list(self._stopped_periods.items()):
            if now - period.at > LIST_AGE_MAX_S:
                del self._stopped_periods[shard]

    def _ready_at(
        self, shard: str, epochs: t.Iterable[_ListEpoch], now: float
    ) -> float:
        """Return the time by which every predecessor must have stopped."""
        first_epoch: _ListEpoch | None = None
        for epoch in reversed(list(epochs)):
            if epoch.ranking.owner(shard) != self._host_id:
                break
            first_epoch = epoch
        if first_epoch is None:
            return math.inf
        known_since = self._known_since(shard, first_epoch, now)
        return known_since + TAKEOVER_WAIT_S

    def _known_since(self, shard: str, epoch: _ListEpoch, now: float) -> float:
        """Return the time since which most confirming hosts have had a list.

        :return: infinity if too few of them have reported it yet.
        """
        if epoch.since == -math.inf:
            return -math.inf
        hosts = self._confirming_hosts(shard)
        known_since = [epoch.since] if self._host_id in hosts else []
        others = hosts - {self._host_id}
        for host_id in others:
            since = self._confirmations.known_since(host_id, epoch.version)
            if since is not None:
                known_since.append(since)
        needed = len(hosts) // 2 + 1
        if len(known_since) < needed:
            self._confirmations.query(others, epoch.version, now)
            return math.inf
        return max(sorted(known_since)[needed - 1], epoch.since)

    def _confirming_hosts(self, shard: str) -> frozenset[str]:
        """Return the hosts that confirm the host list for a shard."""
        return self._epochs[-1].ranking.confirming_hosts(
            confirmation_group(shard)
        )

    def _list_confirmed(self, now: float) -> bool:
        """Return whether the host list was confirmed recently."""
        return now - self._list_age.confirmed_at() <= LIST_CONFIRM_MAX_S

    def _unfenced(self, shard: str, now: float) -> bool:
        """Return whether this host may rely on its host list for a shard."""
        age_s = now - self._list_age.confirmed_at()
        if age_s <= LIST_CONFIRM_MAX_S / 2:
            return True
        agreed = self._majority_agrees(shard, now)
        return age_s <= LIST_CONFIRM_MAX_S or agreed

    def _majority_agrees(self, shard: str, now: float) -> bool:
        """Return whether most confirming hosts have no newer list."""
        if not self._epochs:
            return False
        hosts = self._confirming_hosts(shard)
        others = hosts - {self._host_id}
        version = self.list_version
        self._confirmations.query(others, version, now)
        agreed = int(self._host_id in hosts)
        for host_id in others:
            reply = self._confirmations.last_reply(host_id)
            if reply is None or now - reply.at > REPLY_AGE_MAX_S:
                continue
            agreed += reply.list_version <= version
        if agreed * 2 <= len(hosts):
            return False
        self._majority_at[confirmation_group(shard)] = now
        return True
