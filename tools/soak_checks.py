"""Checks of a soak run against the records of callers and upstreams."""

import bisect
import collections
import math
import typing as t

from tools import soak_record

Record = soak_record.Record

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Bound on retries in a window: a ratio of the requests plus a constant.
RETRY_RATIO = 0.2
RETRY_SLACK = 50.0
RETRY_WINDOW_S = 10.0
# Time within which hosts in touch have a confirmed version in force.
CONFIG_S = 2.0
# Longest time until a revoked key is rejected, also when the store does not
# respond.
REVOCATION_MAX_S = 7.0
# Time after a fault in which the checks of the host are suspended, and after
# which all hosts are in touch with the store.
SETTLE_S = 3.0
STOP_GRACE_S = 6.0
# Longest time in which a node responds to a request or forwards it.
UNANSWERED_MAX_S = 0.2
RELOAD_WINDOW_S = 2.0
DRAIN_REACTION_S = 2.0
# Requests sent up to this long after the signal to stop may be too slow to
# end within the grace period.
SLOW_SENT_S = 3.0
# Time after which requests of disconnected callers no longer reach an
# upstream, and how many may do so all the same.
ABANDONED_REACTION_S = 0.5
ABANDONED_MAX = 3
# Time before the deadline of a request from which a node may give it up.
DEADLINE_MARGIN_S = 0.05
# Requests that may be cut after they were forwarded, without a fault near.
CUT_MAX = 3
# Upstreams that a request may run on, and how many requests may run on more.
ATTEMPTS_MAX = 2
EXCESS_ATTEMPTS_MAX = 3
DEADLINE_SLACK_S = 0.5
# Memory of the smallest supported hosts.
MEMORY_MAX_BYTES = 200 << 20
LATE_DEADLINES_MAX = 20
# Time after which a host must comply with a limit that it has forwarded, and
# the tolerance within a window.
LIMIT_REACTION_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
# Start of the names of routes that versions of the configuration add, and time
# until a route that one host has served is known to all.
ADDED_ROUTE = "added-"
ROUTE_REACTION_S = 3.0
NOT_FOUND = 404
DENIED_STATUSES = (401, 403, NOT_FOUND)
# Part of the body with which a host without news of the store responds to what
# its configuration does not allow.
STALE_VIEW = b'"stale_view"'
CUT = "cut"
UNREAD = "not read"
ANSWERED = "answered"
TIMED_OUT = "timeout"
# Group of planned operations.
PLANNED = "planned"
STORE_GROUPS = ("store", "silence")

Check = t.Callable[[Record], t.Iterator[str]]
checks: dict[str, Check] = {}


def _check(function: Check) -> Check:
    checks[function.__name__] = function
    return function


def find_breaches(record: Record) -> list[str]:
    """Return a line for each breach of a check."""
    return [
        f"{name}: {breach}"
        for name, check in checks.items()
        for breach in check(record)
    ]


@_check
def at_most_once(record: Record) -> t.Iterator[str]:
    """A request that is not idempotent runs at most once."""
    once = {sent.name for sent in record.sent if not sent.idempotent}
    runs = collections.Counter(
        arrival.name for arrival in record.arrivals if arrival.ran
    )
    for name in sorted(once):
        if runs[name] > 1:
            yield f"{name} ran {runs[name]} times"


@_check
def refusals_are_true(record: Record) -> t.Iterator[str]:
    """A request rejected as not run has not run and does not run later."""
    ran = {arrival.name for arrival in record.arrivals if arrival.ran}
    for sent in record.sent:
        if sent.status in NOT_RUN_STATUSES and sent.name in ran:
            yield f"{sent.name} was answered {sent.status} and has run"


@_check
def answers_are_whole_and_own(record: Record) -> t.Iterator[str]:
    """A success carries the complete response to the same request."""
    for sent in record.sent:
        if sent.status != 200:
            continue
        expected = b"answer to " + sent.name.encode()
        if sent.body != expected or sent.signature != f"sig-{sent.name}":
            yield f"{sent.name} got {sent.body!r} signed {sent.signature!r}"


