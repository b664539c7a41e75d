"""Routing table, organisations and upstream instances of the data plane.

The data plane uses these types instead of :mod:`.configuration`. They are
indexed for the look-ups that each request needs.
"""

import dataclasses
import typing as t

from . import ranges

# More slots are an error of the entry; its share of requests would be all.
SLOTS_MAX = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Cluster:
    """A weighted destination of a route's traffic.

    :param service: the service that receives the traffic.
    :param weight: share of the traffic, relative to the route's other
        clusters.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route selected by host name and path prefix.

    :param name: the identifier.
    :param host: value of the ``Host`` header that selects the route, in
        lower case.
    :param prefix: the path prefix, with slashes at both ends.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time until a request is answered.
    :param objective_s: target latency of a request.
    :param priority: rank of the route's requests, 0 is the most urgent.
    :param clusters: weighted destinations of its requests.
    :param attempts: maximum number of upstreams that one request is sent to,
        the first one included.
    :param open_to_all: whether requests need no key.
    :param homes: regions in which its requests may be served, empty for all.
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
    homes: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers authenticate with API keys.

    :param name: the identifier, which is also sent to upstreams.
    :param priority: rank that overrides the route's, ``None`` to keep the
        route's.
    :param rate_per_s: permitted requests per second over all hosts, 0 for no
        limit.
    :param burst: requests that may exceed the rate at once.
    :param homes: regions in which its requests may be served, empty for all.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    homes: frozenset[str] = frozenset()


def permitted_regions(
    route_homes: frozenset[str], organisation_homes: frozenset[str]
) -> frozenset[str] | None:
    """Return the regions in which a request may be served.

    :param route_homes: homes of its route, empty for all regions.
    :param organisation_homes: homes of its organisation, empty for all.
    :return: ``None`` for all regions; empty if the two exclude each other.
    """
    if not route_homes or not organisation_homes:
        return route_homes or organisation_homes or None
    return route_homes & organisation_homes


@dataclasses.dataclass(frozen=True, slots=True)
class ColdTerms:
    """What the upstreams of a service tolerate while they are cold.

    :param start_s: how long an upstream is cold after its start, in seconds.
    :param per_s: requests per second that it tolerates meanwhile, 0 for no
        limit.
    """

    start_s: float
    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size and time limits of callers' requests.

    :param header_bytes: maximum size of the request line and headers.
    :param body_bytes: maximum size of the body.
    :param header_timeout_s: maximum time from the first byte to the end of
        the headers.
    :param idle_timeout_s: maximum time between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 26
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Catalog:
    """One version of the configuration, indexed for look-ups.

    :param version: number of the configuration.
    :param routes: all routes.
    :param organisations: organisations by API key.
    :param limits: size and time limits of callers' requests.
    :param keyed: whether requests need an API key at all.
    :param health_paths: path of the health check by service.
    :param cold_terms: what cold upstreams tolerate, by service.
    :param services: further services than those that routes name.
    """

    __slots__ = (
        "_by_host",
        "_keys",
        "cold_terms",
        "health_paths",
        "keyed",
        "limits",
        "routes",
        "services",
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
        cold_terms: t.Mapping[str, ColdTerms] = {},  # noqa: B006, not changed
        services: t.Iterable[str] = (),
    ) -> None:
        self.version = version
        self.limits = limits
        self.keyed = keyed
        self.health_paths = health_paths
        self.cold_terms = cold_terms
        self.routes = {route.name: route for route in routes}
        self.services = frozenset(services).union(
            cluster.service
            for route in self.routes.values()
            for cluster in route.clusters
        )
        self._keys = organisations
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes.values():
            known = self._by_host.setdefault(route.host, {})
            known[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host name with the longest matching prefix."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only those positions can match.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that an API key belongs to."""
        return self._keys.get(key)

    def organisations(self) -> dict[str, Organisation]:
        """Return all organisations by name."""
        return {item.name: item for item in self._keys.values()}


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One run of an upstream process, read from its store entry.

    :param instance_id: the identifier, usually new for each run.
    :param service: the service that it provides.
    :param address: IP address of its host.
    :param port: the upstream's own port.
    :param data_centre: the data centre of its host.
    :param slots: maximum number of requests that it processes at once.
    :param ready: whether it accepts new requests.
    :param cold_s: remaining warm-up time in seconds, during which it is slow.
    :param created_revision: revision of the store at which the entry was
        created.
    :param started_ms: start time that the upstream reports, in milliseconds;
        0 if it reports none.
    :param sequence: number of the upstream's heartbeat that wrote the entry,
        from its start; 0 if it reports none.
    """

    instance_id: str
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    ready: bool
    cold_s: float
    created_revision: int = 0
    started_ms: int = 0
    sequence: int = 0

    @property
    def key(self) -> str:
        """Its identifier in the list of entries."""
        return self.instance_id


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's request to send nothing to a data centre's upstreams.

    :param key: its identifier in the list of entries.
    :param data_centre: the data centre.
    """

    key: str
    data_centre: str


