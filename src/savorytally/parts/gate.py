"""The gate: limits the calls that run at the local upstream."""

import asyncio
import dataclasses
import itertools

from absl import logging

from .. import defaults
from .. import logs
from .. import outcomes
from .. import ports
from .. import results
from .. import view
from ..decisions import admission
from ..decisions import advertised_by_host
from ..decisions import advertised_state
from ..decisions import downstream
from ..decisions import execution_record
from ..decisions import quarantine
from ..decisions import retry
from ..decisions import shedding
from ..peer import messages
from ..world import region
from ..world import route
from . import call_tokens
from . import headers
from . import isolation

_SERVER_ERROR = 500
# Key of the gate's only upstream in the advertisements, kept by host.
_UPSTREAM = "local"
_SERVICE_UNAVAILABLE = 503
_UPSTREAM_FAILURES = (
    results.NOT_DISPATCHED,
    results.UPSTREAM_BROKEN,
    results.ANSWER_TRUNCATED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingCall:
    """A call that waits for admission.

    :param call: the call.
    :param decision: receives the policy's decision.
    """

    call: messages.Call
    decision: asyncio.Future[admission.Decision]


class Gate:
    """Runs calls at the local upstream as the admission policy allows.

    :param environment: provides the clock and the upstream.
    :param place: region and data centre of this node.
    :param current_view: provides the configuration in force.
    :param policy: decides which calls run, wait or are rejected.
    :param running_calls: running calls by call token, shared with the
        egress.
    :param downstream_levels: shed levels of the services that the upstream
        calls.
    :param crash_quarantine: finds poison requests, which crash upstreams.
    :param execution_record: states and outcomes of requests that run at
        most once.
    """

    def __init__(
        self,
        environment: ports.Environment,
        place: region.Place,
        current_view: view.View,
        policy: admission.Admission,
        running_calls: call_tokens.RunningCalls,
        downstream_levels: downstream.DownstreamLevels,
        crash_quarantine: quarantine.Quarantine,
        execution_record: execution_record.ExecutionRecord,
    ) -> None:
        self._clock = environment.clock
        self._upstream = environment.upstream
        self._place = place
        self._evacuated = False
        self._view = current_view
        self._admission = policy
        self._running_calls = running_calls
        self._downstream = downstream_levels
        self._isolation = isolation.Isolation(
            environment.clock, crash_quarantine
        )
        self._record = execution_record
        self._recorded_tasks: set[asyncio.Task[outcomes.Outcome]] = set()
        self._tickets = itertools.count(1)
        self._leaving = False
        self._advertised = advertised_state.AdvertisedState()
        self._advertised_by_host = advertised_by_host.HostAdvertisements()
        self._waiting: dict[int, _WaitingCall] = {}

    @property
    def policy(self) -> admission.Admission:
        """The admission policy in use."""
        return self._admission

    def shed_level(self, call: messages.Call) -> int:
        """Return the shed level to send with a call's result.

        It is the higher of this gate's level and the levels of the services
        that calls on the same route call.
        """
        now = self._clock.now()
        if self._advertised_by_host.drained(now):
            return shedding.LEVEL_MAX
        own = self._admission.level(now)
        return max(own, self._downstream.level(call.route_id, now))

    def tick(self) -> None:
        """Run the admission policy's periodic work.

        The policy starts waiting calls and rejects those that can't be
        answered in time.
        """
        self._resolve_waiting(self._admission.tick(self._clock.now()))

    def leave(self) -> None:
        """Reject all waiting and all later calls."""
        self._leaving = True
        for ticket in list(self._waiting):
            refused = admission.Refuse(ticket, results.HOST_LEAVING, 0)
            self._refuse_waiting(refused)

    def configuration_changed(self) -> None:
        """Reject the waiting calls that may no longer run here."""
        version = self._view.configuration
        evacuated = version is not None and self._place in version.evacuated
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            logging.info(
                "data centre is %s",
                "evacuated" if evacuated else "no longer evacuated",
                extra=logs.fields(waiting=len(self._waiting)),
            )
        for ticket, waiting in list(self._waiting.items()):
            code = self._misplaced(waiting.call)
            if code is not None:
                self._refuse_waiting(
                    admission.Refuse(ticket, code, defaults.RETRY_AFTER_MS)
                )

    def _refuse_waiting(self, refused: admission.Refuse) -> None:
        if refused.ticket not in self._waiting:
            return
        decisions = self._admission.cancel(refused.ticket, self._clock.now())
        self._resolve_waiting([refused, *decisions])

    async def run(self, call: messages.Call) -> outcomes.Outcome:
        """Run a call once it is admitted and return its outcome."""
        called_route = self._find_callable_route(call)
        if isinstance(called_route, outcomes.Failure):
            return called_route
        if self._advertised.adopt_limit(call.limit_per_s):
            self._apply_rate_limit("peer")
        if called_route.idempotent or not call.idempotency_key:
            return await self._run(call, called_route, None)
        return await self._run_once(call, called_route)

    async def _run_once(
        self, call: messages.Call, called_route: route.Route
    ) -> outcomes.Outcome:
        """Run a call unless it ran before, and record its outcome.

        Once the call has been sent to the upstream, cancellation by the
        sender no longer stops it, so that a retry finds the recorded answer.
        """
        key = execution_record.Key(call.organisation_id, call.idempotency_key)
        now = self._clock.now()
        previous = self._record.begin(key, now, self._clock.wall())
        if not isinstance(previous, execution_record.Run):
            return call_tokens.with_unused_retries(previous, call.retries)
        task = asyncio.ensure_future(
            self._run_recorded(call, called_route, key)
        )
        self._recorded_tasks.add(task)
        task.add_done_callback(self._recorded_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError as error:
            if self._record.started(key):
                failure = outcomes.Failure(results.CANCELLED_AFTER_START)
                raise ports.CallCancelled(failure) from error
            task.cancel()
            raise ports.CallCancelled(
                outcomes.Failure(
                    results.CANCELLED_BEFORE_START,
                    retries_unused=call.retries,
                )
            ) from error

    async def _run_recorded(
        self,
        call: messages.Call,
        called_route: route.Route,
        key: execution_record.Key,
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome | None = None
        try:
            outcome = await self._run(call, called_route, key)
            return outcome
        except ports.CallCancelled as withdrawn:
            return withdrawn.outcome
        finally:
            self._record.finish(key, outcome, self._clock.now())

    async def _run(
        self,
        call: messages.Call,
        called_route: route.Route,
        key: execution_record.Key | None,
    ) -> outcomes.Outcome:
        deadline = self._clock.now() + call.remaining_ms / 1000
        verdict = await self._isolation.await_verdict(call, deadline)
        if isinstance(verdict, outcomes.Failure):
            return verdict
        # Calls may have waited for the verdict.
        misplacement = self._misplacement(call)
        if misplacement is not None:
            return misplacement
        ticket = next(self._tickets)
        decision = await self._admit(
            call, called_route, ticket, deadline, verdict
        )
        if isinstance(decision, admission.Refuse):
            return outcomes.Failure(
                decision.code,
                retry_after_ms=decision.retry_after_ms,
                retries_unused=call.retries,
            )
        end = admission.CallEnd.WITHDRAWN
        outcome: outcomes.Outcome | None = None
        self._isolation.started(ticket, call)
        try:
            outcome = await self._execute(call, called_route, deadline, key)
            end = _admission_end(outcome)
            return outcome
        finally:
            now = self._clock.now()
            self._isolation.ended(ticket, end, outcome)
            self._resolve_waiting(self._admission.finish(ticket, end, now))

    def _find_callable_route(
        self, call: messages.Call
    ) -> route.Route | outcomes.Failure:
        if self._leaving or self._advertised_by_host.drained(
            self._clock.now()
        ):
            return outcomes.Failure(
                results.HOST_LEAVING, retries_unused=call.retries
            )
        version = self._view.configuration
        if version is None:
            return outcomes.Failure(results.NOT_CONFIGURED)
        called_route = version.routes.get(call.route_id)
        if called_route is None:
            return self._missing_in_configuration(results.UNKNOWN_ROUTE)
        if not self._key_is_granted(call):
            return self._missing_in_configuration(results.KEY_REJECTED)
        return self._misplacement(call) or called_route

    def _missing_in_configuration(
        self, code: results.ResultCode
    ) -> outcomes.Failure:
        """Return the failure for a route or key missing in this version.

        If this node lags behind, the newer configuration that the sender
        used may hold it, and another host may run the call.

        :param code: the result code if this node doesn't lag behind.
        """
        return outcomes.Failure(
            results.STALE_VIEW if self._view.lagging else code
        )

    def _misplaced(self, call: messages.Call) -> results.ResultCode | None:
        """Return why a call may not run in this data centre.

        The sender may have an older configuration, and that of this node may
        change while the call waits.

        :return: ``None`` if it may run.
        """
        version = self._view.configuration
        if version is None:
            return None
        return version.misplaced(
            self._place, call.route_id, call.organisation_id
        )

    def _misplacement(self, call: messages.Call) -> outcomes.Failure | None:
        code = self._misplaced(call)
        if code is None:
            return None
        return outcomes.Failure(
            code,
            retry_after_ms=defaults.RETRY_AFTER_MS,
            retries_unused=call.retries,
        )

    def _key_is_granted(self, call: messages.Call) -> bool:
        if not call.organisation_id:
            return True
        version = self._view.configuration
        return version is not None and version.granted(
            call.organisation_id, call.key_id
        )

    async def _admit(
        self,
        call: messages.Call,
        called_route: route.Route,
        ticket: int,
        deadline: float,
        verdict: quarantine.Decision,
    ) -> admission.Decision:
        version = self._view.configuration
        organisation = version and version.organisations.get(
            call.organisation_id
        )
        arrival = admission.Arrival(
            ticket=ticket,
            organisation_id=call.organisation_id,
            weight=organisation.contract.weight if organisation else 1.0,
            priority=route.Priority(call.priority),
            route_id=call.route_id,
            deadline=deadline,
            isolated=verdict is quarantine.RUN_ISOLATED,
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = _WaitingCall(call, future)
        self._resolve_waiting(
            self._admission.arrive(arrival, self._clock.now())
        )
        try:
            return await future
        except asyncio.CancelledError as error:
            self._cancel_admission(ticket, future)
            failure = outcomes.Failure(
                results.CANCELLED_BEFORE_START, retries_unused=call.retries
            )
            raise ports.CallCancelled(failure) from error
        finally:
            self._waiting.pop(ticket, None)

    def _cancel_admission(
        self, ticket: int, future: asyncio.Future[admission.Decision]
    ) -> None:
        now = self._clock.now()
        started = future.done() and not future.cancelled()
        if started and isinstance(future.result(), admission.Start):
            end = admission.CallEnd.WITHDRAWN
            self._resolve_waiting(self._admission.finish(ticket, end, now))
            return
        self._resolve_waiting(self._admission.cancel(ticket, now))

    def _resolve_waiting(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            waiting = self._waiting.pop(decision.ticket, None)
            if waiting is not None and not waiting.decision.done():
                waiting.decision.set_result(decision)

    async def _execute(
        self,
        call: messages.Call,
        called_route: route.Route,
        deadline: float,
        key: execution_record.Key | None,
    ) -> outcomes.Outcome:
        if not self._view.confirmed(self._clock.now()):
            return outcomes.Failure(results.STALE_VIEW)
        if not self._key_is_granted(call):
            return outcomes.Failure(results.KEY_REJECTED)
        misplacement = self._misplacement(call)
        if misplacement is not None:
            return misplacement
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            return outcomes.Failure(results.DEADLINE_TOO_SHORT)
        if key is not None:
            refusal = self._record.start(key, self._clock.now())
            if refusal is not None:
                return refusal
        budget = retry.RetryBudget(call.retries)
        token = self._running_calls.add(call, deadline, budget)
        sent_at = self._clock.now()
        try:
            request = _upstream_request(call, called_route, token)
            outcome = await self._upstream.exchange(request, remaining_s)
        except asyncio.CancelledError as error:
            failure = outcomes.Failure(
                results.CANCELLED_AFTER_START, retries_unused=budget.left
            )
            raise ports.CallCancelled(failure) from error
        finally:
            self._running_calls.remove(token)
        if isinstance(outcome, outcomes.Answer):
            self._apply_advertisement(outcome, sent_at)
        return call_tokens.with_unused_retries(outcome, budget.left)

    def _apply_advertisement(
        self, answer: outcomes.Answer, sent_at: float
    ) -> None:
        """Apply the rate limit and the leaving notice in an answer.

        :param sent_at: when the answered request was sent, in seconds of
            the node's clock.
        """
        now = self._clock.now()
        advertised = headers.advertised(answer.headers)
        self._advertised_by_host.note(_UPSTREAM, advertised, now)
        if self._advertised.apply(advertised, sent_at, now):
            self._apply_rate_limit("answer")

    def _apply_rate_limit(self, origin: str) -> None:
        limit_per_s = self._advertised.limit_per_s
        logging.info(
            "upstream rate limit is %s requests per second",
            limit_per_s,
            extra=logs.fields(
                leaving=self._advertised.leaving_since is not None,
                origin=origin,
            ),
        )
        now = self._clock.now()
        self._resolve_waiting(
            self._admission.learn_rate_limit(limit_per_s, now)
        )


def _admission_end(outcome: outcomes.Outcome) -> admission.CallEnd:
    if isinstance(outcome, outcomes.Answer):
        if outcome.status == _SERVICE_UNAVAILABLE:
            return admission.CallEnd.REJECTED
        if outcome.status >= _SERVER_ERROR:
            return admission.CallEnd.FAILED
        return admission.CallEnd.ANSWERED
    if outcome.code in _UPSTREAM_FAILURES:
        return admission.CallEnd.BROKEN
    if outcome.code is results.DEADLINE_PASSED:
        return admission.CallEnd.LATE
    return admission.CallEnd.WITHDRAWN


def _upstream_request(
    call: messages.Call, called_route: route.Route, token: str
) -> ports.UpstreamRequest:
    path = called_route.path
    if call.path_suffix:
        path = f"{path.rstrip('/')}/{call.path_suffix}"
    added = [(headers.CALL_TOKEN, token), (headers.REQUEST_ID, call.root_id)]
    if call.organisation_id:
        added.append((headers.ORGANISATION, call.organisation_id))
    if call.traceparent:
        added.append((headers.TRACEPARENT, call.traceparent))
    return ports.UpstreamRequest(
        method=called_route.method,
        path=path,
        query=call.query,
        headers=(*call.headers, *added),
        body=call.body,
    )