@_check
def statuses_are_final(record: Record) -> t.Iterator[str]:
    """A caller gets no status that no answer in the protocol has."""
    for sent in record.sent:
        if sent.status and not 200 <= sent.status <= 599:
            yield f"{sent.name} got status {sent.status}"


@_check
def upstreams_see_no_key(record: Record) -> t.Iterator[str]:
    """Upstreams receive the key's organisation and never the key."""
    keys = {sent.name: sent.key for sent in record.sent}
    for arrival in record.arrivals:
        if not arrival.ran or arrival.name not in keys:
            continue
        values = " ".join(arrival.headers.values())
        for key in record.organisations:
            if key in values:
                yield f"{arrival.name} carried a key to {arrival.service}"
        expected = record.organisations.get(keys[arrival.name])
        received = arrival.headers.get("x-savorytally-tenant")
        if received != expected:
            yield (
                f"{arrival.name} ran for {received}, its key belongs to"
                f" {expected}"
            )


@_check
def withdrawn_keys_end(record: Record) -> t.Iterator[str]:
    """A revoked key is rejected after some seconds, sooner in touch."""
    senders = _Senders(record)
    for sent in record.sent:
        since = record.key_revoked_at.get(sent.key)
        if since is None or sent.status != 200:
            continue
        if sent.at >= since + REVOCATION_MAX_S or (
            sent.at > since + CONFIG_S and senders.in_touch(sent.host, sent.at)
        ):
            late_s = sent.at - since
            yield f"{sent.name} was served {late_s:.1f} s after the revocation"


class _History:
    """Indexes faults by host and arrivals by request.

    :param record: record of the run.
    :param planned: whether planned stops count as faults too.
    """

    def __init__(self, record: Record, planned: bool = False) -> None:
        self._disturbances: dict[str, list[tuple[float, float]]] = {}
        for fault in record.faults:
            stopped = planned and fault.kind == "stop"
            if stopped or fault.group not in (PLANNED, "store"):
                spans = self._disturbances.setdefault(fault.host, [])
                spans.append((fault.at - 0.05, fault.until + SETTLE_S))
        self.arrivals: dict[str, list[int]] = {}
        for number, arrival in enumerate(record.arrivals):
            self.arrivals.setdefault(arrival.name, []).append(number)
        self._arrivals = record.arrivals
        self._by_name = {sent.name: sent for sent in record.sent}

    def awaited(self, sent: soak_record.Sent) -> bool:
        """Return whether somebody waited for a response when it came.

        Nobody does after the deadline of the request, or after the deadline
        or the end of a request for which it is a call. A response that fails
        such a request precedes its end.
        """
        waiting: soak_record.Sent | None = sent
        while waiting is not None:
            timeout_s = soak_record.route_timeout_s(waiting.service)
            deadline = waiting.at + min(waiting.left_s, timeout_s)
            if sent.ended > deadline - DEADLINE_MARGIN_S:
                return False
            if waiting.ended < sent.ended:
                return False
            waiting = self._parent(waiting)
        return True

    def _parent(self, sent: soak_record.Sent) -> soak_record.Sent | None:
        if sent.parent is None:
            return None
        return self._by_name.get(self._arrivals[sent.parent].name)

    def undisturbed(self, host: str, began: float, ended: float) -> bool:
        """Return whether no counted fault affected a host in a time span."""
        return not any(
            at < ended and until > began
            for at, until in self._disturbances.get(host, ())
        )


