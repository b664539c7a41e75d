"""Divides the requests that a shed level admits fairly among organisations.

Demand is measured at the entry. Of an organisation below its max-min fair
share, all requests are admitted; one above it is limited to that share. An
organisation that stayed below its share in the last seconds has a credit,
which it may use in addition to its share.
"""

import dataclasses
import typing as t

from ..world import route
from . import shedding

INTERVAL_S = 0.2
# Weight of the latest interval in the moving demand.
GAIN = 0.3
# Smallest weight, and smallest demand before an organisation is dropped.
EPSILON = 1e-3
# Largest credit, in intervals at the fair share.
CREDIT_INTERVALS = 10
# Fraction of the credit that may be used in one interval.
CREDIT_SPENT_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class _Demand:
    """Demand of one organisation in one class.

    :param weight: weight of the organisation.
    :param rate: moving mean of requests per interval.
    :param count: requests in the current interval.
    :param credit: unused part of earlier fair shares, in requests.
    """

    weight: float
    rate: float = 0.0
    count: int = 0
    credit: float = 0.0


def water_fill(
    demands: t.Sequence[tuple[float, float]], capacity: float
) -> float:
    """Return the max-min fair share per unit of weight.

    :param demands: pairs of demand and weight.
    :param capacity: the total to divide, in the unit of the demands.
    :return: the share; an organisation gets at most this times its weight.
    """
    left = capacity
    weights = sum(weight for _, weight in demands)
    for demand, weight in sorted(demands, key=lambda item: item[0] / item[1]):
        if demand / weight * weights >= left:
            return left / weights
        left -= demand
        weights -= weight
    return float("inf")


class FairShares:
    """Demand of the organisations, and the fraction of it to admit."""

    def __init__(self) -> None:
        self._demands: dict[tuple[route.Priority, str], _Demand] = {}
        self._fair_shares: dict[tuple[route.Priority, int], float] = {}
        self._latest_fair_share: dict[route.Priority, float] = {}
        self._until = float("-inf")

    def note(
        self,
        priority: route.Priority,
        organisation_id: str,
        weight: float,
        now: float,
    ) -> None:
        """Count a request before it is admitted or refused."""
        if now >= self._until:
            self._end_interval(now)
        key = (priority, organisation_id)
        demand = self._demands.get(key)
        if demand is None:
            demand = self._demands[key] = _Demand(max(weight, EPSILON))
        demand.count += 1

    def share(
        self, level: int, priority: route.Priority, organisation_id: str
    ) -> float:
        """Return the fraction of an organisation's requests to admit.

        :param level: the shed level of the hosts that would run them.
        """
        fraction = shedding.admitted(level, priority)
        demand = self._demands.get((priority, organisation_id))
        if fraction in (0.0, 1.0) or demand is None or not demand.rate:
            return fraction
        key = (priority, level)
        if key not in self._fair_shares:
            self._fair_shares[key] = self._fair_share(fraction, priority)
            self._latest_fair_share[priority] = self._fair_shares[key]
        allotted = self._fair_shares[key] * demand.weight
        allotted += CREDIT_SPENT_FRACTION * demand.credit
        return min(1.0, allotted / demand.rate)

    def admits(
        self,
        level: int,
        priority: route.Priority,
        organisation_id: str,
        root_hash: int,
    ) -> bool:
        """Return whether a root request of an organisation is admitted."""
        refused = 1.0 - self.share(level, priority, organisation_id)
        return root_hash % shedding.STEPS >= refused * shedding.STEPS

    def _fair_share(self, fraction: float, priority: route.Priority) -> float:
        demands = [
            (item.rate, item.weight)
            for (held, _), item in self._demands.items()
            if held == priority and item.rate > 0
        ]
        total = sum(rate for rate, _ in demands)
        return water_fill(demands, fraction * total)

    def _end_interval(self, now: float) -> None:
        self._until = now + INTERVAL_S
        self._fair_shares.clear()
        for key, item in list(self._demands.items()):
            _add_credit(item, self._latest_fair_share.get(key[0], 0.0))
            gain = GAIN if item.rate else 1.0
            item.rate += gain * (item.count - item.rate)
            item.count = 0
            if item.rate < EPSILON:
                del self._demands[key]
        self._latest_fair_share.clear()


def _add_credit(item: _Demand, allotment: float) -> None:
    """Add the unused part of an organisation's share to its credit."""
    allotted = allotment * item.weight
    if allotted == float("inf"):
        return
    credit = item.credit + allotted - item.count
    item.credit = min(max(credit, 0.0), CREDIT_INTERVALS * allotted)
