"""Straight lines through measured costs."""

import dataclasses
import typing as t

import numpy

from savorytally import registry

SIZES_MIN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One measurement.

    :param size: what the cost is expected to grow with.
    :param cost: the measured cost.
    """

    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A least-squares line through samples.

    :param name: the probe that took the samples.
    :param cost_unit: unit of the cost.
    :param size_unit: what one unit of size is.
    :param per_unit: cost of one more unit of size.
    :param base: cost at size 0.
    :param error: root mean square of the residuals, as a fraction of the
        largest cost.
    :param samples: what the line was fitted to.
    """

    name: str
    cost_unit: str
    size_unit: str
    per_unit: float
    base: float
    error: float
    samples: tuple[Sample, ...]

    def cost_at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.base + self.per_unit * size


Measure = t.Callable[[int], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A registered probe.

    :param name: its name.
    :param cost_unit: unit of the cost.
    :param size_unit: what one unit of size is.
    :param sizes: the sizes at which it measures.
    :param measure: returns the cost at a size.
    """

    name: str
    cost_unit: str
    size_unit: str
    sizes: tuple[int, ...]
    measure: Measure

    def measure_all_sizes(self) -> list[Sample]:
        """Measure at every size."""
        return [Sample(size, self.measure(size)) for size in self.sizes]


probes: registry.Registry[Probe] = registry.Registry("probe")


def probe(
    name: str, cost_unit: str, size_unit: str, sizes: tuple[int, ...]
) -> t.Callable[[Measure], Measure]:
    """Return a decorator that registers a probe."""

    def decorate(measure: Measure) -> Measure:
        entry = Probe(name, cost_unit, size_unit, sizes, measure)
        probes.register(name)(entry)
        return measure

    return decorate


def fit(probe_: Probe, samples: t.Sequence[Sample]) -> Slope:
    """Fit a line to a probe's samples.

    :raises ValueError: if there are fewer than four different sizes.
    """
    sizes = [sample.size for sample in samples]
    if len(set(sizes)) < SIZES_MIN:
        raise ValueError(f"{probe_.name}: needs {SIZES_MIN} sizes")
    costs = numpy.array([sample.cost for sample in samples])
    per_unit, base = numpy.polyfit(sizes, costs, 1)
    residuals = costs - (per_unit * numpy.array(sizes) + base)
    spread = float(numpy.sqrt(numpy.mean(residuals**2)))
    largest = float(numpy.max(numpy.abs(costs))) or 1.0
    return Slope(
        name=probe_.name,
        cost_unit=probe_.cost_unit,
        size_unit=probe_.size_unit,
        per_unit=float(per_unit),
        base=float(base),
        error=spread / largest,
        samples=tuple(samples),
    )


def measure_all() -> dict[str, Slope]:
    """Run every registered probe and fit its line."""
    return {
        name: fit(probes.get(name), probes.get(name).measure_all_sizes())
        for name in probes.names()
    }