@_check
def planned_work_cuts_nothing(record: Record) -> t.Iterator[str]:
    """Stops and reloads end no request without a response.

    Nor does a node that stops respond in place of an upstream at work. The
    times of callers and upstreams are of one clock.
    """
    history = _History(record)
    operations = [
        fault for fault in record.faults if fault.kind in ("stop", "reload")
    ]
    operations.sort(key=lambda operation: operation.at)
    for sent in record.sent:
        own = sent.end == ANSWERED and not sent.signature
        # A connection that is reset is not read, unless an upstream has the
        # request.
        reset = sent.end == UNREAD and sent.name in history.arrivals
        if sent.end != CUT and not own and not reset:
            continue
        near = [
            operation
            for operation in operations
            if _may_affect(operation, sent)
        ]
        if not near or not history.undisturbed(sent.host, sent.at, sent.ended):
            continue
        why = _unexcused_loss(record, history, sent, near[0])
        if why:
            after_s = sent.ended - near[0].at
            yield (
                f"{sent.name} to {sent.host} ended {sent.end} {sent.status}"
                f" {after_s:.2f} s after {near[0].kind}, {why}"
            )


def _may_affect(operation: soak_record.Fault, sent: soak_record.Sent) -> bool:
    """Return whether a planned operation may have affected a request."""
    if operation.host != sent.host or sent.ended < operation.at:
        return False
    if operation.kind == "stop":
        return sent.ended <= operation.until
    return sent.end == CUT and sent.at <= operation.at + RELOAD_WINDOW_S


def _unexcused_loss(
    record: Record,
    history: _History,
    sent: soak_record.Sent,
    operation: soak_record.Fault,
) -> str:
    """Return how far a request got, empty if its failure is excused."""
    took_s = sent.ended - sent.at
    if not history.awaited(sent):
        return ""
    running = False
    numbers = history.arrivals.get(sent.name, ())
    for number in numbers:
        arrival = record.arrivals[number]
        if not history.undisturbed(arrival.host, sent.at, sent.ended):
            return ""
        ended = record.run_ends.get(number)
        # The upstream was at work on a run without a status until the end of
        # the connection to it, which a node had closed.
        given_up = ended is not None and not ended.status and not ended.broke
        running_now = ended is None or ended.at > sent.ended or given_up
        running = running or (arrival.ran and running_now)
        if ended is not None and ended.broke:
            return ""
        late = sent.ended > operation.at + STOP_GRACE_S * 5 / 6
        if operation.kind == "stop" and late and running_now:
            if sent.at <= operation.at + SLOW_SENT_S:
                return ""
        if sent.end == ANSWERED and given_up and ended is not None:
            # The upstream's own host may end its grace period first.
            stop = _stop_during(record, arrival.host, ended.at)
            if stop is not None and (
                sent.at <= stop.at + SLOW_SENT_S
                and ended.at > stop.at + STOP_GRACE_S * 5 / 6
            ):
                return ""
    if sent.end == ANSWERED:
        return "while its upstream was running it" if running else ""
    if numbers:
        return "after it had reached an upstream"
    return (
        f"unanswered for {took_s:.2f} s" if took_s > UNANSWERED_MAX_S else ""
    )


def _stop_during(
    record: Record, host: str, at: float
) -> soak_record.Fault | None:
    """Return the first signal of a host's stop that lasts at a time."""
    stops = [
        fault
        for fault in record.faults
        if fault.kind == "stop"
        and fault.host == host
        and fault.at <= at <= fault.until
    ]
    return min(stops, key=lambda stop: stop.at, default=None)


@_check
def requests_passed_on_are_answered(record: Record) -> t.Iterator[str]:
    """Few forwarded requests are cut without a fault near."""
    history = _History(record, planned=True)
    cut = []
    for sent in record.sent:
        if sent.end != CUT or not history.undisturbed(
            sent.host, sent.at, sent.ended
        ):
            continue
        numbers = history.arrivals.get(sent.name, ())
        if numbers and all(
            history.undisturbed(
                record.arrivals[number].host, sent.at, sent.ended
            )
            and not (
                number in record.run_ends and record.run_ends[number].broke
            )
            for number in numbers
        ):
            cut.append(sent.name)
    if len(cut) > CUT_MAX:
        yield f"{len(cut)} cut without a fault near, such as {cut[0]}"


@_check
def repeats_are_bounded(record: Record) -> t.Iterator[str]:
    """Retries at a service stay within their bound."""
    for service, (count, allowed, at) in retries_by_service(record).items():
        if count > allowed:
            yield (
                f"{service} received {count} retries, allowed {allowed:.0f},"
                f" in {RETRY_WINDOW_S:.0f} s from {at:.2f}"
            )


