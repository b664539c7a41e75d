"""Rate limit of an organisation, shared by the hosts of a region.

A single host sees only a part of an organisation's requests, so that it cannot
detect alone that the organisation exceeds its rate, that its callers have
moved to other hosts, or that a surge approaches the limit. In each region,
rendezvous hashing selects one host per organisation as the owner of the
region's part of the token bucket. It grants single requests from it. Regions
divide the rate in proportion to the demand that they report to each other. A
host that cannot reach the owner admits a small part of the rate on its own.
Nothing is stored: the previous owner may have granted every token, so a host
that becomes owner starts with a bucket that holds only a part of the tolerated
overage.

Requests of urgent routes are granted first when a bucket runs low: the other
routes leave a part of it in reserve.
"""

import dataclasses
import typing as t
import zlib

from ..world import catalog

# Fraction of the tolerated overage that buckets grant. The rest covers
# requests that arrive closer together than they were granted, and changes of
# the owner.
TOLERANCE_USED = 0.5
# Fraction of the remaining tolerance with which a new owner's bucket starts,
# so that not all callers are rejected after many hosts were restarted.
INITIAL_FRACTION = 0.5
# Fraction of the bucket that a route leaves in reserve for each step by which
# its priority is lower, and the upper bound.
RESERVE_STEP = 0.12
RESERVE_MAX = 0.36
# Weight of the latest period in the moving average of demand.
DEMAND_WEIGHT = 0.4
# Fraction of the rate that is divided among the regions by their number of
# hosts, independent of demand.
HOSTS_FRACTION = 0.2
# Age in seconds after which another region's demand report is ignored.
DEMAND_AGE_MAX_S = 4.0
# Time in seconds for which a host that has left the host list stays owner for
# others.
OWNER_RETENTION_S = 20.0
# How much earlier in seconds it stops being owner by its own account, so that
# no other host owns its rates before. Covers the delay of host lists.
OWNER_MARGIN_S = 3.0
# Time in seconds after which the bucket of an organisation that is gone is
# forgotten; longer than buckets start full.
UNUSED_MAX_S = 60.0
# Fraction of the rate that hosts without a connection to the owner may admit;
# each gets an equal part.
DISCONNECTED_FRACTION = 0.15
# Length in seconds of the turn in which such a host may admit one request.
DISCONNECTED_TURN_S = 1.0


def rate_owner(organisation: str, addresses: t.Iterable[str]) -> str:
    """Return the host that owns an organisation's bucket, "" for none."""
    return max(
        addresses,
        key=lambda address: zlib.crc32(f"{organisation} {address}".encode()),
        default="",
    )


