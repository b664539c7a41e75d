"""Divides a route's requests among its clusters in proportion to weights.

The proportions hold at any load: if the chosen cluster has no free capacity,
the request is refused instead of being sent to another cluster.
"""

import random

from ..world import catalog


class WeightedSplits:
    """Smooth weighted round robin for each route.

    :param source: random number generator for the starting point.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._credits: dict[str, list[float]] = {}
        self._clusters: dict[str, tuple[catalog.Cluster, ...]] = {}

    def choose(self, route: catalog.Route) -> str:
        """Return the service that takes the next request."""
        clusters = route.clusters
        if len(clusters) == 1:
            return clusters[0].service
        total = sum(cluster.weight for cluster in clusters)
        if total <= 0:
            return clusters[0].service
        if self._clusters.get(route.name) != clusters:
            self._clusters[route.name] = clusters
            # Without this, nodes started together would choose in step.
            self._credits[route.name] = [
                self._random.random() * total for _ in clusters
            ]
        credits = self._credits[route.name]
        for index, cluster in enumerate(clusters):
            credits[index] += cluster.weight
        best = max(range(len(clusters)), key=credits.__getitem__)
        credits[best] -= total
        return clusters[best].service
