"""Judges a soak run from what callers and upstreams have seen."""

import bisect
import collections
import typing as t

from tools import soak_record

Record = soak_record.Record

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Stated bounds: repeats per request, and beyond that in a window.
REPEAT_RATIO = 0.2
REPEAT_SLACK = 50.0
REPEAT_WINDOW_S = 10.0
# A withdrawn key ends within this time, the store's silence included.
REVOKED_S = 7.0
# A host is judged again this long after something was done to it.
TOUCH_S = 3.0
GRACE_S = 6.0
# A request that was read is to be answered or passed on in this time.
LOST_S = 0.2
CONFIG_S = 2.0
DRAIN_S = 2.0
# Requests sent this long after the signal to stop may be too slow for it.
SLOW_SENT_S = 3.0
# Requests that may reach an upstream this long after their caller left.
GONE_S = 0.5
GONE_MAX = 3
# Requests that a calm host may cut after it has passed them on.
CUT_MAX = 3
TIMEOUT_S = 2.0
# Upstreams that a request may run on, and requests that may pass that.
ATTEMPTS_MAX = 2
MANY_MAX = 3
DEADLINE_SLACK_S = 0.5
# Memory of the smallest hosts.
MEMORY_MAX_BYTES = 200 << 20
LATE_MAX = 20
# What is passed on binds a host this long after; the windows of a limit and
# what they hold beyond it.
TOLD_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
CUT = "cut"
ANSWERED = "answered"
LEFT = "timeout"
# What is done to the mesh by plan.
PLANNED = "planned"

Check = t.Callable[[Record], t.Iterator[str]]
checks: dict[str, Check] = {}


def _check(function: Check) -> Check:
    checks[function.__name__] = function
    return function


def judge(record: Record) -> list[str]:
    """Return a line for each breach."""
    return [
        f"{name}: {breach}"
        for name, check in checks.items()
        for breach in check(record)
    ]


@_check
def at_most_once(record: Record) -> t.Iterator[str]:
    """A request that is not idempotent runs once at most."""
    once = {sent.name for sent in record.sent if not sent.idempotent}
    runs = collections.Counter(
        arrival.name for arrival in record.arrivals if arrival.ran
    )
    for name in sorted(once):
        if runs[name] > 1:
            yield f"{name} ran {runs[name]} times"


@_check
def refusals_are_true(record: Record) -> t.Iterator[str]:
    """What is refused with a promise has not run and does not later."""
    ran = {arrival.name for arrival in record.arrivals if arrival.ran}
    for sent in record.sent:
        if not sent.idempotent and sent.status in PROMISES:
            if sent.name in ran:
                yield f"{sent.name} was answered {sent.status} and has run"


@_check
def answers_are_whole_and_own(record: Record) -> t.Iterator[str]:
    """A success is the upstream's whole answer to this request."""
    for sent in record.sent:
        if sent.status != 200:
            continue
        expected = b"answer to " + sent.name.encode()
        if sent.body != expected or sent.signature != f"sig-{sent.name}":
            yield f"{sent.name} got {sent.body!r} signed {sent.signature!r}"


@_check
def upstreams_see_no_key(record: Record) -> t.Iterator[str]:
    """Upstreams are told the key's organisation and never the key."""
    keys = {sent.name: sent.key for sent in record.sent}
    for arrival in record.arrivals:
        if not arrival.ran or arrival.name not in keys:
            continue
        values = " ".join(arrival.headers.values())
        for key in record.organisations:
            if key in values:
                yield f"{arrival.name} brought a key to {arrival.service}"
        holder = record.organisations.get(keys[arrival.name])
        told = arrival.headers.get("x-savorytally-tenant")
        if told != holder:
            yield f"{arrival.name} ran for {told}, its key is {holder}'s"


@_check
def withdrawn_keys_end(record: Record) -> t.Iterator[str]:
    """A withdrawn key is not served after some seconds."""
    for sent in record.sent:
        since = record.revoked.get(sent.key)
        if since is None or sent.at < since + REVOKED_S:
            continue
        if sent.status == 200:
            late_s = sent.at - since
            yield f"{sent.name} was served {late_s:.1f} s after the withdrawal"


