"""Types of a recorded trace: a header line and one line per arrival."""

import dataclasses
import typing as t

from ..world import route

FORMAT = 1
COLUMNS = (
    "at_ms",
    "organisation",
    "route",
    "client",
    "root",
    "hang_up_ms",
    "service_ms",
)

PRIORITIES = {item.name.lower(): item for item in route.Priority}
CONDITIONS = ("slow", "cold", "down", "report")


@dataclasses.dataclass(frozen=True, slots=True)
class Gate:
    """A gate and the upstream behind it.

    :param gate_id: identifier of the gate's host.
    :param service_id: the service of its upstream.
    :param slots: configured number of slots of the upstream.
    :param connections: configured number of connections of the upstream.
    """

    gate_id: str
    service_id: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route and the chain of services that its requests pass.

    :param route_id: the identifier.
    :param priority: the priority class.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: timeout of each sending by a caller.
    :param services: the services of the chain in order of calls.
    """

    route_id: str
    priority: route.Priority
    idempotent: bool
    timeout_s: float
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation of the trace.

    :param weight: relative share of capacity under overload.
    :param rate_per_s: rate limit of its contract.
    """

    weight: float
    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Retry behaviour of callers.

    :param resends: maximum number of times that a failed request is resent.
    :param wait_s: pause before a request is resent.
    :param obeys: whether the pause is at least the retry-after time of the
        failure.
    """

    resends: int
    wait_s: float
    obeys: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A disturbance of an upstream for a time.

    :param kind: ``slow`` multiplies service times, ``cold`` multiplies them
        by a factor that decreases to 1, ``down`` breaks running calls and
        refuses new ones, ``report`` falsifies the load reports.
    :param gate_id: the upstream's gate.
    :param from_s: time at which the condition begins.
    :param until_s: time at which the condition ends.
    :param factor: factor of the service times.
    :param healthy: health that a falsified load report states.
    """

    kind: str
    gate_id: str
    from_s: float
    until_s: float
    factor: float
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time span of the trace in seconds."""

    from_s: float
    until_s: float

    @property
    def length_s(self) -> float:
        """Length of the span in seconds."""
        return self.until_s - self.from_s


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedOutcome:
    """An expected outcome of a replay.

    :param figure: name of the figure.
    :param at_least: least accepted value, if any.
    :param at_most: greatest accepted value, if any.
    """

    figure: str
    at_least: float | None
    at_most: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """The first line of a trace.

    :param name: name of the trace.
    :param made_by: command that created the trace.
    :param commit: commit of that command.
    :param source: ``recorded`` by a node of a live run, or ``generated``.
    :param delay_s: one-way network delay of a call.
    :param bottleneck: the service whose capacity limits the goodput.
    :param trigger: time span of the disturbance.
    :param measure: time span in which goodput and shares are measured.
    :param gates: gates by identifier.
    :param routes: routes by identifier.
    :param organisations: organisations by identifier.
    :param clients: kinds of callers by name.
    :param conditions: disturbances of upstreams.
    :param outcomes: expected outcomes of a replay with all policies on.
    """

    name: str
    made_by: str
    commit: str
    source: str
    delay_s: float
    bottleneck: str
    trigger: Span
    measure: Span
    gates: t.Mapping[str, Gate]
    routes: t.Mapping[str, Route]
    organisations: t.Mapping[str, Organisation]
    clients: t.Mapping[str, Client]
    conditions: tuple[Condition, ...]
    outcomes: tuple[ExpectedOutcome, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """The first arrival of a caller's request.

    :param at_s: time of the arrival at the entry.
    :param organisation_id: the caller's organisation.
    :param route: the request's route.
    :param client: retry behaviour of the caller.
    :param root: identifier of the request in the trace.
    :param hang_up_s: time from the arrival until the caller disconnects,
        infinite if it does not.
    :param service_s: service time at each service of the chain.
    """

    at_s: float
    organisation_id: str
    route: Route
    client: Client
    root: int
    hang_up_s: float
    service_s: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace."""

    header: Header
    arrivals: tuple[Arrival, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A malformed trace file.

    :param line: number of the first malformed line, counted from 1; 0 if
        the file can't be read.
    :param text: description of the fault.
    """

    line: int
    text: str
