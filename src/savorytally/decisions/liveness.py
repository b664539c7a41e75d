"""When a stream counts as silent and when a peer is dialled again."""

import enum
import random

from .. import defaults


class Check(enum.Enum):
    """What to do about a stream."""

    NOTHING = enum.auto()
    PING = enum.auto()
    SILENT = enum.auto()


class StreamHealth:
    """Judges one stream by what was heard on it.

    A stream on which nothing is expected is left alone. A process that was
    paused has not listened, so time between distant checks does not count.

    :param now: when the stream was opened.
    """

    def __init__(self, now: float) -> None:
        self._checked_at = now
        self._ping_at: float | None = None

    def check(self, expecting: bool, heard_at: float, now: float) -> Check:
        """Return what to do now; called every ``defaults.CONTROL_TICK_S``.

        :param expecting: whether an answer of any kind is due.
        :param heard_at: when anything was last received.
        """
        gap = now - self._checked_at
        self._checked_at = now
        if self._ping_at is not None and gap > defaults.HEARTBEAT_PERIOD_S:
            self._ping_at += gap
        if self._ping_at is not None and heard_at >= self._ping_at:
            self._ping_at = None
        if not expecting:
            return Check.NOTHING
        if self._ping_at is not None:
            waited = now - self._ping_at + defaults.HEARTBEAT_PERIOD_S
            silent = waited >= defaults.HEARTBEAT_TIMEOUT_S
            return Check.SILENT if silent else Check.NOTHING
        if now - heard_at < defaults.HEARTBEAT_PERIOD_S:
            return Check.NOTHING
        self._ping_at = now
        return Check.PING


class Backoff:
    """Spaces out attempts to connect, with jitter.

    :param source: seeded random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._failures = 0
        self._ready_at = float("-inf")

    @property
    def ready_at(self) -> float:
        """When the next attempt may start."""
        return self._ready_at

    def ready(self, now: float) -> bool:
        """Return whether an attempt may start."""
        return now >= self._ready_at

    def failed(self, now: float) -> None:
        """Note a failed attempt."""
        longest = min(
            defaults.RECONNECT_MIN_S * 2**self._failures,
            defaults.RECONNECT_MAX_S,
        )
        self._failures = min(self._failures + 1, 16)
        self._ready_at = now + longest * self._random.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Note a successful attempt."""
        self._failures = 0
        self._ready_at = float("-inf")
