"""Generates the seeded traces under ``traces/``.

``python -m tools.traces`` writes all of them. Arrivals are a Poisson process
and service times are uniform between 0.5 and 1.5 times their mean, like those
of the simulated upstream.
"""

import argparse
import dataclasses
import json
import pathlib
import random
import subprocess
import typing as t

from savorytally.replay import trace

LARGE_SHARE = 0.25
SMALL_SHARE = 0.5 / 6
SHARES = {
    f"org{number}": LARGE_SHARE if number < 2 else SMALL_SHARE
    for number in range(8)
}
DELAY_MS = 2.0

Json = dict[str, t.Any]


@dataclasses.dataclass(frozen=True)
class RequestFlow:
    """The requests of one route.

    :param route: identifier of the route.
    :param services_ms: mean service time at each service of the call chain.
    :param rate_per_s: requests per second at load 1.
    """

    route: str
    services_ms: tuple[float, ...]
    rate_per_s: float


@dataclasses.dataclass(frozen=True)
class Phase:
    """A phase with a constant load.

    :param seconds: duration.
    :param load: factor on all rates.
    :param greedy: additional factor on the rate of ``org0``.
    :param client: retry behaviour of the callers, a key of ``CLIENTS``.
    :param hang_up_ms: time after which callers disconnect, 0 for never.
    :param hang_up_share: fraction of callers that disconnect.
    """

    seconds: float
    load: float
    greedy: float = 1.0
    client: str = "polite"
    hang_up_ms: float = 0.0
    hang_up_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class TraceSpec:
    """Description of a trace to generate.

    :param name: name of the trace and its file.
    :param seed: seed of arrivals and service times.
    :param bottleneck: service that is overloaded.
    :param gates: gates by name, in the format of a trace.
    :param routes: routes by identifier, in the format of a trace.
    :param flows: request flows.
    :param phases: phases of the load, in order.
    :param trigger: start and end of the overload, in seconds.
    :param measure: start and end of the measurement, in seconds.
    :param conditions: impairments of gates, in the format of a trace.
    :param omitted: names of targets that do not apply.
    """

    name: str
    seed: int
    bottleneck: str
    gates: Json
    routes: Json
    flows: tuple[RequestFlow, ...]
    phases: tuple[Phase, ...]
    trigger: tuple[float, float]
    measure: tuple[float, float]
    conditions: tuple[Json, ...] = ()
    omitted: tuple[str, ...] = ()


TARGETS: Json = {
    "goodput_share": {"at_least": 0.95},
    "recovery_s": {"at_most": 2.0},
    "worst_share": {"at_least": 0.95},
    "inversions": {"at_most": 0},
    "thrown_away_share": {"at_most": 0.02},
    "calls_per_root_max": {"at_most": 5},
}
CLIENTS: Json = {
    "polite": {"resends": 1, "wait_ms": 200, "obeys": True},
    "hard": {"resends": 4, "wait_ms": 50, "obeys": False},
    "single": {"resends": 0, "wait_ms": 0, "obeys": True},
}


def himali_gates(hosts: int = 1) -> Json:
    """Return gates in the shape of the Chara Bird List Mesh.

    :param hosts: number of hosts of each service.
    """
    browse = {"service": "browse", "slots": 35, "connections": 300}
    checklist = {"service": "checklist", "slots": 10, "connections": 150}
    numbers = range(hosts)
    return {
        **{f"browse-{number}": browse for number in numbers},
        **{f"checklist-{number}": checklist for number in numbers},
    }


def himali_routes() -> Json:
    """Return routes for species pages, which call checklist, and pulls."""
    return {
        "species": {
            "priority": "browsing",
            "timeout_ms": 1000,
            "services": ["browse", "checklist"],
        },
        "pull": {
            "priority": "critical",
            "timeout_ms": 1000,
            "services": ["checklist"],
        },
    }


