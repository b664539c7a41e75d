"""The gate: queues calls for the local upstream and forwards them."""

import asyncio
import collections
import enum
import typing as t

from .. import results
from ..decisions import backpressure
from ..decisions import cold_rate
from ..decisions import gate_queue
from ..decisions import parent_matching
from ..decisions import reported_load
from ..decisions import retry_budget
from ..decisions import start_pace
from ..decisions import subtree_budget
from ..world import catalog
from . import advertisements
from . import callers
from . import counters
from . import crash_watch
from . import event_log
from . import exchanges
from . import frames
from . import header_names
from . import health
from . import not_run_reasons
from . import options
from . import pool
from . import upstream_protocol

if t.TYPE_CHECKING:
    from . import planned_stop

# A request with less time left than this is not forwarded.
MIN_USEFUL_S = 0.004
# Time before its deadline at which a waiting call is refused: its entry must
# learn that it has not run before the caller's time is over. Covers the way
# between regions, and is below the time that entries need for a retry.
REFUSE_BEFORE_S = 0.025
# How long after a shortened deadline the upstream's response is waited for.
SHORTENED_WAIT_S = 0.25
# How long calls to a replaced upstream instance are refused without forwarding
# them.
REPLACED_TTL_S = 1.0
# Shortest delay until the queue is checked for the next paced start.
PACE_CHECK_MIN_S = 0.001
_SERVER_ERROR = 500

_Reason = not_run_reasons.NotRunReason

OnResult = t.Callable[[frames.Result], None]


class State(enum.Enum):
    """The state of a call at the gate."""

    WAITING = enum.auto()
    CONNECTING = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()


