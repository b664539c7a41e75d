"""Parses trace files and reports the first malformed line."""

import json
import pathlib
import typing as t

from .. import fields
from . import trace


def load(path: pathlib.Path) -> trace.Trace | trace.Malformed:
    """Read and parse a trace file."""
    try:
        lines = path.read_text("utf-8").splitlines()
    except OSError as error:
        return trace.Malformed(0, error.strerror or type(error).__name__)
    except ValueError:
        return trace.Malformed(0, "is not encoded in UTF-8")
    return parse(lines)


def parse(lines: t.Sequence[str]) -> trace.Trace | trace.Malformed:
    """Parse the lines of a trace file."""
    if not lines:
        return trace.Malformed(1, "the header is missing")
    faults: list[fields.Fault] = []
    try:
        header = _read_header(json.loads(lines[0]), faults)
    except ValueError as error:
        return trace.Malformed(1, f"is not JSON: {error}")
    if faults:
        return trace.Malformed(1, "; ".join(str(fault) for fault in faults))
    arrivals: list[trace.Arrival] = []
    for number, line in enumerate(lines[1:], 2):
        try:
            arrivals.append(_read_arrival(line, header))
        except (KeyError, TypeError, ValueError) as error:
            return trace.Malformed(number, f"{type(error).__name__}: {error}")
        if len(arrivals) > 1 and arrivals[-1].at_s < arrivals[-2].at_s:
            return trace.Malformed(number, "goes back in time")
    return trace.Trace(header, tuple(arrivals))


def _read_header(value: t.Any, faults: list[fields.Fault]) -> trace.Header:
    root = fields.Section(value, "", faults)
    root.number("format", int, trace.FORMAT, trace.FORMAT)
    if tuple(root.strings("columns", [])) != trace.COLUMNS:
        root.fault("columns", f"must be {', '.join(trace.COLUMNS)}")
    gates = {
        name: _read_gate(name, section)
        for name, section in root.children("gates").items()
    }
    services = {item.service_id for item in gates.values()}
    header = trace.Header(
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
            _read_expected(name, section)
            for name, section in root.children("outcomes").items()
        ),
    )
    root.reject_unknown()
    return header


def _read_gate(name: str, section: fields.Section) -> trace.Gate:
    gate = trace.Gate(
        gate_id=name,
        service_id=section.take("service", str),
        slots=section.number("slots", int, 1, 100_000),
        connections=section.number("connections", int, 1, 100_000),
    )
    section.reject_unknown()
    return gate


def _read_route(
    name: str, section: fields.Section, services: set[str]
) -> trace.Route:
    called = section.strings("services")
    if not called or not services.issuperset(called):
        section.fault("services", "must name services of the trace")
    found = trace.Route(
        route_id=name,
        priority=section.choice("priority", trace.PRIORITIES),
        idempotent=section.take("idempotent", bool, True),
        timeout_s=section.number("timeout_ms", int, 1, 60_000) / 1000,
        services=tuple(called),
    )
    section.reject_unknown()
    return found


def _read_organisation(section: fields.Section) -> trace.Organisation:
    organisation = trace.Organisation(
        weight=section.number("weight", float, 1e-3, 1e6, 1.0),
        rate_per_s=section.number("rate_per_s", float, 0.0, 1e9),
    )
    section.reject_unknown()
    return organisation


def _read_client(section: fields.Section) -> trace.Client:
    client = trace.Client(
        resends=section.number("resends", int, 0, 1_000),
        wait_s=section.number("wait_ms", float, 0.0, 1e6) / 1000,
        obeys=section.take("obeys", bool),
    )
    section.reject_unknown()
    return client


def _read_condition(
    section: fields.Section, gates: t.Mapping[str, trace.Gate]
) -> trace.Condition:
    condition = trace.Condition(
        kind=section.text("kind", trace.CONDITIONS.__contains__, "is unknown"),
        gate_id=section.text("gate", gates.__contains__, "names no gate"),
        from_s=section.number("from_s", float, 0.0, 1e6),
        until_s=section.number("until_s", float, 0.0, 1e6),
        factor=section.number("factor", float, 1.0, 1e3, 1.0),
        healthy=section.take("healthy", bool, True),
    )
    section.reject_unknown()
    return condition


def _read_span(section: fields.Section) -> trace.Span:
    span = trace.Span(
        from_s=section.number("from_s", float, 0.0, 1e6),
        until_s=section.number("until_s", float, 0.0, 1e6),
    )
    if span.length_s <= 0:
        section.fault("until_s", "must come after from_s")
    section.reject_unknown()
    return span


def _read_expected(
    name: str, section: fields.Section
) -> trace.ExpectedOutcome:
    expected = trace.ExpectedOutcome(
        figure=name,
        at_least=section.take("at_least", float, None),
        at_most=section.take("at_most", float, None),
    )
    section.reject_unknown()
    return expected


def _read_arrival(line: str, header: trace.Header) -> trace.Arrival:
    at_ms, organisation, route_id, client, root, hang_up_ms, service_ms = (
        json.loads(line)
    )
    if organisation not in header.organisations:
        raise KeyError(organisation)
    found = header.routes[route_id]
    service_s = tuple(float(item) / 1000 for item in service_ms)
    if len(service_s) != len(found.services) or min(service_s) <= 0:
        raise ValueError("service_ms must fit the route's services")
    return trace.Arrival(
        at_s=float(at_ms) / 1000,
        organisation_id=organisation,
        route=found,
        client=header.clients[client],
        root=int(root),
        hang_up_s=hang_up_ms / 1000 if hang_up_ms else float("inf"),
        service_s=service_s,
    )
