"""The gate: decides when calls reach the local upstream."""

import asyncio
import itertools

from absl import logging

from .. import logs
from .. import outcomes
from .. import ports
from .. import results
from .. import view
from ..decisions import admission
from ..decisions import downstream
from ..decisions import quarantine
from ..decisions import record
from ..decisions import retry
from ..decisions import shedding
from ..decisions import standing
from ..decisions import stated
from ..peer import messages
from ..world import route
from . import headers
from . import isolation
from . import running

_SERVER_ERROR = 500
# The only upstream of a gate.
_UPSTREAM = "local"
_SERVICE_UNAVAILABLE = 503
_UPSTREAM_FAULTS = (
    results.NOT_DISPATCHED,
    results.UPSTREAM_BROKEN,
    results.ANSWER_TRUNCATED,
)


class Gate:
    """Runs calls at the local upstream as admission allows.

    :param outside: clock and upstream.
    :param current: the configuration in force.
    :param policy: decides which calls run, wait or are refused.
    :param tokens: running calls by call token, shared with the egress.
    :param below: shed levels of the services called from here.
    :param judge: knows the requests that crash upstreams.
    :param executions: what became of requests that run at most once.
    """

    def __init__(
        self,
        outside: ports.Outside,
        current: view.View,
        policy: admission.Admission,
        tokens: running.RunningCalls,
        below: downstream.DownstreamLevels,
        judge: quarantine.Quarantine,
        executions: record.ExecutionRecord,
    ) -> None:
        self._clock = outside.clock
        self._upstream = outside.upstream
        self._view = current
        self._admission = policy
        self._tokens = tokens
        self._downstream = below
        self._isolation = isolation.Isolation(outside.clock, judge)
        self._record = executions
        self._recorded: set[asyncio.Task[outcomes.Outcome]] = set()
        self._tickets = itertools.count(1)
        self._leaving = False
        self._standing = standing.Standing()
        self._stated = stated.Stated()
        self._waiting: dict[int, asyncio.Future[admission.Decision]] = {}

    @property
    def policy(self) -> admission.Admission:
        """The admission policy in use."""
        return self._admission

    def level(self, call: messages.Call) -> int:
        """Return the shed level to send with a call's result.

        It counts in the services that calls on this route have called.
        """
        now = self._clock.now()
        if self._stated.drained(now):
            return shedding.LEVEL_MAX
        own = self._admission.level(now)
        return max(own, self._downstream.level(call.route_id, now))

    def tick(self) -> None:
        """Let admission remove calls that can't be answered in time."""
        self._apply(self._admission.tick(self._clock.now()))

    def leave(self) -> None:
        """Refuse the calls that wait and all later ones."""
        self._leaving = True
        now = self._clock.now()
        for ticket in list(self._waiting):
            refused = admission.Refuse(ticket, results.HOST_LEAVING, 0)
            self._apply([refused, *self._admission.cancel(ticket, now)])

    async def run(self, call: messages.Call) -> outcomes.Outcome:
        """Run a call when admission starts it and return its outcome."""
        found = self._check(call)
        if isinstance(found, outcomes.Failure):
            return found
        if self._standing.tell(call.limit_per_s):
            self._pace("peer")
        if found.idempotent or not call.idempotency_key:
            return await self._run(call, found, None)
        return await self._run_once(call, found)

    async def _run_once(
        self, call: messages.Call, found: route.Route
    ) -> outcomes.Outcome:
        """Run a call unless it ran before; its end is always recorded.

        Once it has been sent to the upstream it goes on although its sender
        gives up, so that a resend finds the answer.
        """
        key = record.Key(call.organisation_id, call.idempotency_key)
        now = self._clock.now()
        known = self._record.begin(key, now, self._clock.wall())
        if not isinstance(known, record.Run):
            return running.with_unused(known, call.retries)
        task = asyncio.ensure_future(self._run_recorded(call, found, key))
        self._recorded.add(task)
        task.add_done_callback(self._recorded.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError as error:
            if self._record.started(key):
                failure = outcomes.Failure(results.CANCELLED_AFTER_START)
                raise ports.Withdrawn(failure) from error
            task.cancel()
            raise ports.Withdrawn(
                outcomes.Failure(
                    results.CANCELLED_BEFORE_START,
                    retries_unused=call.retries,
                )
            ) from error

    async def _run_recorded(
        self, call: messages.Call, found: route.Route, key: record.Key
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome | None = None
        try:
            outcome = await self._run(call, found, key)
            return outcome
        except ports.Withdrawn as withdrawn:
            return withdrawn.outcome
        finally:
            self._record.finish(key, outcome, self._clock.now())

    async def _run(
        self, call: messages.Call, found: route.Route, key: record.Key | None
    ) -> outcomes.Outcome:
        deadline = self._clock.now() + call.remaining_ms / 1000
        judged = await self._isolation.judge(call, deadline)
        if isinstance(judged, outcomes.Failure):
            return judged
        ticket = next(self._tickets)
        decision = await self._admit(call, found, ticket, deadline, judged)
        if isinstance(decision, admission.Refuse):
            return outcomes.Failure(
                decision.code,
                retry_after_ms=decision.retry_after_ms,
                retries_unused=call.retries,
            )
        end = admission.End.WITHDRAWN
        outcome: outcomes.Outcome | None = None
        self._isolation.started(ticket, call)
        try:
            outcome = await self._execute(call, found, deadline, key)
            end = _end(outcome)
            return outcome
        finally:
            now = self._clock.now()
            self._isolation.ended(ticket, end, outcome)
            self._apply(self._admission.finish(ticket, end, now))

    def _check(self, call: messages.Call) -> route.Route | outcomes.Failure:
        if self._leaving or self._stated.drained(self._clock.now()):
            return outcomes.Failure(
                results.HOST_LEAVING, retries_unused=call.retries
            )
        version = self._view.configuration
        if version is None:
            return outcomes.Failure(results.NOT_CONFIGURED)
        found = version.routes.get(call.route_id)
        if found is None:
            return self._unknown(results.UNKNOWN_ROUTE)
        if not self._granted(call):
            return self._unknown(results.KEY_REJECTED)
        return found

    def _unknown(self, code: results.ResultCode) -> outcomes.Failure:
        """Refuse what this node's version does not know.

        A newer version, by which the sender may have judged, may know it;
        the call is then better run elsewhere.
        """
        return outcomes.Failure(
            results.STALE_VIEW if self._view.lagging else code
        )

    def _granted(self, call: messages.Call) -> bool:
        if not call.organisation_id:
            return True
        version = self._view.configuration
        return version is not None and version.granted(
            call.organisation_id, call.key_id
        )

    async def _admit(
        self,
        call: messages.Call,
        found: route.Route,
        ticket: int,
        deadline: float,
        judged: quarantine.Verdict,
    ) -> admission.Decision:
        version = self._view.configuration
        holder = version and version.organisations.get(call.organisation_id)
        arrival = admission.Arrival(
            ticket=ticket,
            organisation_id=call.organisation_id,
            weight=holder.contract.weight if holder else 1.0,
            priority=route.Priority(call.priority),
            route_id=call.route_id,
            deadline=deadline,
            alone=judged is quarantine.RUN_ALONE,
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._apply(self._admission.arrive(arrival, self._clock.now()))
        try:
            return await future
        except asyncio.CancelledError as error:
            self._withdraw(ticket, future)
            failure = outcomes.Failure(
                results.CANCELLED_BEFORE_START, retries_unused=call.retries
            )
            raise ports.Withdrawn(failure) from error
        finally:
            self._waiting.pop(ticket, None)

    def _withdraw(
        self, ticket: int, future: asyncio.Future[admission.Decision]
    ) -> None:
        now = self._clock.now()
        started = future.done() and not future.cancelled()
        if started and isinstance(future.result(), admission.Start):
            end = admission.End.WITHDRAWN
            self._apply(self._admission.finish(ticket, end, now))
            return
        self._apply(self._admission.cancel(ticket, now))

    def _apply(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.ticket, None)
            if future is not None and not future.done():
                future.set_result(decision)

    async def _execute(
        self,
        call: messages.Call,
        found: route.Route,
        deadline: float,
        key: record.Key | None,
    ) -> outcomes.Outcome:
        if not self._view.confirmed(self._clock.now()):
            return outcomes.Failure(results.STALE_VIEW)
        if not self._granted(call):
            return outcomes.Failure(results.KEY_REJECTED)
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            return outcomes.Failure(results.DEADLINE_TOO_SHORT)
        if key is not None:
            refusal = self._record.start(key, self._clock.now())
            if refusal is not None:
                return refusal
        budget = retry.RetryBudget(call.retries)
        token = self._tokens.begin(call, deadline, budget)
        sent_at = self._clock.now()
        try:
            request = _upstream_request(call, found, token)
            outcome = await self._upstream.exchange(request, remaining_s)
        except asyncio.CancelledError as error:
            failure = outcomes.Failure(
                results.CANCELLED_AFTER_START, retries_unused=budget.left
            )
            raise ports.Withdrawn(failure) from error
        finally:
            self._tokens.end(token)
        if isinstance(outcome, outcomes.Answer):
            self._hear(outcome, sent_at)
        return running.with_unused(outcome, budget.left)

    def _hear(self, answer: outcomes.Answer, sent_at: float) -> None:
        """Take in what an answer says of the upstream."""
        now = self._clock.now()
        said = headers.said(answer.headers)
        self._stated.note(_UPSTREAM, said, now)
        if self._standing.hear(said, sent_at, now):
            self._pace("answer")

    def _pace(self, origin: str) -> None:
        limit_per_s = self._standing.limit_per_s
        logging.info(
            "upstream takes %s requests a second",
            limit_per_s,
            extra=logs.fields(
                leaving=self._standing.leaving_since is not None,
                origin=origin,
            ),
        )
        now = self._clock.now()
        self._apply(self._admission.learn_pace(limit_per_s, now))


def _end(outcome: outcomes.Outcome) -> admission.End:
    if isinstance(outcome, outcomes.Answer):
        if outcome.status == _SERVICE_UNAVAILABLE:
            return admission.End.REJECTED
        if outcome.status >= _SERVER_ERROR:
            return admission.End.FAILED
        return admission.End.ANSWERED
    if outcome.code in _UPSTREAM_FAULTS:
        return admission.End.BROKEN
    if outcome.code is results.DEADLINE_PASSED:
        return admission.End.LATE
    return admission.End.WITHDRAWN


def _upstream_request(
    call: messages.Call, found: route.Route, token: str
) -> ports.UpstreamRequest:
    path = found.path
    if call.tail:
        path = f"{path.rstrip('/')}/{call.tail}"
    extra = [(headers.CALL_TOKEN, token), (headers.REQUEST_ID, call.root_id)]
    if call.organisation_id:
        extra.append((headers.ORGANISATION, call.organisation_id))
    if call.traceparent:
        extra.append((headers.TRACEPARENT, call.traceparent))
    return ports.UpstreamRequest(
        method=found.method,
        path=path,
        query=call.query,
        headers=(*call.headers, *extra),
        body=call.body,
    )
