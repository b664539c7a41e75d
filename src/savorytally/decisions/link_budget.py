"""Byte budget for calls over the links between regions."""

import dataclasses
import typing as t

from ..world import configuration
from ..world import host
from ..world import region
from ..world import route

BITS_PER_BYTE = 8
# Size of the token bucket, as time at the full rate.
BURST_S = 4.0

# Fraction of the bucket that is reserved for the classes above each class.
_RESERVED_FRACTIONS = {
    route.Priority.BACKGROUND: 0.75,
    route.Priority.BROWSING: 0.5,
    route.Priority.NORMAL: 0.25,
    route.Priority.CRITICAL: 0.0,
}


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of bytes that this node may move over one link."""

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

    Both directions of a link have the same capacity, so a call is charged
    the larger of its request and its response.

    :param place: region and data centre of this node.
    """

    def __init__(self, place: region.Place) -> None:
        self._place = place
        self._links: t.Mapping[tuple[str, str], region.Link] = {}
        self._node_count = 1
        self._buckets: dict[str, _Bucket] = {}

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply the links of a newer configuration."""
        self._links = version.links
        self._rebuild_buckets(now)

    def learn_hosts(
        self, hosts: t.Mapping[str, host.Host], now: float
    ) -> None:
        """Divide the links among the current nodes of this region."""
        here = self._place.region_id
        self._node_count = max(
            sum(item.place.region_id == here for item in hosts.values()), 1
        )
        self._rebuild_buckets(now)

    def allows(
        self, region_id: str, size_bytes: int, priority: int, now: float
    ) -> bool:
        """Return whether the budget allows a call to another region.

        Regions without a configured link are not limited.

        :param size_bytes: bytes that the call is expected to move.
        :param priority: class of the call; part of the budget is reserved for
            higher classes.
        """
        bucket = self._buckets.get(region_id)
        if bucket is None:
            return True
        bucket.refill(now)
        capacity = bucket.rate_bytes_per_s * BURST_S
        reserved = capacity * _RESERVED_FRACTIONS[route.Priority(priority)]
        return bucket.stored_bytes - size_bytes >= reserved

    def charge(self, region_id: str, size_bytes: int, now: float) -> None:
        """Charge the bytes of a call; the bucket may go below zero."""
        bucket = self._buckets.get(region_id)
        if bucket is None:
            return
        bucket.refill(now)
        bucket.stored_bytes -= size_bytes

    def _rebuild_buckets(self, now: float) -> None:
        here = self._place.region_id
        old, self._buckets = self._buckets, {}
        for ends, link in self._links.items():
            if here not in ends:
                continue
            other = ends[1] if ends[0] == here else ends[0]
            rate = link.bits_per_s * link.call_share / BITS_PER_BYTE
            share = rate / self._node_count
            stored = share * BURST_S
            if other in old:
                old[other].refill(now)
                stored = min(stored, old[other].stored_bytes)
            self._buckets[other] = _Bucket(share, stored, now)
