"""Computes the most that any policy could serve of a day's requests.

    python -m tools.upper_bound LOAD.json [--earned SERVED.json] [--json]

The load file is a JSON object (``examples/upper_bound.json``):

``duration_s``, ``window_s`` (2)
    Length of the day and of the windows of the report, in seconds.
``services``
    By name: ``upstreams``, ``slots`` of one upstream, ``speed`` (1, work per
    second of a slot), ``work_factor`` (1).
``classes``
    By name: ``service``; ``offered``, a series by data centre, absent for
    calls that only other requests make; ``work_ms``, mean work at its own
    service; ``value`` (1) within ``objective_ms``, ``value_late`` (equal)
    until ``deadline_ms``; ``repeatable`` (true), which
    is only checked: rejected calls have not run and may always be sent again;
    ``calls``, a list of
    ``{"class": NAME, "count": 1}``, each with the calls of its own class.
    A series is ``{"steps": [[SINCE_S, PER_S], ...]}`` or ``{"mean": PER_S,
    "swing": 0, "period_s": 1, "phase_s": 0}`` (a sine), with ``bursts``, a
    list of ``{"from_s", "to_s", "factor"}``.
``spells``
    List of ``service``, ``from_s``, ``to_s``, ``rejects`` (0, share of the
    attempts that is rejected at random whatever room there is) and ``down``
    (0, upstreams that are down).
``retries``
    ``ratio`` (0) x direct requests to a service + ``slack`` (0) in any
    ``window_s`` (10); ``caller_count`` (1) retries of a caller after a
    refusal, each delayed by at most ``caller_delay_share`` (1/3) of the
    remaining time; ``hold_share`` (1), the share of the deadline for which a
    policy may keep a request waiting. 0 describes policies without queues.

The file of ``--earned`` maps each class to the number of served requests, or
to ``{"on_time": N, "late": N}``.

The result is an upper bound, in expectation, because each step only relaxes
what a policy has to respect. All upstreams of a service are one pool; distance
and regions cost nothing. Only served requests occupy slots, for their own work
and not while they wait for calls; the parts of a chain run in any windows
before the deadline. Each call is made at the best moment within its reach. A
retry saves at most one chain, with the probability that it is not rejected,
and spells use the whole budget of each budget window that they touch. The
remaining problem is a linear program, and the value of its dual at any prices
of slots and retries that are not negative bounds it (weak duality). The prices
are found by a subgradient search: a bad search makes the bound loose, never
wrong. The bound of a class ignores all other classes, so that the bound in all
is less than their sum.
"""

import argparse
import collections
import dataclasses
import json
import math
import pathlib
import sys
import typing as t

import numpy

from tools import upper_bound_load

# The step of the search shrinks by this factor at each level, down to the
# smallest step relative to the first.
STEP_FACTOR = 0.7
STEP_LEVELS = 30
STEPS_PER_LEVEL = 30
# Prices whose cost is below this fraction of a window's value don't bind.
BINDS_MIN = 1e-3


@dataclasses.dataclass(frozen=True)
class ClassBound:
    """Bound of a class alone.

    :param offered: offered requests.
    :param possible: the most of them that any policy could serve.
    """

    offered: float
    possible: float


@dataclasses.dataclass(frozen=True)
class Bound:
    """Bounds of a day.

    :param classes: bounds by class.
    :param offered: offered requests of all classes.
    :param possible: the most requests that any policy could serve.
    :param offered_value: value of all offered requests if served on time.
    :param possible_value: the most value that any policy could earn.
    :param binds: what costs most value in each window: ``slots of SERVICE``,
        ``rejections of SERVICE`` or ``nothing``.
    """

    classes: dict[str, ClassBound]
    offered: float
    possible: float
    offered_value: float
    possible_value: float
    binds: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class _Budget:
    """Retries that may be made during a spell.

    :param service: index of the service.
    :param retries: the most retries.
    :param accepts: probability that one is not rejected.
    :param during: whether the spell touches each window, as 0 or 1.
    """

    service: int
    retries: float
    accepts: float
    during: numpy.ndarray


@dataclasses.dataclass(frozen=True)
class _Prices:
    """Prices of a slot-second by service and window, and of a retry."""

    slots: numpy.ndarray
    retries: numpy.ndarray


