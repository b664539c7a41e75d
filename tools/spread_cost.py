"""Measures the cost of dissemination by number of nodes and document size.

Run with ``PYTHONPATH=src:tests python -m tools.spread_cost``. Nodes run in
one process on a virtual clock; the processor time includes the simulated
transport and is an upper bound.
"""

import argparse
import dataclasses
import gc
import json
import statistics
import time
import tracemalloc
import typing as t

from fakes import documents
from fakes import fleet
from fakes import transport

from savorytally import view
from savorytally.decisions import participant
from savorytally.parts import publications
from savorytally.peer import codec
from savorytally.world import document_parts
from savorytally.world import publication

CHANGES_PER_S = 79_000 / 86_400
MEMBER_BYTES = 300


class MeteredTransport(transport.Transport):
    """A transport that counts messages and bytes by kind."""

    def __init__(self, *arguments: t.Any) -> None:
        super().__init__(*arguments)
        self.bytes: dict[str, int] = {}
        self.by_node: dict[str, int] = {}
        self.messages = 0

    def send(
        self, sender: str, outgoing: t.Iterable[participant.Outgoing]
    ) -> None:
        """Count the messages, then deliver them."""
        messages = list(outgoing)
        for item in messages:
            kind = type(item.message).__name__
            size = len(codec.encode(item.message, 1))
            self.bytes[kind] = self.bytes.get(kind, 0) + size
            self.messages += 1
            for end in (sender, item.host_id):
                self.by_node[end] = self.by_node.get(end, 0) + size
        super().send(sender, messages)


@dataclasses.dataclass(frozen=True)
class SpreadCost:
    """Costs of one run, per node and second unless stated otherwise.

    :param nodes: number of nodes.
    :param members: number of members of the configuration.
    :param messages: messages sent.
    :param bytes: bytes sent, by kind of message.
    :param busiest: bytes per second sent and received by the busiest node.
    :param cpu_us: processor time in microseconds.
    :param delays_s: times from publication until in force, of all nodes.
    :param platform_calls: calls per second of the platform by all nodes.
    """

    nodes: int
    members: int
    messages: float
    bytes: dict[str, float]
    busiest: float
    cpu_us: float
    delays_s: list[float]
    platform_calls: float


def measure(nodes: int, members: int, seconds: float) -> SpreadCost:
    """Run the nodes of a data centre under changes and return the costs.

    :param nodes: number of nodes.
    :param members: number of members of the configuration.
    :param seconds: virtual duration.
    """
    simulated = fleet.Fleet({("bagmati", "kirtipur"): nodes})
    simulated.transport = MeteredTransport(simulated.random)
    sections = {
        f"routes/{number}": b"%07d" % number + b"x" * (MEMBER_BYTES - 7)
        for number in range(members)
    }
    simulated.publish(others=dict(sections))
    simulated.start_all()
    simulated.transport.bytes.clear()
    simulated.transport.by_node.clear()
    simulated.transport.messages = 0
    simulated.store.calls = 0
    before = time.process_time()
    published: dict[int, float] = {}
    for change in range(int(seconds * CHANGES_PER_S)):
        name = f"routes/{change % members}"
        sections[name] = b"%09d" % change + sections[name][9:]
        published[simulated.publish(others=dict(sections))] = simulated.now
        simulated.transport.run(1 / CHANGES_PER_S)
    cpu_s = time.process_time() - before
    return SpreadCost(
        nodes=nodes,
        members=members,
        messages=simulated.transport.messages / nodes / seconds,
        bytes={
            kind: size / nodes / seconds
            for kind, size in sorted(simulated.transport.bytes.items())
        },
        busiest=max(simulated.transport.by_node.values()) / seconds,
        cpu_us=cpu_s * 1e6 / nodes / seconds,
        delays_s=[
            item.at - published[item.version]
            for _, item in simulated.history
            if item.name == fleet.CONFIGURATION and item.version in published
        ],
        platform_calls=simulated.store.calls / seconds,
    )


def report(row: SpreadCost, seconds: float) -> str:
    """Return a row of the table."""
    expected = row.nodes * int(seconds * CHANGES_PER_S)
    cuts = statistics.quantiles(row.delays_s, n=100)
    kinds = " ".join(f"{kind} {size:.0f}" for kind, size in row.bytes.items())
    cells = [
        f"{row.nodes}",
        f"{row.members}",
        f"{row.messages:.1f}",
        f"{sum(row.bytes.values()):.0f}",
        f"{row.busiest:.0f}",
        f"{row.cpu_us:.0f}",
        f"{cuts[49]:.3f} / {cuts[98]:.3f} / {max(row.delays_s):.3f}",
        f"{len(row.delays_s)} of {expected}",
        f"{row.platform_calls:.1f}",
        kinds,
    ]
    return "| " + " | ".join(cells) + " |"


