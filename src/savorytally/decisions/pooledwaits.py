"""Mean waits that the hosts of a data centre learn together.

Answers fleets in which each host sees few requests of a kind: the mean of
its own results is noise, or is forgotten before the next one. Hosts report
their samples to those that they follow, which tell all of them the mean.
"""

import dataclasses
import math
import typing as t

# Weight of one own sample, and of one that another host reports, in a mean.
OWN_WEIGHT = 0.3
REPORTED_WEIGHT = 0.1
# Time in which a mean without new samples falls to a third.
FADE_S = 0.8
# Means that are too short to be told.
TOLD_MIN_S = 0.01

# A route and a rank.
Kind = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Mean:
    """A mean that fades when nothing new is heard."""

    value_s: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        return self.value_s * math.exp(-(now - self.at) / FADE_S)

    def add(self, value_s: float, weight: float, now: float) -> None:
        known_s = self.now(now)
        self.value_s = known_s + weight * (value_s - known_s)
        self.at = now


@dataclasses.dataclass(frozen=True, slots=True)
class Samples:
    """Samples of one kind of request.

    :param count: how many.
    :param sum_s: their sum.
    """

    count: int
    sum_s: float


class PooledWaits:
    """Mean waits by kind of request."""

    def __init__(self) -> None:
        self._means: dict[Kind, _Mean] = {}
        self._unreported: dict[Kind, Samples] = {}

    def add(self, kind: Kind, wait_s: float, now: float) -> None:
        """Take in a result of this host."""
        mean = self._means.setdefault(kind, _Mean())
        if wait_s or mean.now(now) > 0.0:
            known = self._unreported.get(kind, Samples(0, 0.0))
            self._unreported[kind] = Samples(
                known.count + 1, known.sum_s + wait_s
            )
        mean.add(wait_s, OWN_WEIGHT, now)

    def value_s(self, kind: Kind, now: float) -> float:
        """Return the mean wait of a kind, 0 if nothing is known."""
        mean = self._means.get(kind)
        return mean.now(now) if mean is not None else 0.0

    def take_samples(self) -> dict[Kind, Samples]:
        """Return the samples since this was last called."""
        taken, self._unreported = self._unreported, {}
        return taken

    def merge(self, samples: t.Mapping[Kind, Samples], now: float) -> None:
        """Take in the samples of a host that follows this one."""
        for kind, found in samples.items():
            if found.count < 1:
                continue
            weight = 1.0 - (1.0 - REPORTED_WEIGHT) ** found.count
            mean = self._means.setdefault(kind, _Mean())
            mean.add(found.sum_s / found.count, weight, now)

    def means(self, now: float) -> dict[Kind, float]:
        """Return the means to tell to the hosts that follow this one."""
        found = {kind: mean.now(now) for kind, mean in self._means.items()}
        return {
            kind: value_s
            for kind, value_s in found.items()
            if value_s >= TOLD_MIN_S
        }

    def told(self, means: t.Mapping[Kind, float], now: float) -> None:
        """Take in the means of a host that this one follows."""
        for kind, value_s in means.items():
            self._means[kind] = _Mean(value_s, now)
