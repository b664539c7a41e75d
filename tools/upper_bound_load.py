"""Reads the load files of :mod:`tools.upper_bound`."""

import dataclasses
import math
import typing as t

import numpy

# Resolution of rates and rejections within a window.
TICK_S = 0.1
_REQUIRED = object()


@dataclasses.dataclass(frozen=True)
class Service:
    """The upstreams of a service.

    :param upstreams: number of upstreams.
    :param slots: requests that one upstream runs at once.
    :param speed: work done per second by one slot, 1 is usual.
    :param work_factor: factor on the work of each request at this service.
    """

    upstreams: float
    slots: float
    speed: float
    work_factor: float


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests.

    :param service: the service that runs them.
    :param work_s: mean work of one request at its own service, in seconds.
    :param value: value of a response within the objective.
    :param value_late: value of a later response.
    :param objective_s: latency objective.
    :param deadline_s: time after which a response is worth nothing.
    :param repeatable: whether a request may run more than once.
    :param calls: classes of the calls that one request makes, with counts.
    :param offered_per_s: offered requests per second, one value per tick.
    """

    service: str
    work_s: float
    value: float
    value_late: float
    objective_s: float
    deadline_s: float
    repeatable: bool
    calls: tuple[tuple[str, float], ...]
    offered_per_s: numpy.ndarray


@dataclasses.dataclass(frozen=True)
class Spell:
    """A time in which a service rejects requests or has upstreams down.

    :param service: the service.
    :param from_s: its beginning.
    :param to_s: its end.
    :param rejects: share of attempts that is rejected at random.
    :param down: number of upstreams that are down.
    """

    service: str
    from_s: float
    to_s: float
    rejects: float
    down: float


@dataclasses.dataclass(frozen=True)
class Retries:
    """Limits of retries.

    :param ratio: retries of calls to a service, relative to the requests that
        callers send to it directly.
    :param slack: additional retries per window.
    :param window_s: the window of the budget.
    :param caller_count: retries of a caller after a refusal.
    :param caller_delay_share: longest delay of such a retry, as a share of
        the remaining time.
    :param hold_share: share of its deadline for which a policy may keep a
        request or a call waiting.
    """

    ratio: float
    slack: float
    window_s: float
    caller_count: int
    caller_delay_share: float
    hold_share: float

    @property
    def reach_share(self) -> float:
        """Longest delay of a request's start, as a share of its deadline."""
        if self.caller_count < 1:
            return self.hold_share
        return self.hold_share + (
            (1.0 - self.hold_share) * self.caller_delay_share
        )


@dataclasses.dataclass(frozen=True)
class Load:
    """What is offered on a day, and what there is to serve it.

    :param duration_s: length of the day.
    :param window_s: length of the windows of the report.
    """

    duration_s: float
    window_s: float
    services: dict[str, Service]
    classes: dict[str, RequestClass]
    spells: tuple[Spell, ...]
    retries: Retries

    @property
    def windows(self) -> int:
        """Number of windows, of which the last may be cut short."""
        return math.ceil(self.duration_s / self.window_s - 1e-9)

    @property
    def ticks(self) -> numpy.ndarray:
        """Middle of each tick, in seconds."""
        return _ticks(self.duration_s)

    def chain(self, name: str) -> dict[str, float]:
        """Return how often one request makes an attempt of each class.

        The request itself is included.
        """
        counts = {name: 1.0}
        for below, count in self.classes[name].calls:
            for found, times in self.chain(below).items():
                counts[found] = counts.get(found, 0.0) + count * times
        return counts


def read(value: t.Any) -> Load:
    """Return the load that a parsed file describes.

    :raises ValueError: if the file is malformed; names the place.
    """
    root = _Fields(value, "")
    duration_s = root.number("duration_s", least=TICK_S)
    window_s = root.number("window_s", 2.0, least=TICK_S)
    services = {
        name: Service(
            item.number("upstreams"),
            item.number("slots"),
            item.number("speed", 1.0),
            item.number("work_factor", 1.0),
        )
        for name, item in root.members("services")
    }
    classes = {
        name: _class(item, services, duration_s)
        for name, item in root.members("classes")
    }
    _check_calls(classes)
    spells = tuple(
        Spell(
            item.name("service", services),
            item.number("from_s"),
            item.number("to_s"),
            item.number("rejects", 0.0, most=1.0),
            item.number("down", 0.0),
        )
        for item in root.items("spells")
    )
    limits = _Fields(root.get("retries", {}), "/retries")
    retries = Retries(
        limits.number("ratio", 0.0),
        limits.number("slack", 0.0),
        limits.number("window_s", 10.0, least=TICK_S),
        int(limits.number("caller_count", 1)),
        limits.number("caller_delay_share", 1 / 3, most=1.0),
        limits.number("hold_share", 1.0, most=1.0),
    )
    return Load(duration_s, window_s, services, classes, spells, retries)