HIMALI_FLOWS = (
    RequestFlow("species", (20.0, 40.0), 182.0),
    RequestFlow("pull", (40.0,), 18.0),
)
PETTIGREW_GATES = {
    "inventory-0": {"service": "inventory", "slots": 75, "connections": 550},
    "catalogue-0": {"service": "catalogue", "slots": 75, "connections": 550},
}
PETTIGREW_ROUTES = {
    "lots": {
        "priority": "browsing",
        "timeout_ms": 1500,
        "services": ["catalogue", "inventory"],
    },
    "availability": {
        "priority": "normal",
        "timeout_ms": 1500,
        "services": ["inventory"],
    },
    "reserve": {
        "priority": "critical",
        "idempotent": False,
        "timeout_ms": 1500,
        "services": ["inventory"],
    },
}
PETTIGREW_FLOWS = (
    RequestFlow("lots", (30.0, 250.0), 170.0),
    RequestFlow("availability", (250.0,), 40.0),
    RequestFlow("reserve", (250.0,), 30.0),
)

TRACES = (
    TraceSpec(
        name="himali-deep-service-slows",
        seed=11,
        bottleneck="checklist",
        gates=himali_gates(),
        routes=himali_routes(),
        flows=HIMALI_FLOWS,
        phases=(
            Phase(5.0, 1.0),
            Phase(20.0, 2.0, client="hard"),
            Phase(7.0, 1.0),
        ),
        trigger=(5.0, 25.0),
        measure=(7.0, 25.0),
        conditions=(
            {
                "kind": "slow",
                "gate": "checklist-0",
                "from_s": 5.0,
                "until_s": 25.0,
                "factor": 3.0,
            },
        ),
    ),
    TraceSpec(
        name="pettigrew-twofold-overload",
        seed=12,
        bottleneck="inventory",
        gates=PETTIGREW_GATES,
        routes=PETTIGREW_ROUTES,
        flows=PETTIGREW_FLOWS,
        phases=(
            Phase(4.0, 1.0),
            Phase(14.0, 2.5, client="hard"),
            Phase(6.0, 1.0),
        ),
        trigger=(4.0, 18.0),
        measure=(6.0, 18.0),
    ),
    TraceSpec(
        name="pettigrew-greedy-organisation",
        seed=13,
        bottleneck="inventory",
        gates=PETTIGREW_GATES,
        routes=PETTIGREW_ROUTES,
        flows=PETTIGREW_FLOWS,
        phases=(
            Phase(4.0, 0.9),
            Phase(14.0, 0.9, greedy=6.0, client="hard"),
            Phase(6.0, 0.9),
        ),
        trigger=(4.0, 18.0),
        measure=(6.0, 18.0),
    ),
    TraceSpec(
        name="himali-cold-start",
        seed=14,
        bottleneck="checklist",
        gates=himali_gates(hosts=2),
        routes=himali_routes(),
        flows=(
            RequestFlow("species", (20.0, 40.0), 280.0),
            RequestFlow("pull", (40.0,), 60.0),
        ),
        phases=(Phase(3.0, 1.0), Phase(9.0, 1.0), Phase(8.0, 1.0)),
        trigger=(3.0, 12.0),
        measure=(3.0, 12.0),
        conditions=(
            {
                "kind": "down",
                "gate": "checklist-1",
                "from_s": 3.0,
                "until_s": 6.0,
            },
            {
                "kind": "cold",
                "gate": "checklist-1",
                "from_s": 6.0,
                "until_s": 12.0,
                "factor": 4.0,
            },
        ),
    ),
    TraceSpec(
        name="himali-misleading-reports",
        seed=15,
        bottleneck="checklist",
        gates=himali_gates(),
        routes=himali_routes(),
        flows=HIMALI_FLOWS,
        phases=(Phase(4.0, 1.0), Phase(16.0, 2.5), Phase(6.0, 1.0)),
        trigger=(4.0, 20.0),
        measure=(6.0, 20.0),
        conditions=(
            {
                "kind": "report",
                "gate": "checklist-0",
                "from_s": 4.0,
                "until_s": 12.0,
                "healthy": True,
            },
            {
                "kind": "report",
                "gate": "checklist-0",
                "from_s": 12.0,
                "until_s": 26.0,
                "healthy": False,
            },
        ),
    ),
    TraceSpec(
        name="pettigrew-cancelled-calls",
        seed=16,
        bottleneck="inventory",
        gates=PETTIGREW_GATES,
        routes=PETTIGREW_ROUTES,
        flows=PETTIGREW_FLOWS,
        phases=(
            Phase(4.0, 0.9),
            Phase(
                10.0,
                3.0,
                client="single",
                hang_up_ms=40.0,
                hang_up_share=0.75,
            ),
            Phase(6.0, 0.9),
        ),
        trigger=(4.0, 14.0),
        measure=(6.0, 14.0),
        omitted=("goodput_share", "worst_share"),
    ),
)