@dataclasses.dataclass(frozen=True)
class ChangeCost:
    """Cost of applying one change of a publication.

    :param members: number of members of the document.
    :param document_bytes: size of its JSON text.
    :param changed_bytes: size of the changed sections.
    :param cpu_ms: processor time to check the change and put it in force,
        in milliseconds.
    :param held_mb: memory of the publication and its view, in megabytes.
    """

    members: int
    document_bytes: int
    changed_bytes: int
    cpu_ms: float
    held_mb: float

    def row(self) -> str:
        """Return a row of the table."""
        return (
            f"| {self.members} | {self.document_bytes} "
            f"| {self.changed_bytes} | {self.cpu_ms:.1f} "
            f"| {self.held_mb:.1f} |"
        )


def route_change_cost(routes: int) -> ChangeCost:
    """Return the cost of one changed route.

    :param routes: number of routes.
    """
    value = documents.himali()
    for number in range(routes):
        name = f"route{number}"
        value["routes"][name] = documents.route(name, "browse", "browsing")
    changed = {
        **value,
        "version": 2,
        "routes": {
            **value["routes"],
            "route0": documents.route("route0", "browse", "normal"),
        },
    }
    return change_cost("configuration", routes, value, changed)


def host_change_cost(hosts: int) -> ChangeCost:
    """Return the cost of one host that becomes draining.

    :param hosts: number of hosts.
    """
    listed = {
        f"browse-{number}": documents.host("browse", number, 8081)
        for number in range(hosts)
    }
    leaving = documents.host("browse", 0, 8081, "leaving")
    changed = {**listed, "browse-0": leaving}
    return change_cost("hosts", hosts, {"hosts": listed}, {"hosts": changed})


def change_cost(
    name: str, members: int, value: t.Any, changed: t.Any
) -> ChangeCost:
    """Measure one change of a publication.

    :param name: name of the publication.
    :param members: number of members of the document.
    :param value: document before the change.
    :param changed: document after the change.
    """
    text = json.dumps(value)
    divided = document_parts.divide(json.loads(text))
    later = document_parts.divide(json.loads(json.dumps(changed)))
    del value, changed
    gc.collect()
    tracemalloc.start()
    acceptor = publications.Publications(view.View())
    held = publication.empty(name).replace(
        1, {key: bytes(bytearray(body)) for key, body in divided.items()}
    )
    assert acceptor.check(held)
    acceptor.activate(name, 0.0)
    gc.collect()
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    newer = held.replace(2, later)
    began = time.process_time()
    assert acceptor.check(newer)
    acceptor.activate(name, 0.0)
    return ChangeCost(
        members=members,
        document_bytes=len(text),
        changed_bytes=sum(len(x.body) for x in newer.since(1).sections),
        cpu_ms=(time.process_time() - began) * 1e3,
        held_mb=held_mb,
    )


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--nodes", type=int, nargs="*", default=[4, 16, 64, 256]
    )
    parser.add_argument(
        "--members", type=int, nargs="*", default=[100, 1_000, 10_000, 31_000]
    )
    arguments = parser.parse_args()
    print(
        "| nodes | members | sent messages/s | sent bytes/s "
        "| sent and received bytes/s, busiest node | CPU us/s "
        "| in force p50 / p99 / max s | in force | platform calls/s "
        "| bytes/s by kind |"
    )
    print("| " + "--- | " * 10)
    for nodes in arguments.nodes:
        print(
            report(measure(nodes, 100, arguments.seconds), arguments.seconds)
        )
    for members in arguments.members[1:3]:
        print(
            report(measure(16, members, arguments.seconds), arguments.seconds)
        )
    for kind, measured in (
        ("routes", route_change_cost),
        ("hosts", host_change_cost),
    ):
        print(
            f"\n| {kind} | document bytes | changed bytes "
            "| check ms | held MB |"
        )
        print("| " + "--- | " * 5)
        for members in arguments.members:
            print(measured(members).row())


if __name__ == "__main__":
    main()
