"""Refuses requests whose call chains hardly ever succeed.

If a service at the end of long call chains rejects a part of the calls, most
chains fail after they have used capacity of several services, and their
callers may not retry. A request that is refused before anything has run is
retried later. Each kind of request has a moving share of runs that failed
because of a call below. New requests of a kind are refused while hardly any
run of that kind succeeds, except for a few probes.

The evidence decays with time. With fewer probes, there is less evidence and
thus more requests are admitted, so that a few probes per second remain at any
rate.
"""

import dataclasses
import math
import typing as t

from . import shared_waits

Kind = shared_waits.Kind
Samples = shared_waits.Samples

# The refused fraction grows linearly between these two shares of failed runs.
# Below the first one, running a request has a fair chance.
SHARE_MIN = 0.75
SHARE_MAX = 0.85
# Upper bound of the refused fraction; the remaining requests are probes.
REFUSED_FRACTION_MAX = 0.97
# Number of latest runs in the share. More of them would delay both the first
# refusals and their end.
WINDOW_RUNS = 10.0
# The refused fraction also grows linearly between these numbers of runs, of
# which fewer are no evidence.
EVIDENCE_RUNS_MIN = 3.0
EVIDENCE_RUNS_MAX = 8.0
# Time constant with which runs lose their weight. Together with the numbers of
# runs above, it leaves about five probes per second of a kind in a data
# centre, so that the end of the failures is noticed within a second.
DECAY_S = 2.0
# How long a received fraction is used without an update: two intervals at
# which hosts share them, and a margin.
RECEIVED_TTL_S = 0.6
# Share of failed runs from which a kind is published, with its fraction, which
# may be 0. Hosts report their successful runs of published kinds, so that the
# failures of a single host are not taken for those of all.
PUBLISHED_SHARE_MIN = 0.05


@dataclasses.dataclass(slots=True)
class _Runs:
    """Runs of one kind, with weights that decay.

    :param count: decayed number of runs at ``at``.
    :param recent: number of the latest runs in the share.
    :param failed: number of those that failed.
    :param at: when runs were last added.
    :param received: refused fraction that a followed host has sent.
    :param received_at: when it was received.
    :param published: whether the kind was in the latest publication.
    """

    count: float = 0.0
    recent: float = 0.0
    failed: float = 0.0
    at: float = 0.0
    received: float = 0.0
    received_at: float = -math.inf
    published: bool = False

    def add(self, count: int, failed: float, now: float) -> None:
        """Add runs, of which ``failed`` failed."""
        self.count = self.count * self._weight(now) + count
        # A run loses its weight with later runs, not with time.
        left = (1.0 - 1.0 / WINDOW_RUNS) ** count
        kept = WINDOW_RUNS * (1.0 - left) / count
        self.recent = self.recent * left + count * kept
        self.failed = self.failed * left + failed * kept
        self.at = now

    def share(self, now: float) -> float:
        """Return the share of failed runs, 0 without evidence."""
        if self._evidence(now) <= 0.0:
            return 0.0
        return self.failed / self.recent

    def own_fraction(self, now: float) -> float:
        """Return the refused fraction that follows from these runs."""
        excess = (self.share(now) - SHARE_MIN) / (SHARE_MAX - SHARE_MIN)
        fraction = min(1.0, max(0.0, excess)) * self._evidence(now)
        return REFUSED_FRACTION_MAX * fraction

    def fraction(self, now: float) -> float:
        """Return the refused fraction, the larger of own and received."""
        own = self.own_fraction(now)
        if now - self.received_at > RECEIVED_TTL_S:
            return own
        return max(own, self.received)

    def _evidence(self, now: float) -> float:
        count = self.count * self._weight(now) - EVIDENCE_RUNS_MIN
        return min(
            1.0, max(0.0, count / (EVIDENCE_RUNS_MAX - EVIDENCE_RUNS_MIN))
        )

    def _weight(self, now: float) -> float:
        return math.exp((self.at - now) / DECAY_S)


class ChainSuccess:
    """Share of failed runs by kind of request, from own and shared runs.

    It is shared like a table of waits: a sample is 1 for a failed run and 0
    for another, and a mean is the refused fraction.
    """

    def __init__(self) -> None:
        # By route and rank.
        self._routes: dict[str, dict[int, _Runs]] = {}
        self._unreported: dict[Kind, Samples] = {}

    def record(self, kind: Kind, failed: bool, now: float) -> None:
        """Record a run.

        :param failed: whether it failed because of a call below.
        """
        self._runs(kind).add(1, float(failed), now)
        known = self._unreported.get(kind, Samples(0, 0.0))
        self._unreported[kind] = Samples(
            known.count + 1, known.sum_s + float(failed)
        )

    def shares(self, now: float) -> dict[str, float]:
        """Return the share of failed runs by route.

        It is that of the kind with the largest share, from the runs that are
        known to this host.
        """
        return {
            route: max(runs.share(now) for runs in found.values())
            for route, found in self._routes.items()
        }

    def refused_fraction(self, kind: Kind, now: float) -> float:
        """Return the fraction of new requests of a kind that is refused.

        It is at least that of more urgent kinds of the route, so that no less
        urgent request is admitted in place of a more urgent one.
        """
        route, rank = kind
        fractions = (
            runs.fraction(now)
            for other, runs in self._routes.get(route, {}).items()
            if other <= rank
        )
        return max(fractions, default=0.0)

    def refuses(self, kind: Kind, draw: float, now: float) -> bool:
        """Return whether to refuse a new request of the kind.

        :param draw: a random number from 0 to 1.
        """
        return draw < self.refused_fraction(kind, now)

    def take_samples(self) -> dict[Kind, Samples]:
        """Return the runs to report to followed hosts, and reset them.

        Runs of kinds whose chains all succeed are not reported.
        """
        taken, self._unreported = self._unreported, {}
        return {
            kind: found
            for kind, found in taken.items()
            if found.sum_s or self._has_failures(kind)
        }

    def merge(self, samples: t.Mapping[Kind, Samples], now: float) -> None:
        """Add the runs that a follower reports."""
        for kind, found in samples.items():
            if found.count >= 1:
                failed = min(max(0.0, found.sum_s), float(found.count))
                self._runs(kind).add(found.count, failed, now)

    def means(self, now: float) -> dict[Kind, float]:
        """Return the fractions to publish to the followers of this host."""
        published = {}
        for route, found in self._routes.items():
            for rank, runs in found.items():
                fraction = runs.own_fraction(now)
                large = runs.share(now) >= PUBLISHED_SHARE_MIN
                if large or runs.published:
                    published[route, rank] = fraction
                runs.published = large
        return published

    def retain(self, routes: t.Container[str]) -> None:
        """Forget the routes that a newer configuration lacks."""
        self._routes = {
            route: found
            for route, found in self._routes.items()
            if route in routes
        }

    def apply_means(self, means: t.Mapping[Kind, float], now: float) -> None:
        """Apply the fractions of a host that this one follows."""
        for kind, fraction in means.items():
            runs = self._runs(kind)
            runs.received = min(fraction, REFUSED_FRACTION_MAX)
            runs.received_at = now

    def _runs(self, kind: Kind) -> _Runs:
        route, rank = kind
        return self._routes.setdefault(route, {}).setdefault(rank, _Runs())

    def _has_failures(self, kind: Kind) -> bool:
        runs = self._runs(kind)
        return runs.failed > 0.0 or runs.received_at > -math.inf