class _Dual:
    """The dual of the linear program.

    :param load: the load.
    """

    def __init__(self, load: upper_bound_load.Load) -> None:
        self.names = [
            name
            for name, item in load.classes.items()
            if item.offered_per_s.any()
        ]
        self._load = load
        self._services = list(load.services)
        self.capacity = self._capacity()
        self.budgets = self._budgets()
        self.offered = numpy.array(
            [
                self._by_window(load.classes[name].offered_per_s)
                for name in self.names
            ]
        ).reshape(len(self.names), load.windows)
        self._work = numpy.array([self._work_of(n) for n in self.names])
        on_time = [self._accepted(name, False) for name in self.names]
        at_all = [self._accepted(name, True) for name in self.names]
        self._on_time = numpy.array(on_time).reshape(self.offered.shape)
        self._at_all = numpy.array(at_all).reshape(self.offered.shape)
        self._calls_to = self._work_calls()

    def best(
        self, values: numpy.ndarray, late: numpy.ndarray
    ) -> tuple[float, _Prices]:
        """Return the least bound found, and its prices.

        :param values: value on time, by class.
        :param late: value after the objective, by class.
        """
        work = self._work[values > 0]
        used = work[work > 0]
        first = float(values.max() / used.min()) if used.size else 0.0
        prices = _Prices(
            numpy.zeros(self.capacity.shape), numpy.zeros(len(self.budgets))
        )
        bound, gradient = self.bound(prices, values, late)
        best, best_prices, best_gradient = bound, prices, gradient
        retry_step = float(values.max())
        if gradient.slots.min() >= 0 and (gradient.retries >= 0).all():
            # Nothing is scarce; no price can lower the bound.
            return best, best_prices
        for level in range(STEP_LEVELS):
            factor = STEP_FACTOR**level
            prices, gradient = best_prices, best_gradient
            seen = [
                numpy.full(part.shape, 1e-12)
                for part in (gradient.slots, gradient.retries)
            ]
            for _ in range(STEPS_PER_LEVEL):
                seen[0] += gradient.slots**2
                seen[1] += gradient.retries**2
                prices = _Prices(
                    _down(
                        prices.slots, gradient.slots, seen[0], factor * first
                    ),
                    _down(
                        prices.retries,
                        gradient.retries,
                        seen[1],
                        factor * retry_step,
                    ),
                )
                bound, gradient = self.bound(prices, values, late)
                if bound < best:
                    best = bound
                    best_prices, best_gradient = prices, gradient
        return best, best_prices

    def bound(
        self, prices: _Prices, values: numpy.ndarray, late: numpy.ndarray
    ) -> tuple[float, _Prices]:
        """Return the bound at given prices, and its gradient."""
        total = float((prices.slots * self.capacity).sum())
        slots = self.capacity.copy()
        retries = numpy.array([item.retries for item in self.budgets])
        total += float((prices.retries * retries).sum())
        for row, name in enumerate(self.names):
            item = self._load.classes[name]
            options = [
                self._option(row, prices.slots, item.objective_s, values[row]),
                self._option(row, prices.slots, item.deadline_s, late[row]),
            ]
            offered = self.offered[row]
            on_time = offered * self._on_time[row]
            at_all = offered * self._at_all[row]
            prompt = options[0].gain >= options[1].gain
            gain = numpy.maximum(options[0].gain, options[1].gain)
            retry, which = self._retry_price(row, prices.retries)
            parts = (
                (on_time, gain, prompt),
                (at_all - on_time, options[1].gain, numpy.zeros_like(prompt)),
                (offered - at_all, gain - retry, prompt),
            )
            for index, (amount, part, first) in enumerate(parts):
                taken = numpy.where(part > 0, amount, 0.0)
                total += float((taken * numpy.maximum(part, 0.0)).sum())
                for option, chosen in zip(
                    options, (first, ~first), strict=True
                ):
                    self._use(slots, row, option.windows, taken * chosen)
                if index == 2:
                    for number, budget in enumerate(self.budgets):
                        mine = taken[which == number].sum()
                        retries[number] -= mine / max(budget.accepts, 1e-9)
        return total, _Prices(slots, retries)

    def losses(
        self, prices: _Prices, values: numpy.ndarray
    ) -> list[collections.Counter[str]]:
        """Return the value that each constraint costs, by window."""
        found: list[collections.Counter[str]] = [
            collections.Counter() for _ in range(self._load.windows)
        ]
        for index, name in enumerate(self._services):
            costs = prices.slots[index] * self.capacity[index]
            for window, cost in enumerate(costs):
                found[window][f"slots of {name}"] += float(cost)
        for row, lost in enumerate(
            self.offered * (1 - self._at_all) * values[:, None]
        ):
            for budget in self.budgets:
                if not self._calls_to[row, budget.service]:
                    continue
                name = self._services[budget.service]
                for window in numpy.flatnonzero(budget.during * lost):
                    key = f"rejections of {name}"
                    found[window][key] += float(lost[window])
        return found

    def _option(
        self, row: int, prices: numpy.ndarray, within_s: float, value: float
    ) -> "_Option":
        """Return the gain of requests that end within a time."""
        ahead = math.ceil(within_s / self._load.window_s)
        padded = numpy.pad(
            prices, ((0, 0), (0, ahead)), constant_values=numpy.inf
        )
        views = numpy.lib.stride_tricks.sliding_window_view(
            padded, ahead + 1, axis=1
        )
        windows = views.argmin(axis=2) + numpy.arange(self._load.windows)
        cheapest = numpy.take_along_axis(prices, windows, axis=1)
        return _Option(value - self._work[row] @ cheapest, windows)

    def _use(
        self,
        slots: numpy.ndarray,
        row: int,
        windows: numpy.ndarray,
        taken: numpy.ndarray,
    ) -> None:
        """Subtract the slot-seconds of requests from those left."""
        for service in numpy.flatnonzero(self._work[row]):
            numpy.subtract.at(
                slots[service],
                windows[service],
                taken * self._work[row, service],
            )

    def _retry_price(
        self, row: int, prices: numpy.ndarray
    ) -> tuple[numpy.ndarray, numpy.ndarray]:
        """Return the least price of saving a chain, and whose budget it is.

        The price is infinite without a budget.
        """
        least = numpy.full(self._load.windows, numpy.inf)
        which = numpy.full(self._load.windows, -1)
        for number, budget in enumerate(self.budgets):
            if not budget.accepts or not self._calls_to[row, budget.service]:
                continue
            price = prices[number] / budget.accepts
            better = (budget.during > 0) & (price < least)
            least[better], which[better] = price, number
        return least, which

    def _capacity(self) -> numpy.ndarray:
        """Return the slot-seconds by service and window."""
        found = []
        for name, service in self._load.services.items():
            up = numpy.full(len(self._load.ticks), service.upstreams)
            for spell in self._load.spells:
                if spell.service == name:
                    up -= spell.down * self._within(spell)
            speed = service.slots * service.speed
            found.append(self._by_window(numpy.maximum(up, 0.0) * speed))
        return numpy.array(found)

    def _work_of(self, name: str) -> numpy.ndarray:
        """Return the slot-seconds of one chain, by service."""
        work = numpy.zeros(len(self._services))
        for below, count in self._load.chain(name).items():
            item = self._load.classes[below]
            factor = self._load.services[item.service].work_factor
            index = self._services.index(item.service)
            work[index] += count * item.work_s * factor
        return work

    def _work_calls(self) -> numpy.ndarray:
        """Return how many attempts one chain makes, by class and service."""
        calls = numpy.zeros((len(self.names), len(self._services)))
        for row, name in enumerate(self.names):
            for below, count in self._load.chain(name).items():
                service = self._load.classes[below].service
                calls[row, self._services.index(service)] += count
        return calls

    def _accepted(self, name: str, late: bool) -> numpy.ndarray:
        """Return the share of a class's chains without a rejected call.

        :param late: whether responses after the objective count.
        """
        item = self._load.classes[name]
        limit_s = item.deadline_s if late else item.objective_s
        work_s = sum(
            count * self._load.classes[below].work_s
            for below, count in self._load.chain(name).items()
        )
        reach_s = self._load.retries.reach_share * item.deadline_s + work_s
        reach_s = min(limit_s, reach_s)
        attempts = 1 + self._load.retries.caller_count
        accepted = numpy.ones(len(self._load.ticks))
        for below, count in self._load.chain(name).items():
            service = self._load.classes[below].service
            rejected = self._rejected(service, reach_s)
            if below == name:
                # The caller retries only what was refused at its own service.
                accepted *= 1 - rejected**attempts
                count -= 1
            accepted *= (1 - rejected) ** count
        offered = self._by_window(item.offered_per_s)
        passed = self._by_window(item.offered_per_s * accepted)
        return numpy.divide(
            passed, offered, out=numpy.ones_like(passed), where=offered > 0
        )

    def _rejected(self, service: str, reach_s: float) -> numpy.ndarray:
        """Return the least share rejected within reach of each tick."""
        ahead = round(reach_s / upper_bound_load.TICK_S)
        count = len(self._load.ticks) + ahead
        at = (numpy.arange(count) + 0.5) * upper_bound_load.TICK_S
        passes = numpy.ones(count)
        for spell in self._load.spells:
            if spell.service == service:
                within = (at >= spell.from_s) & (at < spell.to_s)
                passes *= 1 - spell.rejects * within
        views = numpy.lib.stride_tricks.sliding_window_view(
            1 - passes, ahead + 1
        )
        return views.min(axis=1)

    def _budgets(self) -> list[_Budget]:
        """Return the retry budgets of all spells of rejections."""
        found = []
        limits = self._load.retries
        for spell in self._load.spells:
            if not spell.rejects:
                continue
            count = math.ceil((spell.to_s - spell.from_s) / limits.window_s)
            end_s = spell.from_s + count * limits.window_s
            at = self._load.ticks
            covered = (at >= spell.from_s) & (at < end_s)
            direct = sum(
                float((item.offered_per_s * covered).sum())
                for item in self._load.classes.values()
                if item.service == spell.service
            )
            direct *= upper_bound_load.TICK_S
            # Requests that arrive before the spell may make calls in it.
            longest_s = max(
                item.deadline_s for item in self._load.classes.values()
            )
            early = dataclasses.replace(spell, from_s=spell.from_s - longest_s)
            found.append(
                _Budget(
                    self._services.index(spell.service),
                    limits.ratio * direct + count * limits.slack,
                    1 - spell.rejects,
                    self._by_window(self._within(early)) > 0,
                )
            )
        return found

    def _within(self, spell: upper_bound_load.Spell) -> numpy.ndarray:
        """Return whether each tick is in a spell, as 0 or 1."""
        at = self._load.ticks
        return ((at >= spell.from_s) & (at < spell.to_s)).astype(float)

    def _by_window(self, per_s: numpy.ndarray) -> numpy.ndarray:
        """Return the sums over each window of a rate by tick."""
        at = self._load.ticks
        window = (at / self._load.window_s).astype(int)
        found = numpy.zeros(self._load.windows)
        numpy.add.at(found, window, per_s * upper_bound_load.TICK_S)
        return found


