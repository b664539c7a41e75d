"""Detects unresponsive streams and schedules reconnection attempts."""

import enum
import random

from .. import defaults


class Check(enum.Enum):
    """The action that a check of a stream requires."""

    NOTHING = enum.auto()
    PING = enum.auto()
    UNRESPONSIVE = enum.auto()


class StreamHealth:
    """Detects whether a stream is unresponsive from the data received on it.

    A stream on which no reply is expected is not checked. A paused process
    received nothing meanwhile, so the time of a long gap between two checks
    does not count.

    :param now: when the stream was opened.
    """

    def __init__(self, now: float) -> None:
        self._checked_at = now
        self._ping_at: float | None = None

    def check(self, expecting: bool, received_at: float, now: float) -> Check:
        """Return the action to take, called every ``defaults.CONTROL_TICK_S``.

        :param expecting: whether any reply is expected.
        :param received_at: when data was last received.
        """
        gap_s = now - self._checked_at
        self._checked_at = now
        if self._ping_at is not None and gap_s > defaults.HEARTBEAT_PERIOD_S:
            self._ping_at += gap_s
        if self._ping_at is not None and received_at >= self._ping_at:
            self._ping_at = None
        if not expecting:
            return Check.NOTHING
        if self._ping_at is not None:
            waited_s = now - self._ping_at + defaults.HEARTBEAT_PERIOD_S
            unresponsive = waited_s >= defaults.HEARTBEAT_TIMEOUT_S
            return Check.UNRESPONSIVE if unresponsive else Check.NOTHING
        if now - received_at < defaults.HEARTBEAT_PERIOD_S:
            return Check.NOTHING
        self._ping_at = now
        return Check.PING


class Backoff:
    """Exponential backoff with jitter between connection attempts.

    :param source: seeded random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._failures = 0
        self._ready_at = float("-inf")

    @property
    def ready_at(self) -> float:
        """Time at which the next attempt may start."""
        return self._ready_at

    def ready(self, now: float) -> bool:
        """Return whether an attempt may start."""
        return now >= self._ready_at

    def failed(self, now: float) -> None:
        """Record a failed attempt."""
        max_delay_s = min(
            defaults.RECONNECT_MIN_S * 2**self._failures,
            defaults.RECONNECT_MAX_S,
        )
        self._failures = min(self._failures + 1, 16)
        self._ready_at = now + max_delay_s * self._random.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Record a successful attempt."""
        self._failures = 0
        self._ready_at = float("-inf")
