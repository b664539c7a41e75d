"""The entry: accepts requests, routes them to upstreams and responds."""

import asyncio
import json
import random
import typing as t

from .. import http_rules
from .. import results
from ..decisions import backpressure
from ..decisions import chain_success
from ..decisions import list_age
from ..decisions import parent_matching
from ..decisions import placement
from ..decisions import retry_after
from ..decisions import shared_rates
from ..decisions import tail_latency
from ..decisions import weighted_split
from ..world import catalog
from . import callers
from . import calls
from . import counters
from . import event_log
from . import frames
from . import gate
from . import header_names
from . import in_progress
from . import not_run_reasons
from . import options
from . import peers
from . import planned_stop
from . import rates
from . import request_log
from . import request_terms
from . import retries

# How long an unreachable host gets no new calls.
UNREACHABLE_AVOID_S = 0.6
# How long requests are kept while the first configuration is being read.
FIRST_READ_WAIT_S = 0.3
_SERVER_ERROR = 500
# Callers take these statuses to mean that the request has not run and will not
# run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A request exceeds a limit of the configuration.
_LIMIT_STATUSES = frozenset((413, 431))
# Results that are typical while hosts start or stop. A retry is likely to get
# the same result until that is over.
_RESTART_CODES = frozenset(
    (
        results.NOT_CONFIGURED,
        results.INSTANCE_GONE,
        results.HOST_LEAVING,
        results.NODE_STOPPING,
        results.NO_HOST,
        results.DATA_CENTRE_EVACUATED,
        results.NOT_AT_HOME,
    )
)
# Results that do not count as failures of the upstream. One that is down is
# avoided for a moment instead: its failure rate would keep requests away for
# many seconds after its return.
_NO_FAILURE_CODES = frozenset(
    (
        results.SHED_AT_GATE,
        results.RETRIES_SPENT,
        results.NOT_DISPATCHED,
        results.NODE_STOPPING,
    )
)
# Results that end the wait for a response while the request may be at work.
_GIVEN_UP_CODES = {
    results.DEADLINE_PASSED: "deadline",
    results.DEADLINE_UNKNOWN: "deadline",
    results.OUTCOME_UNKNOWN: "stream",
    results.STOPPED_UNANSWERED: "stop",
}
_Reason = not_run_reasons.NotRunReason


