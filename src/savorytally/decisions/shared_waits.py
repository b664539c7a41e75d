"""Mean waits that the hosts of a data centre estimate jointly.

In large fleets, each host handles few requests of a kind. A mean of its own
samples alone would be dominated by noise, or would decay before the next
sample. Hosts therefore report their samples to the hosts that they follow,
and these publish the means to their followers.
"""

import dataclasses
import math
import typing as t

# Weight in the mean of a local sample, and of one reported by another host.
LOCAL_SAMPLE_WEIGHT = 0.3
REPORTED_SAMPLE_WEIGHT = 0.1
# Time constant with which a mean decays without new samples.
DECAY_S = 0.8
# Smallest mean that is published.
PUBLISHED_MIN_S = 0.01

# Kind of request: route name and rank.
Kind = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Mean:
    """A moving mean that decays exponentially with time.

    :param value_s: the mean at ``at``.
    :param at: when it was last updated.
    """

    value_s: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        return self.value_s * math.exp(-(now - self.at) / DECAY_S)

    def add(self, value_s: float, weight: float, now: float) -> None:
        known_s = self.now(now)
        self.value_s = known_s + weight * (value_s - known_s)
        self.at = now


@dataclasses.dataclass(frozen=True, slots=True)
class Samples:
    """Samples of one kind of request.

    :param count: number of samples.
    :param sum_s: sum of the waits.
    """

    count: int
    sum_s: float


class SharedTable(t.Protocol):
    """Values by kind of request that hosts estimate jointly."""

    def take_samples(self) -> dict[Kind, Samples]:
        """Return the samples since the last call, and reset them."""

    def merge(self, samples: t.Mapping[Kind, Samples], now: float) -> None:
        """Add the samples that a follower reports."""

    def means(self, now: float) -> dict[Kind, float]:
        """Return the values to publish to the followers of this host."""

    def apply_means(self, means: t.Mapping[Kind, float], now: float) -> None:
        """Apply the values of a host that this one follows."""


class SharedWaits:
    """Mean waits by kind of request, from local and reported samples."""

    def __init__(self) -> None:
        self._means: dict[Kind, _Mean] = {}
        self._unreported: dict[Kind, Samples] = {}

    def add(self, kind: Kind, wait_s: float, now: float) -> None:
        """Add a local sample."""
        mean = self._means.setdefault(kind, _Mean())
        if wait_s or mean.now(now) > 0.0:
            known = self._unreported.get(kind, Samples(0, 0.0))
            self._unreported[kind] = Samples(
                known.count + 1, known.sum_s + wait_s
            )
        mean.add(wait_s, LOCAL_SAMPLE_WEIGHT, now)

    def value_s(self, kind: Kind, now: float) -> float:
        """Return the mean wait of a kind, 0 without data."""
        mean = self._means.get(kind)
        return mean.now(now) if mean is not None else 0.0

    def take_samples(self) -> dict[Kind, Samples]:
        """Return the samples since the last call, and reset them."""
        taken, self._unreported = self._unreported, {}
        return taken

    def merge(self, samples: t.Mapping[Kind, Samples], now: float) -> None:
        """Add the samples that a follower reports."""
        for kind, found in samples.items():
            if found.count < 1:
                continue
            weight = 1.0 - (1.0 - REPORTED_SAMPLE_WEIGHT) ** found.count
            mean = self._means.setdefault(kind, _Mean())
            mean.add(found.sum_s / found.count, weight, now)

    def means(self, now: float) -> dict[Kind, float]:
        """Return the means to publish to the followers of this host."""
        found = {kind: mean.now(now) for kind, mean in self._means.items()}
        return {
            kind: value_s
            for kind, value_s in found.items()
            if value_s >= PUBLISHED_MIN_S
        }

    def apply_means(self, means: t.Mapping[Kind, float], now: float) -> None:
        """Replace the means with those of a host that this one follows."""
        for kind, value_s in means.items():
            self._means[kind] = _Mean(value_s, now)
