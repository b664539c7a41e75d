"""Requests rate tokens from the owners of organisations' rates.

Each organisation's rate has an owner among the hosts of a region. The owner
grants or refuses the token requests of other hosts.
"""

import asyncio
import dataclasses
import typing as t

from ..decisions import shared_rates
from ..world import catalog
from . import frames
from . import options

# How long a request waits for the owner's response.
OWNER_TIMEOUT_S = 0.06
# How long an owner that did not respond gets no token requests. When many
# hosts start at the same time, an owner may be up a moment later.
OWNER_AVOID_S = 0.3
# Interval at which the demand is measured and reported to other regions.
DEMAND_INTERVAL_S = 0.8
# Time after the first start of all hosts in which new buckets start full.
FIRST_START_S = 20.0
# Maximum time that a refusal is applied to further requests of the same kind.
REFUSAL_TTL_MAX_S = 0.1

# Sent instead of a wait by a host that is no owner any more.
NOT_OWNER = -1

OnDecided = t.Callable[[shared_rates.Grant], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RateView:
    """What a node knows of an organisation's rate.

    :param owner: address of the host that decides.
    :param owned_here: whether that is this host.
    :param region_fraction: part of the rate that the region may use.
    :param tokens: tokens in the bucket of this host, ``None`` without one.
    :param needed: tokens that the next request needs, ``None`` likewise.
    :param refused_s: how long requests are refused, as far as it is known.
    :param avoided_s: how long the owner gets no token requests.
    """

    owner: str
    owned_here: bool
    region_fraction: float
    tokens: float | None
    needed: float | None
    refused_s: float
    avoided_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A request that waits for the owner's response."""

    on_decided: OnDecided
    timer: asyncio.TimerHandle
    organisation: str
    urgency: int
    owner: str


class Carrier(t.Protocol):
    """Sends control frames to other hosts."""

    def send(self, address: str, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a frame; return whether a stream is up or being opened."""


class Rates:
    """Admits requests within their organisations' rates.

    :param node_options: the node's options.
    :param carrier: sends frames to other hosts.
    """

    def __init__(
        self, node_options: options.Options, carrier: Carrier
    ) -> None:
        bounds = node_options.bounds
        self._options = node_options
        self._carrier = carrier
        self._loop = asyncio.get_running_loop()
        full_until = 0.0
        if node_options.first_start:
            full_until = self._loop.time() + FIRST_START_S
        self._rate_hosts = shared_rates.RateOwners(
            node_options.address, node_options.region
        )
        self.pool = shared_rates.SharedRates(
            bounds.rate_overage,
            bounds.rate_slack,
            bounds.rate_window_s,
            full_until,
            self._rate_hosts.first_owner,
        )
        self._local_share = shared_rates.DisconnectedAllowance(
            node_options.address
        )
        self._organisations: dict[str, catalog.Organisation] = {}
        # The services of the configuration, and the host list.
        self._services: frozenset[str] = frozenset()
        self._instances: list[catalog.Instance] = []
        self._region_hosts: list[str] = []
        self._other_regions: dict[str, list[str]] = {}
        self._owners: dict[str, str] = {}
        self._hosts = 1
        self._pending: dict[int, _Pending] = {}
        self._last_number = 0
        self._avoided: dict[str, float] = {}
        self._refused_until: dict[tuple[str, int], float] = {}
        self._measure_at = 0.0

    def learn_catalog(self, newest: catalog.Catalog) -> None:
        """Apply a newer configuration."""
        self._organisations = newest.organisations()
        self.pool.learn_organisations(self._organisations)
        self._refused_until.clear()
        if newest.services != self._services:
            self._services = newest.services
            self._learn_hosts()

    def learn_instances(self, instances: t.Iterable[catalog.Instance]) -> None:
        """Apply the host list."""
        self._instances = list(instances)
        self._learn_hosts()

    def _learn_hosts(self) -> None:
        """Apply the hosts beside upstreams of the configuration's services.

        Nobody may be at the address of an entry with another service.
        """
        region_of = self._options.regions
        listed: dict[str, str] = {}
        draining: dict[str, str] = {}
        for instance in self._instances:
            if instance.service not in self._services:
                continue
            table = listed if instance.ready else draining
            region = region_of.get(instance.data_centre, "")
            table[instance.address] = region
        self._rate_hosts.learn(listed, draining, self._loop.time())
        self._update_owners()

    def host_stopping(self, address: str) -> None:
        """Use other owners for the rates that a stopping node owns."""
        if self._rate_hosts.node_stopping(address):
            self._update_owners()

    def _owner_lapsed(self, pending: _Pending) -> None:
        """Ask the next owner, as the asked host is not listed any more."""
        if self._rate_hosts.owner_lapsed(pending.owner):
            self._update_owners()
            self.request_token(
                pending.organisation, pending.urgency, pending.on_decided
            )
            return
        self._decide_without_owner(pending)

    def unlisted_owners(self) -> list[list[t.Any]]:
        """Return the hosts that may own rates although they are not listed.

        :return: address, region and the milliseconds since each was listed.
        """
        return [
            [address, region, int(ago_s * 1000)]
            for address, region, ago_s in self._rate_hosts.unlisted(
                self._loop.time()
            )
        ]

    def learn_unlisted_owners(self, unlisted: list[t.Any]) -> None:
        """Apply another host's :meth:`unlisted_owners`."""
        now = self._loop.time()
        found = [
            self._rate_hosts.learn_unlisted(
                address, region, ago_ms / 1000, now
            )
            for address, region, ago_ms in unlisted
        ]
        if any(found):
            self._update_owners()

    def _update_owners(self) -> None:
        regions = self._rate_hosts.regions()
        self._hosts = sum(map(len, regions.values()))
        self._region_hosts = regions.pop(self._options.region)
        self._other_regions = regions
        self.pool.learn_hosts(len(self._region_hosts), self._hosts)
        self._owners.clear()

    def request_token(
        self, organisation: str, urgency: int, on_decided: OnDecided
    ) -> None:
        """Request a token for a request.

        :param urgency: the request's priority, 0 is the most urgent.
        :param on_decided: called once with the decision, at once or when the
            owner has responded.
        """
        now = self._loop.time()
        if not self.pool.limited(organisation):
            on_decided(shared_rates.Grant(True))
            return
        owner = self._owner(organisation)
        if owner == self._options.address:
            on_decided(self.pool.grant(organisation, urgency, now))
            return
        refused_s = self._refused_until.get((organisation, urgency), 0.0) - now
        if refused_s > 0:
            on_decided(shared_rates.Grant(False, int(refused_s * 1000) + 1))
            return
        if self._avoided.get(owner, 0.0) > now:
            on_decided(self._decide_locally(organisation, now))
            return
        self._last_number += 1
        number = self._last_number
        sent = self._carrier.send(
            owner, frames.Kind.TOKEN_REQUEST, number, organisation, urgency
        )
        if not sent:
            self._owner_unreachable(owner, organisation, urgency, on_decided)
            return
        timer = self._loop.call_later(
            OWNER_TIMEOUT_S, self._owner_timed_out, number, owner
        )
        self._pending[number] = _Pending(
            on_decided, timer, organisation, urgency, owner
        )

    def view(
        self, organisation: catalog.Organisation, urgency: int
    ) -> RateView | None:
        """Return what is known of a rate, ``None`` without a limit.

        Changes nothing and takes no token.

        :param urgency: the route's priority, 0 is the most urgent.
        """
        name = organisation.name
        if not self.pool.limited(name):
            return None
        now = self._loop.time()
        # The owner is not looked up in the cache, which would be filled.
        hosts = self._region_hosts or [self._options.address]
        owner = shared_rates.rate_owner(name, hosts)
        owned_here = owner == self._options.address
        known = self.pool.view(organisation, urgency, now)
        refused_s = self._refused_until.get((name, urgency), 0.0) - now
        return RateView(
            owner=owner,
            owned_here=owned_here,
            region_fraction=known.region_fraction,
            tokens=known.tokens if owned_here else None,
            needed=known.needed if owned_here else None,
            refused_s=known.wait_s if owned_here else max(0.0, refused_s),
            avoided_s=max(0.0, self._avoided.get(owner, 0.0) - now),
        )

    def handle_request(
        self, number: int, organisation: str, urgency: int
    ) -> tuple[int, int, bool, int]:
        """Handle another host's token request; return the grant's fields."""
        if self._rate_hosts.lapsed:
            return (number, urgency, False, NOT_OWNER)
        grant = self.pool.grant(organisation, urgency, self._loop.time())
        return (number, urgency, grant.granted, grant.wait_ms)

    def handle_grant(
        self, number: int, urgency: int, granted: bool, wait_ms: int
    ) -> None:
        """Handle an owner's response to a token request."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        pending.timer.cancel()
        if wait_ms == NOT_OWNER:
            self._owner_lapsed(pending)
            return
        if not granted:
            refused_s = min(REFUSAL_TTL_MAX_S, wait_ms / 1000)
            until = self._loop.time() + refused_s
            self._refused_until[pending.organisation, urgency] = until
        pending.on_decided(shared_rates.Grant(granted, wait_ms))

    def handle_demand(
        self, region: str, demand_per_s: dict[str, float]
    ) -> None:
        """Apply the demand that another region reports."""
        self.pool.learn_demand(region, demand_per_s, self._loop.time())

    def tick(self, now: float) -> None:
        """Measure the demand of the rates owned here and report it."""
        if self._rate_hosts.expire(now):
            self._update_owners()
        if now < self._measure_at:
            return
        self._measure_at = now + DEMAND_INTERVAL_S
        demand = self.pool.measure(now)
        if not demand:
            return
        region = self._options.region
        for addresses in self._other_regions.values():
            by_owner: dict[str, dict[str, float]] = {}
            for name, per_s in demand.items():
                owner = shared_rates.rate_owner(name, addresses)
                by_owner.setdefault(owner, {})[name] = per_s
            for owner, reported in by_owner.items():
                self._carrier.send(
                    owner, frames.Kind.DEMAND_REPORT, region, reported
                )

    def _owner(self, organisation: str) -> str:
        owner = self._owners.get(organisation)
        if owner is None:
            owner = shared_rates.rate_owner(organisation, self._region_hosts)
            self._owners[organisation] = owner
        return owner

    def _owner_unreachable(
        self,
        owner: str,
        organisation: str,
        urgency: int,
        on_decided: OnDecided,
    ) -> None:
        """Decide on a request if the owner accepts no connection."""
        if self._rate_hosts.node_refuses(owner):
            self._update_owners()
            self.request_token(organisation, urgency, on_decided)
            return
        now = self._loop.time()
        on_decided(self._decide_locally(organisation, now))

    def _decide_locally(
        self, organisation: str, now: float
    ) -> shared_rates.Grant:
        """Decide with this host's own share of the rate."""
        limits = self._organisations[organisation]
        granted = self._local_share.take(limits, self._hosts, now)
        return shared_rates.Grant(granted, 0 if granted else 300)

    def _owner_timed_out(self, number: int, owner: str) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        self._avoided[owner] = self._loop.time() + OWNER_AVOID_S
        self._decide_without_owner(pending)

    def _decide_without_owner(self, pending: _Pending) -> None:
        """Decide on a request whose owner has not decided."""
        if pending.organisation not in self._organisations:
            pending.on_decided(shared_rates.Grant(True))
            return
        now = self._loop.time()
        pending.on_decided(self._decide_locally(pending.organisation, now))