class Entry:
    """Handles requests from callers and from the local upstream.

    :param node_options: the node's options.
    :param names: the header names.
    :param remote_gates: sends calls to the gates of other hosts.
    :param own_gate: the gate of this host.
    :param limits: admits requests within their organisations' rates.
    :param view_age: when the configuration was last known to be the newest.
    :param counts: counts requests.
    :param log: logs requests.
    :param rand: random source.
    """

    def __init__(
        self,
        node_options: options.Options,
        names: header_names.HeaderNames,
        remote_gates: "peers.Peers",
        own_gate: gate.Gate,
        limits: rates.Rates,
        view_age: list_age.ListAge,
        counts: counters.Counters,
        log: event_log.EventLog,
        rand: random.Random,
    ) -> None:
        self._options = node_options
        self._names = names
        self._hidden = names.node_headers
        self._peers = remote_gates
        self._gate = own_gate
        self._rates = limits
        self._counts = counts
        self._log = log
        self._random = rand
        self._loop = asyncio.get_running_loop()
        self._terms = request_terms.RequestTerms(
            names, own_gate, view_age, node_options.bounds.change_s
        )
        self._limits = catalog.RequestLimits()
        self.placement = placement.Placement(
            node_options.data_centre,
            node_options.regions,
            rand,
            node_options.bounds.drain_s,
        )
        self.splits = weighted_split.WeightedSplits(rand)
        self._retries = retries.Retries(
            own_gate.retry_budget, own_gate, counts
        )
        self.backpressure = backpressure.Backpressure()
        self.chain_success = chain_success.ChainSuccess()
        self._slowest = tail_latency.TailLatency()
        self.progress = in_progress.InProgress(names, counts, log)
        # The schedule of the planned stop, set when the stop signal arrives.
        self.stop_schedule: planned_stop.Schedule | None = None

    @property
    def active(self) -> int:
        """Number of requests that were read and have no response yet."""
        return len(self.progress)

    @property
    def closing(self) -> bool:
        """Whether each response should end its connection."""
        return self.stop_schedule is not None

    @property
    def limits(self) -> catalog.RequestLimits:
        """The limits of callers' requests that are in force."""
        return self._limits

    def learn_options(self, newest: options.Options) -> None:
        """Apply changed settings."""
        self._options = newest

    def learn_catalog(self, newest: catalog.Catalog) -> None:
        """Apply a newer configuration."""
        self._terms.learn_catalog(newest)
        self._limits = newest.limits
        self.chain_success.retain(newest.routes)

    def refuse(self, request: callers.Request, status: int, why: str) -> None:
        """Respond with an error to a malformed or oversized request."""
        headers = [(b"content-type", b"application/json")]
        now = self._loop.time()
        if status in _LIMIT_STATUSES and not self._terms.may_deny(now):
            status = 503
            headers.append((b"retry-after", b"%.3f" % retry_after.STARTUP_S))
        self._log.event("malformed", status=status, why=why)
        body = json.dumps({"detail": why}).encode()
        request.respond(status, headers, body, close=True)

    def handle(self, request: callers.Request) -> None:
        """Handle a complete request.

        While the first configuration is being read, the request is kept for a
        moment instead of being refused, since callers retry only a few times.
        """
        if self._terms.catalog_in_force is not None:
            self._admit(request)
            return
        if self.progress.hold(request, self._loop.time()):
            self._loop.call_later(FIRST_READ_WAIT_S, self.handle_held)

    def handle_held(self) -> None:
        """Handle the requests that were kept for the first configuration."""
        for request in self.progress.release():
            self._admit(request)

    def reject_unread(self, request: callers.Request) -> None:
        """Reject a request that is still being read when the node stops."""
        now = self._loop.time()
        call = self._start_call(request, now)
        self._fail(
            call, self._terms.determine(call, now) or results.NODE_STOPPING
        )

    def note_cut(self, requests: t.Iterable[callers.Request]) -> None:
        """Note requests whose connection ends before they got a response."""
        now = self._loop.time()
        self.progress.note_cut(requests, now, self._stopping_s(now))

    def note_unread(self, size: int) -> None:
        """Note that a connection is closed although it has unread bytes."""
        self._counts.closed_unread()
        stopping_s = self._stopping_s(self._loop.time())
        self._log.event(
            "closed_unread",
            bytes=size,
            stopping_ms=(
                round(stopping_s * 1000, 1) if stopping_s is not None else None
            ),
        )

    def _stopping_s(self, now: float) -> float | None:
        """Return the seconds since the stop signal, ``None`` without one."""
        if self.stop_schedule is None:
            return None
        return now - self.stop_schedule.began

    def finish_all(self) -> None:
        """Send the final response to each request in progress."""
        self.handle_held()
        for call in self.progress.unanswered:
            if not call.done:
                self._finish(call)

    def _finish(self, call: calls.Call) -> None:
        worst_code = call.worst_code
        # A call that waits for its organisation's rate has not been sent to
        # any host.
        not_sent = self._withdraw(call) or not call.instance_id
        if worst_code is not None and not worst_code.not_run:
            self._fail(call, worst_code)
        elif not_sent:
            call.not_run_reason = _Reason.WITHDRAWN
            self._fail(call, results.NODE_STOPPING)
        else:
            self._fail(call, results.STOPPED_UNANSWERED)

    def _admit(self, request: callers.Request) -> None:
        now = self._loop.time()
        call = self._start_call(request, now)
        refused = self._terms.determine(call, now)
        if refused is None and self.stop_schedule is not None:
            route = t.cast(catalog.Route, call.route)
            needed_s = self._slowest.needed_s(route.name, now)
            refused = self.stop_schedule.refuse(call, needed_s, now)
        refused = refused or self._shed_code(call, now)
        if refused is not None:
            self._fail(call, refused)
            return
        request.on_disconnect = lambda: self._caller_left(call)
        call.timer = self._loop.call_at(call.deadline, self._expired, call)
        if not call.organisation:
            self._choose_service(call)
            return
        urgency = t.cast(catalog.Route, call.route).priority
        self._rates.request_token(
            call.organisation,
            urgency,
            lambda grant: self._rate_decided(call, grant),
        )

    def _start_call(self, request: callers.Request, now: float) -> calls.Call:
        call = calls.Call(request, now)
        call.request_id = request.header(self._names.request_id)
        self.progress.begin(call)
        return call

    def _rate_decided(
        self, call: calls.Call, grant: shared_rates.Grant
    ) -> None:
        if call.done:
            return
        if grant.granted:
            self._choose_service(call)
        else:
            self._fail(call, results.OVER_RATE, grant.wait_ms)

    def _choose_service(self, call: calls.Call) -> None:
        """Choose the service of a call and start the first attempt."""
        call.service = self.splits.choose(t.cast(catalog.Route, call.route))
        if self._retries.begin(call, self._loop.time()):
            self._offer(call)
        else:
            self._fail(call, results.RETRIES_SPENT)

    def _shed_code(
        self, call: calls.Call, now: float
    ) -> results.ResultCode | None:
        """Return the refusal of a request whose call chain would fail."""
        if call.child:
            return None
        route = t.cast(catalog.Route, call.route)
        is_retry = bool(call.flags & frames.Flag.CALLER_RETRY)
        random_draw = self._random.random()
        useful_s = min(route.objective_s, route.timeout_s)
        if self.backpressure.refuses(
            call.kind, useful_s, is_retry, random_draw, now
        ):
            return results.SHED_FOR_CHAIN
        # Retried requests are refused like new ones: their chains fail too.
        if self._random.random() < self._chain_refused_fraction(
            call.kind, now
        ):
            call.chain_refused = True
            return results.SHED_FOR_CHAIN
        return None

    def _chain_refused_fraction(
        self, kind: tuple[str, int], now: float
    ) -> float:
        """Return the fraction of a kind that is refused for failing chains."""
        if not self._options.refuse_failing_chains:
            return 0.0
        return self.chain_success.refused_fraction(kind, now)

    def _offer(self, call: calls.Call) -> None:
        """Send a call to the best upstream that was not tried yet."""
        now = self._loop.time()
        route = t.cast(catalog.Route, call.route)
        remaining_s = call.upstream_deadline - now
        instance = None
        if remaining_s > 0:
            instance = self._choose(call, route, now)
        if call.silent_attempts and (
            instance is None or instance.instance_id in call.silent_attempts
        ):
            # The attempts in progress are waited for.
            self._retries.settle(call, False, now)
            return
        if instance is None:
            self._fail(
                call,
                call.worst_code
                or self.placement.refusal_code(call.service, call.regions),
            )
            return
        flags = call.flags
        if self.placement.is_unlisted(instance.instance_id):
            flags |= frames.Flag.UNLISTED
        if call.shortened_s:
            flags |= frames.Flag.SHORTENED
        call.offers += 1
        call.tried.append(instance.instance_id)
        call.instance_id = instance.instance_id
        call.run = None
        self.placement.sent(instance.instance_id, now)
        self._counts.placed(
            call.service, self.placement.distance(instance.instance_id)
        )
        sent = frames.Call(
            number=0,
            instance_id=instance.instance_id,
            route=route.name,
            method=call.request.method,
            target=call.request.target,
            headers=[
                pair
                for pair in callers.end_to_end(call.request.headers)
                if pair[0] not in self._hidden
            ],
            body=call.request.body,
            remaining_ms=max(1, int(remaining_s * 1000)),
            objective_ms=int(call.objective_s * 1000),
            rank=call.rank,
            flags=int(flags) | frames.Flag.OPTIONAL_FIELDS,
            organisation=call.organisation,
            caller_service=self._options.service,
            request_id=call.request_id,
            limit_per_s=self.placement.limit_per_s(instance.instance_id),
        )
        if instance.address == self._options.address:
            self._offer_locally(call, instance, sent)
            return
        call.withdraw = self._peers.call(
            instance,
            sent,
            lambda result: self._handle_result(call, instance, result),
            lambda: self._handle_silence(call, instance),
        )

    def _choose(
        self, call: calls.Call, route: catalog.Route, now: float
    ) -> catalog.Instance | None:
        """Return the best upstream within the attempts that the route allows.

        A call that has used up its attempts may only go to an upstream that it
        has reached already.
        """
        choose = self.placement.choose
        name, objective_s = route.name, route.objective_s
        if len(call.reached) < route.attempts:
            tried = call.tried
            instance = choose(
                call.service,
                name,
                tried,
                objective_s,
                now,
                regions=call.regions,
            )
            if instance is not None or not call.reached:
                return instance
        return choose(
            call.service,
            name,
            (),
            objective_s,
            now,
            only=call.reached,
            regions=call.regions,
        )

    def _offer_locally(
        self, call: calls.Call, instance: catalog.Instance, sent: frames.Call
    ) -> None:
        """Pass a call to the gate of this host."""
        run: gate.Run | None = None

        def withdraw() -> bool:
            if run is None:
                return False
            before = run.state in (gate.State.WAITING, gate.State.CONNECTING)
            self._gate.cancel(run)
            return before

        call.withdraw = withdraw
        run = self._gate.run(
            sent, lambda result: self._handle_result(call, instance, result)
        )
        if run.state is not gate.State.DONE:
            call.run = run

    def _handle_result(
        self,
        call: calls.Call,
        instance: catalog.Instance,
        result: frames.Result,
    ) -> None:
        """Handle the result of an attempt: respond, retry or fail."""
        now = self._loop.time()
        route = t.cast(catalog.Route, call.route)
        if result.answered and not http_rules.is_final(result.status):
            # Gates of older builds pass on what is no answer.
            result = frames.Result(
                result.number, results.UPSTREAM_BROKEN.number, arrived=True
            )
        code = results.by_number(result.code)
        self._update_placement(route.name, instance, result, code, now)
        if call.done:
            return
        was_silent = call.silent_attempts.pop(instance.instance_id, None)
        if was_silent is not None and call.withdraw is not None:
            if not result.answered or result.status >= _SERVER_ERROR:
                return
            self._withdraw(call)
        call.withdraw = None
        if result.arrived or not code.not_run:
            self._retries.settle(call, True, now)
        # If another instance has the upstream's address, the intended one was
        # not reached.
        arrived = result.arrived and code is not results.INSTANCE_GONE
        if arrived and instance.instance_id not in call.reached:
            call.reached.append(instance.instance_id)
        self.backpressure.note(call.kind, result.child_wait_ms / 1000, now)
        final = self._past_work(now)
        if call.parent is not None:
            wait_s = (result.child_wait_ms + result.wait_ms) / 1000
            self._note_wait(call, wait_s, now)
        if result.answered:
            failed = result.status >= _SERVER_ERROR
            chain_failed = failed and result.child_failed
            self.chain_success.record(call.kind, chain_failed, now)
            # If a call below has failed, a retry would fail again and repeat
            # all other calls below it.
            may_retry = failed and not chain_failed and not final
            if may_retry and self._retries.may_retry(call, route, result, now):
                call.worst_code = results.ANSWER_LOST
                self._retry(call)
                return
            self._pass_on(call, result)
            return
        if code.not_run:
            # Only results that a gate has sent contain its limit.
            from_gate = result.limit > 0
            call.not_run_reason = _Reason.GATE if from_gate else _Reason.UNSENT
        if not code.not_run:
            call.worst_code = code
        elif call.worst_code is None:
            call.worst_code = code
        if final and call.worst_code.not_run:
            self._fail(call, results.NODE_STOPPING)
            return
        if not final and self._retries.may_offer_again(
            call, route, result, now
        ):
            self._retry(call, counted=result.arrived or not code.not_run)
            return
        if not call.silent_attempts:
            self._fail(call, call.worst_code or code, result.retry_after_ms)

    def _handle_silence(
        self, call: calls.Call, instance: catalog.Instance
    ) -> None:
        """Retry a call whose host is silent, if it may be retried.

        The attempt remains open, since its upstream may be at work: the first
        response is passed on.
        """
        now = self._loop.time()
        route = t.cast(catalog.Route, call.route)
        name = instance.instance_id
        self.placement.avoid(name, now + UNREACHABLE_AVOID_S)
        if name not in call.reached:
            call.reached.append(name)
            self.placement.record_outcome(name, False, now)
        if call.withdraw is None or name != call.instance_id:
            return
        if self._past_work(now):
            return
        self._retries.settle(call, True, now)
        other = self._choose(call, route, now)
        if other is None or other.instance_id in (name, *call.silent_attempts):
            return
        if not self._retries.may_offer_again(call, route, peers.UNKNOWN, now):
            return
        call.silent_attempts[name] = call.withdraw
        call.withdraw = None
        call.worst_code = results.OUTCOME_UNKNOWN
        self._retry(call)

    def _past_work(self, now: float) -> bool:
        """Return whether a planned stop lets no more work begin."""
        stop = self.stop_schedule
        return stop is not None and now >= stop.work_ends

    def _note_wait(self, call: calls.Call, wait_s: float, now: float) -> None:
        """Note the wait of a call that a request in progress has made.

        That way, the wait reaches the entries at the top of the call chain
        before the request has ended.
        """
        child_waits = self._gate.child_waits
        parent = t.cast(parent_matching.Parent, call.parent)
        kind = (parent.route, call.rank)
        child_waits.record_wait(kind, wait_s, now)
        self.backpressure.note(
            kind, wait_s * child_waits.calls(parent.route), now
        )

    def _update_placement(
        self,
        route: str,
        instance: catalog.Instance,
        result: frames.Result,
        code: results.ResultCode,
        now: float,
    ) -> None:
        """Update the placement with what a result shows about its host."""
        placed, name = self.placement, instance.instance_id
        placed.ended(name)
        self._update_advertised(name, result, code, now)
        if code is results.HOST_LEAVING or code is results.INSTANCE_GONE:
            placed.host_leaving(name, now)
            return
        if code is results.DATA_CENTRE_EVACUATED:
            placed.avoid(name, now + UNREACHABLE_AVOID_S)
            return
        if code is results.NOT_AT_HOME:
            return
        if code in (results.NOT_DISPATCHED, results.OUTCOME_UNKNOWN):
            placed.avoid(name, now + UNREACHABLE_AVOID_S)
        if result.limit:
            run_s = result.run_ms / 1000 if result.run_ms else None
            placed.record_load(
                name, route, run_s, result.load, result.limit, now
            )
        if result.slowdown is not None:
            placed.record_slowdown(name, result.slowdown, now)
        if code in _NO_FAILURE_CODES:
            return
        succeeded = result.answered and result.status < _SERVER_ERROR
        placed.record_outcome(name, succeeded, now)

    def _update_advertised(
        self,
        instance_id: str,
        result: frames.Result,
        code: results.ResultCode,
        now: float,
    ) -> None:
        """Update the placement with what an upstream advertises."""
        limit_per_s = result.limit_per_s
        if limit_per_s is None:
            return
        placed = self.placement
        placed.learn_advertised(
            instance_id, limit_per_s, result.share_per_s, result.leaving, now
        )
        if code is results.SHED_AT_GATE:
            placed.record_rate_limit_wait(
                instance_id, result.wait_ms / 1000, now
            )

    def _retry(self, call: calls.Call, counted: bool = True) -> None:
        if counted:
            self._retries.note_retry(call)
        self._offer(call)

    def _pass_on(self, call: calls.Call, result: frames.Result) -> None:
        """End a call with its upstream's response."""
        if result.status in _NOT_RUN_STATUSES and not call.idempotent:
            # Without the header that an upstream sets on requests it did not
            # run, the request may have run.
            self._fail(call, results.REFUSAL_UNPROVED)
            return
        self._end(call, results.ANSWERED, result.status)
        worst = call.worst_code
        may_have_run = worst is not None and not worst.not_run
        headers = [
            (bytes(name), bytes(value))
            for name, value in result.headers
            # The mark is about this attempt; an earlier one may have run.
            if not (may_have_run and name == self._names.not_executed)
        ]
        call.request.respond(result.status, headers, result.body)

    def _fail(
        self,
        call: calls.Call,
        code: results.ResultCode,
        retry_after_ms: int = 0,
    ) -> None:
        """End a call with a response that the node makes itself."""
        status = code.http_status
        if code is results.QUARANTINED or (
            code.not_run and status >= _SERVER_ERROR
        ):
            # Callers may safely retry a request that has certainly not run.
            status = 503
        self._end(call, code, status)
        headers: callers.Headers = [(b"content-type", b"application/json")]
        if status in (429, 503) or (
            code is results.REFUSAL_UNPROVED and call.idempotent
        ):
            retry_after_s = self._retry_after_s(call, code, retry_after_ms)
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        if call.request_id:
            headers.append((self._names.request_id, call.request_id))
        body = b'{"code":%d,"name":"%s"}' % (code.number, code.name.encode())
        call.request.respond(status, headers, body)

    def _retry_after_s(
        self, call: calls.Call, code: results.ResultCode, wait_ms: int
    ) -> float:
        """Return the retry-after time of a refused caller, in seconds."""
        now = self._loop.time()
        remaining_s = max(0.0, call.deadline - now)
        if call.client_remaining_ms:
            remaining_s = call.client_remaining_ms / 1000
        random_draw = self._random.random()
        if call.chain_refused:
            return retry_after.longest_honoured_s(remaining_s)
        if code in _RESTART_CODES:
            restart_s = retry_after.STARTUP_S
            if self.stop_schedule is not None:
                restart_s = self.stop_schedule.retry_after_s(
                    call.objective_s, now
                )
            return retry_after.after_restart_s(
                remaining_s, restart_s, random_draw
            )
        return retry_after.after_refusal_s(
            remaining_s, call.objective_s, wait_ms / 1000, random_draw
        )

    def _end(
        self, call: calls.Call, code: results.ResultCode, status: int
    ) -> None:
        """Count and log the end of a call."""
        call.done = True
        self._withdraw_silent(call)
        self.progress.end(call)
        if call.timer is not None:
            call.timer.cancel()
        call.request.on_disconnect = None
        now = self._loop.time()
        self._retries.settle(call, False, now)
        served = code is results.ANSWERED and status < _SERVER_ERROR
        if call.parent is not None:
            self._gate.lineage.call_ended(call.parent, served, now)
        duration_s = now - call.started
        route = call.route.name if call.route is not None else ""
        if not code.not_run:
            self._slowest.note(route, duration_s, now)
        self._counts.ended(route, code, duration_s)
        if code.not_run:
            self._counts.not_run(call.not_run_reason)
        if code in _GIVEN_UP_CODES:
            stopped = "stop" if call.shortened_s else _GIVEN_UP_CODES[code]
            self._counts.given_up(stopped)
        if not served or self._log.samples_served():
            kind = (route, call.rank)
            below = request_log.Below(
                self.backpressure.wait_s(kind, now),
                self._chain_refused_fraction(kind, now),
            )
            fields = request_log.describe(
                call,
                code,
                status,
                self._terms.version,
                below,
                now,
                self._stopping_s(now),
            )
            self._log.event("request", **fields)

    def _caller_left(self, call: calls.Call) -> None:
        """Withdraw a call whose caller has disconnected."""
        if call.done:
            return
        self._withdraw(call)
        self._end(call, results.CANCELLED_AFTER_START, 499)

    def _expired(self, call: calls.Call) -> None:
        """Fail a call whose deadline has passed."""
        if call.done:
            return
        now = self._loop.time()
        # No result with the wait of the chain has arrived; the time that has
        # passed is a lower bound of it.
        elapsed_s = now - call.started
        if call.parent is not None:
            self._note_wait(call, elapsed_s, now)
        elif self.backpressure.wait_s(call.kind, now) > 0.0:
            self.backpressure.note(call.kind, elapsed_s, now)
        # Before its first attempt, the call may still be waiting for the owner
        # of its organisation's rate.
        not_sent = self._withdraw(call) or not call.offers
        if not_sent and (call.worst_code is None or call.worst_code.not_run):
            call.not_run_reason = _Reason.WITHDRAWN
            self._fail(call, results.DEADLINE_TOO_SHORT)
        else:
            self._fail(call, results.DEADLINE_UNKNOWN)

    def _withdraw(self, call: calls.Call) -> bool:
        """Withdraw a call; return whether it has certainly not run."""
        withdraw, call.withdraw = call.withdraw, None
        if withdraw is None:
            return False
        not_sent = withdraw()
        self._retries.settle(call, not not_sent, self._loop.time())
        self.placement.ended(call.instance_id)
        return not_sent

    def _withdraw_silent(self, call: calls.Call) -> None:
        """Withdraw earlier attempts that are still in progress."""
        silent, call.silent_attempts = call.silent_attempts, {}
        for instance_id, withdraw in silent.items():
            withdraw()
            self.placement.ended(instance_id)
