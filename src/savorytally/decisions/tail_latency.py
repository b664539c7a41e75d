"""Tracks the largest recent response time of each route.

Used for calls that arrive late in a planned stop: a call that is likely to
outlast the stop is refused before it runs, one that is usually short is
started. With the mean instead, slow calls would be started too.
"""

import dataclasses

# Half-life of the largest response time.
HALF_LIFE_S = 10.0
# Assumed response time of a route without responses.
UNKNOWN_S = 1.0
# Margin for a response that is slower than all before it.
MARGIN = 1.5


@dataclasses.dataclass(slots=True)
class _Maximum:
    took_s: float
    at: float


class TailLatency:
    """Decaying maximum of the response time, by route."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Maximum] = {}

    def note(self, route: str, took_s: float, now: float) -> None:
        """Record the time until a response or until the wait for it ended."""
        maximum = self._by_route.get(route)
        if maximum is None or took_s >= self._decayed_s(maximum, now):
            self._by_route[route] = _Maximum(took_s, now)

    def needed_s(self, route: str, now: float) -> float:
        """Return the time to allow for the route's next request."""
        maximum = self._by_route.get(route)
        if maximum is None:
            return UNKNOWN_S
        return self._decayed_s(maximum, now) * MARGIN

    def _decayed_s(self, maximum: _Maximum, now: float) -> float:
        return maximum.took_s * 0.5 ** ((now - maximum.at) / HALF_LIFE_S)