def retries_by_service(
    record: Record,
) -> dict[str, tuple[int, float, float]]:
    """Return retries, bound and start of each service's worst window."""
    parents = {
        sent.name: sent.parent
        for sent in record.sent
        if sent.parent is not None
    }
    retries: dict[str, list[float]] = {}
    seen: set[str] = set()
    is_retry: list[bool] = []
    for arrival in record.arrivals:
        parent = parents.get(arrival.name)
        # A call below a retry counts as a retry.
        below = parent is not None and is_retry[parent]
        is_retry.append(below or arrival.name in seen)
        seen.add(arrival.name)
        if is_retry[-1]:
            retries.setdefault(arrival.service, []).append(arrival.at)
    requests: dict[str, list[float]] = {}
    for sent in record.sent:
        service = sent.service.removesuffix(soak_record.LONG)
        requests.setdefault(service, []).append(sent.at)
    return {
        service: _worst_window(times, sorted(requests.get(service, ())))
        for service, times in retries.items()
    }


def _worst_window(
    retries: list[float], requests: list[float]
) -> tuple[int, float, float]:
    """Return retries, bound and start of the window nearest its bound.

    :param retries: times of the retries, in order.
    :param requests: times of the requests, in order.
    """
    worst = (0, RETRY_SLACK, 0.0)
    for first, start in enumerate(retries):
        count = bisect.bisect_left(retries, start + RETRY_WINDOW_S) - first
        most = max(
            bisect.bisect_left(requests, begin + RETRY_WINDOW_S)
            - bisect.bisect_left(requests, begin)
            for begin in (
                start,
                start - RETRY_WINDOW_S / 2,
                start - RETRY_WINDOW_S,
            )
        )
        allowed = RETRY_RATIO * most + RETRY_SLACK
        if count / allowed > worst[0] / worst[1]:
            worst = (count, allowed, start)
    return worst


@_check
def attempts_are_bounded(record: Record) -> t.Iterator[str]:
    """Few requests run on more upstreams than allowed."""
    history = _History(record)
    excess = []
    for name, numbers in history.arrivals.items():
        ran = {
            record.arrivals[number].instance
            for number in numbers
            if record.arrivals[number].ran
        }
        if len(ran) > ATTEMPTS_MAX:
            excess.append(name)
    if len(excess) > EXCESS_ATTEMPTS_MAX:
        yield (
            f"{len(excess)} ran on more than {ATTEMPTS_MAX}, such as"
            f" {excess[0]}"
        )


@_check
def deadlines_are_handed_down(record: Record) -> t.Iterator[str]:
    """Upstreams receive a deadline that is not after the caller's."""
    by_name = {sent.name: sent for sent in record.sent}
    late = total = 0
    for arrival in record.arrivals:
        sent = by_name.get(arrival.name)
        if sent is None:
            continue
        total += 1
        left_ms = arrival.headers.get("x-savorytally-deadline-ms", "")
        end = arrival.at + (int(left_ms) / 1000 if left_ms.isdigit() else 1e9)
        late += end > sent.at + sent.left_s + DEADLINE_SLACK_S
    if late > LATE_DEADLINES_MAX and late > total / 5:
        yield f"{late} of {total} arrivals carried too late a deadline"


class _Senders:
    """The hosts that nothing kept from knowing what the store has.

    :param record: record of the run.
    """

    def __init__(self, record: Record) -> None:
        self._history = _History(record)
        self._store_faults = [
            fault for fault in record.faults if fault.group in STORE_GROUPS
        ]
        self._by_name = {sent.name: sent for sent in record.sent}

    def informed(
        self, arrival: soak_record.Arrival, since: float
    ) -> soak_record.Sent | None:
        """Return the request if its host could know the store's state.

        :param since: Unix time from which the store had it, in seconds.
        """
        sent = self._by_name.get(arrival.name)
        if sent is None or not self._stable(since):
            return None
        return sent if self.in_touch(sent.host, arrival.at) else None

    def in_touch(self, host: str, at: float) -> bool:
        """Return whether host and store were undisturbed before a time.

        :param at: Unix time in seconds.
        """
        return self._stable(at) and self._history.undisturbed(host, at, at)

    def _stable(self, at: float) -> bool:
        return not any(
            fault.at <= at < fault.until + SETTLE_S
            for fault in self._store_faults
        )