@dataclasses.dataclass(frozen=True)
class _Option:
    """A way of serving the requests of a class.

    :param gain: value less the price of the slots, by window of arrival.
    :param windows: the cheapest window by service and window of arrival.
    """

    gain: numpy.ndarray
    windows: numpy.ndarray


def compute(load: upper_bound_load.Load) -> Bound:
    """Return the bounds of a load."""
    dual = _Dual(load)
    items = [load.classes[name] for name in dual.names]
    offered = dual.offered.sum(axis=1)
    classes = {}
    for row, name in enumerate(dual.names):
        alone = numpy.zeros(len(items))
        alone[row] = 1.0
        possible = min(float(offered[row]), dual.best(alone, alone)[0])
        classes[name] = ClassBound(float(offered[row]), possible)
    alike = numpy.ones(len(items))
    values = numpy.array([item.value for item in items])
    late = numpy.array([item.value_late for item in items])
    possible_value, prices = dual.best(values, late)
    possible = min(
        dual.best(alike, alike)[0],
        sum(item.possible for item in classes.values()),
    )
    binds = []
    worth = (dual.offered * values[:, None]).sum(axis=0)
    for window, costs in enumerate(dual.losses(prices, values)):
        name, cost = max(
            costs.items(), key=lambda pair: pair[1], default=("", 0.0)
        )
        binding = cost > BINDS_MIN * worth[window]
        binds.append(name if binding else "nothing")
    return Bound(
        classes,
        float(offered.sum()),
        possible,
        float((offered * values).sum()),
        possible_value,
        tuple(binds),
    )


