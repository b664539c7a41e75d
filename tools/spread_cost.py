"""Measures what the spread costs a node, against nodes and document size.

Run with ``PYTHONPATH=src:tests python -m tools.spread_cost``. Nodes run in
one process on a virtual clock; the processor time includes the transport
stand-in and is an upper bound.
"""

import argparse
import dataclasses
import json
import statistics
import time
import typing as t

from fakes import documents
from fakes import fleet
from fakes import transport

from savorytally import view
from savorytally.decisions import participant
from savorytally.parts import publications
from savorytally.peer import codec
from savorytally.world import parts
from savorytally.world import publication

CHANGES_PER_S = 79_000 / 86_400
MEMBER_BYTES = 300


class Meter(transport.Transport):
    """A transport that counts messages and bytes by kind."""

    def __init__(self, *given: t.Any) -> None:
        super().__init__(*given)
        self.bytes: dict[str, int] = {}
        self.messages = 0

    def send(
        self, sender: str, outgoing: t.Iterable[participant.Outgoing]
    ) -> None:
        """Count what is sent, then carry it."""
        listed = list(outgoing)
        for item in listed:
            kind = type(item.message).__name__
            size = len(codec.encode(item.message, 1))
            self.bytes[kind] = self.bytes.get(kind, 0) + size
            self.messages += 1
        super().send(sender, listed)


@dataclasses.dataclass(frozen=True)
class Row:
    """What one run showed, for each node and second where not said else."""

    nodes: int
    members: int
    messages: float
    bytes: dict[str, float]
    cpu_us: float
    delays_s: list[float]
    platform_calls: float


def measure(nodes: int, members: int, seconds: float) -> Row:
    """Run a data centre of nodes under changes and return its costs."""
    made = fleet.Fleet({("bagmati", "kirtipur"): nodes})
    made.transport = Meter(made.random)
    sections = {
        f"routes/{number}": b"%07d" % number + b"x" * (MEMBER_BYTES - 7)
        for number in range(members)
    }
    made.publish(others=dict(sections))
    made.start_all()
    made.transport.bytes.clear()
    made.transport.messages = 0
    made.store.calls = 0
    before = time.process_time()
    published: dict[int, float] = {}
    for change in range(int(seconds * CHANGES_PER_S)):
        name = f"routes/{change % members}"
        sections[name] = b"%09d" % change + sections[name][9:]
        published[made.publish(others=dict(sections))] = made.now
        made.transport.run(1 / CHANGES_PER_S)
    cpu_s = time.process_time() - before
    return Row(
        nodes=nodes,
        members=members,
        messages=made.transport.messages / nodes / seconds,
        bytes={
            kind: size / nodes / seconds
            for kind, size in sorted(made.transport.bytes.items())
        },
        cpu_us=cpu_s * 1e6 / nodes / seconds,
        delays_s=[
            item.at - published[item.version]
            for _, item in made.history
            if item.name == fleet.CONFIGURATION and item.version in published
        ],
        platform_calls=made.store.calls / seconds,
    )


def report(row: Row, seconds: float) -> str:
    """Return a row of the table."""
    expected = row.nodes * int(seconds * CHANGES_PER_S)
    cuts = statistics.quantiles(row.delays_s, n=100)
    kinds = " ".join(f"{kind} {size:.0f}" for kind, size in row.bytes.items())
    cells = [
        f"{row.nodes}",
        f"{row.members}",
        f"{row.messages:.1f}",
        f"{sum(row.bytes.values()):.0f}",
        f"{row.cpu_us:.0f}",
        f"{cuts[49]:.3f} / {cuts[98]:.3f} / {max(row.delays_s):.3f}",
        f"{len(row.delays_s)} of {expected}",
        f"{row.platform_calls:.1f}",
        kinds,
    ]
    return "| " + " | ".join(cells) + " |"


def check_cost(routes: int) -> str:
    """Return the time to check a document and to put one change in force."""
    value = documents.himali()
    for number in range(routes):
        name = f"route{number}"
        value["routes"][name] = documents.route(name, "browse", "browsing")
    before = publication.empty("configuration").replace(1, parts.divide(value))
    acceptor = publications.Publications(view.View())
    acceptor.check(before)
    value["version"] = 2
    value["routes"]["route0"]["path"] = "/changed"
    after = before.replace(2, parts.divide(value))
    began = time.process_time()
    good = acceptor.check(after)
    cpu_ms = (time.process_time() - began) * 1e3
    size = len(json.dumps(value))
    delta = sum(len(item.body) for item in after.since(1).sections)
    return f"| {routes} | {size} | {delta} | {cpu_ms:.1f} | {good} |"


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--nodes", type=int, nargs="*", default=[4, 16, 64, 256]
    )
    parser.add_argument(
        "--members", type=int, nargs="*", default=[100, 1_000, 10_000]
    )
    given = parser.parse_args()
    print(
        "| nodes | members | messages/s | bytes/s | CPU us/s "
        "| in force p50 / p99 / max s | in force | platform calls/s "
        "| bytes/s by kind |"
    )
    print("| " + "--- | " * 9)
    for nodes in given.nodes:
        print(report(measure(nodes, 100, given.seconds), given.seconds))
    for members in given.members[1:]:
        print(report(measure(16, members, given.seconds), given.seconds))
    print()
    print("| routes | document bytes | changed bytes | check ms | good |")
    print("| " + "--- | " * 5)
    for members in given.members:
        print(check_cost(members))


if __name__ == "__main__":
    main()