@_check
def leaving_upstreams_get_nothing(record: Record) -> t.Iterator[str]:
    """No new request runs at an upstream that is listed as draining."""
    senders = _Senders(record)
    for arrival in record.arrivals:
        since = record.draining_since.get(arrival.start)
        if (
            since is None
            or arrival.at <= since + DRAIN_REACTION_S
            or not arrival.ran
        ):
            continue
        if senders.informed(arrival, since) is not None:
            late_s = arrival.at - since
            yield f"{arrival.name} reached {arrival.start} {late_s:.2f} s"


@_check
def cold_upstreams_get_few(record: Record) -> t.Iterator[str]:
    """A cold upstream gets no more in a second than it tolerates."""
    allowed = soak_record.COLD_PER_S * soak_record.COLD_OVERAGE
    allowed += soak_record.COLD_SLACK
    for spell in record.cold_spells:
        times = [
            arrival.at
            for arrival in record.arrivals
            if arrival.start == spell.start and arrival.at < spell.until
        ]
        for first, at in enumerate(times):
            count = bisect.bisect_left(times, at + 1.0) - first
            if count > allowed:
                yield f"{spell.start} got {count} from {at:.2f}"
                break


@_check
def confined_requests_stay(record: Record) -> t.Iterator[str]:
    """Nothing runs in evacuated data centres or outside a route's homes."""
    senders = _Senders(record)
    for confined in record.confinements:
        since = confined.at
        for arrival in record.arrivals:
            if (
                not arrival.ran
                or arrival.host not in confined.hosts
                or not since + confined.reaction_s < arrival.at
                or arrival.at >= confined.until
            ):
                continue
            sent = senders.informed(arrival, since)
            if sent is not None and confined.service in ("", sent.service):
                late_s = arrival.at - since
                yield f"{arrival.name} reached {arrival.host} {late_s:.2f} s"


@_check
def named_limits_are_kept(record: Record) -> t.Iterator[str]:
    """Hosts comply with a limit that an upstream has advertised to them."""
    history = _History(record, planned=True)
    forwarded = _first_forwarded(record, lambda sent: sent.limited)
    by_name = {sent.name: sent for sent in record.sent}
    for limit in record.advertised_limits:
        times = []
        for arrival in record.arrivals:
            sent = by_name.get(arrival.name)
            if arrival.start != limit.start or sent is None:
                continue
            since = forwarded.get((sent.host, limit.start))
            if since is None or arrival.at < since + LIMIT_REACTION_S:
                continue
            if (
                limit.at + SETTLE_S <= arrival.at < limit.until
                and history.undisturbed(sent.host, since, arrival.at)
            ):
                times.append(arrival.at)
        allowed = limit.limit_per_s * LIMIT_WINDOW_S * LIMIT_OVERAGE
        allowed += LIMIT_SLACK
        for first, at in enumerate(times):
            end = bisect.bisect_left(times, at + LIMIT_WINDOW_S)
            if end - first > allowed:
                yield (
                    f"{limit.start} advertised {limit.limit_per_s}/s and"
                    f" received {end - first} from {at:.2f}, allowed"
                    f" {allowed:.0f}"
                )
                break


@_check
def leaving_answers_are_heeded(record: Record) -> t.Iterator[str]:
    """Hosts send no new request to upstreams that advertised draining."""
    forwarded = _first_forwarded(record, lambda sent: sent.leaving)
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
        since = forwarded.get((sent.host, arrival.start))
        if since is None or sent.at <= since + DRAIN_REACTION_S:
            continue
        if not any(
            fault.host == sent.host
            and fault.at < arrival.at
            and fault.until > since
            for fault in restarts
        ):
            late_s = sent.at - since
            yield f"{arrival.name} reached {arrival.start} {late_s:.2f} s"


