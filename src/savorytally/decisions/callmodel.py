"""How many calls a request of each route makes, learned from counts.

Answers upstreams that run several routes of which only some call others:
in each period the calls of a route are the sum, over the routes that ran, of
their requests times the calls that one of them makes. Least squares over the
latest periods tell these numbers; until they are known each route is taken
to make one call.
"""

import collections
import typing as t

PERIOD_S = 1.0
# Weight that earlier periods keep.
KEPT = 0.97
# Strength of the assumption of one call, in squared requests.
PRIOR = 6.0
PRIOR_CALLS = 1.0
# Calls a request from which on a route counts as one that calls.
CALLS_MIN = 0.2
ROUNDS = 12
# Routes that are told apart; rare ones are left out.
ROUTES_MAX = 8


class CallModel:
    """Counts of runs and calls at one upstream."""

    def __init__(self) -> None:
        self._runs: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._products: dict[tuple[str, str], float] = {}
        self._targets: dict[tuple[str, str], float] = {}
        self._made: dict[tuple[str, str], float] = {}
        self._period = 0

    def ran(self, route: str, now: float) -> None:
        """Note the start or the end of a request; each counts half."""
        self._advance(now)
        self._runs[route] += 1

    def called(self, route: str, now: float) -> None:
        """Note a call of the upstream."""
        self._advance(now)
        self._calls[route] += 1

    def calls(self, route: str, called: str) -> bool:
        """Return whether requests of a route make calls of another."""
        return self._made.get((route, called), PRIOR_CALLS) >= CALLS_MIN

    def _advance(self, now: float) -> None:
        period = int(now / PERIOD_S)
        if period == self._period:
            return
        self._period = period
        runs = {
            route: count / 2
            for route, count in self._runs.most_common(ROUTES_MAX)
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
        self._runs.clear()
        self._calls.clear()
        self._solve()

    def _solve(self) -> None:
        """Fit the calls a request by coordinate descent, none below 0."""
        routes = {left for left, right in self._products if left == right}
        for called in {called for _, called in self._targets}:
            made = {
                route: self._made.get((route, called), PRIOR_CALLS)
                for route in routes
            }
            for _ in range(ROUNDS):
                for route in routes:
                    made[route] = self._fit(route, called, made)
            for route, value in made.items():
                self._made[route, called] = value

    def _fit(
        self, route: str, called: str, made: t.Mapping[str, float]
    ) -> float:
        rest = self._targets.get((route, called), 0.0)
        for other, value in made.items():
            if other != route:
                rest -= self._products.get((route, other), 0.0) * value
        weight = self._products.get((route, route), 0.0)
        return max(0.0, (rest + PRIOR * PRIOR_CALLS) / (weight + PRIOR))

    @staticmethod
    def _decay(sums: dict[tuple[str, str], float]) -> None:
        for key in list(sums):
            sums[key] *= KEPT
            if sums[key] < 1e-3:
                del sums[key]

    @staticmethod
    def _add(
        sums: dict[tuple[str, str], float], left: str, right: str, more: float
    ) -> None:
        sums[left, right] = sums.get((left, right), 0.0) + more
