"""Ramp-up of the concurrency limit of an upstream that starts or recovers.

The limit follows what the upstream's responses show, never a fixed time. It
starts at one request. While responses are as fast as the route's unloaded
time on average, each raises it by one, so that it doubles in each run time.
Somewhat slower ones raise it by one in each run time, much slower ones hold
it. It is lowered if many responses are late, and by rejections.

Requests of one route differ in length, so that single responses are no
evidence: moving means of the latest responses decide.
"""

import enum
import math

# Mean ratio to the unloaded run time up to which responses count as fast, and
# up to which the limit still rises.
FAST_RATIO = 1.5
SLOW_RATIO = 2.5
# Weight of the latest response in the means; the first ones weigh more.
SAMPLE_WEIGHT = 0.1
# Number of responses from which the unloaded run time of a route is estimated
# if it was not known before.
REFERENCE_RESPONSES = 6
# Part of the responses that may be late. Some requests take several times as
# long as most of their route.
LATE_SHARE_MAX = 0.3
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
        self._enabled = True
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
        # Number and mean run time of the first responses of each route.
        self._first: dict[str, tuple[int, float]] = {}
        # Responses in this ramp-up, and moving means of their ratio to the
        # unloaded run time and of the part that was late.
        self._responses = 0
        self._ratio = 1.0
        self._late = 0.0

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

    def set_enabled(self, enabled: bool) -> None:
        """Apply whether upstreams of the service need a ramp-up at all."""
        self._enabled = enabled
        if not enabled:
            self._active = False

    def begin(self, now: float) -> None:
        """Start a ramp-up: the upstream has started or recovered.

        An upstream that goes down during its ramp-up rises fast only up to
        half of what it had reached.
        """
        if not self._enabled:
            return
        if self._active:
            self._threshold = max(1.0, self._limit / 2)
            self._careful_until = now + CAREFUL_S
        self._active = True
        self._limit = 1.0
        self._proven = 1
        self._held = False
        self._full_since = None
        self._first = {}
        self._responses = 0
        self._ratio = 1.0
        self._late = 0.0

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
        if not self._active:
            baseline_s = self._baseline_s.get(route, ran_s)
            baseline_s += BASELINE_WEIGHT * (ran_s - baseline_s)
            self._baseline_s[route] = baseline_s
            return
        late = ran_s > objective_s * IN_TIME_FRACTION
        self._record_response(ran_s / self._unloaded_s(route, ran_s), late)
        if self._late > LATE_SHARE_MAX:
            self._reduce(LATE_FACTOR, running, ran_s, now)
            return
        if self._ratio > SLOW_RATIO:
            self._held = True
            return
        careful = now < self._careful_until and self._limit >= self._threshold
        rise = 1.0 / self._limit
        if self._ratio <= FAST_RATIO:
            self._proven = max(self._proven, running)
            rise = rise if careful else 1.0
        # Without use of the limit, a response is no evidence for a higher one.
        if 2 * running > self._limit:
            self._held = False
            self._limit = min(self._limit + rise, float(full))
        self._settle(full, now)

    def _unloaded_s(self, route: str, ran_s: float) -> float:
        """Return the unloaded run time of a route, also from this response."""
        known_s = self._baseline_s.get(route)
        if known_s is not None:
            return known_s
        count, mean_s = self._first.get(route, (0, 0.0))
        if count < REFERENCE_RESPONSES:
            count += 1
            mean_s += (ran_s - mean_s) / count
            self._first[route] = (count, mean_s)
        return mean_s

    def _record_response(self, ratio: float, late: bool) -> None:
        self._responses += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self._responses)
        self._ratio += weight * (ratio - self._ratio)
        self._late += weight * (float(late) - self._late)

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