def _first_forwarded(
    record: Record, matches: t.Callable[[soak_record.Sent], bool]
) -> dict[tuple[str, str], float]:
    """Return when hosts first forwarded a matching response.

    :param record: record of the run.
    :param matches: selects responses by what they advertise.
    :returns: Unix times by host and incarnation of the upstream.
    """
    forwarded: dict[tuple[str, str], float] = {}
    for sent in record.sent:
        if sent.start and matches(sent):
            pair = (sent.host, sent.start)
            forwarded[pair] = min(forwarded.get(pair, sent.ended), sent.ended)
    return forwarded


@_check
def routes_stay_in_force(record: Record) -> t.Iterator[str]:
    """A route that some host has served is unknown to no host later.

    Hosts that lack a version get it from the store or from other hosts.
    """
    served: dict[str, float] = {}
    probes = [
        sent for sent in record.sent if sent.service.startswith(ADDED_ROUTE)
    ]
    for sent in probes:
        if sent.status == 200:
            since = served.get(sent.service, sent.ended)
            served[sent.service] = min(since, sent.ended)
    for sent in probes:
        since = served.get(sent.service)
        if sent.status != NOT_FOUND or since is None:
            continue
        late_s = sent.at - since
        apart = any(
            (fault.group == "link" or fault.kind == "pause")
            and fault.host == sent.host
            and fault.at < sent.at
            and fault.until + SETTLE_S > since
            for fault in record.faults
        )
        if late_s > ROUTE_REACTION_S and not apart:
            yield f"{sent.service} at {sent.host} {late_s:.2f} s later"


@_check
def allowed_requests_are_not_denied(record: Record) -> t.Iterator[str]:
    """Hosts in touch deny nothing that all versions in force allow.

    Nor do they respond that they may lack a version. What all versions of the
    run allow is denied by no host.
    """
    senders = _Senders(record)
    for sent in record.sent:
        since = record.allowed_since.get(sent.service)
        denied = sent.status in DENIED_STATUSES
        if (
            not (denied or STALE_VIEW in sent.body)
            or sent.signature
            or since is None
            or sent.at <= since + CONFIG_S
            or sent.ended >= record.key_revoked_at.get(sent.key, math.inf)
        ):
            continue
        if (denied and not since) or senders.in_touch(sent.host, sent.at):
            late_s = sent.at - since
            yield (
                f"{sent.name} for {sent.service} at {sent.host} got"
                f" {sent.status} {late_s:.2f} s after the route was added"
            )


@_check
def abandoned_requests_end(record: Record) -> t.Iterator[str]:
    """Few requests reach upstreams after their callers have timed out."""
    history = _History(record)
    late = []
    for sent in record.sent:
        if sent.end != TIMED_OUT:
            continue
        for number in history.arrivals.get(sent.name, ()):
            arrival = record.arrivals[number]
            if (
                arrival.at > sent.ended + ABANDONED_REACTION_S
                and history.undisturbed(sent.host, sent.ended, arrival.at)
            ):
                late.append(sent.name)
    if len(late) > ABANDONED_MAX:
        yield f"{len(late)} after their callers timed out, such as {late[0]}"


@_check
def nodes_keep_running(record: Record) -> t.Iterator[str]:
    """A node's process exits only on a signal to stop."""
    for host in record.unexpected_exits:
        yield f"the node of {host} exited unexpectedly"


@_check
def nodes_log_no_error(record: Record) -> t.Iterator[str]:
    """Nodes foresee all that happens; asyncio logs what they do not."""
    yield from record.node_errors


@_check
def nodes_keep_their_memory(record: Record) -> t.Iterator[str]:
    """No node uses more memory than the smallest hosts have."""
    for host, peak_bytes in sorted(record.peak_memory_bytes.items()):
        if peak_bytes > MEMORY_MAX_BYTES:
            yield f"the node of {host} used {peak_bytes >> 20} MB"