class _Mesh:
    """Which hosts were calm, and who ran what.

    :param planned: whether a stopped host is not calm either.
    """

    def __init__(self, record: Record, planned: bool = False) -> None:
        self._harms: dict[str, list[tuple[float, float]]] = {}
        for fault in record.faults:
            stopped = planned and fault.kind == "stop"
            if stopped or fault.group not in (PLANNED, "store"):
                spans = self._harms.setdefault(fault.host, [])
                spans.append((fault.at - 0.05, fault.until + TOUCH_S))
        self.arrivals: dict[str, list[int]] = {}
        for number, arrival in enumerate(record.arrivals):
            self.arrivals.setdefault(arrival.name, []).append(number)

    def calm(self, host: str, began: float, ended: float) -> bool:
        """Return whether nothing unplanned was done to a host."""
        return not any(
            at < ended and until > began
            for at, until in self._harms.get(host, ())
        )


@_check
def planned_work_cuts_nothing(record: Record) -> t.Iterator[str]:
    """Stops and reloads end no request without its answer."""
    mesh = _Mesh(record)
    works = [
        fault for fault in record.faults if fault.kind in ("stop", "reload")
    ]
    works.sort(key=lambda work: work.at)
    for sent in record.sent:
        own = sent.end == ANSWERED and sent.status in (500, 502, 504)
        if sent.end != CUT and not (own and not sent.signature):
            continue
        near = [work for work in works if _covers(work, sent)]
        if not near or not mesh.calm(sent.host, sent.at, sent.ended):
            continue
        why = _lost(record, mesh, sent, near[0])
        if why:
            after_s = sent.ended - near[0].at
            yield (
                f"{sent.name} to {sent.host} ended {sent.end} {sent.status}"
                f" {after_s:.2f} s after {near[0].kind}, {why}"
            )


def _covers(work: soak_record.Fault, sent: soak_record.Sent) -> bool:
    """Return whether a request may have suffered from planned work."""
    if work.host != sent.host or sent.ended < work.at:
        return False
    if work.kind == "stop":
        return sent.ended <= work.until
    return sent.end == CUT and sent.at <= work.at + CONFIG_S


def _lost(
    record: Record,
    mesh: _Mesh,
    sent: soak_record.Sent,
    work: soak_record.Fault,
) -> str:
    """Return how far a request came, empty if its end is excused."""
    took_s = sent.ended - sent.at
    if took_s > min(sent.left_s, TIMEOUT_S) - 0.05:
        return ""
    running = False
    numbers = mesh.arrivals.get(sent.name, ())
    for number in numbers:
        arrival = record.arrivals[number]
        if not mesh.calm(arrival.host, sent.at, sent.ended):
            return ""
        ended = record.ends.get(number)
        at_work = ended is None or ended.at > sent.ended
        running = running or (arrival.ran and at_work)
        if ended is not None and ended.broke:
            return ""
        late = sent.ended > work.at + GRACE_S * 5 / 6
        if work.kind == "stop" and late and at_work:
            if sent.at <= work.at + SLOW_SENT_S:
                return ""
    if sent.end == ANSWERED:
        return "while its upstream was at work" if running else ""
    if numbers:
        return "after it had reached an upstream"
    return f"unanswered for {took_s:.2f} s" if took_s > LOST_S else ""


@_check
def requests_passed_on_are_answered(record: Record) -> t.Iterator[str]:
    """Calm hosts cut few requests that they have passed on."""
    mesh = _Mesh(record, planned=True)
    cut = []
    for sent in record.sent:
        if sent.end != CUT or not mesh.calm(sent.host, sent.at, sent.ended):
            continue
        numbers = mesh.arrivals.get(sent.name, ())
        if numbers and all(
            mesh.calm(record.arrivals[number].host, sent.at, sent.ended)
            and not (number in record.ends and record.ends[number].broke)
            for number in numbers
        ):
            cut.append(sent.name)
    if len(cut) > CUT_MAX:
        yield f"{len(cut)} without a fault near, as {cut[0]}"


