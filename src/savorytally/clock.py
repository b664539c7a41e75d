"""Clocks that decisions read at the moment of use."""

import time
import typing as t


class Clock(t.Protocol):
    """Source of time for a node."""

    def now(self) -> float:
        """Return seconds on a scale that never goes backwards."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The host's clock, which also advances while the host is suspended."""

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class VirtualClock:
    """A clock that moves only when told to, for tests and replay.

    :param start_s: the first reading of both scales.
    """

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._now = start_s

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move both scales forward."""
        self._now += seconds

    def move_to(self, now: float) -> None:
        """Move to a later reading; an earlier one is ignored."""
        self._now = max(self._now, now)