class _Fields:
    """The fields of an object in a load file.

    :param value: the object.
    :param place: JSON pointer to it.
    """

    def __init__(self, value: t.Any, place: str) -> None:
        if not isinstance(value, dict):
            raise ValueError(f"{place or '/'}: not an object")
        self._value = value
        self.place = place

    def get(self, key: str, default: t.Any = _REQUIRED) -> t.Any:
        """Return a field of any type."""
        if key in self._value:
            return self._value[key]
        if default is _REQUIRED:
            raise ValueError(f"{self.place}/{key}: missing")
        return default

    def number(
        self,
        key: str,
        default: t.Any = _REQUIRED,
        least: float = 0.0,
        most: float = float("inf"),
    ) -> float:
        """Return a number within bounds."""
        found = self.get(key, default)
        valid = isinstance(found, int | float) and not isinstance(found, bool)
        if not valid or not math.isfinite(found):
            raise ValueError(f"{self.place}/{key}: not a number")
        if not least <= found <= most:
            raise ValueError(f"{self.place}/{key}: not in {least}..{most}")
        return float(found)

    def name(self, key: str, known: t.Container[str]) -> str:
        """Return the name of something that the file defines."""
        found = self.get(key)
        if not isinstance(found, str) or found not in known:
            raise ValueError(f"{self.place}/{key}: unknown name {found!r}")
        return found

    def members(self, key: str) -> t.Iterator[tuple[str, "_Fields"]]:
        """Yield the members of a field that is an object of objects."""
        for name in _Fields(self.get(key), f"{self.place}/{key}")._value:
            place = f"{self.place}/{key}/{name}"
            yield name, _Fields(self._value[key][name], place)

    def items(self, key: str) -> t.Iterator["_Fields"]:
        """Yield the items of a field that is a list of objects."""
        found = self.get(key, [])
        if not isinstance(found, list):
            raise ValueError(f"{self.place}/{key}: not a list")
        for index, item in enumerate(found):
            yield _Fields(item, f"{self.place}/{key}/{index}")


def _class(
    item: _Fields, services: t.Container[str], duration_s: float
) -> RequestClass:
    offered = numpy.zeros(len(_ticks(duration_s)))
    if item.get("offered", None) is not None:
        for _, series in item.members("offered"):
            offered += _series(series, duration_s)
    value = item.number("value", 1.0)
    value_late = item.number("value_late", value, most=value)
    deadline_s = item.number("deadline_ms") / 1000
    repeatable = item.get("repeatable", True)
    if not isinstance(repeatable, bool):
        raise ValueError(f"{item.place}/repeatable: not true or false")
    objective_ms = item.number("objective_ms", most=deadline_s * 1000)
    return RequestClass(
        item.name("service", services),
        item.number("work_ms") / 1000,
        value,
        value_late,
        objective_ms / 1000,
        deadline_s,
        repeatable,
        tuple(
            (str(call.get("class")), call.number("count", 1.0))
            for call in item.items("calls")
        ),
        offered,
    )


def _series(series: _Fields, duration_s: float) -> numpy.ndarray:
    """Return the rate of each tick."""
    at = _ticks(duration_s)
    if series.get("steps", None) is not None:
        steps = _steps(series)
        since = numpy.array([step[0] for step in steps])
        per_s = numpy.array([0.0] + [step[1] for step in steps])
        rate = per_s[numpy.searchsorted(since, at, side="right")]
    else:
        wave = 2 * math.pi / series.number("period_s", 1.0, least=TICK_S)
        phase = at - series.number("phase_s", 0.0)
        swing = series.number("swing", 0.0, most=1.0)
        rate = series.number("mean") * (1 + swing * numpy.sin(wave * phase))
    for burst in series.items("bursts"):
        within = (at >= burst.number("from_s")) & (at < burst.number("to_s"))
        rate = numpy.where(within, rate * burst.number("factor"), rate)
    return rate


def _steps(series: _Fields) -> list[tuple[float, float]]:
    """Return the times from which rates apply, and the rates."""
    try:
        steps = [
            (float(at), float(per_s)) for at, per_s in series.get("steps")
        ]
    except (TypeError, ValueError) as error:
        raise ValueError(f"{series.place}/steps: not pairs") from error
    if steps != sorted(steps) or any(per_s < 0 for _, per_s in steps):
        raise ValueError(f"{series.place}/steps: out of order or negative")
    return steps


def _ticks(duration_s: float) -> numpy.ndarray:
    return (numpy.arange(round(duration_s / TICK_S)) + 0.5) * TICK_S


def _check_calls(classes: t.Mapping[str, RequestClass]) -> None:
    """Check that calls name known classes and never form a cycle."""
    finished: set[str] = set()

    def visit(name: str, above: tuple[str, ...]) -> None:
        if name in above:
            raise ValueError(f"/classes/{name}/calls: cycle")
        if name not in classes:
            raise ValueError(f"/classes/{above[-1]}/calls: unknown {name!r}")
        if name in finished:
            return
        for below, _ in classes[name].calls:
            visit(below, (*above, name))
        finished.add(name)

    for name in classes:
        visit(name, ())