@_check
def repeats_are_bounded(record: Record) -> t.Iterator[str]:
    """Repeats at a service stay within the ratio and the slack."""
    for service, (count, allowed, at) in repeats_by_service(record).items():
        if count > allowed:
            yield (
                f"{service} got {count} repeats of {allowed:.0f} in"
                f" {REPEAT_WINDOW_S:.0f} s from {at:.2f}"
            )


def repeats_by_service(
    record: Record,
) -> dict[str, tuple[int, float, float]]:
    """Return repeats, bound and start of each service's worst window."""
    parents = {
        sent.name: sent.parent
        for sent in record.sent
        if sent.parent is not None
    }
    repeats: dict[str, list[float]] = {}
    seen: set[str] = set()
    again: list[bool] = []
    for arrival in record.arrivals:
        parent = parents.get(arrival.name)
        # A call of a run that was a repeat is one too.
        below = parent is not None and again[parent]
        again.append(below or arrival.name in seen)
        seen.add(arrival.name)
        if again[-1]:
            repeats.setdefault(arrival.service, []).append(arrival.at)
    requests: dict[str, list[float]] = {}
    for sent in record.sent:
        requests.setdefault(sent.service, []).append(sent.at)
    return {
        service: _worst_window(times, sorted(requests.get(service, ())))
        for service, times in repeats.items()
    }


def _worst_window(
    repeats: list[float], asked: list[float]
) -> tuple[int, float, float]:
    """Return repeats, bound and start of the window nearest its bound."""
    worst = (0, REPEAT_SLACK, 0.0)
    for first, start in enumerate(repeats):
        count = bisect.bisect_left(repeats, start + REPEAT_WINDOW_S) - first
        most = max(
            bisect.bisect_left(asked, begin + REPEAT_WINDOW_S)
            - bisect.bisect_left(asked, begin)
            for begin in (
                start,
                start - REPEAT_WINDOW_S / 2,
                start - REPEAT_WINDOW_S,
            )
        )
        allowed = REPEAT_RATIO * most + REPEAT_SLACK
        if count / allowed > worst[0] / worst[1]:
            worst = (count, allowed, start)
    return worst


@_check
def attempts_are_bounded(record: Record) -> t.Iterator[str]:
    """Few requests run on more upstreams than their route allows."""
    mesh = _Mesh(record)
    many = []
    for name, numbers in mesh.arrivals.items():
        ran = {
            record.arrivals[number].instance
            for number in numbers
            if record.arrivals[number].ran
        }
        if len(ran) > ATTEMPTS_MAX:
            many.append(name)
    if len(many) > MANY_MAX:
        yield f"{len(many)} ran on more than {ATTEMPTS_MAX}, as {many[0]}"


@_check
def deadlines_are_handed_down(record: Record) -> t.Iterator[str]:
    """Upstreams are told a deadline that is not after the caller's."""
    by_name = {sent.name: sent for sent in record.sent}
    late = total = 0
    for arrival in record.arrivals:
        sent = by_name.get(arrival.name)
        if sent is None:
            continue
        total += 1
        told = arrival.headers.get("x-savorytally-deadline-ms", "")
        end = arrival.at + (int(told) / 1000 if told.isdigit() else 1e9)
        late += end > sent.at + sent.left_s + DEADLINE_SLACK_S
    if late > LATE_MAX and late > total / 5:
        yield f"{late} of {total} arrivals were told too late a deadline"


@_check
def leaving_upstreams_get_nothing(record: Record) -> t.Iterator[str]:
    """Nothing new runs at an upstream some time after it said it leaves."""
    mesh = _Mesh(record)
    store = [fault for fault in record.faults if fault.group == "store"]
    by_name = {sent.name: sent for sent in record.sent}
    for arrival in record.arrivals:
        since = record.leaving.get(arrival.instance)
        if since is None or arrival.at <= since + DRAIN_S or not arrival.ran:
            continue
        sent = by_name.get(arrival.name)
        if sent is None or any(
            fault.at < arrival.at and fault.until + TOUCH_S > since
            for fault in store
        ):
            continue
        if mesh.calm(sent.host, since, arrival.at):
            late_s = arrival.at - since
            yield f"{arrival.name} reached {arrival.instance} {late_s:.2f} s"


