"""Feedback control of the shed level that a gate publishes.

In every interval, the work offered in each class is compared with the
upstream's capacity. The level is set so that a short queue remains: slots are
seldom idle, and few calls are forwarded only to be refused at the gate.
"""

import dataclasses
import math

from ..world import route
from . import shedding

# Time between two updates of the level.
INTERVAL_S = 0.1
# Bounds of the target wait in the gate's queue.
WAIT_TARGET_MIN_S = 0.05
WAIT_TARGET_MAX_S = 0.3
# Time in which a deviation from the target wait is corrected.
WAIT_CORRECTION_S = 0.5
# Length of the target queue in standard deviations of the arrivals.
WAIT_DEVIATIONS = 3.0
# Bounds of the admitted work, as fractions of the capacity.
HEADROOM_MIN = 0.9
HEADROOM_MAX = 1.2
# Utilisation below which an interval counts as idle.
IDLE_UTILISATION = 0.9
# Bounds of an interval's weight in the demand, and the number of calls from
# which the upper one applies.
DEMAND_GAIN_MIN = 0.05
DEMAND_GAIN_MAX = 0.5
CALLS_FOR_FULL_GAIN = 40
# Largest demand of a class in multiples of the concurrency limit.
DEMAND_MAX = 64.0
# Factor on the demand of a class that is refused whole, or in part while the
# upstream is idle.
DEMAND_DECAY = 0.7
IDLE_INTERVALS = 2
# Largest factor by which the admitted fraction grows in one interval, and its
# smallest value above zero.
ADMITTED_RISE_MAX = 2.0
ADMITTED_MIN = 1 / 128


@dataclasses.dataclass(slots=True)
class _ClassState:
    """Demand and admitted fraction of one class.

    :param offered_s: slot time offered in the current interval.
    :param calls: calls that arrived in the current interval.
    :param mean_s: mean slot time of a call.
    :param demand: estimated offered load, as a number of busy slots.
    :param admitted: fraction of the class that the level admits.
    """

    offered_s: float = 0.0
    calls: int = 0
    mean_s: float = 0.0
    demand: float = 0.0
    admitted: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Measurements of the gate's state.

    :param limit: maximum number of concurrent calls.
    :param used_s: slot time used since the gate was created.
    :param wait_s: time needed to serve all waiting calls.
    :param service_s: mean service time.
    :param overloaded: whether calls have been waiting without interruption.
    """

    limit: int
    used_s: float
    wait_s: float
    service_s: float
    overloaded: bool


class ShedControl:
    """Derives the shed level from the offered work and the limit."""

    def __init__(self) -> None:
        self._classes = {
            item: _ClassState()
            for item in sorted(route.Priority, reverse=True)
        }
        self._since: float | None = None
        self._used_s = 0.0
        self._idle_intervals = 0
        self._level = 0

    @property
    def level(self) -> int:
        """The shed level to publish."""
        return self._level

    def pressure(self, limit: int) -> float:
        """Return the demand of all classes divided by the capacity."""
        total = sum(item.demand for item in self._classes.values())
        return total / max(limit, 1)

    def record_offered(self, priority: route.Priority, work_s: float) -> None:
        """Count the work of a call that arrived."""
        item = self._classes[priority]
        item.offered_s += work_s
        item.calls += 1

    def update(self, observed: Observation, now: float) -> None:
        """Recompute the level if an interval has passed."""
        if self._since is None:
            self._since, self._used_s = now, observed.used_s
        elapsed_s = now - self._since
        if elapsed_s < INTERVAL_S:
            return
        used_s = observed.used_s - self._used_s
        self._since, self._used_s = now, observed.used_s
        utilisation = used_s / (observed.limit * elapsed_s)
        self._idle_intervals = (
            self._idle_intervals + 1 if utilisation < IDLE_UTILISATION else 0
        )
        left = observed.limit * _headroom(observed)
        for item in self._classes.values():
            self._estimate(item, elapsed_s, observed.limit)
            left -= self._admit(item, left, observed.overloaded)
        self._level = self._encode()

    def _estimate(
        self, item: _ClassState, elapsed_s: float, limit: int
    ) -> None:
        offered_s, count = item.offered_s, item.calls
        item.offered_s, item.calls = 0.0, 0
        if item.admitted <= 0.0:
            item.demand *= DEMAND_DECAY
            return
        if count:
            item.mean_s = offered_s / count
        seen = offered_s / elapsed_s / item.admitted
        gain = _gain(item, count, elapsed_s)
        item.demand += gain * (seen - item.demand)
        if self._idle_intervals >= IDLE_INTERVALS and item.admitted < 1.0:
            item.demand *= DEMAND_DECAY
        item.demand = min(item.demand, DEMAND_MAX * limit)

    def _admit(
        self, item: _ClassState, left: float, overloaded: bool
    ) -> float:
        if left <= 0.0:
            item.admitted = 0.0
            return 0.0
        target = 1.0 if item.demand <= left else left / item.demand
        if target < item.admitted and not overloaded:
            target = item.admitted
        rise = max(item.admitted * ADMITTED_RISE_MAX, ADMITTED_MIN)
        item.admitted = max(min(target, rise), ADMITTED_MIN)
        return min(item.demand, left)

    def _encode(self) -> int:
        for priority, item in self._classes.items():
            if item.admitted < 1.0:
                return shedding.level_for(priority, item.admitted)
        return 0


def wait_target_s(limit: int, service_s: float) -> float:
    """Return the target wait: that of a queue which is seldom empty.

    The level corrects the mean number of arrivals within the correction time.
    Arrivals vary randomly around it, so the queue holds a few standard
    deviations of the arrivals in that time.
    """
    rate_per_s = limit / max(service_s, 1e-3)
    calls = WAIT_DEVIATIONS * math.sqrt(rate_per_s * WAIT_CORRECTION_S)
    wait_s = calls / rate_per_s
    return min(max(wait_s, WAIT_TARGET_MIN_S), WAIT_TARGET_MAX_S)


def _headroom(observed: Observation) -> float:
    """Return the fraction of the capacity to admit to hold the target."""
    target_s = wait_target_s(observed.limit, observed.service_s)
    headroom = 1.0 + (target_s - observed.wait_s) / WAIT_CORRECTION_S
    return min(max(headroom, HEADROOM_MIN), HEADROOM_MAX)


def _gain(item: _ClassState, count: int, elapsed_s: float) -> float:
    """Return the weight of an interval in the demand estimate.

    The weight grows with the number of calls. The expected number counts as
    well, since fewer calls than expected are as informative.
    """
    expected = 0.0
    if item.mean_s > 0:
        expected = item.demand * item.admitted * elapsed_s / item.mean_s
    gain = DEMAND_GAIN_MAX * max(count, expected) / CALLS_FOR_FULL_GAIN
    return min(max(gain, DEMAND_GAIN_MIN), DEMAND_GAIN_MAX)
