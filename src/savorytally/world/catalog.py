"""What a mesh publishes: routes by host and prefix, callers and upstreams.

The data plane reads these instead of :mod:`.configuration`; they hold what
a request needs in the shape in which it is looked up.
"""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Cluster:
    """One part of a route's traffic.

    :param service: the service that takes it.
    :param weight: its share in proportion to the other parts' weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of a host name.

    :param name: its identifier.
    :param host: the ``Host`` header it is selected by, lower case.
    :param prefix: the path prefix, with slashes at both ends.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time that a request is kept waiting.
    :param objective_s: time within which an answer is worth most.
    :param priority: rank, 0 is the most urgent.
    :param clusters: where its requests go.
    :param attempts: upstreams that one request may be sent to.
    :param open_to_all: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    clusters: tuple[Cluster, ...]
    attempts: int
    open_to_all: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers present keys.

    :param name: what upstreams are told.
    :param priority: rank that goes before the route's, ``None`` for none.
    :param rate_per_s: requests a second over all hosts, 0 for no limit.
    :param burst: requests beyond the rate at once.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send and how long it may take.

    :param header_bytes: request line and headers.
    :param body_bytes: the whole body.
    :param header_timeout_s: from the first byte to the end of the headers.
    :param idle_timeout_s: between requests of one connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 26
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Catalog:
    """One version of the configuration, arranged for look-ups.

    :param version: its number.
    :param routes: all routes.
    :param organisations: organisations by key.
    :param limits: limits of callers' requests.
    :param keyed: whether requests need a key at all.
    :param health_paths: path of the health question by service.
    """

    __slots__ = (
        "_by_host",
        "_keys",
        "health_paths",
        "keyed",
        "limits",
        "routes",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: t.Iterable[Route],
        organisations: t.Mapping[str, Organisation],
        limits: RequestLimits,
        keyed: bool,
        health_paths: t.Mapping[str, str] = {},  # noqa: B006, not changed
    ) -> None:
        self.version = version
        self.limits = limits
        self.keyed = keyed
        self.health_paths = health_paths
        self.routes = {route.name: route for route in routes}
        self._keys = organisations
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes.values():
            known = self._by_host.setdefault(route.host, {})
            known[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so that only those places count.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._keys.get(key)

    def organisations(self) -> dict[str, Organisation]:
        """Return all organisations by name."""
        return {item.name: item for item in self._keys.values()}


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One start of an upstream, as its entry tells.

    :param instance_id: its identifier, mostly new with each start.
    :param service: the service that it runs.
    :param address: IP number of its host.
    :param port: the upstream's own port.
    :param data_centre: where it stands.
    :param slots: requests that it works on at once.
    :param ready: whether it takes new work.
    :param cold_s: how much longer it is slow after its start.
    :param listed_at: place in the order of all registrations.
    :param born: when it started, in milliseconds; 0 if it does not tell.
    """

    instance_id: str
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    ready: bool
    cold_s: float
    listed_at: int = 0
    born: int = 0


def latest_starts(
    instances: t.Mapping[str, Instance],
) -> dict[str, Instance]:
    """Leave out the starts of upstreams that a later one has followed.

    Entries of upstreams that ended without a word stay for some seconds,
    while the next start at the same address is listed already.
    """
    latest: dict[tuple[str, str, int], Instance] = {}
    for item in instances.values():
        place = (item.service, item.address, item.port)
        known = latest.get(place)
        if known is None or known.listed_at < item.listed_at:
            latest[place] = item
    return {item.instance_id: item for item in latest.values()}
