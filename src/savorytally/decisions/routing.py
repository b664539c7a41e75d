"""Interface of the routing policies, and the baseline policy.

A routing policy chooses the host that runs a call.
"""

import dataclasses
import random
import typing as t

from .. import registry
from .. import results
from ..world import configuration
from ..world import host
from ..world import region
from ..world import route

LEVEL_UNKNOWN = -1
# Time until a caller may ask again that has no host for its homes or for an
# evacuation; operators change both by hand.
ABSENT_RETRY_AFTER_MS = 1_000


def admits_all(level: int) -> bool:
    """Admit a call at any shed level."""
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a call that routing depends on.

    :param service_id: the called service.
    :param route_id: the called route.
    :param priority: the priority class of the root request's route.
    :param admits: returns whether a shed level admits the call.
    :param size_bytes: bytes that it is expected to move over a link.
    :param tried: hosts of earlier attempts at this call.
    :param regions: regions in which it may run, ``None`` for all.
    :param refuses: returns whether a host is expected to refuse the call
        because its data centre is evacuated, ``None`` if none is.
    """

    service_id: str
    route_id: str
    priority: route.Priority
    admits: t.Callable[[int], bool] = admits_all
    size_bytes: int = 0
    tried: frozenset[str] = frozenset()
    regions: frozenset[str] | None = None
    refuses: t.Callable[[host.Host], bool] | None = None

    def may_run_in(self, region_id: str) -> bool:
        """Return whether the call may run in a region."""
        return self.regions is None or region_id in self.regions

    def fits(self, item: host.Host) -> bool:
        """Return whether the call may be sent to a host now."""
        if item.host_id in self.tried:
            return False
        if not self.may_run_in(item.place.region_id):
            return False
        return self.refuses is None or not self.refuses(item)


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The host to send the call to."""

    host: host.Host


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """There is no host to send the call to.

    :param code: a result code of the *not run* range.
    :param retry_after_ms: time until a host may be available.
    """

    code: results.ResultCode
    retry_after_ms: int


Choice = Chosen | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a call.

    :param host_id: the called host.
    :param route_id: the called route.
    :param ok: whether the result shows no failure of the host; a refusal by
        the gate is none.
    :param level: shed level received with the result, or ``LEVEL_UNKNOWN``.
    :param took_s: time from sending the call to the result.
    :param size_bytes: bytes that the call moved over a link.
    """

    host_id: str
    route_id: str
    ok: bool
    level: int
    took_s: float
    size_bytes: int = 0


class Routing(t.Protocol):
    """Chooses hosts, based on the results of earlier calls."""

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply links and evacuations in a newer configuration."""

    def learn_hosts(
        self, hosts: t.Mapping[str, host.Host], now: float
    ) -> None:
        """Replace the hosts that may be chosen."""

    def choose(self, request: RoutingRequest, now: float) -> Choice:
        """Return the host to call, or the reason why there is none."""

    def sent(self, host_id: str, now: float) -> None:
        """Record that a call was sent to the host."""

    def done(self, result: Result, now: float) -> None:
        """Record the result of a call."""

    def route_level(self, called: route.Route, now: float) -> int:
        """Return the lowest shed level for a route among its hosts."""


RoutingFactory = t.Callable[[region.Place, random.Random], Routing]

policies: registry.Registry[RoutingFactory] = registry.Registry(
    "routing policy"
)


def group_live(
    hosts: t.Mapping[str, host.Host],
) -> dict[str, list[host.Host]]:
    """Return the live hosts by service, sorted by identifier."""
    groups: dict[str, list[host.Host]] = {}
    for item in sorted(hosts.values(), key=lambda item: item.host_id):
        if item.live:
            groups.setdefault(item.service_id, []).append(item)
    return groups


def absence(
    live: t.Sequence[host.Host],
    request: RoutingRequest,
    evacuated: frozenset[region.Place],
) -> results.ResultCode:
    """Return the result code of a call that no host can be sent.

    :param live: the live hosts of its service.
    :param evacuated: the evacuated data centres.
    """
    at_home = [
        item for item in live if request.may_run_in(item.place.region_id)
    ]
    if live and not at_home:
        return results.NOT_AT_HOME
    refuses = request.refuses or (lambda item: False)
    if at_home and all(
        item.place in evacuated or refuses(item) for item in at_home
    ):
        return results.DATA_CENTRE_EVACUATED
    return results.NO_HOST


@policies.register("random")
class RandomRouting:
    """Baseline: a random live host of the service that was not tried yet.

    :param place: region and data centre of this node; not used.
    :param source: seeded random number generator.
    """

    def __init__(self, place: region.Place, source: random.Random) -> None:
        self._source = source
        self._by_service: dict[str, list[host.Host]] = {}
        self._evacuated: frozenset[region.Place] = frozenset()

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply evacuations; the baseline has no link budget."""
        self._evacuated = version.evacuated

    def learn_hosts(
        self, hosts: t.Mapping[str, host.Host], now: float
    ) -> None:
        """Group the live hosts by service."""
        self._by_service = group_live(hosts)

    def choose(self, request: RoutingRequest, now: float) -> Choice:
        """Return one of the hosts with equal probability."""
        live = self._by_service.get(request.service_id, [])
        fit = [
            item
            for item in live
            if item.place not in self._evacuated and request.fits(item)
        ]
        if not fit:
            code = absence(live, request, self._evacuated)
            return Unavailable(code, ABSENT_RETRY_AFTER_MS)
        return Chosen(self._source.choice(fit))

    def sent(self, host_id: str, now: float) -> None:
        """Do nothing; the baseline keeps no state of hosts."""

    def done(self, result: Result, now: float) -> None:
        """Do nothing; the baseline keeps no state of hosts."""

    def route_level(self, called: route.Route, now: float) -> int:
        """Return 0; the baseline stores no shed levels."""
        return 0