class Run:
    """A call at the gate.

    :param call: the call.
    :param deadline: loop time after which its response is useless.
    :param on_result: called once with its result.
    :param from_peer: whether another host has sent it.
    """

    __slots__ = (
        "call",
        "connection",
        "connection_uses",
        "crash_ticket",
        "deadline",
        "echoes_id",
        "failure",
        "from_peer",
        "job",
        "on_result",
        "parent",
        "started",
        "state",
        "timer",
        "upstream_deadline",
        "withdrawn",
    )

    def __init__(
        self,
        call: frames.Call,
        deadline: float,
        on_result: OnResult,
        from_peer: bool,
    ) -> None:
        self.from_peer = from_peer
        self.call = call
        self.deadline = deadline
        # The deadline that the upstream gets; earlier in a planned stop.
        self.upstream_deadline = deadline
        self.on_result = on_result
        self.connection: exchanges.Connection | None = None
        self.job: gate_queue.Job | None = None
        self.started = 0.0
        # Identifies the call as the parent of calls that the upstream makes
        # for it.
        self.parent: parent_matching.Parent | None = None
        self.timer: asyncio.TimerHandle | None = None
        # Whether the response echoes the request's identifier, ``None``
        # without a response; and the number of requests sent over the
        # connection.
        self.echoes_id: bool | None = None
        self.connection_uses = 0
        # How the exchange failed, empty if it did not.
        self.failure = ""
        # Identifies the call to the crash detection.
        self.crash_ticket = 0
        self.state = State.WAITING
        # Whether the sender has withdrawn the call.
        self.withdrawn = False

    @property
    def idempotent(self) -> bool:
        """Whether the call may run more than once."""
        return bool(self.call.flags & frames.Flag.IDEMPOTENT)

    @property
    def gives_up_at(self) -> float:
        """Loop time until which the upstream's response is waited for."""
        if self.call.flags & frames.Flag.SHORTENED:
            return self.deadline + SHORTENED_WAIT_S
        return self.deadline

    @property
    def retry(self) -> bool:
        """Whether the call is a retry or a call below a retry."""
        return bool(self.call.flags & frames.Flag.RETRY)

    def stop_timer(self) -> None:
        """Stop the timer that ends the wait or the run."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Gate:
    """Runs calls at the local upstream.

    :param names: the header names.
    :param connections: connections to the upstream.
    :param queue: decides which calls run, wait or are refused.
    :param watch: detects crashes of the upstream.
    :param retry_budget: the retry budget of this host.
    :param log: logs each call that ends without a response.
    :param counts: counts the calls that have not run.
    :param node_options: the node's options.
    :param list_confirmed_at: returns the loop time at which the host list was
        last known to be current.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        connections: pool.Pool,
        queue: gate_queue.GateQueue,
        watch: crash_watch.CrashWatch,
        retry_budget: retry_budget.FleetRetryBudget,
        log: event_log.EventLog,
        counts: counters.Counters,
        node_options: options.Options,
        list_confirmed_at: t.Callable[[], float],
    ) -> None:
        self._protocol = upstream_protocol.UpstreamProtocol(names)
        self._log = log
        self._counts = counts
        self._pool = connections
        self._queue = queue
        self._watch = watch
        self._loop = asyncio.get_running_loop()
        self.lineage = parent_matching.ParentMatcher()
        self.child_waits = backpressure.DownstreamWaits()
        self.retry_budget = retry_budget
        self.subtree_budget = subtree_budget.SubtreeBudget(retry_budget)
        self.advertisements = advertisements.Advertisements(
            self._protocol,
            log,
            node_options.bounds.drain_s,
            list_confirmed_at,
            self._apply_pace,
        )
        self.health = health.Health(
            names, connections, self._apply_health, self._health_silent
        )
        connections.on_lost_idle = self._idle_connection_lost
        self._cold_reason = cold_rate.Reason.NONE
        self._pace_reason = start_pace.Reason.NONE
        # Start time of the instance in the host list, by identifier; it is
        # empty before the first host list.
        self._started_ms: dict[str, int] = {}
        # The load that the upstream reports.
        self.reported = reported_load.ReportedLoad()
        # Number of requests that were sent to the upstream and have not ended.
        self._sent = 0
        # Calls that have a slot and are about to start.
        self._to_start: collections.deque[gate_queue.Job] = collections.deque()
        self._starting = False
        # Timer of the next start that the rate limit allows.
        self._start_timer: asyncio.TimerHandle | None = None
        self.leaving = False
        self._evacuated = False
        self._service = node_options.service
        self._ramp_up = node_options.ramp_up
        self._region = node_options.region
        # The homes of routes and organisations that have some.
        self._route_homes: dict[str, frozenset[str]] = {}
        self._organisation_homes: dict[str, frozenset[str]] = {}
        # Loop time until which an instance counts as replaced, by identifier.
        self._replaced: dict[str, float] = {}
        # The schedule of the planned stop, set when the stop signal arrives.
        self.stop_schedule: planned_stop.Schedule | None = None

    @property
    def queue(self) -> gate_queue.GateQueue:
        """The queue in front of the upstream."""
        return self._queue

    @property
    def active(self) -> int:
        """Number of calls that wait or run."""
        return self._queue.running + self._queue.waiting

    def run(
        self, call: frames.Call, on_result: OnResult, sender: t.Hashable = None
    ) -> Run:
        """Accept a call.

        :param on_result: called once with the result.
        :param sender: identifies the host that has sent the call.
        """
        now = self._loop.time()
        self.advertisements.note_sender(sender, now)
        if call.limit_per_s is not None:
            self.advertisements.apply_peer_limit(
                call.instance_id, call.limit_per_s
            )
        deadline = now + call.remaining_ms / 1000
        run = Run(call, deadline, on_result, sender is not None)
        blocked = self._blocked(call, now)
        if self.leaving:
            self._finish(run, results.HOST_LEAVING, _Reason.LEAVING)
        elif blocked is not None:
            self._finish(run, *blocked)
        elif not self._ends_before_stop(run):
            self._finish(run, results.NODE_STOPPING, _Reason.LEAVING)
        elif self._replaced.get(call.instance_id, 0.0) > now:
            self._finish(run, results.INSTANCE_GONE, _Reason.REPLACED)
        elif self._watch.refused_s(call):
            self._finish(run, results.QUARANTINED, _Reason.CULPRIT)
        elif run.retry and not self.subtree_budget.covers(call.route, now):
            self._finish(run, results.RETRIES_SPENT, _Reason.BUDGET)
        elif call.flags & frames.Flag.UNLISTED:
            self.health.check(
                call.instance_id, lambda good: self._health_checked(run, good)
            )
        else:
            self._enqueue(run, now)
        return run

    def _ends_before_stop(self, run: Run) -> bool:
        """Return whether another host's call can't outlast a planned stop.

        The upstream of one that may be repeated gets an earlier deadline, past
        which its response is waited for as long as this process lives.
        """
        schedule = self.stop_schedule
        if schedule is None or not run.from_peer:
            return True
        if run.deadline <= schedule.work_ends:
            return True
        run.upstream_deadline = schedule.last_deadline
        return run.idempotent

    def learn_catalog(self, newest: catalog.Catalog) -> None:
        """Apply a newer configuration."""
        self.health.learn_path(newest.health_paths.get(self._service, ""))
        terms = newest.cold_terms.get(self._service)
        # Without a stated time after the start, upstreams are served as if
        # they were warm from the start.
        self._queue.pace.set_enabled(
            self._ramp_up and terms is not None and terms.start_s > 0.0
        )
        self._cold.learn_terms(terms, self.health.available, self._loop.time())
        self._probe_if_due()
        self._route_homes = {
            name: route.homes
            for name, route in newest.routes.items()
            if route.homes
        }
        self._organisation_homes = {
            name: organisation.homes
            for name, organisation in newest.organisations().items()
            if organisation.homes
        }

    def learn_evacuated(self, evacuated: bool) -> None:
        """Apply whether this host's data centre is evacuated.

        Waiting calls are refused, so that other data centres can run them.
        """
        if self._evacuated and not evacuated:
            self._cold.returns(self._loop.time())
        self._evacuated = evacuated
        if evacuated:
            for job in self._queue.clear():
                self._finish(
                    job.context,
                    results.DATA_CENTRE_EVACUATED,
                    _Reason.EVACUATED,
                )

    def learn_entries(
        self, listed: t.Collection[catalog.Instance], now: float
    ) -> None:
        """Apply the entries of the upstream's address in the host list.

        There are several if an earlier instance's entry has not expired.
        """
        self.advertisements.learn_listed(
            {item.instance_id: item.ready for item in listed}, now
        )
        for item in listed:
            self._learn_entry(item, now)
        if not listed and not self._started_ms:
            # An upstream that is listed later has then just started.
            self._started_ms = {"": 0}
        self._refuse_drained(now)

    def _learn_entry(self, instance: catalog.Instance, now: float) -> None:
        self._queue.learn_slots(instance.slots)
        name = instance.instance_id
        self.advertisements.learn_start_time(name, instance.started_ms)
        self._learn_start(instance, now)
        self._cold.learn_entry(instance, now)
        self._cold_changed(now)

    def _learn_start(self, instance: catalog.Instance, now: float) -> None:
        """Start a ramp-up if the entry is that of a new instance.

        The upstream of a gate that has just started may have been serving for
        long; it has if its first entry shows that it is not cold.
        """
        name, started_ms = instance.instance_id, instance.started_ms
        known_ms = self._started_ms.get(name)
        if known_ms is None:
            begins = bool(self._started_ms) or instance.cold_s > 0.0
        else:
            begins = 0 < known_ms < started_ms
        if known_ms is None or begins:
            self._started_ms = {name: started_ms}
        if begins:
            self._queue.pace.begin(now)
            self._log_pace()

    def _log_pace(self) -> None:
        """Log when a ramp-up begins, is held or rises again, and ends."""
        reason = self._queue.pace.reason
        if reason is self._pace_reason:
            return
        self._pace_reason = reason
        self._log.event(
            "ramp_up", reason=reason.value, limit=self._queue.limit
        )

    @property
    def _cold(self) -> cold_rate.ColdRate:
        return self._queue.cold

    def _apply_health(
        self, instance_id: str, headers: callers.Headers, sent_at: float
    ) -> None:
        """Apply a response of the health check."""
        self.advertisements.apply_headers(instance_id, headers, sent_at)
        now = self._loop.time()
        cold_s = self._protocol.cold_s(headers)
        self._apply_load(headers, now, False)
        self._cold.learn_health(instance_id, cold_s, sent_at, now)
        self._cold.probed(now)
        self._cold_changed(now)

    def _health_silent(self) -> None:
        now = self._loop.time()
        self._upstream_down(now)
        self._cold.probed(now)
        self._cold_changed(now)

    def _upstream_down(self, now: float) -> None:
        self._cold.failed(now)
        self._queue.pace.failed()

    def _idle_connection_lost(self) -> None:
        """Check whether the upstream has restarted.

        A restart ends all connections. The upstream may only have reached its
        keep-alive timeout.
        """
        if self._pool.has_open:
            return
        now = self._loop.time()
        self._cold.check_soon(now)
        self._cold_changed(now)

    def _probe_if_due(self) -> None:
        """Ask the upstream how long it remains cold, if that matters now."""
        now = self._loop.time()
        if self._cold.probe_due(now):
            self._cold.probed(now)
            self.health.probe()

    def _cold_changed(self, now: float) -> None:
        """Log a change of the cold bound and apply it to waiting calls."""
        if not self._cold.active:
            return
        self._probe_if_due()
        reason = self._cold.reason(now)
        if reason is not self._cold_reason:
            self._cold_reason = reason
            self._log.event(
                "cold_bound",
                reason=reason.value,
                cold_s=round(self._cold.cold_s(now), 3),
                allowed=self._cold.allowed,
            )
        self._advance(self._queue.advance(now), now)

    def _blocked(
        self, call: frames.Call, now: float
    ) -> tuple[results.ResultCode, not_run_reasons.NotRunReason] | None:
        """Return why a call may not be forwarded, ``None`` if it may.

        The sender may not have learned yet that the upstream drains, that the
        data centre is evacuated or where the call may be served.
        """
        unlisted = bool(call.flags & frames.Flag.UNLISTED)
        if self.advertisements.drained(call.instance_id, now, unlisted):
            return results.HOST_LEAVING, _Reason.LEAVING
        if self._evacuated:
            return results.DATA_CENTRE_EVACUATED, _Reason.EVACUATED
        if not self._route_homes and not self._organisation_homes:
            return None
        none: frozenset[str] = frozenset()
        regions = catalog.permitted_regions(
            self._route_homes.get(call.route, none),
            self._organisation_homes.get(call.organisation, none),
        )
        if regions is not None and self._region not in regions:
            return results.NOT_AT_HOME, _Reason.NOT_AT_HOME
        return None

    def _health_checked(self, run: Run, serves: bool) -> None:
        """Continue a call whose upstream is no longer in the host list.

        :param serves: whether the health check of the upstream succeeded.
        """
        if run.state is not State.WAITING:
            return
        if serves and not self.leaving:
            self._enqueue(run, self._loop.time())
        else:
            self._finish(run, results.HOST_LEAVING, _Reason.HEALTH)

    def _enqueue(self, run: Run, now: float) -> None:
        """Offer a call to the queue, which starts, queues or refuses it."""
        call = run.call
        run.job = gate_queue.Job(
            rank=call.rank,
            child=bool(call.flags & frames.Flag.CHILD),
            route=call.route,
            deadline=run.deadline,
            objective_s=call.objective_ms / 1000,
            context=run,
        )
        verdict = self._queue.offer(run.job, now)
        if verdict is gate_queue.Decision.START:
            self._start(run)
        elif verdict is gate_queue.Decision.REFUSE:
            self._finish(run, results.SHED_AT_GATE, self._shed_reason)
        elif self._cold.certain(now):
            # A more urgent request may displace a waiting one.
            self._advance(self._queue.advance(now), now)
        else:
            self._await_pace(now)
        if run.state is State.WAITING:
            run.timer = self._loop.call_at(
                run.deadline - REFUSE_BEFORE_S, self._waited_too_long, run
            )
        self._probe_if_due()

    def _waited_too_long(self, run: Run) -> None:
        """Refuse a call whose time ends while it waits."""
        if run.state is not State.WAITING or run.withdrawn:
            return
        self._queue.cancel(t.cast(gate_queue.Job, run.job))
        self._finish(run, results.SHED_AT_GATE, self._shed_reason)

    def cancel(self, run: Run) -> None:
        """Withdraw a call whose result is no longer needed.

        A running request that may run only once is left to finish.
        """
        if run.state is State.DONE or run.withdrawn:
            return
        run.withdrawn = True
        if run.state is State.WAITING:
            run.state = State.DONE
            run.stop_timer()
            if run.job is not None:
                self._queue.cancel(run.job)
        elif run.state is State.RUNNING and run.idempotent:
            run.state = State.DONE
            self._abort(run)
            self._release(run, None, may_still_run=True)

    def tick(self) -> None:
        """Refuse calls that have waited too long."""
        now = self._loop.time()
        for job in self._queue.remove_overdue(now):
            self._finish(job.context, results.SHED_AT_GATE, self._shed_reason)
        self._refuse_drained(now)
        self.advertisements.tick(now)
        self._cold_changed(now)
        self._log_pace()
        if self._queue.learn_reported(self.reported.ceiling(now)):
            self._advance(self._queue.advance(now), now)

    def _refuse_drained(self, now: float) -> None:
        """Refuse waiting calls of upstreams that get no more calls.

        They may still have time to run elsewhere.
        """
        if not (self._queue.waiting and self.advertisements.any_leaving):
            return
        for job in self._queue.jobs():
            blocked = self._blocked(job.context.call, now)
            if blocked is not None:
                self._queue.cancel(job)
                self._finish(job.context, *blocked)

    def refuse_new(self) -> None:
        """Refuse new calls from now on."""
        self.leaving = True

    def refuse_waiting(self) -> None:
        """Refuse new and waiting calls, so that other hosts can run them."""
        self.leaving = True
        for job in self._queue.clear():
            self._finish(job.context, results.HOST_LEAVING)

    def _start(self, run: Run) -> None:
        run.state = State.CONNECTING
        run.stop_timer()
        fresh = not run.idempotent
        self._pool.acquire(fresh, lambda opened: self._opened(run, opened))

    def _opened(
        self, run: Run, connection: exchanges.Connection | None
    ) -> None:
        """Forward a call over an open connection."""
        if run.withdrawn:
            run.state = State.DONE
            if connection is not None:
                self._pool.release(connection)
            self._release(run, None)
            return
        now = self._loop.time()
        if connection is None:
            self._upstream_down(now)
            self._end(run, results.NOT_DISPATCHED, _Reason.NO_CONNECTION)
            self._cold_changed(now)
            return
        if not self._ends_before_stop(run):
            self._pool.release(connection)
            self._end(run, results.NODE_STOPPING, _Reason.LEAVING)
            return
        remaining_s = run.upstream_deadline - now
        if remaining_s < MIN_USEFUL_S:
            self._pool.release(connection)
            self._end(run, results.DEADLINE_TOO_SHORT, _Reason.NO_TIME)
            return
        blocked = self._blocked(run.call, now)
        if blocked is not None:
            # The state has changed while the call waited.
            self._pool.release(connection)
            self._end(run, *blocked)
            return
        reserved = None
        if run.retry:
            reserved = self.subtree_budget.reserve(run.call.route, now)
            if reserved is None:
                self._pool.release(connection)
                self._end(run, results.RETRIES_SPENT, _Reason.BUDGET)
                return
        if not self._queue.sending(t.cast(gate_queue.Job, run.job), now):
            if reserved is not None:
                self.subtree_budget.release(reserved, now)
            self._pool.release(connection)
            self._end(run, results.SHED_AT_GATE, _Reason.COLD)
            return
        remaining_ms = int(remaining_s * 1000)
        run.state = State.RUNNING
        run.started = now
        run.parent = self.lineage.request_started(
            run.call.route,
            now + remaining_ms / 1000,
            run,
            now,
            run.call.request_id,
        )
        run.parent.reserved = reserved
        run.connection = connection
        self._counts.forwarded()
        self._sent += 1
        run.crash_ticket = self._watch.started(run.call)
        run.timer = self._loop.call_at(run.gives_up_at, self._expired, run)
        connection.request(
            self._protocol.encode(run.call, remaining_ms),
            lambda reply: self._protocol.belongs(
                run.call, reply, connection.ambiguous
            ),
            lambda used, result: self._ended(run, used, result),
            lambda reply: self._protocol.may_be_duplicate(
                run.call, reply, connection.has_refused
            ),
        )

    def _ended(
        self,
        run: Run,
        connection: exchanges.Connection,
        result: exchanges.Response | exchanges.Broken,
    ) -> None:
        """Handle the result of an exchange with the upstream."""
        run.connection = None
        if isinstance(result, exchanges.Broken):
            self._apply_partial_head(run, connection)
            self._pool.release(connection)
            if result is exchanges.Broken.NOT_SENT:
                self._end(run, results.NOT_DISPATCHED, _Reason.NO_CONNECTION)
                return
            run.failure = result.value
            self._counts.broken(result.name.lower())
            self._watch.broken(run.crash_ticket)
            now = self._loop.time()
            if not self._pool.has_open:
                # The upstream may have restarted cold, or may only have lost a
                # response: no reason for a ramp-up.
                self._cold.failed(now)
            self._queue.pace.rejected(self._queue.running, now)
            self._end(run, results.UPSTREAM_BROKEN)
            self._cold_changed(now)
            return
        self._apply_advertised(run, result)
        verdict = self._protocol.interpret(
            result,
            self._protocol.may_be_duplicate(
                run.call, result, connection.has_refused
            ),
        )
        rejected = (
            verdict.stated is _Reason.MARK
            and verdict.code is not results.ANSWERED
        )
        self._apply_load(result.headers, connection.head_at, rejected)
        connection.ambiguous = connection.ambiguous or verdict.ambiguous
        connection.has_refused |= verdict.stated is not None
        self._pool.release(connection)
        run.echoes_id = verdict.echoes_id
        run.connection_uses = connection.uses
        misdirected = verdict.stated is _Reason.MISDIRECTED
        if misdirected:
            self._note_replaced(run.call.instance_id)
        failed = not misdirected and (
            verdict.code is not results.ANSWERED
            or result.status >= _SERVER_ERROR
        )
        if failed:
            self._queue.pace.rejected(self._queue.running, self._loop.time())
        if verdict.code is not results.ANSWERED:
            self._end(run, verdict.code, verdict.reason)
            return
        self._watch.answered(run.crash_ticket, run.call)
        self._end(run, results.ANSWERED, response=result)

    def _apply_advertised(
        self, run: Run, response: exchanges.Response
    ) -> None:
        """Apply what a response advertises about its upstream."""
        instance_id = run.call.instance_id
        if self._protocol.interpret(response).code is results.INSTANCE_GONE:
            instance_id = self._protocol.responding_instance(response)
        now = self._loop.time()
        self._cold.responded(instance_id, now)
        self._queue.pace.responded(now)
        self.advertisements.apply_headers(
            instance_id, response.headers, run.started
        )

    def _apply_load(
        self, headers: callers.Headers, received_at: float, rejected: bool
    ) -> None:
        """Apply the load that a response reports.

        :param received_at: loop time when its head was received.
        :param rejected: whether the upstream has rejected the request.
        """
        report = self._protocol.reported_load(headers)
        now = self._loop.time()
        if report is not None:
            self.reported.apply(report, received_at, self._sent, rejected, now)
        self._queue.learn_reported(self.reported.ceiling(now))

    def _apply_partial_head(
        self, run: Run, connection: exchanges.Connection
    ) -> None:
        """Apply what the head of an incomplete response advertises."""
        head = connection.head
        if head is None:
            return
        if self._protocol.belongs(run.call, head, connection.ambiguous):
            self._apply_advertised(run, head)

    def _apply_pace(self) -> None:
        now = self._loop.time()
        limit_per_s = self.advertisements.limit_per_s
        self._advance(self._queue.learn_rate_limit(limit_per_s, now), now)
        self.health.learn_limited(self._queue.rate_limited)

    def _advance(self, change: gate_queue.Change, now: float) -> None:
        for late in change.dropped:
            self._finish(late.context, results.SHED_AT_GATE, self._shed_reason)
        self._to_start.extend(change.started)
        self._start_all()
        self._await_pace(now)

    def _start_all(self) -> None:
        """Start the calls that have a slot.

        A call that ends as it starts frees its slot for the next one, which
        is started by the loop here and not deeper in the stack.
        """
        if self._starting:
            return
        self._starting = True
        try:
            while self._to_start:
                self._start(self._to_start.popleft().context)
        finally:
            self._starting = False

    def _await_pace(self, now: float) -> None:
        """Set a timer for the next start that the rate limit allows."""
        if self._start_timer is not None:
            return
        after_s = self._queue.next_start_s(now)
        if after_s is not None:
            after_s = max(after_s, PACE_CHECK_MIN_S)
            self._start_timer = self._loop.call_later(
                after_s, self._start_paced
            )

    def _start_paced(self) -> None:
        self._start_timer = None
        now = self._loop.time()
        self._advance(self._queue.advance(now), now)

    @property
    def _shed_reason(self) -> not_run_reasons.NotRunReason:
        if self._cold.certain(self._loop.time()):
            return _Reason.COLD
        return _Reason.LIMIT if self._queue.rate_limited else _Reason.QUEUE

    def _note_replaced(self, instance_id: str) -> None:
        """Note that another instance now has the upstream's address."""
        now = self._loop.time()
        self._replaced = {
            name: until
            for name, until in self._replaced.items()
            if until > now
        }
        self._replaced[instance_id] = now + REPLACED_TTL_S

    def _expired(self, run: Run) -> None:
        if run.state is not State.RUNNING:
            return
        self._abort(run)
        self._end(run, results.DEADLINE_PASSED)
        now = self._loop.time()
        if self._cold.silent_since(run.started):
            self._cold.check_soon(now)
            self._cold_changed(now)

    def _abort(self, run: Run) -> None:
        """Abort the connection that the call uses."""
        connection, run.connection = run.connection, None
        if connection is not None:
            connection.abort()

    def _end(
        self,
        run: Run,
        code: results.ResultCode,
        reason: not_run_reasons.NotRunReason | None = None,
        response: exchanges.Response | None = None,
    ) -> None:
        """Report the result of a call that was started and free its slot."""
        if run.state is State.DONE:
            return
        now = self._loop.time()
        # The duration of an error or of a shed request is not typical of a
        # run.
        ran_s = None
        if response is not None and response.status < 400:
            ran_s = now - run.started
        elif code is results.DEADLINE_PASSED:
            ran_s = now - run.started
        self._finish(run, code, reason, response, ran_s)
        may_still_run = code in (
            results.UPSTREAM_BROKEN,
            results.REFUSAL_UNPROVED,
        )
        self._release(run, ran_s, may_still_run)

    def _release(
        self, run: Run, ran_s: float | None, may_still_run: bool = False
    ) -> None:
        """Free the slot of a call and start waiting calls.

        :param ran_s: time that the upstream took in seconds, ``None`` if it is
            not typical of a run.
        :param may_still_run: whether the upstream may still run the request.
        """
        run.stop_timer()
        self._watch.ended(run.crash_ticket)
        if run.started:
            self._sent -= 1
        now = self._loop.time()
        whole = ran_s is not None
        parent = run.parent
        if parent is not None:
            self.lineage.request_ended(parent, now, may_still_run)
            if ran_s is not None:
                self.child_waits.record_calls(run.call.route, parent.answered)
            self.subtree_budget.record_calls(
                run.call.route, parent.made or {}, whole
            )
            if parent.reserved:
                self.subtree_budget.release(parent.reserved, now)
        job = t.cast(gate_queue.Job, run.job)
        sent = run.started > 0.0
        self._advance(self._queue.finish(job, ran_s, now, sent), now)

    def _finish(
        self,
        run: Run,
        code: results.ResultCode,
        reason: not_run_reasons.NotRunReason | None = None,
        response: exchanges.Response | None = None,
        ran_s: float | None = None,
    ) -> None:
        """Count and log the end of a call and send its result."""
        run.state = State.DONE
        run.stop_timer()
        if run.withdrawn:
            return
        call, queue = run.call, self._queue
        is_child = bool(call.flags & frames.Flag.CHILD)
        now = self._loop.time()
        wait_s = queue.wait_s(call.rank, is_child, now)
        if run.job is not None:
            # More urgent requests that arrived later may have prolonged the
            # wait.
            until = run.started or now
            wait_s = max(wait_s, until - run.job.arrived)
        below_s = self.child_waits.expected_s((call.route, call.rank), now)
        # Nothing waits for a cold upstream, so that it prolongs no chain of
        # calls.
        retry_s = max(wait_s, queue.cold_wait_s(call.rank, is_child, now))
        load, limit = queue.reported_load(now)
        headers: frames.Headers = []
        if reason is not None:
            self._counts.not_run(reason, run.echoes_id)
        if code is not results.ANSWERED:
            self._log.event(
                "gate",
                id=call.request_id.decode("latin-1"),
                route=call.route,
                code=code.number,
                outcome=code.name,
                ground=reason.value if reason is not None else "",
                broken=run.failure,
                named=run.echoes_id,
                uses=run.connection_uses,
                rank=call.rank,
                waited_ms=round(wait_s * 1000, 1),
                left_ms=round((run.deadline - now) * 1000, 1),
                running=queue.running,
                waiting=queue.waiting,
                limit=limit,
            )
        if response is not None:
            headers = self._protocol.caller_headers(response)
        limit_per_s, share_per_s, leaving = self.advertisements.report(
            call, now
        )
        slowdown = None
        if call.flags & frames.Flag.OPTIONAL_FIELDS:
            slowdown = self.reported.slowdown(now)
        run.on_result(
            frames.Result(
                number=call.number,
                code=code.number,
                status=response.status if response is not None else 0,
                headers=headers,
                body=response.body if response is not None else b"",
                retry_after_ms=int(retry_s * 1000),
                arrived=run.started > 0.0,
                wait_ms=int(wait_s * 1000),
                child_wait_ms=int(below_s * 1000),
                child_failed=run.parent is not None and run.parent.failed > 0,
                run_ms=int(ran_s * 1000) if ran_s is not None else 0,
                load=load,
                limit=limit,
                limit_per_s=limit_per_s,
                share_per_s=share_per_s,
                leaving=leaving,
                slowdown=slowdown,
            )
        )
