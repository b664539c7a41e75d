"""Linear fits of measured costs."""

import dataclasses
import typing as t

import numpy

from savorytally import registry

SIZES_MIN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One measurement.

    :param size: size at which the cost was measured.
    :param cost: measured cost.
    """

    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A least-squares line through samples.

    :param name: name of the probe that took the samples.
    :param cost_unit: unit of the cost.
    :param size_unit: unit of the size.
    :param per_unit: slope, the cost of one more unit of size.
    :param base: cost at size 0.
    :param error: root mean square of the residuals, as a fraction of the
        largest cost.
    :param samples: samples that the line was fitted to.
    """

    name: str
    cost_unit: str
    size_unit: str
    per_unit: float
    base: float
    error: float
    samples: tuple[Sample, ...]

    def cost_at(self, size: float) -> float:
        """Return the fitted cost at a size."""
        return self.base + self.per_unit * size


Measure = t.Callable[[int], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A registered probe, which measures a cost at several sizes.

    :param name: name of the probe.
    :param cost_unit: unit of the cost.
    :param size_unit: unit of the size.
    :param sizes: sizes to measure at.
    :param measure: measures the cost at a size.
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
    """Register the decorated function as a probe."""

    def decorate(measure: Measure) -> Measure:
        entry = Probe(name, cost_unit, size_unit, sizes, measure)
        probes.register(name)(entry)
        return measure

    return decorate


def fit(probe_: Probe, samples: t.Sequence[Sample]) -> Slope:
    """Fit a line to a probe's samples.

    :raises ValueError: if there are fewer than :data:`SIZES_MIN` sizes.
    """
    sizes = [sample.size for sample in samples]
    if len(set(sizes)) < SIZES_MIN:
        raise ValueError(
            f"probe {probe_.name} needs at least {SIZES_MIN} sizes"
        )
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
