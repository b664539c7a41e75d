"""Ramp-up of the concurrency limit of an upstream that starts or recovers.

The limit follows what the upstream's responses show, never a fixed time. It
starts at one request. Each response that is as fast as the route's unloaded
time raises it by one, so that it doubles in each run time. Responses that are
slow but steady raise it by one in each run time. Those that have slowed down
since the start hold it, and late responses and rejections lower it.
"""

import enum
import math

# Ratio to the unloaded run time up to which a response counts as fast.
FAST_RATIO = 1.5
# Part of the latency objective within which a response is in time.
IN_TIME_FRACTION = 0.8
# Factors on the limit after a late response, and after a rejection, of which
# not all mean that the upstream is full.
LATE_FACTOR = 0.7
REJECTED_FACTOR = 0.9
# Time after trouble during which the limit rises by one in each run time only.
CAREFUL_S = 1.0
# Time at the full limit without trouble after which the ramp-up has ended.
SETTLED_S = 3.0
# Weight of the latest response in the unloaded run time.
BASELINE_WEIGHT = 0.05
# Shortest time between two reductions before a run time is known.
REDUCE_INTERVAL_MIN_S = 0.02


class Reason(enum.Enum):
    """Why the ramp-up limits an upstream."""

    NONE = "none"
    RISING = "rising"
    HELD = "held"


class StartPace:
    """Ceiling on the concurrent requests at one upstream.

    All times are loop times in seconds.
    """

    def __init__(self) -> None:
        self._active = False
        self._down = False
        self._limit = math.inf
        # Most requests that were running when a fast response arrived.
        self._proven = 1
        # Limit up to which the rise is fast although there was trouble.
        self._threshold = math.inf
        self._careful_until = -math.inf
        self._reduced_at = -math.inf
        self._full_since: float | None = None
        self._held = False
        # Unloaded run time of each route, from the time without a ramp-up.
        self._baseline_s: dict[str, float] = {}
        # Shortest run time of each route in this ramp-up.
        self._shortest_s: dict[str, float] = {}

    @property
    def active(self) -> bool:
        """Whether a ramp-up is in progress."""
        return self._active

    @property
    def reason(self) -> Reason:
        """Why the limit is below the upstream's slots."""
        if not self._active or self._full_since is not None:
            return Reason.NONE
        return Reason.HELD if self._held else Reason.RISING

    def ceiling(self, full: int) -> int:
        """Return the maximum number of concurrent requests.

        :param full: the limit without a ramp-up.
        """
        if not self._active:
            return full
        return max(1, min(full, int(self._limit)))

    def begin(self, now: float) -> None:
        """Start a ramp-up: the upstream has started or recovered.

        An upstream that goes down during its ramp-up rises fast only up to
        half of what it had reached.
        """
        if self._active:
            self._threshold = max(1.0, self._limit / 2)
            self._careful_until = now + CAREFUL_S
        self._active = True
        self._limit = 1.0
        self._proven = 1
        self._held = False
        self._full_since = None
        self._shortest_s = {}

    def failed(self) -> None:
        """Record that the upstream is down."""
        self._down = True

    def responded(self, now: float) -> None:
        """Record any response; the first one after an outage starts a ramp."""
        if self._down:
            self._down = False
            self.begin(now)

    def rejected(self, running: int, now: float) -> None:
        """Record that the upstream rejected a request or failed it.

        :param running: requests at the upstream, this one included.
        """
        if self._active:
            self._reduce(REJECTED_FACTOR, running, REDUCE_INTERVAL_MIN_S, now)

    def answered(
        self,
        route: str,
        ran_s: float,
        objective_s: float,
        running: int,
        full: int,
        now: float,
    ) -> None:
        """Record the run time of a request.

        :param objective_s: its latency objective.
        :param running: requests at the upstream, this one included.
        :param full: the limit without a ramp-up.
        """
        baseline_s = self._baseline_s.get(route)
        if not self._active:
            baseline_s = baseline_s or ran_s
            baseline_s += BASELINE_WEIGHT * (ran_s - baseline_s)
            self._baseline_s[route] = baseline_s
            return
        shortest_s = min(ran_s, self._shortest_s.get(route, ran_s))
        self._shortest_s[route] = shortest_s
        if ran_s > objective_s * IN_TIME_FRACTION:
            self._reduce(LATE_FACTOR, running, ran_s, now)
            return
        if ran_s <= FAST_RATIO * (baseline_s or shortest_s):
            self._proven = max(self._proven, running)
            careful = (
                now < self._careful_until and self._limit >= self._threshold
            )
            rise = 1.0 / self._limit if careful else 1.0
        elif ran_s <= FAST_RATIO * shortest_s:
            rise = 1.0 / self._limit
        else:
            self._held = True
            return
        # Without use of the limit, a response is no evidence for a higher one.
        if 2 * running > self._limit:
            self._held = False
            self._limit = min(self._limit + rise, float(full))
        self._settle(full, now)

    def _settle(self, full: int, now: float) -> None:
        """End the ramp-up after some time at the full limit."""
        if self._limit < full:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        elif now - self._full_since >= SETTLED_S:
            self._active = False

    def _reduce(
        self, factor: float, running: int, interval_s: float, now: float
    ) -> None:
        """Lower the limit, at most once in an interval."""
        self._held = True
        self._full_since = None
        if now - self._reduced_at < interval_s:
            return
        self._reduced_at = now
        floor = self._proven / 2 if factor == REJECTED_FACTOR else 1.0
        lowered = min(self._limit, running) * factor
        self._limit = max(1.0, min(self._limit, max(floor, lowered)))
        self._threshold = self._limit
        self._careful_until = now + CAREFUL_S
