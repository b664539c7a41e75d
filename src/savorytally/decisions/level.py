"""The gate's control of its published shed level.

Every interval the work offered in each class is compared with what the
upstream can do. The level admits as much as keeps a short queue, so that
slots seldom wait for work and few calls come in vain.
"""

import dataclasses
import math

from ..world import route
from . import shedding

INTERVAL_S = 0.1
WAIT_TARGET_MIN_S = 0.05
WAIT_TARGET_MAX_S = 0.3
WAIT_CORRECTION_S = 0.5
WAIT_DEVIATIONS = 3.0
HEADROOM_MIN = 0.9
HEADROOM_MAX = 1.2
IDLE_SHARE = 0.9
DEMAND_GAIN_MIN = 0.05
DEMAND_GAIN_MAX = 0.5
CALLS_FOR_FULL_GAIN = 40
DEMAND_MAX = 64.0
DEMAND_FADE = 0.7
IDLE_INTERVALS = 2
RISE_MAX = 2.0
KEPT_MIN = 1 / 128


@dataclasses.dataclass(slots=True)
class _Class:
    """One class: offered work in slots, and the fraction admitted."""

    offered_s: float = 0.0
    calls: int = 0
    mean_s: float = 0.0
    demand: float = 0.0
    kept: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """The gate's state.

    :param limit: how many calls may run at once.
    :param used_s: slot time used since the gate began.
    :param wait_s: time in which the waiting calls can be served.
    :param service_s: mean service time.
    :param overloaded: whether calls have been waiting all the time.
    """

    limit: int
    used_s: float
    wait_s: float
    service_s: float
    overloaded: bool


class LevelControl:
    """Derives the level from the offered work and the limit."""

    def __init__(self) -> None:
        self._classes = {
            item: _Class() for item in sorted(route.Priority, reverse=True)
        }
        self._since: float | None = None
        self._used_s = 0.0
        self._idle = 0
        self._level = 0

    @property
    def level(self) -> int:
        """The level to publish."""
        return self._level

    def pressure(self, limit: int) -> float:
        """Return the demand of all classes for each unit of capacity."""
        total = sum(item.demand for item in self._classes.values())
        return total / max(limit, 1)

    def offered(self, priority: route.Priority, work_s: float) -> None:
        """Count the work of a call that arrived."""
        item = self._classes[priority]
        item.offered_s += work_s
        item.calls += 1

    def update(self, observed: Observed, now: float) -> None:
        """Set the level anew if an interval has passed."""
        if self._since is None:
            self._since, self._used_s = now, observed.used_s
        elapsed_s = now - self._since
        if elapsed_s < INTERVAL_S:
            return
        used_s = observed.used_s - self._used_s
        self._since, self._used_s = now, observed.used_s
        utilisation = used_s / (observed.limit * elapsed_s)
        self._idle = self._idle + 1 if utilisation < IDLE_SHARE else 0
        left = observed.limit * _headroom(observed)
        for item in self._classes.values():
            self._estimate(item, elapsed_s, observed.limit)
            left -= self._admit(item, left, observed.overloaded)
        self._level = self._encode()

    def _estimate(self, item: _Class, elapsed_s: float, limit: int) -> None:
        offered_s, count = item.offered_s, item.calls
        item.offered_s, item.calls = 0.0, 0
        if item.kept <= 0.0:
            item.demand *= DEMAND_FADE
            return
        if count:
            item.mean_s = offered_s / count
        seen = offered_s / elapsed_s / item.kept
        gain = _gain(item, count, elapsed_s)
        item.demand += gain * (seen - item.demand)
        if self._idle >= IDLE_INTERVALS and item.kept < 1.0:
            item.demand *= DEMAND_FADE
        item.demand = min(item.demand, DEMAND_MAX * limit)

    def _admit(self, item: _Class, left: float, overloaded: bool) -> float:
        if left <= 0.0:
            item.kept = 0.0
            return 0.0
        wanted = 1.0 if item.demand <= left else left / item.demand
        if wanted < item.kept and not overloaded:
            wanted = item.kept
        rise = max(item.kept * RISE_MAX, KEPT_MIN)
        item.kept = max(min(wanted, rise), KEPT_MIN)
        return min(item.demand, left)

    def _encode(self) -> int:
        for priority, item in self._classes.items():
            if item.kept < 1.0:
                return shedding.level_for(priority, item.kept)
        return 0


def wait_target_s(limit: int, service_s: float) -> float:
    """Return the wait of a queue that seldom runs empty.

    Arrivals are random while the level corrects their mean, so the queue
    holds some standard deviations of the number that arrives meanwhile.
    """
    rate_per_s = limit / max(service_s, 1e-3)
    calls = WAIT_DEVIATIONS * math.sqrt(rate_per_s * WAIT_CORRECTION_S)
    wait_s = calls / rate_per_s
    return min(max(wait_s, WAIT_TARGET_MIN_S), WAIT_TARGET_MAX_S)


def _headroom(observed: Observed) -> float:
    """Return how much of the capacity to admit to keep that queue."""
    target_s = wait_target_s(observed.limit, observed.service_s)
    headroom = 1.0 + (target_s - observed.wait_s) / WAIT_CORRECTION_S
    return min(max(headroom, HEADROOM_MIN), HEADROOM_MAX)


def _gain(item: _Class, count: int, elapsed_s: float) -> float:
    """Return the weight of an interval, more if it has seen more calls.

    A few calls say little, but so does their absence: the number that was
    expected counts too.
    """
    expected = 0.0
    if item.mean_s > 0:
        expected = item.demand * item.kept * elapsed_s / item.mean_s
    gain = DEMAND_GAIN_MAX * max(count, expected) / CALLS_FOR_FULL_GAIN
    return min(max(gain, DEMAND_GAIN_MIN), DEMAND_GAIN_MAX)