def compare(
    load: upper_bound_load.Load, bound: Bound, earned: t.Mapping[str, t.Any]
) -> dict[str, float]:
    """Return earned / possible by class, and of the value as ``in all``.

    :raises ValueError: if the served counts are malformed.
    """
    shares = {}
    value = 0.0
    for name, served in earned.items():
        if name not in bound.classes:
            raise ValueError(f"/{name}: no such class, or nothing offered")
        on_time, late = _served(name, served)
        item = load.classes[name]
        value += on_time * item.value + late * item.value_late
        shares[name] = _share(on_time + late, bound.classes[name].possible)
    return {**shares, "in all": _share(value, bound.possible_value)}


def report(bound: Bound, window_s: float) -> dict[str, t.Any]:
    """Return the report as a JSON object."""
    windows = [
        {"from_s": round(index * window_s, 3), "binds": name}
        for index, name in enumerate(bound.binds)
    ]
    return {
        "classes": {
            name: dataclasses.asdict(item)
            for name, item in bound.classes.items()
        },
        "offered": bound.offered,
        "possible": bound.possible,
        "offered_value": bound.offered_value,
        "possible_value": bound.possible_value,
        "windows": windows,
    }


def main(arguments: list[str] | None = None) -> int:
    """Print the bounds of a load file; return 1 if a file is malformed."""
    parser = argparse.ArgumentParser(prog="python -m tools.upper_bound")
    parser.add_argument("load", type=pathlib.Path)
    parser.add_argument("--earned", type=pathlib.Path)
    parser.add_argument("--json", action="store_true")
    parsed = parser.parse_args(arguments)
    try:
        load = upper_bound_load.read(json.loads(parsed.load.read_text()))
        bound = compute(load)
        found = report(bound, load.window_s)
        if parsed.earned is not None:
            earned = json.loads(parsed.earned.read_text())
            found["earned"] = compare(load, bound, earned)
    except (OSError, ValueError) as error:
        print(f"upper_bound: {error}", file=sys.stderr)
        return 1
    print(json.dumps(found, indent=2) if parsed.json else _text(found))
    return 0