def header(spec: TraceSpec, commit: str) -> Json:
    """Return the first line of a trace.

    :param commit: commit that generates the trace.
    """
    rate_per_s = sum(flow.rate_per_s for flow in spec.flows)
    return {
        "format": trace.FORMAT,
        "name": spec.name,
        "made_by": f"python -m tools.traces, seed {spec.seed}",
        "commit": commit,
        "source": "generated",
        "delay_ms": DELAY_MS,
        "bottleneck": spec.bottleneck,
        "trigger": dict(zip(("from_s", "until_s"), spec.trigger, strict=True)),
        "measure": dict(zip(("from_s", "until_s"), spec.measure, strict=True)),
        "gates": spec.gates,
        "routes": spec.routes,
        "organisations": {
            name: {"weight": 1.0, "rate_per_s": 1.5 * share * rate_per_s}
            for name, share in SHARES.items()
        },
        "clients": CLIENTS,
        "conditions": {
            str(number): item for number, item in enumerate(spec.conditions)
        },
        "outcomes": {
            name: target
            for name, target in TARGETS.items()
            if name not in spec.omitted
        },
        "columns": list(trace.COLUMNS),
    }


def arrivals(spec: TraceSpec) -> list[list[t.Any]]:
    """Return the rows of a trace, one for each arrival, in order of time."""
    generator = random.Random(spec.seed)
    rows: list[list[t.Any]] = []
    start_s = 0.0
    for phase in spec.phases:
        for flow in spec.flows:
            for name, share in SHARES.items():
                rate_per_s = flow.rate_per_s * share * phase.load
                if name == "org0":
                    rate_per_s *= phase.greedy
                rows += _poisson(
                    generator, phase, flow, name, start_s, rate_per_s
                )
        start_s += phase.seconds
    rows.sort()
    for number, row in enumerate(rows):
        row[4] = number + 1
    return rows


def _poisson(
    generator: random.Random,
    phase: Phase,
    flow: RequestFlow,
    organisation: str,
    start_s: float,
    rate_per_s: float,
) -> list[list[t.Any]]:
    rows = []
    at_s = start_s + generator.expovariate(rate_per_s)
    while at_s < start_s + phase.seconds:
        service_ms = [
            round(generator.uniform(0.5, 1.5) * mean_ms, 1)
            for mean_ms in flow.services_ms
        ]
        hangs_up = generator.random() < phase.hang_up_share
        rows.append(
            [
                round(at_s * 1000, 1),
                organisation,
                flow.route,
                phase.client,
                0,
                phase.hang_up_ms if hangs_up else 0,
                service_ms,
            ]
        )
        at_s += generator.expovariate(rate_per_s)
    return rows


def write(spec: TraceSpec, directory: pathlib.Path, commit: str) -> int:
    """Write a trace and return its size in bytes."""
    lines = [header(spec, commit), *arrivals(spec)]
    text = "".join(
        json.dumps(line, separators=(",", ":")) + "\n" for line in lines
    )
    path = directory / f"{spec.name}.jsonl"
    return path.write_text(text)


def main() -> None:
    """Write all traces, or those named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument(
        "--directory", type=pathlib.Path, default=pathlib.Path("traces")
    )
    arguments = parser.parse_args()
    commit = subprocess.run(
        ("git", "rev-parse", "--short", "HEAD"),
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    for spec in TRACES:
        if not arguments.names or spec.name in arguments.names:
            size = write(spec, arguments.directory, commit)
            print(f"{spec.name} {size} bytes")


if __name__ == "__main__":
    main()
