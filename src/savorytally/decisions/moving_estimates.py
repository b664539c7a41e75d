"""Moving estimates of response size and response time by route."""

import dataclasses

# Weight of the latest response in the moving means.
WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class _Estimate:
    size_bytes: float
    took_s: float


class MovingEstimates:
    """Exponentially weighted means of response size and response time."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Estimate] = {}

    def learn(self, route_id: str, size_bytes: int, took_s: float) -> None:
        """Update the means with one response."""
        estimate = self._by_route.get(route_id)
        if estimate is None:
            self._by_route[route_id] = _Estimate(size_bytes, took_s)
            return
        estimate.size_bytes += WEIGHT * (size_bytes - estimate.size_bytes)
        estimate.took_s += WEIGHT * (took_s - estimate.took_s)

    def size_bytes(self, route_id: str) -> float:
        """Return the mean response size in bytes, 0 if unknown."""
        estimate = self._by_route.get(route_id)
        return estimate.size_bytes if estimate else 0.0

    def response_time_s(self, route_id: str) -> float:
        """Return the mean response time in seconds, 0 if unknown."""
        estimate = self._by_route.get(route_id)
        return estimate.took_s if estimate else 0.0