def _text(found: dict[str, t.Any]) -> str:
    lines = [f"{'class':20} {'offered':>10} {'possible':>10} {'earned':>7}"]
    earned = found.get("earned", {})
    rows = {**found["classes"], "in all": found}
    for name, item in rows.items():
        share = "" if name == "in all" else _percent(earned.get(name))
        lines.append(
            f"{name:20} {item['offered']:10.1f} {item['possible']:10.1f}"
            f" {share:>7}"
        )
    lines.append(
        f"{'value in all':20} {found['offered_value']:10.1f}"
        f" {found['possible_value']:10.1f} {_percent(earned.get('in all')):>7}"
    )
    previous = ""
    for window in found["windows"]:
        if window["binds"] != previous:
            previous = window["binds"]
            lines.append(f"from {window['from_s']:8.1f} s binds: {previous}")
    return "\n".join(lines)


def _percent(share: float | None) -> str:
    return "" if share is None else f"{share:.1%}"


def _served(name: str, value: t.Any) -> tuple[float, float]:
    """Return the requests served on time and late."""
    counts = (value, 0.0)
    if isinstance(value, dict):
        counts = (value.get("on_time", 0.0), value.get("late", 0.0))
    for count in counts:
        if not isinstance(count, int | float) or count < 0:
            raise ValueError(f"/{name}: not a number of requests")
    return counts


def _share(earned: float, possible: float) -> float:
    return earned / possible if possible else 0.0


def _down(
    prices: numpy.ndarray,
    gradient: numpy.ndarray,
    seen: numpy.ndarray,
    step: float,
) -> numpy.ndarray:
    """Return prices after one step against the gradient."""
    return numpy.maximum(prices - step * gradient / numpy.sqrt(seen), 0.0)


if __name__ == "__main__":
    sys.exit(main())