@_check
def named_limits_are_kept(record: Record) -> t.Iterator[str]:
    """Upstreams get what they name of hosts that they have told."""
    mesh = _Mesh(record, planned=True)
    told = _first_told(record, lambda sent: sent.limited)
    by_name = {sent.name: sent for sent in record.sent}
    for limit in record.limits:
        times = []
        for arrival in record.arrivals:
            sent = by_name.get(arrival.name)
            if arrival.start != limit.start or sent is None:
                continue
            since = told.get((sent.host, limit.start))
            if since is None or arrival.at < since + TOLD_S:
                continue
            if limit.at + TOUCH_S <= arrival.at < limit.until and mesh.calm(
                sent.host, since, arrival.at
            ):
                times.append(arrival.at)
        allowed = limit.limit_per_s * LIMIT_WINDOW_S * LIMIT_OVERAGE
        allowed += LIMIT_SLACK
        for first, at in enumerate(times):
            end = bisect.bisect_left(times, at + LIMIT_WINDOW_S)
            if end - first > allowed:
                yield (
                    f"{limit.start} named {limit.limit_per_s} a second and"
                    f" got {end - first} from {at:.2f}, allowed {allowed:.0f}"
                )
                break


@_check
def leaving_answers_are_heeded(record: Record) -> t.Iterator[str]:
    """Hosts send nothing new to upstreams that told them they leave."""
    told = _first_told(record, lambda sent: sent.leaving)
    by_name = {sent.name: sent for sent in record.sent}
    restarts = [
        fault
        for fault in record.faults
        if fault.kind == "stop" or fault.group == "process"
    ]
    for arrival in record.arrivals:
        sent = by_name.get(arrival.name)
        if sent is None or not arrival.start:
            continue
        since = told.get((sent.host, arrival.start))
        if since is None or sent.at <= since + DRAIN_S:
            continue
        if not any(
            fault.host == sent.host
            and fault.at < arrival.at
            and fault.until > since
            for fault in restarts
        ):
            late_s = sent.at - since
            yield f"{arrival.name} reached {arrival.start} {late_s:.2f} s"


def _first_told(
    record: Record, tells: t.Callable[[soak_record.Sent], bool]
) -> dict[tuple[str, str], float]:
    """Return when hosts first passed on what starts of upstreams say."""
    told: dict[tuple[str, str], float] = {}
    for sent in record.sent:
        if sent.start and tells(sent):
            place = (sent.host, sent.start)
            told[place] = min(told.get(place, sent.ended), sent.ended)
    return told


@_check
def abandoned_requests_end(record: Record) -> t.Iterator[str]:
    """Few requests reach upstreams after their callers have left."""
    mesh = _Mesh(record)
    late = []
    for sent in record.sent:
        if sent.end != LEFT:
            continue
        for number in mesh.arrivals.get(sent.name, ()):
            arrival = record.arrivals[number]
            if arrival.at > sent.ended + GONE_S and mesh.calm(
                sent.host, sent.ended, arrival.at
            ):
                late.append(sent.name)
    if len(late) > GONE_MAX:
        yield f"{len(late)} after their callers had left, as {late[0]}"


@_check
def nodes_keep_running(record: Record) -> t.Iterator[str]:
    """A node's process ends only when it is told to."""
    for host in record.own_ends:
        yield f"the node of {host} ended by itself"


@_check
def nodes_keep_their_memory(record: Record) -> t.Iterator[str]:
    """No node holds more than the smallest hosts have."""
    for host, peak_bytes in sorted(record.peaks.items()):
        if peak_bytes > MEMORY_MAX_BYTES:
            yield f"the node of {host} held {peak_bytes >> 20} MB"
