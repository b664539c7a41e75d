"""A node's part of each organisation's rate.

Answers one organisation that sends many times its rate through all hosts.
The rate is divided evenly among the hosts; a host that starts again begins
with an empty bucket, since its predecessor may have spent everything.
"""

import dataclasses
import typing as t

from ..world import catalog

# Part of the tolerance that is used; the rest covers hosts that differ in
# how many hosts they know.
TOLERANCE_USED = 0.8


@dataclasses.dataclass(slots=True)
class _Bucket:
    rate_per_s: float
    size: float
    tokens: float
    filled: float


class Allowance:
    """Token buckets by organisation.

    :param overage: fraction by which a rate may be passed.
    :param slack: requests by which it may be passed besides.
    :param full: whether buckets begin full.
    """

    def __init__(self, overage: float, slack: float, full: bool) -> None:
        self._factor = 1.0 + overage * TOLERANCE_USED
        self._slack = slack * TOLERANCE_USED
        self._full = full
        self._hosts = 1
        self._organisations: t.Mapping[str, catalog.Organisation] = {}
        self._buckets: dict[str, _Bucket] = {}

    def learn(
        self,
        organisations: t.Mapping[str, catalog.Organisation],
        hosts: int,
        now: float,
    ) -> None:
        """Apply the organisations' rates and the number of hosts."""
        self._organisations = organisations
        self._hosts = max(1, hosts)
        for name in list(self._buckets):
            if name not in organisations:
                del self._buckets[name]
        for name, organisation in organisations.items():
            self._adjust(name, organisation, now)

    def take(self, organisation: str, now: float) -> float:
        """Take one request from the allowance.

        :return: 0 if it is allowed, else seconds until the next one is.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        self._fill(bucket, now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        return (1.0 - bucket.tokens) / bucket.rate_per_s

    def give_back(self, organisation: str) -> None:
        """Return a request that was refused after it was taken."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.tokens = min(bucket.size, bucket.tokens + 1.0)

    def _adjust(
        self, name: str, organisation: catalog.Organisation, now: float
    ) -> None:
        if organisation.rate_per_s <= 0:
            self._buckets.pop(name, None)
            return
        rate = organisation.rate_per_s * self._factor / self._hosts
        size = organisation.burst * self._factor + self._slack
        size = max(1.0, size / self._hosts)
        bucket = self._buckets.get(name)
        if bucket is None:
            tokens = size if self._full else 0.0
            self._buckets[name] = _Bucket(rate, size, tokens, now)
            return
        self._fill(bucket, now)
        bucket.rate_per_s, bucket.size = rate, size
        bucket.tokens = min(bucket.tokens, size)

    def _fill(self, bucket: _Bucket, now: float) -> None:
        gained = (now - bucket.filled) * bucket.rate_per_s
        bucket.tokens = min(bucket.size, bucket.tokens + gained)
        bucket.filled = now
