"""Records of the requests, arrivals and faults of a soak run."""

import contextlib
import dataclasses
import json
import pathlib
import time
import typing as t

# How long upstreams are cold after a start during traffic, and what they
# tolerate meanwhile: requests per second, factor on that and further requests.
COLD_START_S = 3.0
COLD_PER_S = 6.5
COLD_OVERAGE = 1.5
COLD_SLACK = 8.0
# Suffix of the routes for long work, one of each service, and the time-outs
# of the routes in seconds. Long work may outlast the grace period of a stop.
LONG = "-long"
LONG_TIMEOUT_S = 8.0
TIMEOUT_S = 2.0


def route_timeout_s(route: str) -> float:
    """Return the time-out of a route in seconds.

    :param route: name of the route, the first segment of its paths.
    """
    return LONG_TIMEOUT_S if route.endswith(LONG) else TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class Sent:
    """A finished request of a caller, or a finished call of an upstream.

    :param name: identifier of the request.
    :param at: Unix time at which it was sent, in seconds.
    :param host: address of the node that it was sent to.
    :param service: service that the request was routed to.
    :param idempotent: whether it may run more than once.
    :param key: API key that it carried, empty for calls of upstreams.
    :param status: status of the response, 0 without a response.
    :param body: body of the response.
    :param signature: signature header that the upstream set, empty if
        the response is not from an upstream.
    :param ended: Unix time of the response or failure, in seconds.
    :param left_s: timeout of the sender, in seconds.
    :param end: outcome, a value of ``soak_client.End``.
    :param parent: index of the arrival whose run made this call, ``None``
        for requests of callers.
    :param start: incarnation of the upstream that responded.
    :param limited: whether the response advertises a rate limit.
    :param leaving: whether the response advertises that the upstream is
        draining.
    """

    name: str
    at: float
    host: str
    service: str
    idempotent: bool
    key: str
    status: int
    body: bytes
    signature: str
    ended: float
    left_s: float
    end: str
    parent: int | None = None
    start: str = ""
    limited: bool = False
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request received by an upstream.

    :param at: Unix time of receipt, in seconds.
    :param host: address of the upstream's node.
    :param instance: instance identifier of the upstream.
    :param ran: whether the upstream started to run the request.
    :param headers: request headers that the upstream received.
    :param start: incarnation of the upstream, empty if the request was
        meant for another instance.
    """

    name: str
    at: float
    service: str
    host: str
    instance: str
    ran: bool
    headers: t.Mapping[str, str]
    start: str = ""


@dataclasses.dataclass(frozen=True)
class RunEnd:
    """The end of a request's run at an upstream.

    :param at: Unix time, in seconds.
    :param status: status of the response, 0 without a response.
    :param broke: whether the run was aborted or its response damaged.
    """

    at: float
    status: int
    broke: bool


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault or planned operation that was applied to the mesh.

    :param kind: name of the fault.
    :param host: address of the affected host's node, empty for all hosts.
    :param group: group of the fault, such as ``store`` or ``planned``.
    :param at: Unix time of its start, in seconds.
    :param until: Unix time of its end, in seconds.
    """

    kind: str
    host: str
    group: str
    at: float
    until: float


@dataclasses.dataclass(frozen=True)
class AdvertisedLimit:
    """A rate limit that an upstream has advertised in its responses.

    :param start: incarnation of the upstream.
    :param at: Unix time from which it was advertised, in seconds.
    :param until: Unix time at which it was withdrawn or changed.
    """

    start: str
    limit_per_s: float
    at: float
    until: float


@dataclasses.dataclass(frozen=True)
class Confinement:
    """A time in which requests may not reach some hosts' upstreams.

    :param service: the route that is confined, empty for all.
    :param hosts: addresses of the nodes beside the excluded upstreams.
    :param at: Unix time at which the store had it, in seconds.
    :param until: Unix time from which it no longer held.
    :param reaction_s: time within which all hosts comply, in seconds.
    """

    service: str
    hosts: frozenset[str]
    at: float
    until: float
    reaction_s: float


@dataclasses.dataclass(frozen=True)
class ColdSpell:
    """A start of an upstream during traffic.

    :param start: its incarnation.
    :param until: Unix time at which it is warm, in seconds.
    """

    start: str
    until: float


@dataclasses.dataclass
class Record:
    """Everything recorded in a soak run.

    :param organisations: organisation by API key.
    :param sent: finished requests and calls.
    :param arrivals: requests received by upstreams, in order of time.
    :param run_ends: ends of runs by index of the arrival.
    :param faults: faults and planned operations.
    :param allowed_since: Unix time at which the store had the first version
        with a route, 0 if all versions have it, by name of the route.
    :param key_revoked_at: Unix time of the revocation, by API key.
    :param draining_since: Unix time at which the store's host list showed
        an upstream as draining or removed, by incarnation.
    :param advertised_limits: rate limits that upstreams advertised.
    :param cold_spells: starts of upstreams during traffic.
    :param confinements: evacuations, and homes of routes.
    :param unexpected_exits: hosts whose node exited without a signal to
        stop.
    :param node_errors: lines that nodes logged as errors.
    :param peak_memory_bytes: peak resident memory of the node, by host.
    """

    organisations: dict[str, str]
    sent: list[Sent] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    run_ends: dict[int, RunEnd] = dataclasses.field(default_factory=dict)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    allowed_since: dict[str, float] = dataclasses.field(default_factory=dict)
    key_revoked_at: dict[str, float] = dataclasses.field(default_factory=dict)
    draining_since: dict[str, float] = dataclasses.field(default_factory=dict)
    advertised_limits: list[AdvertisedLimit] = dataclasses.field(
        default_factory=list
    )
    cold_spells: list[ColdSpell] = dataclasses.field(default_factory=list)
    confinements: list[Confinement] = dataclasses.field(default_factory=list)
    unexpected_exits: list[str] = dataclasses.field(default_factory=list)
    node_errors: list[str] = dataclasses.field(default_factory=list)
    peak_memory_bytes: dict[str, int] = dataclasses.field(default_factory=dict)

    @contextlib.contextmanager
    def fault(
        self, kind: str, host: str, group: str
    ) -> t.Generator[None, None, None]:
        """Record a fault that lasts as long as the block."""
        began = time.time()
        try:
            yield
        finally:
            self.faults.append(Fault(kind, host, group, began, time.time()))

    def write(self, path: pathlib.Path) -> None:
        """Write requests, arrivals and faults as JSON lines, by time."""
        seen = [*self.sent, *self.arrivals, *self.faults]
        numbers = {id(item): i for i, item in enumerate(self.arrivals)}
        with path.open("w") as file:
            for item in sorted(seen, key=lambda item: item.at):
                line = {"what": type(item).__name__}
                line |= dataclasses.asdict(item)
                ended = self.run_ends.get(numbers.get(id(item), -1))
                if ended is not None:
                    line["end"] = dataclasses.asdict(ended)
                file.write(json.dumps(line, default=repr) + "\n")
