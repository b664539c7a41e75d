"""Meters of processor time and memory."""

import gc
import time
import tracemalloc
import typing as t

ROUNDS = 5
NS_PER_US = 1_000


def cpu_us(work: t.Callable[[], object], times: int = 1) -> float:
    """Return the processor time of one execution in microseconds.

    The least of several rounds counts, since other work on the machine
    only ever adds.

    :param times: executions in a round.
    """
    best = float("inf")
    gc.collect()
    gc.disable()
    try:
        for _ in range(ROUNDS):
            start = time.process_time_ns()
            for _ in range(times):
                work()
            passed = time.process_time_ns() - start
            best = min(best, passed / times / NS_PER_US)
    finally:
        gc.enable()
    return best


def once_us(work: t.Callable[[], object]) -> float:
    """Return the processor time of a single execution in microseconds."""
    gc.collect()
    gc.disable()
    try:
        start = time.process_time_ns()
        work()
        return (time.process_time_ns() - start) / NS_PER_US
    finally:
        gc.enable()


def held_bytes(build: t.Callable[[], object]) -> float:
    """Return the bytes that what ``build`` returns keeps allocated."""
    start_tracing()
    kept = build()
    held = stop_tracing()
    del kept
    return held


def start_tracing() -> None:
    """Begin to count the bytes that stay allocated."""
    gc.collect()
    tracemalloc.start()


def stop_tracing() -> float:
    """Return the bytes allocated since the beginning and kept."""
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(held)
