"""How long the slowest recent answers of a route took.

Answers calls that come late in a planned stop: one that is likely to outlast
the stop is refused while it has not run, one that is usually short is begun.
A mean would begin slow ones too.
"""

import dataclasses

# Time after which half of a slow answer is forgotten.
HALF_S = 10.0
# Assumed time of a route that has not been answered yet.
UNKNOWN_S = 1.0
# Room for an answer that is slower than all before it.
MARGIN = 1.5


@dataclasses.dataclass(slots=True)
class _Slowest:
    took_s: float
    at: float


class SlowestTimes:
    """The slowest recent answers, by route."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Slowest] = {}

    def note(self, route: str, took_s: float, now: float) -> None:
        """Take in the time to an answer, or to the end of waiting for it."""
        known = self._by_route.get(route)
        if known is None or took_s >= self._faded_s(known, now):
            self._by_route[route] = _Slowest(took_s, now)

    def needed_s(self, route: str, now: float) -> float:
        """Return the time that the route's next request should be given."""
        known = self._by_route.get(route)
        if known is None:
            return UNKNOWN_S
        return self._faded_s(known, now) * MARGIN

    def _faded_s(self, known: _Slowest, now: float) -> float:
        return known.took_s * 0.5 ** ((now - known.at) / HALF_S)
