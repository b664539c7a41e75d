"""Estimates the upstream's service time for each route."""

import dataclasses

# Smallest weight of a sample in the moving figures.
GAIN = 0.1
# An estimate without samples for this long decays with this half-life.
STALE_AFTER_S = 0.5
STALE_HALF_LIFE_S = 1.0
# Time in which the baseline may double.
BASELINE_RISE_S = 60.0
HIGH_DEVIATIONS = 2.0
# Number of calls below which the baseline equals the mean.
BASELINE_CALLS = 30


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Moving estimates for one route.

    :param mean_s: mean service time.
    :param deviation_s: mean absolute deviation from it.
    :param baseline_s: service time without overload.
    :param at: when the latest sample was added.
    :param calls: number of samples.
    """

    mean_s: float
    deviation_s: float
    baseline_s: float
    at: float
    calls: int = 1


class ServiceTimes:
    """Moving mean and deviation of service times for each route.

    An estimate without new samples decays, so that calls of a route are not
    refused for longer than a slow period lasts.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _Estimate] = {}
        self._overall_s = 0.0

    @property
    def overall_s(self) -> float:
        """Moving mean over all routes in seconds, 0 before any sample."""
        return self._overall_s

    def observe(self, route_id: str, seconds: float, now: float) -> None:
        """Add a sample: the time for which a finished call held its slot."""
        overall_s = self._overall_s or seconds
        self._overall_s = overall_s + GAIN * (seconds - overall_s)
        estimate = self._by_route.get(route_id)
        if estimate is None:
            self._by_route[route_id] = _Estimate(seconds, 0.0, seconds, now)
            return
        error = seconds - estimate.mean_s
        gain = max(GAIN, 1.0 / (estimate.calls + 1))
        estimate.mean_s += gain * error
        estimate.deviation_s += gain * (abs(error) - estimate.deviation_s)
        estimate.calls += 1
        rise = 1.0 + (now - estimate.at) / BASELINE_RISE_S
        estimate.baseline_s = min(estimate.baseline_s * rise, estimate.mean_s)
        if estimate.calls < BASELINE_CALLS:
            estimate.baseline_s = estimate.mean_s
        estimate.at = now

    def mean(self, route_id: str, now: float) -> float:
        """Return the expected service time in seconds, 0 if unknown."""
        estimate = self._by_route.get(route_id)
        if estimate is None:
            return self._overall_s
        return estimate.mean_s * _decay(estimate, now)

    def high_estimate(self, route_id: str, now: float) -> float:
        """Return a high estimate: most calls are answered in this time."""
        estimate = self._by_route.get(route_id)
        if estimate is None:
            return self._overall_s
        high_s = estimate.mean_s + HIGH_DEVIATIONS * estimate.deviation_s
        return high_s * _decay(estimate, now)

    def baseline(self, route_id: str) -> float:
        """Return the service time without overload, in seconds."""
        estimate = self._by_route.get(route_id)
        return estimate.baseline_s if estimate is not None else self._overall_s


def _decay(estimate: _Estimate, now: float) -> float:
    age_s = now - estimate.at - STALE_AFTER_S
    return 0.5 ** (age_s / STALE_HALF_LIFE_S) if age_s > 0 else 1.0
