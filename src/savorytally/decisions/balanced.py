"""Load balancing by two random choices, with preference for the local region.

The better of two hosts drawn at random is called (M. Mitzenmacher, "The
power of two choices in randomized load balancing", 2001). One is drawn from
the local data centre, the other from the whole region; a host in another
data centre is preferred only if it is clearly less loaded. Another region is
called only if no host of the local region would admit the call, and within
the byte budget of the link between the regions. Calls below normal priority
cross only if the local region has no available host.
"""

import dataclasses
import random
import typing as t

from .. import results
from ..world import configuration
from ..world import host
from ..world import region
from ..world import route
from . import host_health
from . import link_budget
from . import received_levels
from . import routing
from . import shedding

# Cost of a host in another data centre and of a recent failure, in units of
# calls in flight.
DISTANCE_COST_CALLS = 1.0
FAILURE_COST_CALLS = 4.0
SHED_RETRY_AFTER_MS = 500
LINK_RETRY_AFTER_MS = 1_000

Hosts = list[host.Host]


@dataclasses.dataclass(frozen=True, slots=True)
class _HostsByDistance:
    """The live hosts of a service outside evacuations, by distance.

    :param near: hosts in the local data centre.
    :param region: hosts in the local region, including ``near``.
    :param far: hosts in other regions.
    """

    near: Hosts
    region: Hosts
    far: Hosts


_NO_HOSTS = _HostsByDistance([], [], [])


