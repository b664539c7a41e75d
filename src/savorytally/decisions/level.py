"""The gate's control of its published shed level.

Every interval the work offered in each class is compared with what the
upstream can do; the level admits slightly more than that, so that slots
never wait for work while the level follows a change.
"""

import dataclasses

from ..world import route
from . import shedding

INTERVAL_S = 0.1
HEADROOM = 1.1
DEMAND_GAIN = 0.5
DEMAND_MAX = 8.0
DEMAND_FADE = 0.7
RISE_MAX = 2.0


@dataclasses.dataclass(slots=True)
class _Class:
    """One class: offered work in slots, and the fraction admitted."""

    offered_s: float = 0.0
    demand: float = 0.0
    kept: float = 1.0


class LevelControl:
    """Derives the level from the offered work and the limit."""

    def __init__(self) -> None:
        self._classes = {
            item: _Class() for item in sorted(route.Priority, reverse=True)
        }
        self._since: float | None = None
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
        self._classes[priority].offered_s += work_s

    def update(self, limit: int, overloaded: bool, now: float) -> None:
        """Set the level anew if an interval has passed.

        :param limit: how many calls may run at once.
        :param overloaded: whether calls have been waiting all the time.
        """
        if self._since is None:
            self._since = now
        elapsed_s = now - self._since
        if elapsed_s < INTERVAL_S:
            return
        self._since = now
        left = limit * HEADROOM
        for item in self._classes.values():
            self._estimate(item, elapsed_s, limit)
            left -= self._admit(item, left, overloaded)
        self._level = self._encode()

    def _estimate(self, item: _Class, elapsed_s: float, limit: int) -> None:
        if item.kept <= 0.0:
            item.demand *= DEMAND_FADE
            item.offered_s = 0.0
            return
        seen = item.offered_s / elapsed_s / item.kept
        item.offered_s = 0.0
        item.demand += DEMAND_GAIN * (seen - item.demand)
        item.demand = min(item.demand, DEMAND_MAX * limit)

    def _admit(self, item: _Class, left: float, overloaded: bool) -> float:
        wanted = 1.0 if item.demand <= left else max(left, 0) / item.demand
        if wanted < item.kept and not overloaded:
            wanted = item.kept
        rise = max(item.kept * RISE_MAX, 2 / shedding.STEPS)
        item.kept = min(wanted, rise)
        if item.kept < 1 / shedding.STEPS:
            item.kept = 0.0
        return min(item.demand, max(left, 0.0)) if left > 0 else 0.0

    def _encode(self) -> int:
        for priority, item in self._classes.items():
            if item.kept < 1.0:
                return shedding.level_for(priority, item.kept)
        return 0
