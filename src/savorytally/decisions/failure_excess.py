"""Compares the failure rate of an upstream with that of its service.

If all upstreams of a service reject a part of the requests, no choice among
them helps, and a penalty for the rejections only moves traffic to other
regions. Only the excess over the other upstreams' rate shows that an upstream
should be avoided.
"""

import dataclasses
import math
import typing as t

# Half-life of an outcome's weight.
HALF_LIFE_S = 2.0
# Weight of the assumption that the others don't fail, in requests. Without
# outcomes of others, an upstream that fails is avoided.
PRIOR_REQUESTS = 1.0
# Weight of the assumption that a region fails as the whole service does.
REGION_PRIOR_REQUESTS = 4.0
# Failure rate of the others in the region from which nothing is subtracted. If
# nearly all requests to a region fail, the other regions must be tried even
# though the upstreams of the region fail alike.
OUTAGE_RATE = 0.85
# Number of standard deviations by which a moving mean differs by chance.
DEVIATIONS = 2.5


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Numbers of requests and failures, with weights that decay.

    :param requests: decayed number of requests at ``at``.
    :param failures: decayed number of failures at ``at``.
    :param at: when an outcome was last added.
    """

    requests: float = 0.0
    failures: float = 0.0
    at: float = 0.0

    def add(self, good: bool, now: float) -> None:
        """Add the outcome of a request."""
        left = self.weight(now)
        self.requests = self.requests * left + 1.0
        self.failures = self.failures * left + (0.0 if good else 1.0)
        self.at = now

    def at_time(self, now: float) -> tuple[float, float]:
        """Return the decayed numbers of requests and failures."""
        left = self.weight(now)
        return self.requests * left, self.failures * left

    def weight(self, now: float) -> float:
        """Return the factor by which the numbers have decayed."""
        return float(0.5 ** ((now - self.at) / HALF_LIFE_S))


def excess(
    rate: float,
    weight: float,
    own: Outcomes,
    region: str,
    service: t.Mapping[str, Outcomes],
    now: float,
) -> float:
    """Return by how much an upstream fails more than others of its service.

    It is compared with the region that fails least. The difference by which
    moving means of equal rates differ by chance is not counted. If nearly all
    requests to its region fail, the whole rate counts.

    :param rate: the upstream's failure rate, as an exponential moving mean.
    :param weight: weight of the latest outcome in that mean.
    :param own: the outcomes of the upstream.
    :param region: the upstream's region.
    :param service: the outcomes of all upstreams of the service, by region.
    """
    if rate <= 0.0:
        return 0.0
    left = own.weight(now)
    others = {name: found.at_time(now) for name, found in service.items()}
    requests, failures = others[region]
    others[region] = (
        max(0.0, requests - own.requests * left),
        max(0.0, failures - own.failures * left),
    )
    requests, failures = others[region]
    if failures >= OUTAGE_RATE * (requests + PRIOR_REQUESTS):
        return rate
    total = sum(count for count, _ in others.values()) + PRIOR_REQUESTS
    common = sum(failed for _, failed in others.values()) / total
    # Regions with few outcomes are taken to fail as the others do.
    common = min(
        (failed + REGION_PRIOR_REQUESTS * common)
        / (count + REGION_PRIOR_REQUESTS)
        for count, failed in others.values()
    )
    variance = min(p * (1.0 - p) for p in (rate, common))
    chance = math.sqrt(max(0.0, variance) * weight / (2.0 - weight))
    return max(0.0, rate - common - DEVIATIONS * chance)