@routing.policies.register("balanced")
class BalancedRouting:
    """Two random choices, compared by load, shed level and failures.

    :param place: region and data centre of this node.
    :param source: seeded random number generator.
    """

    def __init__(self, place: region.Place, source: random.Random) -> None:
        self._place = place
        self._source = source
        self._links = link_budget.LinkBudget(place)
        self._regions: dict[str, str] = {}
        self._live: dict[str, Hosts] = {}
        self._evacuated: frozenset[region.Place] = frozenset()
        self._services: dict[str, _HostsByDistance] = {}
        self._health: dict[str, host_health.HostHealth] = {}
        self._levels = received_levels.ReceivedLevels()

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply links and evacuations in a newer configuration."""
        self._links.learn_configuration(version, now)
        if version.evacuated != self._evacuated:
            self._evacuated = version.evacuated
            self._group_by_distance()

    def learn_hosts(
        self, hosts: t.Mapping[str, host.Host], now: float
    ) -> None:
        """Replace the hosts and drop the state of removed ones."""
        self._links.learn_hosts(hosts, now)
        self._regions = {
            item.host_id: item.place.region_id for item in hosts.values()
        }
        self._live = routing.group_live(hosts)
        self._group_by_distance()
        self._health = {
            host_id: health
            for host_id, health in self._health.items()
            if host_id in hosts
        }
        self._levels.retain(frozenset(hosts))

    def choose(
        self, request: routing.RoutingRequest, now: float
    ) -> routing.Choice:
        """Return the host to call, or the reason why there is none."""
        service = self._hosts_for(request)
        drawn = self._draw_available(service, request, now)
        if drawn is not None:
            return routing.Chosen(drawn)
        near = self._available(service.near, request, now)
        regional = self._available(service.region, request, now)
        admitting = self._admitting(regional, request, now)
        if admitting:
            near = self._admitting(near, request, now)
            return routing.Chosen(self._draw(near, admitting, request, now))
        far = self._available(service.far, request, now)
        if regional and request.priority < route.Priority.NORMAL:
            far = []
        return self._choose_far(regional, far, request, now)

    def sent(self, host_id: str, now: float) -> None:
        """Record that a call was sent to the host."""
        self._health_of(host_id).sent(now)

    def done(self, result: routing.Result, now: float) -> None:
        """Record the result of a call."""
        health = self._health_of(result.host_id)
        if result.ok:
            health.succeeded(now)
        else:
            health.failed(now)
        if result.level != routing.LEVEL_UNKNOWN:
            self._levels.note(
                result.host_id, result.route_id, result.level, now
            )
        where = self._regions.get(result.host_id, self._place.region_id)
        if where != self._place.region_id:
            self._links.charge(where, result.size_bytes, now)

    def route_level(self, called: route.Route, now: float) -> int:
        """Return the lowest shed level among the region's hosts.

        Without hosts in this region that may run the route, it is that of
        the others that may. Hosts with an open circuit breaker are left out:
        they take no calls.
        """
        service = self._services.get(called.service_id, _NO_HOSTS)
        homes = called.homes
        hosts = service.region
        if homes and self._place.region_id not in homes:
            hosts = []
        if not hosts:
            hosts = [
                item
                for item in service.far
                if not homes or item.place.region_id in homes
            ]
        levels = (
            self._levels.level(item.host_id, called.route_id, now)
            for item in hosts
            if self._health_of(item.host_id).available(now)
        )
        return min(levels, default=0)

    def _group_by_distance(self) -> None:
        self._services = {
            service_id: self._by_distance(
                [item for item in live if item.place not in self._evacuated]
            )
            for service_id, live in self._live.items()
        }

    def _hosts_for(self, request: routing.RoutingRequest) -> _HostsByDistance:
        service = self._services.get(request.service_id, _NO_HOSTS)
        if request.may_run_in(self._place.region_id):
            return service
        return _HostsByDistance([], [], service.far)

    def _by_distance(self, live: Hosts) -> _HostsByDistance:
        regional = [
            item
            for item in live
            if item.place.region_id == self._place.region_id
        ]
        return _HostsByDistance(
            near=[item for item in regional if item.place == self._place],
            region=regional,
            far=[
                item
                for item in live
                if item.place.region_id != self._place.region_id
            ],
        )

    def _health_of(self, host_id: str) -> host_health.HostHealth:
        health = self._health.get(host_id)
        if health is None:
            health = self._health[host_id] = host_health.HostHealth()
        return health

    def _draw_available(
        self,
        service: _HostsByDistance,
        request: routing.RoutingRequest,
        now: float,
    ) -> host.Host | None:
        """Draw two hosts without filtering the whole list first.

        :return: the better one, or ``None`` if either is unavailable.
        """
        if not service.region:
            return None
        first = self._source.choice(service.near or service.region)
        second = self._source.choice(service.region)
        pair = [first, second]
        available = self._admitting(
            self._available(pair, request, now), request, now
        )
        if len(available) < len(pair):
            return None
        return self._less_loaded(first, second, request, now)

    def _available(
        self, hosts: Hosts, request: routing.RoutingRequest, now: float
    ) -> Hosts:
        return [
            item
            for item in hosts
            if request.fits(item)
            and self._health_of(item.host_id).available(now)
        ]

    def _admitting(
        self, hosts: Hosts, request: routing.RoutingRequest, now: float
    ) -> Hosts:
        return [
            item
            for item in hosts
            if request.admits(
                self._levels.level(item.host_id, request.route_id, now)
            )
        ]

    def _choose_far(
        self,
        regional: Hosts,
        far: Hosts,
        request: routing.RoutingRequest,
        now: float,
    ) -> routing.Choice:
        admitting = self._admitting(far, request, now)
        affordable = [
            item
            for item in admitting
            if self._links.allows(
                item.place.region_id,
                request.size_bytes,
                request.priority,
                now,
            )
        ]
        if affordable:
            return routing.Chosen(self._draw([], affordable, request, now))
        if admitting:
            return routing.Unavailable(
                results.LINK_BUDGET_SPENT, LINK_RETRY_AFTER_MS
            )
        if regional or far:
            return routing.Unavailable(
                results.SHED_AT_ENTRY, SHED_RETRY_AFTER_MS
            )
        live = self._live.get(request.service_id, [])
        return routing.Unavailable(
            routing.absence(live, request, self._evacuated),
            routing.ABSENT_RETRY_AFTER_MS,
        )

    def _draw(
        self,
        near: Hosts,
        hosts: Hosts,
        request: routing.RoutingRequest,
        now: float,
    ) -> host.Host:
        first = self._source.choice(near or hosts)
        second = self._source.choice(hosts)
        return self._less_loaded(first, second, request, now)

    def _less_loaded(
        self,
        first: host.Host,
        second: host.Host,
        request: routing.RoutingRequest,
        now: float,
    ) -> host.Host:
        if first is second:
            return first
        other_cost = self._cost(second, request, now)
        if other_cost < self._cost(first, request, now):
            return second
        return first

    def _cost(
        self, item: host.Host, request: routing.RoutingRequest, now: float
    ) -> float:
        health = self._health_of(item.host_id)
        cost = health.in_flight + health.failures(now) * FAILURE_COST_CALLS
        if item.place != self._place:
            cost += DISTANCE_COST_CALLS
        level = self._levels.level(item.host_id, request.route_id, now)
        return cost + shedding.routing_cost(level)
