"""Figures of a replay and their comparison with the expected outcomes."""

import dataclasses
import itertools
import typing as t

from ..decisions import fair_shares
from ..world import route
from . import calls
from . import player
from . import trace

BUCKET_S = 0.25
RECOVERED_SHARE = 0.99
STEP_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Measurements of a replay.

    :param goodput_share: slot time of successful requests at the bottleneck
        service in the measured span, relative to the offered slot time or
        the service's capacity, whichever is less.
    :param recovery_s: time from the end of the trigger until the success
        rate stays at its level before the trigger.
    :param worst_share: slot time of successful requests relative to the
        max-min fair share, the least value over all organisations and
        priority classes.
    :param in_rate_refused: fraction of failed requests among organisations
        that kept their rate limit.
    :param inversions: number of rejections of a request while one of a lower
        priority class was served.
    :param thrown_away_share: slot time spent on failed requests, relative to
        the slot time of the bottleneck service.
    :param calls_per_request: mean number of calls at gates per request.
    :param calls_per_root_max: most calls at gates for one root request.
    """

    goodput_share: float
    recovery_s: float
    worst_share: float
    in_rate_refused: float
    inversions: float
    thrown_away_share: float
    calls_per_request: float
    calls_per_root_max: float


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Comparison of a figure with its expected outcome.

    :param expected: the expected outcome.
    :param value: the measured figure.
    """

    expected: trace.ExpectedOutcome
    value: float

    @property
    def met(self) -> bool:
        """Whether the figure is within the expected bounds."""
        low, high = self.expected.at_least, self.expected.at_most
        if low is not None and self.value < low:
            return False
        return high is None or self.value <= high


def evaluate(header: trace.Header, figures: Figures) -> t.Iterator[Verdict]:
    """Yield a verdict for each expected outcome of a trace.

    :raises AttributeError: if an outcome refers to an unknown figure.
    """
    for expected in header.outcomes:
        yield Verdict(expected, float(getattr(figures, expected.figure)))


def measure(played: trace.Trace, done: player.ReplayResult) -> Figures:
    """Return the figures of a replay.

    :param played: the trace.
    :param done: the result of the replay.
    """
    header = played.header
    span = header.measure
    whole = trace.Span(0.0, max(played.arrivals[-1].at_s, span.until_s))
    kept = [item for item in done.requests if not item.hung_up]
    requests = max(len(done.requests), 1)
    return Figures(
        goodput_share=_goodput_share(header, kept),
        recovery_s=_recovery_s(header, kept),
        worst_share=_worst_share(header, kept),
        in_rate_refused=_in_rate_refused(header, kept),
        inversions=done.inversions,
        thrown_away_share=done.thrown_away_s / _slot_time_s(header, whole),
        calls_per_request=sum(x.calls for x in done.requests) / requests,
        calls_per_root_max=max(x.calls_max for x in done.requests),
    )


def _work_s(header: trace.Header, request: calls.Request) -> float:
    arrival = request.arrival
    if header.bottleneck not in arrival.route.services:
        return 0.0
    hop = arrival.route.services.index(header.bottleneck)
    return arrival.service_s[hop]


def _slot_time_s(header: trace.Header, span: trace.Span) -> float:
    return span.length_s * sum(
        item.slots
        for item in header.gates.values()
        if item.service_id == header.bottleneck
    )


def _capacity_s(header: trace.Header, span: trace.Span) -> float:
    steps = int(span.length_s / STEP_S)
    total_s = 0.0
    for item in header.gates.values():
        if item.service_id != header.bottleneck:
            continue
        conditions = [
            x for x in header.conditions if x.gate_id == item.gate_id
        ]
        for step in range(steps):
            at_s = span.from_s + step * STEP_S
            total_s += item.slots * STEP_S * _speed(conditions, at_s)
    return total_s


def _speed(conditions: t.Iterable[trace.Condition], at_s: float) -> float:
    speed = 1.0
    for item in conditions:
        if not item.from_s <= at_s < item.until_s:
            continue
        if item.kind == "down":
            return 0.0
        if item.kind == "slow":
            speed /= item.factor
        if item.kind == "cold":
            left = (item.until_s - at_s) / (item.until_s - item.from_s)
            speed /= 1.0 + (item.factor - 1.0) * left
    return speed


def _arrived(
    requests: t.Iterable[calls.Request], span: trace.Span
) -> list[calls.Request]:
    return [
        item
        for item in requests
        if span.from_s <= item.arrival.at_s < span.until_s
    ]


