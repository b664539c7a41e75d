"""Requests rate tokens from the owners of organisations' rates.

Each organisation's rate has an owner among the hosts of a region. The owner
grants or refuses the token requests of other hosts.
"""

import asyncio
import typing as t

from ..decisions import ratepool
from ..world import catalog
from . import frames
from . import options

# How long a request waits for the owner's response.
ANSWER_S = 0.06
# How long an owner that did not respond gets no token requests. When many
# hosts start at the same time, an owner may be up a moment later.
AVOID_S = 0.3
# Interval at which the demand is measured and reported to other regions.
PERIOD_S = 0.8
# Time after the first start of all hosts in which new buckets start full.
BEGINNING_S = 20.0
# Maximum time that a refusal is applied to further requests of the same kind.
DRY_MAX_S = 0.1

Decided = t.Callable[[ratepool.Grant], None]


class Carrier(t.Protocol):
    """Sends control frames to other hosts."""

    def send(self, address: str, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a frame; return whether a stream is up or being opened."""


class Rates:
    """Admits requests within their organisations' rates.

    :param chosen: the node's options.
    :param carrier: sends frames to other hosts.
    """

    def __init__(self, chosen: options.Options, carrier: Carrier) -> None:
        bounds = chosen.bounds
        self._options = chosen
        self._carrier = carrier
        self._loop = asyncio.get_running_loop()
        full_until = 0.0
        if chosen.first_start:
            full_until = self._loop.time() + BEGINNING_S
        self._known = ratepool.Hosts(chosen.address, chosen.region)
        self.pool = ratepool.RatePool(
            bounds.rate_overage,
            bounds.rate_slack,
            bounds.rate_window_s,
            full_until,
            self._known.first_keeper,
        )
        self._alone = ratepool.Alone(chosen.address)
        self._organisations: dict[str, catalog.Organisation] = {}
        self._near: list[str] = []
        self._far: dict[str, list[str]] = {}
        self._keepers: dict[str, str] = {}
        self._hosts = 1
        self._waiting: dict[int, tuple[Decided, asyncio.TimerHandle, str]]
        self._waiting = {}
        self._numbers = 0
        self._avoided: dict[str, float] = {}
        self._dry: dict[tuple[str, int], float] = {}
        self._measure_at = 0.0

    def learn_catalog(self, newest: catalog.Catalog) -> None:
        """Apply a newer configuration."""
        self._organisations = newest.organisations()
        self.pool.learn_organisations(self._organisations)
        self._dry.clear()

    def learn_instances(self, instances: t.Iterable[catalog.Instance]) -> None:
        """Apply the host list."""
        region_of = self._options.regions
        listed: dict[str, str] = {}
        draining: dict[str, str] = {}
        for instance in instances:
            table = listed if instance.ready else draining
            region = region_of.get(instance.data_centre, "")
            table[instance.address] = region
        self._known.learn(listed, draining, self._loop.time())
        self._find_keepers()

    def host_stops(self, address: str) -> None:
        """Use other owners for the rates that a stopping node owns."""
        if self._known.stops(address):
            self._find_keepers()

    def _find_keepers(self) -> None:
        regions = self._known.regions()
        self._hosts = sum(map(len, regions.values()))
        self._near = regions.pop(self._options.region)
        self._far = regions
        self.pool.learn_hosts(len(self._near), self._hosts)
        self._keepers.clear()

    def take(self, organisation: str, urgency: int, decided: Decided) -> None:
        """Request a token for a request.

        :param urgency: the request's priority, 0 is the most urgent.
        :param decided: called once with the decision, at once or when the
            owner has responded.
        """
        now = self._loop.time()
        if not self.pool.limited(organisation):
            decided(ratepool.Grant(True))
            return
        keeper = self._keeper(organisation)
        if keeper == self._options.address:
            decided(self.pool.grant(organisation, urgency, now))
            return
        dry_s = self._dry.get((organisation, urgency), 0.0) - now
        if dry_s > 0:
            decided(ratepool.Grant(False, int(dry_s * 1000) + 1))
            return
        if self._avoided.get(keeper, 0.0) > now:
            decided(self._without_keeper(organisation, now))
            return
        self._numbers += 1
        number = self._numbers
        sent = self._carrier.send(
            keeper, frames.Kind.ASK, number, organisation, urgency
        )
        if not sent:
            self._refused(keeper, organisation, urgency, decided)
            return
        timer = self._loop.call_later(
            ANSWER_S, self._unanswered, number, organisation, keeper
        )
        self._waiting[number] = (decided, timer, organisation)

    def asked(
        self, number: int, organisation: str, urgency: int
    ) -> tuple[int, int, bool, int]:
        """Handle another host's token request; return the grant's fields."""
        grant = self.pool.grant(organisation, urgency, self._loop.time())
        return (number, urgency, grant.granted, grant.wait_ms)

    def answered(
        self, number: int, urgency: int, granted: bool, wait_ms: int
    ) -> None:
        """Handle an owner's response to a token request."""
        found = self._waiting.pop(number, None)
        if found is None:
            return
        decided, timer, organisation = found
        timer.cancel()
        if not granted:
            dry_s = min(DRY_MAX_S, wait_ms / 1000)
            until = self._loop.time() + dry_s
            self._dry[organisation, urgency] = until
        decided(ratepool.Grant(granted, wait_ms))

    def told(self, region: str, demand_per_s: dict[str, float]) -> None:
        """Apply the demand that another region reports."""
        self.pool.learn_demand(region, demand_per_s, self._loop.time())

    def tick(self, now: float) -> None:
        """Measure the demand of the rates owned here and report it."""
        if now < self._measure_at:
            return
        self._measure_at = now + PERIOD_S
        demand = self.pool.measure(now)
        if not demand:
            return
        region = self._options.region
        for addresses in self._far.values():
            by_keeper: dict[str, dict[str, float]] = {}
            for name, per_s in demand.items():
                where = ratepool.keeper(name, addresses)
                by_keeper.setdefault(where, {})[name] = per_s
            for where, told in by_keeper.items():
                self._carrier.send(where, frames.Kind.DEMAND, region, told)

    def _keeper(self, organisation: str) -> str:
        found = self._keepers.get(organisation)
        if found is None:
            found = ratepool.keeper(organisation, self._near)
            self._keepers[organisation] = found
        return found

    def _refused(
        self, keeper: str, organisation: str, urgency: int, decided: Decided
    ) -> None:
        """Decide on a request if the owner accepts no connection."""
        if self._known.refuses(keeper):
            self._find_keepers()
            self.take(organisation, urgency, decided)
            return
        now = self._loop.time()
        decided(self._without_keeper(organisation, now))

    def _without_keeper(self, organisation: str, now: float) -> ratepool.Grant:
        """Decide with this host's own share of the rate."""
        known = self._organisations[organisation]
        taken = self._alone.take(known, self._hosts, now)
        return ratepool.Grant(taken, 0 if taken else 300)

    def _unanswered(self, number: int, organisation: str, keeper: str) -> None:
        found = self._waiting.pop(number, None)
        if found is None:
            return
        now = self._loop.time()
        self._avoided[keeper] = now + AVOID_S
        if organisation not in self._organisations:
            found[0](ratepool.Grant(True))
            return
        found[0](self._without_keeper(organisation, now))
