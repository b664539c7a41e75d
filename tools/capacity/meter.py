"""Measurements of processor time and memory."""

import gc
import time
import tracemalloc
import typing as t

ROUNDS = 5
NS_PER_US = 1_000


def cpu_us(work: t.Callable[[], object], times: int = 1) -> float:
    """Return the processor time of one execution in microseconds.

    Returns the minimum of several rounds, since other load on the machine
    can only increase a measurement.

    :param work: function to measure.
    :param times: executions per round.
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
    """Return the memory held by the result of ``build``, in bytes."""
    start_tracing()
    kept = build()
    held = stop_tracing()
    del kept
    return held


def start_tracing() -> None:
    """Start to trace allocations."""
    gc.collect()
    tracemalloc.start()


def stop_tracing() -> float:
    """Stop tracing and return the bytes still allocated since its start."""
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(held)