def _goodput_share(
    header: trace.Header, requests: list[calls.Request]
) -> float:
    span = header.measure
    answered_s = sum(
        _work_s(header, item)
        for item in requests
        if item.answered_at is not None
        and span.from_s <= item.answered_at < span.until_s
    )
    bound_s = sum(
        min(
            sum(_work_s(header, x) for x in _arrived(requests, bucket)),
            _capacity_s(header, bucket),
        )
        for bucket in _buckets(header)
    )
    return answered_s / max(bound_s, STEP_S)


def _buckets(header: trace.Header) -> t.Iterator[trace.Span]:
    """Yield parts of the measured span as long as the longest timeout.

    Demand and capacity are compared within each part, since later idle
    capacity can't serve requests whose deadline has passed.
    """
    longest_s = max(item.timeout_s for item in header.routes.values())
    from_s = header.measure.from_s
    while from_s < header.measure.until_s:
        until_s = min(from_s + longest_s, header.measure.until_s)
        yield trace.Span(from_s, until_s)
        from_s = until_s


def _answered_share(requests: list[calls.Request]) -> float:
    if not requests:
        return 1.0
    good = sum(item.answered_at is not None for item in requests)
    return good / len(requests)


def _recovery_s(header: trace.Header, requests: list[calls.Request]) -> float:
    trigger = header.trigger
    before = trace.Span(0.0, max(trigger.from_s, BUCKET_S))
    required_share = RECOVERED_SHARE * _answered_share(
        _arrived(requests, before)
    )
    last_s = max(item.arrival.at_s for item in requests)
    recovery_s = 0.0
    for number in itertools.count():
        from_s = trigger.until_s + number * BUCKET_S
        if from_s >= last_s:
            return recovery_s
        bucket = trace.Span(from_s, from_s + BUCKET_S)
        if _answered_share(_arrived(requests, bucket)) < required_share:
            recovery_s = (number + 1) * BUCKET_S
    raise AssertionError("unreachable")


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """Key of an organisation's share of capacity in a priority class."""

    priority: route.Priority
    organisation_id: str


def _worst_share(header: trace.Header, requests: list[calls.Request]) -> float:
    fair_s_by_claim: dict[_Claim, float] = {}
    for bucket in _buckets(header):
        for claim, fair_s in _fair_shares(header, requests, bucket).items():
            fair_s_by_claim[claim] = fair_s_by_claim.get(claim, 0.0) + fair_s
    arrived = _arrived(requests, header.measure)
    good = [item for item in arrived if item.answered_at is not None]
    answered = _by_claim(header, good)
    return min(
        (
            answered.get(claim, 0.0) / fair_s
            for claim, fair_s in fair_s_by_claim.items()
            if fair_s > STEP_S
        ),
        default=1.0,
    )


def _fair_shares(
    header: trace.Header, requests: list[calls.Request], bucket: trace.Span
) -> dict[_Claim, float]:
    """Return the max-min fair slot time of each class and organisation."""
    left_s = _capacity_s(header, bucket)
    demands = _by_claim(header, _arrived(requests, bucket))
    fair: dict[_Claim, float] = {}
    for priority in sorted(route.Priority, reverse=True):
        class_demands = {
            claim: work_s
            for claim, work_s in demands.items()
            if claim.priority is priority
        }
        weights = {
            claim: header.organisations[claim.organisation_id].weight
            for claim in class_demands
        }
        unit_s = 0.0
        if class_demands and left_s > 0.0:
            unit_s = fair_shares.water_fill(
                [(work_s, weights[x]) for x, work_s in class_demands.items()],
                left_s,
            )
        for claim, work_s in class_demands.items():
            fair[claim] = min(work_s, unit_s * weights[claim])
        left_s = max(left_s - sum(class_demands.values()), 0.0)
    return fair


def _by_claim(
    header: trace.Header, requests: t.Iterable[calls.Request]
) -> dict[_Claim, float]:
    work: dict[_Claim, float] = {}
    for item in requests:
        work_s = _work_s(header, item)
        if work_s > 0:
            claim = _Claim(
                item.arrival.route.priority, item.arrival.organisation_id
            )
            work[claim] = work.get(claim, 0.0) + work_s
    return work


def _in_rate_refused(
    header: trace.Header, requests: list[calls.Request]
) -> float:
    span = header.measure
    counted: list[calls.Request] = []
    arrived = _arrived(requests, span)
    for name, item in header.organisations.items():
        own_requests = [
            x for x in arrived if x.arrival.organisation_id == name
        ]
        if len(own_requests) <= item.rate_per_s * span.length_s:
            counted += own_requests
    return 1.0 - _answered_share(counted)
