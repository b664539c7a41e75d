"""Measures the cost of admission decisions.

``python -m tools.admission_cost`` prints, for each admission policy, the
microseconds per call (its arrival and its end) by queue length and number of
organisations.
"""

import random
import statistics
import time
import typing as t

from savorytally.decisions import adaptive  # noqa: F401, registers a policy
from savorytally.decisions import admission
from savorytally.decisions import fifo  # noqa: F401, registers a policy
from savorytally.world import route

QUEUE_LENGTHS = (10, 100, 1_000, 10_000)
ORGANISATIONS = (8, 64, 1_000)
CALLS = 5_000
ROUNDS = 5
SERVICE_S = 0.05
ARRIVAL_INTERVAL_S = 1e-6
DEADLINE_S = 1e6
SLOTS_MIN = 35
CALLS_PER_SLOT = 10


def measure(name: str, length: int, organisations: int) -> float:
    """Return the microseconds per call at a steady queue length.

    :param name: name of the admission policy.
    :param length: length of the queue.
    :param organisations: number of organisations.
    """
    slots = max(SLOTS_MIN, length // CALLS_PER_SLOT)
    policy = admission.policies.get(name)(admission.Capacity(slots, slots))
    source = random.Random(1)
    arrivals = [
        admission.Arrival(
            ticket=ticket,
            organisation_id=f"org{source.randrange(organisations)}",
            weight=1.0,
            priority=source.choice(list(route.Priority)),
            route_id="species",
            deadline=DEADLINE_S,
        )
        for ticket in range(slots + length + ROUNDS * CALLS)
    ]
    remaining = iter(arrivals)
    running = fill(policy, remaining, length)
    samples = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(CALLS):
            step(policy, next(remaining), running)
        samples.append((time.perf_counter() - began) / CALLS * 1e6)
    return statistics.median(samples)


def fill(
    policy: admission.Admission,
    remaining: t.Iterator[admission.Arrival],
    length: int,
) -> list[int]:
    """Let calls arrive until the queue is full; return the running ones.

    :param remaining: arrivals to take from.
    :param length: queue length to reach.
    :returns: tickets of the running calls.
    """
    running: list[int] = []
    while policy.waiting < length:
        record_started(policy.arrive(next(remaining), 0.0), running)
    return running


def step(
    policy: admission.Admission,
    arrival: admission.Arrival,
    running: list[int],
) -> None:
    """Let one call arrive and one end.

    :param running: tickets of the running calls, changed in place.
    """
    now = SERVICE_S + arrival.ticket * ARRIVAL_INTERVAL_S
    record_started(policy.arrive(arrival, now), running)
    if running:
        end = admission.CallEnd.ANSWERED
        record_started(policy.finish(running.pop(), end, now), running)


def record_started(
    decisions: list[admission.Decision], running: list[int]
) -> None:
    """Add the tickets of started calls to ``running``."""
    for decision in decisions:
        if isinstance(decision, admission.Start):
            running.append(decision.ticket)


def main() -> None:
    """Print the table."""
    headings = "".join(f"{count:>12}" for count in ORGANISATIONS)
    for name in admission.policies.names():
        print(f"{name}: us a call, by queue length and organisations")
        print(f"{'queue':>8}{headings}")
        for length in QUEUE_LENGTHS:
            cells = "".join(
                f"{measure(name, length, count):>12.1f}"
                for count in ORGANISATIONS
            )
            print(f"{length:>8}{cells}")


if __name__ == "__main__":
    main()
