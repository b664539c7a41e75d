"""A recorded trace: a header line, then one line for each arrival."""

import dataclasses
import json
import pathlib
import typing as t

from .. import fields
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


def load(path: pathlib.Path) -> Trace | Malformed:
    """Read a trace file."""
    try:
        lines = path.read_text("utf-8").splitlines()
    except OSError as error:
        return Malformed(0, error.strerror or type(error).__name__)
    except ValueError:
        return Malformed(0, "is not encoded in UTF-8")
    return parse(lines)


def parse(lines: t.Sequence[str]) -> Trace | Malformed:
    """Turn the lines of a trace into a trace."""
    if not lines:
        return Malformed(1, "the header is missing")
    faults: list[fields.Fault] = []
    try:
        header = _read_header(json.loads(lines[0]), faults)
    except ValueError as error:
        return Malformed(1, f"is not JSON: {error}")
    if faults:
        return Malformed(1, "; ".join(str(fault) for fault in faults))
    arrivals: list[Arrival] = []
    for number, line in enumerate(lines[1:], 2):
        try:
            arrivals.append(_read_arrival(line, header))
        except (KeyError, TypeError, ValueError) as error:
            return Malformed(number, f"{type(error).__name__}: {error}")
        if len(arrivals) > 1 and arrivals[-1].at_s < arrivals[-2].at_s:
            return Malformed(number, "goes back in time")
    return Trace(header, tuple(arrivals))


def _read_header(value: t.Any, faults: list[fields.Fault]) -> Header:
    root = fields.Section(value, "", faults)
    root.number("format", int, FORMAT, FORMAT)
    if tuple(root.strings("columns", [])) != COLUMNS:
        root.fault("columns", f"must be {', '.join(COLUMNS)}")
    gates = {
        name: _read_gate(name, section)
        for name, section in root.children("gates").items()
    }
    services = {item.service_id for item in gates.values()}
    header = Header(
        name=root.take("name", str),
        made_by=root.take("made_by", str),
        commit=root.take("commit", str),
        source=root.text(
            "source",
            ("recorded", "generated").__contains__,
            "must be recorded or generated",
        ),
        delay_s=root.number("delay_ms", float, 0.0, 1_000.0) / 1000,
        bottleneck=root.text(
            "bottleneck", services.__contains__, "names no service"
        ),
        trigger=_read_span(root.child("trigger")),
        measure=_read_span(root.child("measure")),
        gates=gates,
        routes={
            name: _read_route(name, section, services)
            for name, section in root.children("routes").items()
        },
        organisations={
            name: _read_organisation(section)
            for name, section in root.children("organisations").items()
        },
        clients={
            name: _read_client(section)
            for name, section in root.children("clients").items()
        },
        conditions=tuple(
            _read_condition(section, gates)
            for section in root.children("conditions").values()
        ),
        outcomes=tuple(
            _read_stated(name, section)
            for name, section in root.children("outcomes").items()
        ),
    )
    root.finish()
    return header


def _read_gate(name: str, section: fields.Section) -> Gate:
    gate = Gate(
        gate_id=name,
        service_id=section.take("service", str),
        slots=section.number("slots", int, 1, 100_000),
        connections=section.number("connections", int, 1, 100_000),
    )
    section.finish()
    return gate


def _read_route(
    name: str, section: fields.Section, services: set[str]
) -> Route:
    called = section.strings("services")
    if not called or not services.issuperset(called):
        section.fault("services", "must name services of the trace")
    found = Route(
        route_id=name,
        priority=section.choice("priority", PRIORITIES),
        idempotent=section.take("idempotent", bool, True),
        timeout_s=section.number("timeout_ms", int, 1, 60_000) / 1000,
        services=tuple(called),
    )
    section.finish()
    return found


def _read_organisation(section: fields.Section) -> Organisation:
    organisation = Organisation(
        weight=section.number("weight", float, 1e-3, 1e6, 1.0),
        rate_per_s=section.number("rate_per_s", float, 0.0, 1e9),
    )
    section.finish()
    return organisation


def _read_client(section: fields.Section) -> Client:
    client = Client(
        resends=section.number("resends", int, 0, 1_000),
        wait_s=section.number("wait_ms", float, 0.0, 1e6) / 1000,
        obeys=section.take("obeys", bool),
    )
    section.finish()
    return client


def _read_condition(
    section: fields.Section, gates: t.Mapping[str, Gate]
) -> Condition:
    condition = Condition(
        kind=section.text("kind", CONDITIONS.__contains__, "is unknown"),
        gate_id=section.text("gate", gates.__contains__, "names no gate"),
        from_s=section.number("from_s", float, 0.0, 1e6),
        until_s=section.number("until_s", float, 0.0, 1e6),
        factor=section.number("factor", float, 1.0, 1e3, 1.0),
        healthy=section.take("healthy", bool, True),
    )
    section.finish()
    return condition


def _read_span(section: fields.Section) -> Span:
    span = Span(
        from_s=section.number("from_s", float, 0.0, 1e6),
        until_s=section.number("until_s", float, 0.0, 1e6),
    )
    if span.length_s <= 0:
        section.fault("until_s", "must come after from_s")
    section.finish()
    return span


def _read_stated(name: str, section: fields.Section) -> Stated:
    stated = Stated(
        figure=name,
        at_least=section.take("at_least", float, None),
        at_most=section.take("at_most", float, None),
    )
    section.finish()
    return stated


def _read_arrival(line: str, header: Header) -> Arrival:
    at_ms, organisation, route_id, client, root, hang_up_ms, service_ms = (
        json.loads(line)
    )
    if organisation not in header.organisations:
        raise KeyError(organisation)
    found = header.routes[route_id]
    service_s = tuple(float(item) / 1000 for item in service_ms)
    if len(service_s) != len(found.services) or min(service_s) <= 0:
        raise ValueError("service_ms must fit the route's services")
    return Arrival(
        at_s=float(at_ms) / 1000,
        organisation_id=organisation,
        route=found,
        client=header.clients[client],
        root=int(root),
        hang_up_s=hang_up_ms / 1000 if hang_up_ms else float("inf"),
        service_s=service_s,
    )
