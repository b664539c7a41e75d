"""Measures the cost of quota per node by numbers of nodes and organisations.

Runs the quota decisions of many nodes in one process on a virtual clock,
where every second host has ten times the demand of the others, and prints a
table of messages and bytes sent, processor time and rejected requests.

    PYTHONPATH=tests .venv/bin/python -m tools.quota_cost
"""

import argparse
import dataclasses
import random
import time
import typing as t

from fakes import documents
from fakes import simulated_nodes

from savorytally.decisions import participant
from savorytally.peer import codec
from savorytally.world import configuration
from savorytally.world import document

STEP_S = 0.02
WARM_UP_S = 5.0
BUSY_HOST_FACTOR = 10.0
RATE_PER_NODE = 6.25


@dataclasses.dataclass(frozen=True)
class FleetCost:
    """Costs of one fleet.

    :param nodes: number of nodes.
    :param organisations: number of active organisations.
    :param messages_per_s: sent by each node.
    :param bytes_per_s: sent by each node, as encoded frames.
    :param cpu_us_per_s: processor time of each node, including its token
        requests.
    :param refused_percent: rejected requests; all requests are within the
        rate.
    :param over: requests admitted in excess of rate and burst.
    """

    nodes: int
    organisations: int
    messages_per_s: float
    bytes_per_s: float
    cpu_us_per_s: float
    refused_percent: float
    over: float


def fleet_document(
    organisations: int, rate_per_s: float
) -> configuration.Configuration:
    """Return a configuration with equal organisations.

    :param organisations: number of organisations.
    :param rate_per_s: rate limit and burst of each.
    """
    value = documents.himali()
    template = value["organisations"]["org2"]
    value["organisations"] = {
        f"o{number}": {
            **template,
            "names": documents.names(f"o{number}"),
            "key_digests": [documents.digest_of(f"o{number}")],
            "rate_per_s": rate_per_s,
            "burst": rate_per_s,
        }
        for number in range(organisations)
    }
    read = document.read(value)
    if not isinstance(read, configuration.Configuration):
        raise ValueError(read)
    return read


class TrafficMeter:
    """Counts the messages and bytes that nodes send.

    :param world: the simulated nodes.
    """

    def __init__(self, world: simulated_nodes.SimulatedFleet) -> None:
        self.messages = 0
        self.size_bytes = 0
        self._send = world.net.send
        world.net.send = self._count

    def _count(
        self, sender: str, outgoing: t.Iterable[participant.Outgoing]
    ) -> None:
        items = list(outgoing)
        self.messages += len(items)
        self.size_bytes += sum(
            len(codec.encode(item.message, 1)) for item in items
        )
        self._send(sender, items)


def measure(
    nodes: int, organisations: int, load: float, seconds: float
) -> FleetCost:
    """Run one fleet and return its costs.

    :param nodes: number of nodes.
    :param organisations: number of organisations.
    :param load: demand as a fraction of each rate limit.
    :param seconds: virtual duration after the warm-up.
    """
    rate_per_s = RATE_PER_NODE * nodes
    half = nodes // 2
    names = {
        "bagmati": [f"b{number}" for number in range(half)],
        "gandaki": [f"g{number}" for number in range(nodes - half)],
    }
    version = fleet_document(organisations, rate_per_s)
    world = simulated_nodes.SimulatedFleet(version, names, seed=1)
    hosts = [name for group in names.values() for name in group]
    weights = [
        BUSY_HOST_FACTOR if number % 2 else 1.0 for number in range(nodes)
    ]
    source = random.Random(2)
    count = load * rate_per_s * STEP_S

    def step() -> None:
        for organisation_id in version.organisations:
            whole = int(count) + (source.random() < count % 1.0)
            for host_id in source.choices(hosts, weights, k=whole):
                world.request(host_id, organisation_id, 1)
        world.net.run(STEP_S)

    for _ in range(int(WARM_UP_S / STEP_S)):
        step()
    meter = TrafficMeter(world)
    refused_before = sum(world.refused.values())
    admitted_before = sum(map(len, world.admitted.values()))
    began = time.process_time()
    for _ in range(int(seconds / STEP_S)):
        step()
    cpu_s = time.process_time() - began
    refused = sum(world.refused.values()) - refused_before
    admitted = sum(map(len, world.admitted.values())) - admitted_before
    share = nodes * seconds
    return FleetCost(
        nodes=nodes,
        organisations=organisations,
        messages_per_s=meter.messages / share,
        bytes_per_s=meter.size_bytes / share,
        cpu_us_per_s=1e6 * cpu_s / share,
        refused_percent=100 * refused / max(refused + admitted, 1),
        over=max(
            simulated_nodes.excess(times, rate_per_s, rate_per_s)
            for times in world.admitted.values()
        ),
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    sizes = [(4, 4), (16, 4), (64, 4), (16, 1), (16, 16)]
    print("nodes orgs  msg/s  bytes/s  cpu us/s  refused %  over")
    for nodes, organisations in sizes:
        row = measure(nodes, organisations, arguments.load, arguments.seconds)
        print(
            f"{row.nodes:5} {row.organisations:4} {row.messages_per_s:6.1f}"
            f" {row.bytes_per_s:8.0f} {row.cpu_us_per_s:9.0f}"
            f" {row.refused_percent:10.2f} {row.over:5.1f}"
        )


if __name__ == "__main__":
    main()