class RateOwners:
    """The hosts of each region that may own buckets.

    Hosts receive changes of the host list seconds apart, and two hosts that
    both consider themselves owner grant a rate twice. A host therefore stays
    owner while its node runs. If its upstream drains, it stays owner until the
    node reports that it is stopping or accepts no connection. If the
    upstream's entry expires, which may only mean that the host has lost its
    connection to the list, it stays owner for ``OWNER_RETENTION_S`` from then.
    By its own account it ends ``OWNER_MARGIN_S`` earlier and tells those who
    ask it. A host that has just started learns from others which hosts are
    owners although they are not listed.

    :param own: address of this host.
    :param region: region of this host.
    """

    def __init__(self, own: str, region: str) -> None:
        self._own = own
        self._region = region
        self._active: set[str] = set()
        self._draining: set[str] = set()
        self._stopped: set[str] = set()
        # Region of each host that may own buckets, and when it was last known
        # to be in the host list; the hosts that are in the latest one.
        self._last_seen: dict[str, tuple[str, float]] = {}
        self._running: set[str] = set()
        # Whether this host was listed, in an earlier process too.
        self._listed_once = False
        # Nodes that reported that they are stopping while their upstreams
        # accepted new work, and the time of the latest host list before that.
        self._stopping: dict[str, float] = {}
        self._list_read_at = 0.0
        # All hosts of this region since this node's start.
        self._region_hosts = {own}

    def learn(
        self,
        listed: t.Mapping[str, str],
        draining: t.Mapping[str, str],
        now: float,
    ) -> None:
        """Apply the host list.

        :param listed: region of each host whose upstream accepts new work.
        :param draining: region of each host whose upstream drains. A host that
            is also in ``listed`` has been restarted under the same address.
        """
        self._active = set(listed)
        self._list_read_at = now
        self._stopping = {
            address: listed_at
            for address, listed_at in self._stopping.items()
            if now - listed_at <= OWNER_RETENTION_S
        }
        # The list entry of a draining host ends before its node stops.
        still_draining = self._draining & self._last_seen.keys()
        self._draining = (still_draining | draining.keys()) - self._active
        self._stopped &= self._draining | ({self._own} - self._active)
        running = {**draining, **listed}
        for address in self._running - running.keys():
            if address in self._last_seen:
                region, _ = self._last_seen[address]
                self._last_seen[address] = (region, now)
        self._running = set(running)
        self._listed_once |= self._own in self._running
        for address, region in running.items():
            if address in self._stopped:
                continue
            self._last_seen[address] = (region, now)
            if region == self._region:
                self._region_hosts.add(address)
        self.expire(now)

    def expire(self, now: float) -> bool:
        """Forget hosts that have left the host list for long enough.

        :return: whether that is so for any.
        """
        expired = [
            address
            for address, (_, seen) in self._last_seen.items()
            if address not in self._running
            and now - seen > self._retention_s(address)
        ]
        for address in expired:
            del self._last_seen[address]
        return bool(expired)

    def _retention_s(self, address: str) -> float:
        own = address == self._own
        return OWNER_RETENTION_S - (OWNER_MARGIN_S if own else 0.0)

    def unlisted(self, now: float) -> list[tuple[str, str, float]]:
        """Return the hosts that may be owners although they are not listed.

        :return: address, region and the seconds since it was listed.
        """
        return [
            (address, region, now - seen)
            for address, (region, seen) in self._last_seen.items()
            if address not in self._running
        ]

    def learn_unlisted(
        self, address: str, region: str, ago_s: float, now: float
    ) -> bool:
        """Apply that another host counts an unlisted host as an owner.

        :param ago_s: seconds since it was listed.
        :return: whether that is new.
        """
        known = address in self._last_seen or address in self._stopped
        if known or ago_s > self._retention_s(address):
            return False
        self._last_seen[address] = (region, now - ago_s)
        self._listed_once |= address == self._own
        if region == self._region:
            self._region_hosts.add(address)
        return True

    @property
    def lapsed(self) -> bool:
        """Whether this host was listed, and has been no more for long."""
        return self._listed_once and self._own not in self._last_seen

    def owner_lapsed(self, address: str) -> bool:
        """Note that a host is no owner by its own account.

        :return: whether it stops being owner; not if it is listed.
        """
        if address in self._running:
            return False
        return self._last_seen.pop(address, None) is not None

    def node_stopping(self, address: str) -> bool:
        """Record that a node is stopping; return whether it stops being owner.

        A host whose upstream accepts new work stays owner, because its node is
        about to be restarted next to the upstream.
        """
        if address in self._active:
            self._stopping[address] = self._list_read_at
            return False
        self._stopped.add(address)
        return self._last_seen.pop(address, None) is not None

    def node_refuses(self, address: str) -> bool:
        """Record that a node refuses connections, see :meth:`node_stopping`.

        A node that is not known to be draining or stopping may only be
        unreachable from this host, and stays owner.
        """
        if address in self._active:
            return False
        leaving = address in self._draining or address in self._stopping
        return leaving and self.node_stopping(address)

    def regions(self) -> dict[str, list[str]]:
        """Return the sorted hosts of each region.

        This node's region contains at least its own host.
        """
        by_region: dict[str, list[str]] = {}
        for address, (region, _) in sorted(self._last_seen.items()):
            by_region.setdefault(region, []).append(address)
        by_region.setdefault(self._region, [self._own])
        return by_region

    def first_owner(self, organisation: str) -> bool:
        """Return whether no other host of the region can have been owner."""
        return rate_owner(organisation, self._region_hosts) == self._own


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of an organisation and the demand on it in this region."""

    tokens: float
    filled: float
    requests: float = 0.0
    demand_per_s: float = 0.0
    # Demand of the previous period, the latest that other regions know.
    demand_before_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An owner's reply to a token request.

    :param granted: whether the request may run.
    :param wait_ms: time in milliseconds after which to ask again if not
        granted.
    """

    granted: bool
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a host knows of an organisation's rate.

    :param region_fraction: part of the rate that its region may use.
    :param tokens: tokens in the bucket, ``None`` if it has none here.
    :param needed: tokens that the next request needs, ``None`` without bucket.
    :param wait_s: time until they are there, 0 if they are.
    """

    region_fraction: float
    tokens: float | None = None
    needed: float | None = None
    wait_s: float = 0.0


class SharedRates:
    """The rate buckets that a host owns or may have to own.

    :param overage: fraction by which a rate may be exceeded.
    :param slack: number of requests by which it may be exceeded in addition.
    :param window_s: time window for which overage and slack are defined.
    :param full_until: time before which buckets start full if no other host
        has been their owner.
    :param first_owner: returns whether no other host of the region can have
        owned an organisation's bucket.
    """

    def __init__(
        self,
        overage: float,
        slack: float,
        window_s: float,
        full_until: float = 0.0,
        first_owner: t.Callable[[str], bool] = lambda organisation: True,
    ) -> None:
        self._factor = 1.0 + overage * TOLERANCE_USED
        self._slack = slack * TOLERANCE_USED
        unused = INITIAL_FRACTION * (1.0 - TOLERANCE_USED)
        self._initial_factor = unused * overage
        self._initial_slack = unused * slack
        self._window_s = window_s
        self._full_until = full_until
        self._first_owner = first_owner
        self._organisations: t.Mapping[str, catalog.Organisation] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._hosts_fraction = 1.0
        self._hosts = 1
        self._remote_demand: dict[str, tuple[dict[str, float], float]] = {}
        self._measured_at = 0.0

    def learn_organisations(
        self, organisations: t.Mapping[str, catalog.Organisation]
    ) -> None:
        """Apply the rates of the organisations.

        One that is missing may return, and has used a part of its bucket.
        """
        self._organisations = organisations

    def learn_hosts(self, region_hosts: int, total_hosts: int) -> None:
        """Apply the number of hosts in this region and in all regions."""
        self._hosts = max(1, total_hosts)
        self._hosts_fraction = max(1, region_hosts) / self._hosts

    def learn_demand(
        self, region: str, demand_per_s: dict[str, float], now: float
    ) -> None:
        """Store the demand that another region reports."""
        earlier, _ = self._remote_demand.get(region, ({}, now))
        self._remote_demand[region] = ({**earlier, **demand_per_s}, now)

    def limited(self, organisation: str) -> bool:
        """Return whether an organisation has a rate limit."""
        contract = self._organisations.get(organisation)
        return contract is not None and contract.rate_per_s > 0

    def grant(self, organisation: str, urgency: int, now: float) -> Grant:
        """Take a token for a request from a bucket that this host owns.

        :param urgency: the route's priority, 0 is the most urgent.
        """
        contract = self._organisations.get(organisation)
        if contract is None or contract.rate_per_s <= 0:
            return Grant(True)
        fraction = self._region_fraction(organisation, contract, now)
        rate, size = self._bucket_terms(contract, fraction)
        bucket = self._buckets.get(organisation)
        if bucket is None:
            tokens = min(size, self._initial_tokens(contract, fraction, now))
            bucket = self._buckets[organisation] = _Bucket(tokens, now)
        gained = (now - bucket.filled) * rate
        bucket.tokens = min(size, bucket.tokens + gained)
        bucket.filled = now
        bucket.requests += 1.0
        needed = self._tokens_needed(size, urgency)
        if bucket.tokens >= needed:
            bucket.tokens -= 1.0
            return Grant(True)
        return Grant(False, int((needed - bucket.tokens) / rate * 1000) + 1)

    def view(
        self, contract: catalog.Organisation, urgency: int, now: float
    ) -> View:
        """Return what is known of a rate; changes nothing.

        :param urgency: the route's priority, 0 is the most urgent.
        """
        fraction = self._region_fraction(contract.name, contract, now)
        bucket = self._buckets.get(contract.name)
        if bucket is None or contract.rate_per_s <= 0:
            return View(fraction)
        rate, size = self._bucket_terms(contract, fraction)
        tokens = min(size, bucket.tokens + (now - bucket.filled) * rate)
        needed = self._tokens_needed(size, urgency)
        return View(
            fraction, tokens, needed, max(0.0, (needed - tokens) / rate)
        )

    def _bucket_terms(
        self, contract: catalog.Organisation, fraction: float
    ) -> tuple[float, float]:
        """Return rate and size of a bucket.

        :param fraction: this region's part of the organisation's rate.
        """
        rate = contract.rate_per_s * self._factor * fraction
        size = (contract.burst * self._factor + self._slack) * fraction
        return rate, max(1.0, size)

    @staticmethod
    def _tokens_needed(size: float, urgency: int) -> float:
        """Return the tokens at which a request is granted one."""
        reserve = min(RESERVE_MAX, RESERVE_STEP * urgency) * size
        return 1.0 + min(reserve, size - 1.0)

    def measure(self, now: float) -> dict[str, float]:
        """End a period; return this region's demand by organisation."""
        period_s = now - self._measured_at
        self._measured_at = now
        if period_s <= 0:
            return {}
        for name in list(self._buckets.keys() - self._organisations.keys()):
            if now - self._buckets[name].filled > UNUSED_MAX_S:
                del self._buckets[name]
        for bucket in self._buckets.values():
            latest = bucket.requests / period_s
            bucket.requests = 0.0
            bucket.demand_before_per_s = bucket.demand_per_s
            bucket.demand_per_s += DEMAND_WEIGHT * (
                latest - bucket.demand_per_s
            )
        return {
            name: round(bucket.demand_per_s, 2)
            for name, bucket in self._buckets.items()
            if bucket.demand_per_s >= 0.1
        }

    def _initial_tokens(
        self, contract: catalog.Organisation, fraction: float, now: float
    ) -> float:
        """Return the tokens with which a new owner's bucket starts."""
        if now < self._full_until and self._first_owner(contract.name):
            # The same tokens as if the bucket had existed since the start:
            # other regions also started with their part by hosts.
            full = contract.burst * self._factor + self._slack
            return max(1.0, full * self._hosts_fraction)
        allowed = contract.rate_per_s * self._window_s + contract.burst
        return (
            self._initial_factor * allowed + self._initial_slack
        ) * fraction

    def _region_fraction(
        self, name: str, contract: catalog.Organisation, now: float
    ) -> float:
        """Return this region's part of an organisation's rate."""
        if self._hosts_fraction >= 1.0:
            return 1.0
        remote = [
            demand.get(name, 0.0)
            for demand, at in self._remote_demand.values()
            if now - at < DEMAND_AGE_MAX_S
        ]
        if not remote:
            return self._hosts_fraction
        bucket = self._buckets.get(name)
        own_demand = bucket.demand_before_per_s if bucket is not None else 0.0
        # Regions receive each other's demand late, so a part of the rate
        # stays divided by the number of hosts.
        floor_per_s = contract.rate_per_s * 0.1
        own_demand += floor_per_s * self._hosts_fraction
        other_demand = sum(remote) + floor_per_s * (1.0 - self._hosts_fraction)
        demand_fraction = (
            (1.0 - HOSTS_FRACTION) * own_demand / (own_demand + other_demand)
        )
        return demand_fraction + HOSTS_FRACTION * self._hosts_fraction


class DisconnectedAllowance:
    """Limits what a host admits while it cannot reach an owner.

    Hosts take turns. Otherwise each of many hosts that lose the owner at the
    same time would admit a request at once.

    :param own: address of this host.
    """

    def __init__(self, own: str) -> None:
        self._phase = zlib.crc32(own.encode()) / 2**32
        self._used_turns: dict[str, int] = {}

    def take(
        self, organisation: catalog.Organisation, hosts: int, now: float
    ) -> bool:
        """Return whether a request may run.

        :param hosts: number of hosts among which the rate is divided.
        """
        rate = organisation.rate_per_s * DISCONNECTED_FRACTION / max(1, hosts)
        turns = now * rate + self._phase
        in_turn = turns % 1.0 < DISCONNECTED_TURN_S * rate
        if not in_turn or self._used_turns.get(organisation.name) == int(
            turns
        ):
            return False
        self._used_turns[organisation.name] = int(turns)
        return True
