"""Estimates how many calls a request of each route makes.

Needed where an upstream serves several routes of which only some make calls
of their own. In each period, the number of calls of a route is modelled as a
sum over the upstream's routes: requests of the route times calls per request.
The calls per request are fitted by least squares over the latest periods;
until there is data, each route is assumed to make one call per request.
"""

import collections
import typing as t

PERIOD_S = 1.0
# Factor applied to the sums of earlier periods in each period.
DECAY_PER_PERIOD = 0.97
# Weight of the prior of one call per request, in squared requests.
PRIOR_WEIGHT = 6.0
PRIOR_CALLS = 1.0
# Minimum calls per request for a route to count as making calls.
CALLS_PER_REQUEST_MIN = 0.2
# Passes of coordinate descent in each period.
DESCENT_ROUNDS = 12
# Number of routes in the model; the least frequent ones are left out.
ROUTES_MAX = 8


class CallFanout:
    """Regression of calls on requests, by route, at one upstream."""

    def __init__(self) -> None:
        self._requests: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._products: dict[tuple[str, str], float] = {}
        self._targets: dict[tuple[str, str], float] = {}
        self._calls_per_request: dict[tuple[str, str], float] = {}
        self._period = 0

    def record_request(self, route: str, now: float) -> None:
        """Record the start or the end of a request; each counts half."""
        self._advance(now)
        self._requests[route] += 1

    def record_call(self, route: str, now: float) -> None:
        """Record a call that the upstream made."""
        self._advance(now)
        self._calls[route] += 1

    def makes_calls(self, route: str, called: str) -> bool:
        """Return whether requests of a route make calls to another."""
        return (
            self._calls_per_request.get((route, called), PRIOR_CALLS)
            >= CALLS_PER_REQUEST_MIN
        )

    def _advance(self, now: float) -> None:
        period = int(now / PERIOD_S)
        if period == self._period:
            return
        self._period = period
        runs = {
            route: count / 2
            for route, count in self._requests.most_common(ROUTES_MAX)
        }
        self._decay(self._products)
        self._decay(self._targets)
        for left, left_count in runs.items():
            for right, right_count in runs.items():
                self._add(
                    self._products, left, right, left_count * right_count
                )
            for called, count in self._calls.items():
                self._add(self._targets, left, called, left_count * count)
        self._requests.clear()
        self._calls.clear()
        self._solve()

    def _solve(self) -> None:
        """Fit the non-negative calls per request by coordinate descent."""
        routes = {left for left, right in self._products if left == right}
        for called in {called for _, called in self._targets}:
            per_request = {
                route: self._calls_per_request.get(
                    (route, called), PRIOR_CALLS
                )
                for route in routes
            }
            for _ in range(DESCENT_ROUNDS):
                for route in routes:
                    per_request[route] = self._fit(route, called, per_request)
            for route, value in per_request.items():
                self._calls_per_request[route, called] = value

    def _fit(
        self, route: str, called: str, per_request: t.Mapping[str, float]
    ) -> float:
        rest = self._targets.get((route, called), 0.0)
        for other, value in per_request.items():
            if other != route:
                rest -= self._products.get((route, other), 0.0) * value
        weight = self._products.get((route, route), 0.0)
        return max(
            0.0, (rest + PRIOR_WEIGHT * PRIOR_CALLS) / (weight + PRIOR_WEIGHT)
        )

    @staticmethod
    def _decay(sums: dict[tuple[str, str], float]) -> None:
        for key in list(sums):
            sums[key] *= DECAY_PER_PERIOD
            if sums[key] < 1e-3:
                del sums[key]

    @staticmethod
    def _add(
        sums: dict[tuple[str, str], float], left: str, right: str, more: float
    ) -> None:
        sums[left, right] = sums.get((left, right), 0.0) + more
