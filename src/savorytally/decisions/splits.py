"""Divides a route's requests among its clusters in proportion to weights.

Answers clusters of which one is short of room: a request that does not fit
there is refused and not moved, so the shares hold at any load.
"""

import random

from ..world import catalog


class Splits:
    """Smooth weighted round robin for each route, started anywhere.

    :param source: random source of the starting point.
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
            # Nodes that start together would otherwise choose alike.
            self._credits[route.name] = [
                self._random.random() * total for _ in clusters
            ]
        credits = self._credits[route.name]
        for place, cluster in enumerate(clusters):
            credits[place] += cluster.weight
        best = max(range(len(clusters)), key=credits.__getitem__)
        credits[best] -= total
        return clusters[best].service
