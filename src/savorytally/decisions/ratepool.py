"""An organisation's rate, shared by the hosts of a region.

Answers demand that no host sees whole: one organisation that sends many
times its rate, callers that move, a surge near the limit. In each region
one host per organisation, found by rendezvous hashing, keeps the region's
part of the bucket and grants single requests from it; regions divide the
rate by the demand that they tell each other. A host that can't reach the
keeper lives on a small part of its own. Nothing is stored: a host that
becomes keeper begins with a bucket that holds no more than a part of the
users' tolerance, since its predecessor may have granted everything.

Urgent routes are served first from a bucket that runs low: the others leave
a part of it in reserve.
"""

import dataclasses
import typing as t
import zlib

from ..world import catalog

# Part of the users' tolerance that is used; the rest is left for requests
# that arrive closer together than they were granted, and for keepers that
# change.
TOLERANCE_USED = 0.5
# Part of the rest that a bucket holds when a host becomes its keeper, so that
# not all callers are refused when many hosts have been started again.
BEGIN_PART = 0.5
# Part of the bucket that a route leaves untouched, by steps of urgency.
RESERVE_STEP = 0.12
RESERVE_MAX = 0.36
# Weight of the latest period in the mean demand.
DEMAND_WEIGHT = 0.4
# Part of the rate that is divided by hosts, whatever the demand.
PART_BY_HOSTS = 0.2
# Age after which another region's demand is not trusted.
DEMAND_FADES_S = 4.0
# How long a host that is no longer listed stays a keeper.
KEEPER_STAYS_S = 20.0
# Part of the rate, divided by hosts, of one that can't reach the keeper.
ALONE_PART = 0.15
# How long the turn lasts in which such a host may admit one request.
ALONE_TURN_S = 1.0


def keeper(organisation: str, addresses: t.Iterable[str]) -> str:
    """Return the host that keeps an organisation's bucket, "" for none."""
    return max(
        addresses,
        key=lambda address: zlib.crc32(f"{organisation} {address}".encode()),
        default="",
    )


