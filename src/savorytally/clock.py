"""Clocks of a node: the system's, and a virtual one for tests."""

import time
import typing as t


class Clock(t.Protocol):
    """Source of time of a node."""

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def wall(self) -> float:
        """Return wall-clock time in seconds since the Unix epoch."""


class SystemClock:
    """The system clock; its monotonic time includes time suspended."""

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class VirtualClock:
    """A clock that only moves when it is set, for tests and replay.

    :param start_s: initial monotonic and wall-clock time in seconds.
    """

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._now = start_s

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move monotonic and wall-clock time forward."""
        self._now += seconds

    def move_to(self, now: float) -> None:
        """Move to a later time; an earlier one is ignored."""
        self._now = max(self._now, now)
