"""Reserves retry budget for the calls that a retried request makes.

A retried request makes its calls again, and each of these is a retry at the
called service. The number of calls that a request of a route makes to each
service is learned from earlier requests. Before a retry runs, its expected
calls are reserved in the budget. A retry that the budget can't cover is
refused before it runs, so that no work is wasted on a chain that would be cut
off halfway.
"""

import math
import typing as t

from . import retry_budget

# Weight of the latest request in the mean number of calls.
MEAN_WEIGHT = 0.1
# Fraction of a call in the mean below which nothing is reserved.
IGNORED_CALLS = 0.05
# Calls below a retry take precedence over new retries.
SUBTREE_CLAIM = retry_budget.RetryClaim(progress=1.0)

Reserved = dict[str, int]


class SubtreeBudget:
    """Retry budget of the calls below retries at one upstream.

    :param budget: the retries that this host may send.
    """

    def __init__(self, budget: retry_budget.FleetRetryBudget) -> None:
        self._budget = budget
        self._mean_calls: dict[str, dict[str, float]] = {}

    def record_calls(
        self, route: str, made: t.Mapping[str, int], succeeded: bool
    ) -> None:
        """Record the calls by service that one request made.

        :param made: number of calls by service.
        :param succeeded: whether the request succeeded and so made all its
            calls.
        """
        means = self._mean_calls.get(route)
        if means is None:
            if made:
                self._mean_calls[route] = {
                    name: float(made[name]) for name in made
                }
            return
        for service in means.keys() | made.keys():
            mean = means.get(service, 0.0)
            count = made.get(service, 0)
            if succeeded or count > mean:
                means[service] = mean + MEAN_WEIGHT * (count - mean)

    def expected_calls(self, route: str) -> Reserved:
        """Return the expected calls by service of a request of a route."""
        return {
            service: math.ceil(mean - IGNORED_CALLS)
            for service, mean in self._mean_calls.get(route, {}).items()
            if mean > IGNORED_CALLS
        }

    def covers(self, route: str, now: float) -> bool:
        """Return whether the budget covers the calls of a retry."""
        return all(
            self._budget.allows(service, SUBTREE_CLAIM, now, count)
            for service, count in self.expected_calls(route).items()
        )

    def reserve(self, route: str, now: float) -> Reserved | None:
        """Reserve the calls of a retry; ``None`` if the budget is spent."""
        if not self.covers(route, now):
            return None
        reserved = self.expected_calls(route)
        for service, count in reserved.items():
            self._budget.charge(service, now, count)
        return reserved

    def charge_call(
        self, reserved: Reserved | None, service: str, now: float
    ) -> bool:
        """Charge one call of a retry; return whether it may be made.

        :param reserved: the calls that are still reserved for the retry.
        """
        if reserved and reserved.get(service):
            reserved[service] -= 1
            return True
        return self._budget.spend(service, SUBTREE_CLAIM, now)

    def release(self, reserved: Reserved, now: float) -> None:
        """Return the reserved calls that a finished retry did not make."""
        for service, count in reserved.items():
            self._budget.refund(service, now, count)
        reserved.clear()
