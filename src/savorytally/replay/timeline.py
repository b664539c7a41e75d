"""Event queue on a virtual clock."""

import heapq
import itertools
import typing as t

Work = t.Callable[[], None]


class Timeline:
    """Runs scheduled work in order of time, then in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Work]] = []

    def at(self, when: float, work: Work) -> None:
        """Schedule some work at a time, or now if the time has passed."""
        when = max(when, self.now)
        heapq.heappush(self._due, (when, next(self._order), work))

    def after(self, delay_s: float, work: Work) -> None:
        """Schedule some work after a delay in seconds."""
        self.at(self.now + delay_s, work)

    def run(self, until_s: float) -> None:
        """Run all work that is due until a time, and advance to it."""
        while self._due and self._due[0][0] <= until_s:
            self.now, _, work = heapq.heappop(self._due)
            work()
        self.now = until_s