class Hosts:
    """The hosts that may keep buckets, by region.

    Readers of the list see its changes seconds apart, and two hosts that
    both think themselves keeper grant a rate twice. A host therefore stays
    keeper while its node runs: if its upstream drains, until the node says
    that it stops or takes no connection; if its upstream's entry lapses,
    which may only mean that it is cut off from the list, for a time.

    :param own: the host that holds this list.
    :param region: its region.
    """

    def __init__(self, own: str, region: str) -> None:
        self._own = own
        self._region = region
        self._listed: set[str] = set()
        self._draining: set[str] = set()
        self._left: set[str] = set()
        self._seen: dict[str, tuple[str, float]] = {}
        # Nodes that have said that they stop while their upstreams took new
        # work, and when the list was read before.
        self._stopping: dict[str, float] = {}
        self._learned = 0.0
        # All hosts of the own region since the start.
        self._ever = {own}

    def learn(
        self,
        listed: t.Mapping[str, str],
        draining: t.Mapping[str, str],
        now: float,
    ) -> None:
        """Apply the list.

        :param listed: region of each host whose upstream takes new work.
        :param draining: region of each host whose upstream drains; one that
            is also listed has come back under the same address.
        """
        self._listed = set(listed)
        self._learned = now
        self._stopping = {
            address: told
            for address, told in self._stopping.items()
            if now - told <= KEEPER_STAYS_S
        }
        # Its entry ends before the node of a host that drains.
        drained = self._draining & self._seen.keys()
        self._draining = (drained | draining.keys()) - self._listed
        self._left &= self._draining | ({self._own} - self._listed)
        # Its own upstream may only not be listed yet, or have lapsed.
        running = {self._own: self._region, **draining, **listed}
        for address, region in running.items():
            if address in self._left:
                continue
            self._seen[address] = (region, now)
            if region == self._region:
                self._ever.add(address)
        for address, (_, seen) in list(self._seen.items()):
            if now - seen > KEEPER_STAYS_S:
                del self._seen[address]

    def stops(self, address: str) -> bool:
        """Note that a node stops; return whether it keeps nothing now.

        One whose upstream takes new work will be started again beside it.
        """
        if address in self._listed:
            self._stopping[address] = self._learned
            return False
        self._left.add(address)
        return self._seen.pop(address, None) is not None

    def refuses(self, address: str) -> bool:
        """Note that a node takes no connection, as :meth:`stops`.

        One that is not known to drain or to have stopped may be cut off
        from this host only.
        """
        if address in self._listed:
            return False
        leaves = address in self._draining or address in self._stopping
        return leaves and self.stops(address)

    def regions(self) -> dict[str, list[str]]:
        """Return the hosts of each region in order.

        The own region has one at least: without others, its own host.
        """
        found: dict[str, list[str]] = {}
        for address, (region, _) in sorted(self._seen.items()):
            found.setdefault(region, []).append(address)
        found.setdefault(self._region, [self._own])
        return found

    def first_keeper(self, organisation: str) -> bool:
        """Return whether no other host of the region was keeper before."""
        return keeper(organisation, self._ever) == self._own


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled: float
    asked: float = 0.0
    demand_per_s: float = 0.0
    # As of the period before: the other regions know no later figure.
    demand_before_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A keeper's answer.

    :param granted: whether the request may run.
    :param wait_ms: when to ask again if not.
    """

    granted: bool
    wait_ms: int = 0


class RatePool:
    """The buckets that a host keeps or may have to keep.

    :param overage: fraction by which a rate may be passed.
    :param slack: requests by which it may be passed besides.
    :param window_s: the time over which that is measured.
    :param full_until: buckets begin full before that moment, if no host
        has granted anything yet.
    :param first_keeper: returns whether no other host of the region has
        kept an organisation's bucket.
    """

    def __init__(
        self,
        overage: float,
        slack: float,
        window_s: float,
        full_until: float = 0.0,
        first_keeper: t.Callable[[str], bool] = lambda organisation: True,
    ) -> None:
        self._factor = 1.0 + overage * TOLERANCE_USED
        self._slack = slack * TOLERANCE_USED
        unused = BEGIN_PART * (1.0 - TOLERANCE_USED)
        self._begin_factor = unused * overage
        self._begin_slack = unused * slack
        self._window_s = window_s
        self._full_until = full_until
        self._first_keeper = first_keeper
        self._organisations: t.Mapping[str, catalog.Organisation] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._hosts_part = 1.0
        self._hosts = 1
        self._remote: dict[str, tuple[dict[str, float], float]] = {}
        self._measured = 0.0

    def learn_organisations(
        self, organisations: t.Mapping[str, catalog.Organisation]
    ) -> None:
        """Apply the organisations' rates."""
        self._organisations = organisations
        for name in list(self._buckets):
            if name not in organisations:
                del self._buckets[name]

    def learn_hosts(self, own_region: int, everywhere: int) -> None:
        """Apply how many hosts the region and all regions have."""
        self._hosts = max(1, everywhere)
        self._hosts_part = max(1, own_region) / self._hosts

    def learn_demand(
        self, region: str, demand_per_s: dict[str, float], now: float
    ) -> None:
        """Note what another region's callers ask for."""
        known, _ = self._remote.get(region, ({}, now))
        self._remote[region] = ({**known, **demand_per_s}, now)

    def limited(self, organisation: str) -> bool:
        """Return whether an organisation has a limit."""
        known = self._organisations.get(organisation)
        return known is not None and known.rate_per_s > 0

    def grant(self, organisation: str, urgency: int, now: float) -> Grant:
        """Take a request from a bucket that this host keeps.

        :param urgency: the route's priority, 0 is the most urgent.
        """
        known = self._organisations.get(organisation)
        if known is None or known.rate_per_s <= 0:
            return Grant(True)
        part = self._part(organisation, known, now)
        rate = known.rate_per_s * self._factor * part
        size = max(1.0, (known.burst * self._factor + self._slack) * part)
        bucket = self._buckets.get(organisation)
        if bucket is None:
            tokens = min(size, self._begin(known, part, now))
            bucket = self._buckets[organisation] = _Bucket(tokens, now)
        gained = (now - bucket.filled) * rate
        bucket.tokens = min(size, bucket.tokens + gained)
        bucket.filled = now
        bucket.asked += 1.0
        reserve = min(RESERVE_MAX, RESERVE_STEP * urgency) * size
        needed = 1.0 + min(reserve, size - 1.0)
        if bucket.tokens >= needed:
            bucket.tokens -= 1.0
            return Grant(True)
        return Grant(False, int((needed - bucket.tokens) / rate * 1000) + 1)

    def measure(self, now: float) -> dict[str, float]:
        """Close a period and return the mean demands of this region."""
        period_s = now - self._measured
        self._measured = now
        if period_s <= 0:
            return {}
        for bucket in self._buckets.values():
            latest = bucket.asked / period_s
            bucket.asked = 0.0
            bucket.demand_before_per_s = bucket.demand_per_s
            bucket.demand_per_s += DEMAND_WEIGHT * (
                latest - bucket.demand_per_s
            )
        return {
            name: round(bucket.demand_per_s, 2)
            for name, bucket in self._buckets.items()
            if bucket.demand_per_s >= 0.1
        }

    def _begin(
        self, known: catalog.Organisation, part: float, now: float
    ) -> float:
        """Return what the bucket of a new keeper holds."""
        if now < self._full_until and self._first_keeper(known.name):
            # As if it had been used from the start: other regions have
            # begun with their part by hosts.
            full = known.burst * self._factor + self._slack
            return max(1.0, full * self._hosts_part)
        allowed = known.rate_per_s * self._window_s + known.burst
        return (self._begin_factor * allowed + self._begin_slack) * part

    def _part(
        self, name: str, known: catalog.Organisation, now: float
    ) -> float:
        """Return the region's part of an organisation's rate."""
        if self._hosts_part >= 1.0:
            return 1.0
        heard = [
            demand.get(name, 0.0)
            for demand, at in self._remote.values()
            if now - at < DEMAND_FADES_S
        ]
        if not heard:
            return self._hosts_part
        bucket = self._buckets.get(name)
        own = bucket.demand_before_per_s if bucket is not None else 0.0
        # Regions see each other's demand late, so that some of the rate
        # stays divided by hosts.
        floor = known.rate_per_s * 0.1
        own += floor * self._hosts_part
        others = sum(heard) + floor * (1.0 - self._hosts_part)
        by_demand = (1.0 - PART_BY_HOSTS) * own / (own + others)
        return by_demand + PART_BY_HOSTS * self._hosts_part


class Alone:
    """What a host may admit while it can't reach a keeper.

    Hosts take turns, so that a keeper that is lost to many of them at once
    is not followed by a request of each, however many they are.

    :param own: the host.
    """

    def __init__(self, own: str) -> None:
        self._phase = zlib.crc32(own.encode()) / 2**32
        self._used: dict[str, int] = {}

    def take(
        self, known: catalog.Organisation, hosts: int, now: float
    ) -> bool:
        """Return whether a request may run."""
        rate = known.rate_per_s * ALONE_PART / max(1, hosts)
        turns = now * rate + self._phase
        in_turn = turns % 1.0 < ALONE_TURN_S * rate
        if not in_turn or self._used.get(known.name) == int(turns):
            return False
        self._used[known.name] = int(turns)
        return True
