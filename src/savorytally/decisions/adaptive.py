"""Adaptive admission: measured limit, priority classes and fair shares.

The queue is kept short. It absorbs bursts; once calls have been waiting for
longer than a burst lasts, it holds only enough work to keep the slots busy
and is served newest first (see Maurer, "Fail at Scale", ACM Queue 2015). A
call that can't be answered before its deadline is refused as soon as that is
known.
"""

import dataclasses
import heapq

from .. import results
from ..world import route
from ..world import upstream
from . import admission
from . import concurrency_limit
from . import fair_queue
from . import pacing
from . import service_time
from . import shed_control

# Queue bound without overload, as the time needed to serve the queue.
BURST_WAIT_S = 0.5
# Queue bound during overload, and the queue length from which it is served
# newest first, in multiples of ``shed_control.wait_target_s``.
OVERLOAD_WAIT_TARGETS = 2.5
NEWEST_FIRST_WAIT_TARGETS = 1.5
# The gate is overloaded once calls have been waiting for this long without
# interruption.
OVERLOAD_AFTER_S = 0.1
# Assumed service time of a route without samples.
DEFAULT_SERVICE_S = 0.01
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 5_000
# Time without a response after which calls are started as probes even if they
# are expected to miss their deadline.
PROBE_AFTER_S = 0.5
# Minimum time between two isolated calls below the critical class.
ISOLATED_INTERVAL_S = 1.0
ISOLATED_WAITING_MAX = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Enabled mechanisms; replay variants disable them one at a time."""

    concurrency: bool = True
    deadlines: bool = True
    priority: bool = True
    fairness: bool = True
    newest_first: bool = True
    levels: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    """A started call.

    :param arrival: the call.
    :param started_at: when it was started.
    :param cost_s: the slot time charged to its organisation at the start.
    """

    arrival: admission.Arrival
    started_at: float
    cost_s: float = 0.0


@admission.policies.register("adaptive")
class AdaptiveAdmission:
    """Admission by measured limit, class, fair share and deadline.

    :param capacity: the slots and connections in the configuration.
    :param options: the enabled mechanisms.
    """

    def __init__(
        self,
        capacity: admission.Capacity,
        options: Options = Options(),
    ) -> None:
        self._options = options
        self._capacity = capacity
        self._limiter = concurrency_limit.Limiter(_max_concurrency(capacity))
        self._times = service_time.ServiceTimes()
        self._queue = fair_queue.FairQueue(options.fairness, options.priority)
        self._levels = shed_control.ShedControl()
        self._pacer = pacing.Pacer()
        self._running: dict[int, _Running] = {}
        self._isolated_waiting: dict[int, admission.Arrival] = {}
        self._isolated_at = float("-inf")
        self._isolated_running = False
        self._deadlines: list[tuple[float, int]] = []
        self._busy_since: float | None = None
        self._answered_at = float("-inf")
        self._slot_time_s = 0.0
        self._slot_time_at = 0.0

    @property
    def running(self) -> int:
        """Number of calls that were started and have not finished."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return len(self._queue) + len(self._isolated_waiting)

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""
        if not self._options.concurrency:
            return _max_concurrency(self._capacity)
        return self._limiter.limit

    def learn_capacity(self, capacity: admission.Capacity) -> None:
        """Apply the slots and connections of a newer configuration."""
        self._capacity = capacity
        self._limiter.set_ceiling(_max_concurrency(capacity))

    def learn_rate_limit(
        self, limit_per_s: float, now: float
    ) -> list[admission.Decision]:
        """Apply the rate limit that the upstream advertises."""
        self._add_slot_time(now)
        self._pacer.set_limit(limit_per_s, now)
        return self._start(now)

    def learn_report(self, report: upstream.LoadReport, now: float) -> None:
        """Request a trial of a lower limit if the report is bad.

        Reports have no other effect on the limit.
        """
        if not report.healthy or report.in_use > self._capacity.slots:
            self._limiter.request_trial()

    def arrive(
        self, arrival: admission.Arrival, now: float
    ) -> list[admission.Decision]:
        """Start, queue or refuse a new call."""
        cost_s = self._times.mean(arrival.route_id, now) or DEFAULT_SERVICE_S
        work_s = self._work_s(cost_s)
        self._levels.record_offered(arrival.priority, work_s)
        if self._misses_deadline(arrival, now, cost_s):
            return [self._refuse(arrival, results.DEADLINE_TOO_SHORT)]
        self._schedule_expiry(arrival, cost_s, now)
        if arrival.isolated:
            self._isolated_waiting[arrival.ticket] = arrival
        else:
            self._queue.push(
                fair_queue.QueuedCall(arrival, work_s, now), self.limit
            )
        decisions = self._start(now)
        decisions += self._shed_excess(now)
        return decisions

    def finish(
        self, ticket: int, end: admission.CallEnd, now: float
    ) -> list[admission.Decision]:
        """Update the estimates when a started call ends; start others."""
        self._add_slot_time(now)
        ended = self._running.pop(ticket, None)
        if ended is None:
            return []
        if ended.arrival.isolated:
            self._isolated_running = False
        self._record_end(ended, end, now)
        decisions = self._start(now)
        decisions += self._shed_excess(now)
        return decisions

    def cancel(self, ticket: int, now: float) -> list[admission.Decision]:
        """Remove a waiting call."""
        self._queue.remove(ticket)
        self._isolated_waiting.pop(ticket, None)
        return self._start(now)

    def tick(self, now: float) -> list[admission.Decision]:
        """Start due calls and refuse those that would be answered too late."""
        decisions = self._start(now)
        decisions += self._shed_excess(now)
        self._update_level(now)
        return decisions

    def level(self, now: float) -> int:
        """Return the shed level to publish."""
        if not self._options.levels:
            return 0
        self._update_level(now)
        return self._levels.level

    def _update_level(self, now: float) -> None:
        self._add_slot_time(now)
        observed = shed_control.Observation(
            limit=self.limit,
            used_s=self._slot_time_s,
            wait_s=self._queue.work_s / self.limit,
            service_s=self._times.overall_s,
            overloaded=self._overloaded(now),
        )
        self._levels.update(observed, now)

    def _work_s(self, cost_s: float) -> float:
        """Return the slot time for which a call occupies the upstream.

        With a rate limit, a call occupies all slots for the interval until
        the limit allows the next one.
        """
        if not self._pacer.limited:
            return cost_s
        return max(cost_s, self.limit * self._pacer.interval_s)

    def _add_slot_time(self, now: float) -> None:
        if not self._pacer.limited:
            self._slot_time_s += len(self._running) * (
                now - self._slot_time_at
            )
        self._slot_time_at = now

    def _record_end(
        self, ended: _Running, end: admission.CallEnd, now: float
    ) -> None:
        service_s = now - ended.started_at
        route_id = ended.arrival.route_id
        if not ended.arrival.isolated:
            self._queue.charge(ended.arrival, service_s - ended.cost_s)
        if end is admission.CallEnd.BROKEN:
            self._limiter.broken(now)
            return
        if end is admission.CallEnd.REJECTED:
            self._limiter.rejected(now)
            return
        if end is admission.CallEnd.LATE:
            mean_s = self._times.mean(route_id, now)
            self._times.observe(route_id, max(service_s, mean_s), now)
            return
        if end is not admission.CallEnd.ANSWERED or ended.arrival.isolated:
            return
        self._answered_at = now
        self._times.observe(route_id, service_s, now)
        sample = concurrency_limit.Sample(
            work_s=self._times.baseline(route_id),
            service_s=service_s,
            saturated=len(self._queue) > 0,
        )
        self._limiter.answered(sample, now)

    def _start(self, now: float) -> list[admission.Decision]:
        self._add_slot_time(now)
        decisions = self._refuse_expired(now)
        while True:
            isolated = self._next_isolated(now)
            if isolated is not None:
                if not self._running and not self._pacer.wait_s(0, now):
                    self._charge_start(now)
                    decisions.append(self._start_isolated(isolated, now))
                break
            if self._isolated_running or len(self._running) >= self.limit:
                break
            if self._pacer.wait_s(0, now) > 0.0:
                break
            waiting = self._queue.pop(self._serves_newest_first(now))
            if waiting is None:
                break
            decisions.append(self._start_or_refuse(waiting, now))
        self._update_busy_since(now)
        return decisions

    def _charge_start(self, now: float) -> None:
        """Charge a call that starts to the rate limit and to slot time."""
        self._pacer.try_acquire(now)
        if self._pacer.limited:
            self._slot_time_s += self.limit * self._pacer.interval_s

    def _serves_newest_first(self, now: float) -> bool:
        """Return whether to serve the newest call first.

        This is so while the queue is longer than the shed level aims for. A
        shorter queue is served in order, so that no call waits only to be
        refused in the end.
        """
        if not self._options.newest_first or not self._overloaded(now):
            return False
        bound_s = NEWEST_FIRST_WAIT_TARGETS * self._target_s()
        return self._queue.work_s > self.limit * bound_s

    def _target_s(self) -> float:
        return shed_control.wait_target_s(self.limit, self._times.overall_s)

    def _start_or_refuse(
        self, waiting: fair_queue.QueuedCall, now: float
    ) -> admission.Decision:
        arrival = waiting.arrival
        required_s = 0.0
        if len(self._queue) and self._overloaded(now):
            required_s = self._times.high_estimate(arrival.route_id, now)
        if self._misses_deadline(arrival, now, required_s):
            return self._refuse(arrival, results.DEADLINE_TOO_SHORT)
        self._charge_start(now)
        started = _Running(arrival, now, waiting.cost_s)
        self._running[arrival.ticket] = started
        return admission.Start(arrival.ticket)

    def _misses_deadline(
        self, arrival: admission.Arrival, now: float, required_s: float
    ) -> bool:
        remaining_s = arrival.deadline - now
        if remaining_s <= 0:
            return True
        if not self._options.deadlines or not self._running:
            return False
        if now - self._answered_at > PROBE_AFTER_S:
            return False
        return remaining_s < required_s

    def _next_isolated(self, now: float) -> admission.Arrival | None:
        if not self._isolated_waiting:
            return None
        best = max(
            self._isolated_waiting.values(), key=lambda item: item.priority
        )
        top = self._queue.top()
        if top is not None and top > best.priority:
            return None
        critical = best.priority is route.Priority.CRITICAL
        if not critical and now - self._isolated_at < ISOLATED_INTERVAL_S:
            return None
        return best

    def _start_isolated(
        self, arrival: admission.Arrival, now: float
    ) -> admission.Decision:
        self._isolated_at = now
        self._isolated_running = True
        del self._isolated_waiting[arrival.ticket]
        self._running[arrival.ticket] = _Running(arrival, now)
        return admission.Start(arrival.ticket)

    def _schedule_expiry(
        self, arrival: admission.Arrival, cost_s: float, now: float
    ) -> None:
        """Schedule the refusal of a call at its latest useful start."""
        last_start = arrival.deadline
        if self._options.deadlines and last_start - cost_s > now:
            last_start -= cost_s
        heapq.heappush(self._deadlines, (last_start, arrival.ticket))

    def _refuse_expired(self, now: float) -> list[admission.Decision]:
        refused: list[admission.Decision] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            waiting = self._queue.remove(ticket)
            arrival = self._isolated_waiting.pop(ticket, None)
            if waiting is not None:
                arrival = waiting.arrival
            if arrival is not None:
                code = results.DEADLINE_TOO_SHORT
                refused.append(self._refuse(arrival, code))
        self._compact_deadlines()
        return refused

    def _compact_deadlines(self) -> None:
        if len(self._deadlines) <= 4 * self.waiting + 64:
            return
        self._deadlines = [
            item
            for item in self._deadlines
            if item[1] in self._isolated_waiting or item[1] in self._queue
        ]
        heapq.heapify(self._deadlines)

    def _shed_excess(self, now: float) -> list[admission.Decision]:
        refused: list[admission.Decision] = []
        bound_s = self._queue_bound_s(now)
        while self._queue.work_s > bound_s and len(self._queue) > 1:
            waiting = self._queue.evict()
            if waiting is None:
                break
            code = results.SHED_AT_GATE
            refused.append(self._refuse(waiting.arrival, code))
        while len(self._isolated_waiting) > ISOLATED_WAITING_MAX:
            least = min(
                self._isolated_waiting.values(), key=lambda item: item.priority
            )
            if least.priority is route.Priority.CRITICAL:
                break
            del self._isolated_waiting[least.ticket]
            refused.append(self._refuse(least, results.SHED_AT_GATE))
        return refused

    def _queue_bound_s(self, now: float) -> float:
        service_s = self._times.overall_s
        wait_s = BURST_WAIT_S
        lowest = self._queue.lowest()
        if self._overloaded(now) and lowest is not route.Priority.CRITICAL:
            wait_s = OVERLOAD_WAIT_TARGETS * self._target_s()
        return self.limit * max(wait_s, service_s)

    def _overloaded(self, now: float) -> bool:
        since = self._busy_since
        return since is not None and now - since >= OVERLOAD_AFTER_S

    def _update_busy_since(self, now: float) -> None:
        if not len(self._queue):
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def _refuse(
        self, arrival: admission.Arrival, code: results.ResultCode
    ) -> admission.Refuse:
        wait_s = self._queue.work_s / self.limit
        pressure = max(1.0, self._levels.pressure(self.limit))
        wait_ms = int(wait_s * pressure * 1000)
        wait_ms = max(RETRY_AFTER_MIN_MS, min(wait_ms, RETRY_AFTER_MAX_MS))
        return admission.Refuse(arrival.ticket, code, wait_ms)


def _max_concurrency(capacity: admission.Capacity) -> int:
    return max(1, min(capacity.slots, capacity.connections))
