"""A recorded trace: a header line, then one line for each arrival."""

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

    :param gate_id: its host.
    :param service_id: the service of its upstream.
    :param slots: published slots.
    :param connections: published connections.
    """

    gate_id: str
    service_id: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route and the services that a request on it passes through.

    :param route_id: the identifier.
    :param priority: its class.
    :param idempotent: whether a repetition is harmless.
    :param timeout_s: time that an attempt of a caller may take.
    :param services: the called service, then the one below, and so on.
    """

    route_id: str
    priority: route.Priority
    idempotent: bool
    timeout_s: float
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation of the trace.

    :param weight: its share when capacity is short.
    :param rate_per_s: the rate of its contract.
    """

    weight: float
    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """How callers react to a failure.

    :param resends: how often a failed request is sent again.
    :param wait_s: pause before it is sent again.
    :param obeys: whether the pause is at least the stated retry-after.
    """

    resends: int
    wait_s: float
    obeys: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """What befalls an upstream for a time.

    :param kind: ``slow`` multiplies service times, ``cold`` multiplies
        them by a factor that falls to 1, ``down`` breaks running calls and
        refuses new ones, ``report`` makes its load reports misleading.
    :param gate_id: the upstream's gate.
    :param from_s: when it begins.
    :param until_s: when it ends.
    :param factor: by how much service times are multiplied.
    :param healthy: what a misleading report says about its health.
    """

    kind: str
    gate_id: str
    from_s: float
    until_s: float
    factor: float
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A stretch of the trace in seconds."""

    from_s: float
    until_s: float

    @property
    def length_s(self) -> float:
        """Its length."""
        return self.until_s - self.from_s


@dataclasses.dataclass(frozen=True, slots=True)
class Stated:
    """A stated outcome.

    :param figure: name of a figure.
    :param at_least: the least that is accepted, if any.
    :param at_most: the most that is accepted, if any.
    """

    figure: str
    at_least: float | None
    at_most: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """The first line of a trace.

    :param name: what the trace is called.
    :param made_by: the command that made it.
    :param commit: the commit of that command.
    :param source: ``recorded`` by a node of a live run, or ``generated``.
    :param delay_s: one-way delay between callers and nodes.
    :param bottleneck: the service whose capacity bounds the goodput.
    :param trigger: when the disturbance acts.
    :param measure: during which goodput and shares are measured.
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
    outcomes: tuple[Stated, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request as its caller first sent it.

    :param at_s: when it reached the entry.
    :param organisation_id: the caller's organisation.
    :param route: its route.
    :param client: how the caller reacts to failures.
    :param root: identifies the request in the trace.
    :param hang_up_s: when the caller gives up, infinite if never.
    :param service_s: service time at each service of the route.
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
    """A trace that can't be replayed.

    :param line: the first faulty line, counted from 1.
    :param text: what is wrong with it.
    """

    line: int
    text: str