# An entry of the list that hosts read from the store and exchange.
Entry = Instance | Evacuation


def entry_from_fields(fields: t.Sequence[t.Any]) -> Entry:
    """Return the entry with these fields, in the order of its class.

    :raises TypeError: if no entry has this number of fields.
    :raises ValueError: if a field has a value that no entry can have.
    """
    if len(fields) == len(_FIELD_TYPES[Evacuation]):
        return checked(Evacuation(*fields))
    return checked(Instance(*fields))


def checked(entry: Entry) -> Entry:
    """Return an entry whose fields other hosts and sockets accept.

    :raises ValueError: if one does not; the message names it.
    """
    for name, expected in _FIELD_TYPES[type(entry)]:
        value = getattr(entry, name)
        if not (isinstance(value, expected) and ranges.carried(value)):
            raise ValueError(f"{name} can't be used: {value!r:.80}")
    if isinstance(entry, Instance):
        # Sockets encode host names this way.
        entry.address.encode("idna")
        if not 0 < entry.port <= ranges.PORT_MAX:
            raise ValueError(f"no port: {entry.port!r:.80}")
        if not 0 < entry.slots <= SLOTS_MAX:
            raise ValueError(f"slots out of range: {entry.slots!r:.80}")
        if not 0.0 <= entry.cold_s <= ranges.DURATION_MAX_S:
            raise ValueError(f"cold_s out of range: {entry.cold_s!r:.80}")
    if not entry.key:
        raise ValueError("the identifier is empty")
    return entry


# Types of the fields by name; whole numbers are durations too.
_FIELD_TYPES: dict[type, list[tuple[str, t.Any]]] = {
    kind: [
        (field.name, (float, int) if field.type is float else field.type)
        for field in dataclasses.fields(kind)
    ]
    for kind in (Instance, Evacuation)
}


def split_entries(
    entries: t.Mapping[str, Entry],
) -> tuple[dict[str, Instance], frozenset[str]]:
    """Return the upstreams by identifier, and the evacuated data centres."""
    instances: dict[str, Instance] = {}
    evacuated = set()
    for name, item in entries.items():
        if isinstance(item, Evacuation):
            evacuated.add(item.data_centre)
        else:
            instances[name] = item
    return instances, frozenset(evacuated)


def latest_instances(
    instances: t.Mapping[str, Instance],
) -> dict[str, Instance]:
    """Return the latest instance for each service, address and port.

    The entry of an upstream that crashed stays in the store for some
    seconds, during which the next instance at the same address may already
    have registered.
    """
    latest: dict[tuple[str, str, int], Instance] = {}
    for item in instances.values():
        place = (item.service, item.address, item.port)
        known = latest.get(place)
        if known is None or known.created_revision < item.created_revision:
            latest[place] = item
    return {item.instance_id: item for item in latest.values()}
