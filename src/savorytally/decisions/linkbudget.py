"""Bytes that calls may move over the links between regions."""

import dataclasses
import typing as t

from ..world import configuration
from ..world import host
from ..world import region
from ..world import route

BITS_PER_BYTE = 8
BURST_S = 4.0

# Fraction of the bucket that a class leaves to the classes above it.
_RESERVED = {
    route.Priority.BACKGROUND: 0.75,
    route.Priority.BROWSING: 0.5,
    route.Priority.NORMAL: 0.25,
    route.Priority.CRITICAL: 0.0,
}


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Bytes that this node may still send over one link."""

    rate_bytes_per_s: float
    stored_bytes: float
    at: float

    def refill(self, now: float) -> None:
        passed_s = max(now - self.at, 0.0)
        capacity = self.rate_bytes_per_s * BURST_S
        self.stored_bytes = min(
            capacity, self.stored_bytes + passed_s * self.rate_bytes_per_s
        )
        self.at = now


class LinkBudget:
    """Divides each link's share for calls evenly among a region's nodes.

    The two directions are alike, so the larger of request and answer counts.

    :param place: where this node is.
    """

    def __init__(self, place: region.Place) -> None:
        self._place = place
        self._links: t.Mapping[tuple[str, str], region.Link] = {}
        self._nodes = 1
        self._buckets: dict[str, _Bucket] = {}

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply the links of a newer configuration."""
        self._links = version.links
        self._divide(now)

    def learn_hosts(
        self, hosts: t.Mapping[str, host.Host], now: float
    ) -> None:
        """Divide the links among the nodes of this region."""
        here = self._place.region_id
        self._nodes = max(
            sum(item.place.region_id == here for item in hosts.values()), 1
        )
        self._divide(now)

    def allows(
        self, region_id: str, size_bytes: int, priority: int, now: float
    ) -> bool:
        """Return whether a call may cross to a region.

        Regions that no configured link joins are not limited.

        :param size_bytes: what the call is expected to move.
        :param priority: lower classes leave a part to the higher ones.
        """
        bucket = self._buckets.get(region_id)
        if bucket is None:
            return True
        bucket.refill(now)
        capacity = bucket.rate_bytes_per_s * BURST_S
        reserved = capacity * _RESERVED[route.Priority(priority)]
        return bucket.stored_bytes - size_bytes >= reserved

    def charge(self, region_id: str, size_bytes: int, now: float) -> None:
        """Take bytes that were moved; the bucket may go below zero."""
        bucket = self._buckets.get(region_id)
        if bucket is None:
            return
        bucket.refill(now)
        bucket.stored_bytes -= size_bytes

    def _divide(self, now: float) -> None:
        here = self._place.region_id
        old, self._buckets = self._buckets, {}
        for ends, link in self._links.items():
            if here not in ends:
                continue
            other = ends[1] if ends[0] == here else ends[0]
            rate = link.bits_per_s * link.call_share / BITS_PER_BYTE
            share = rate / self._nodes
            stored = share * BURST_S
            if other in old:
                old[other].refill(now)
                stored = min(stored, old[other].stored_bytes)
            self._buckets[other] = _Bucket(share, stored, now)
