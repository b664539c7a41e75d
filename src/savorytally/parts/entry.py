"""The entry: receives callers' requests and answers them."""

import asyncio

from absl import logging

from .. import defaults
from .. import logs
from .. import metrics
from .. import outcomes
from .. import ports
from .. import results
from .. import view
from ..decisions import quota
from ..decisions import retry
from ..decisions import shedding
from ..world import configuration
from ..world import route
from . import callers
from . import context
from . import dispatch
from . import headers
from . import paths


class Entry:
    """Checks requests, charges them to the sender's rate and runs them.

    :param environment: provides the clock and the random source.
    :param current_view: provides the configuration in force.
    :param rates: limits the request rate of each organisation.
    :param dispatcher: sends the calls.
    :param request_metrics: counts the requests and their durations.
    """

    def __init__(
        self,
        environment: ports.Environment,
        current_view: view.View,
        rates: quota.Quota,
        dispatcher: dispatch.Dispatcher,
        request_metrics: metrics.Metrics,
    ) -> None:
        self._clock = environment.clock
        self._random = environment.random
        self._view = current_view
        self._quota = rates
        self._dispatcher = dispatcher
        self._metrics = request_metrics
        self._root_numbers = shedding.RootNumbers()

    async def handle(self, request: context.Request) -> outcomes.Outcome:
        """Run a caller's request and return its outcome."""
        started = self._clock.now()
        labels = metrics.Labels()
        outcome = await self._run(request, labels)
        duration_s = self._clock.now() - started
        self._metrics.count_request(labels, outcome.code, duration_s)
        return outcome

    async def _run(
        self, request: context.Request, labels: metrics.Labels
    ) -> outcomes.Outcome:
        job = self._prepare(request, labels)
        if isinstance(job, outcomes.Failure):
            return job
        first = self._dispatcher.choose_first(job)
        if isinstance(first, outcomes.Failure):
            # A shed request is not charged to the organisation's rate.
            return first
        rejection = await self._charge_rate(job.context)
        if rejection is not None:
            return rejection
        outcome = await self._dispatcher.run(job, first)
        if isinstance(outcome, outcomes.Failure):
            _log_failure(outcome, job.context.root_id)
        return outcome

    async def _charge_rate(
        self, charged: context.Context
    ) -> outcomes.Failure | None:
        """Charge a request to its organisation's rate.

        Waits for a limited time if a rate token is expected to arrive.

        :return: a failure if the rate is exhausted, else ``None``.
        """
        if not charged.organisation_id:
            return None
        remaining_wait_s = defaults.QUOTA_WAIT_MAX_S
        while True:
            now = self._clock.now()
            final = remaining_wait_s <= 0.0 or now >= charged.deadline
            decision = self._quota.take(charged.organisation_id, now, final)
            if isinstance(decision, quota.Taken):
                return None
            if isinstance(decision, quota.OverRate):
                return outcomes.Failure(
                    results.OVER_RATE, retry_after_ms=decision.retry_after_ms
                )
            remaining_wait_s -= decision.wait_ms / 1000
            await asyncio.sleep(decision.wait_ms / 1000)

    def _prepare(
        self, request: context.Request, labels: metrics.Labels
    ) -> dispatch.Job | outcomes.Failure:
        version = self._view.configuration
        if version is None:
            return outcomes.Failure(results.NOT_CONFIGURED)
        if not self._view.confirmed(self._clock.now()):
            return outcomes.Failure(results.STALE_VIEW)
        resolved = paths.find_route(version, request)
        if resolved is None:
            return outcomes.Failure(results.UNKNOWN_ROUTE)
        labels.route_class = resolved.route.priority.name.lower()
        caller = callers.identify(version, resolved.route, request)
        if isinstance(caller, outcomes.Failure):
            return caller
        labels.organisation_id = caller.organisation_id
        failure = callers.sender_fault(version, request, caller)
        if failure is not None:
            return failure
        request = callers.without_key(request)
        return self._job(version, resolved, caller, request)

    def _job(
        self,
        version: configuration.Configuration,
        resolved: paths.ResolvedRoute,
        caller: callers.Caller,
        request: context.Request,
    ) -> dispatch.Job | outcomes.Failure:
        idempotency_key = request.header(headers.IDEMPOTENCY_KEY)
        if not resolved.route.idempotent and not idempotency_key:
            return outcomes.Failure(results.IDEMPOTENCY_KEY_MISSING)
        timeout_s = _timeout_s(request, resolved.route)
        if timeout_s is None:
            return outcomes.Failure(
                results.MALFORMED_REQUEST, headers.TIMEOUT_MS
            )
        return dispatch.Job(
            route=resolved.route,
            path_suffix=resolved.path_suffix,
            request=request,
            context=context.Context(
                root_id=self._root_id(resolved.route, caller),
                organisation_id=caller.organisation_id,
                key_id=caller.key_id,
                priority=resolved.route.priority,
                deadline=self._clock.now() + timeout_s,
                retry_budget=retry.RetryBudget(version.retries.per_root),
                depth=0,
                traceparent=headers.traceparent(request.headers),
            ),
            idempotency_key=idempotency_key,
        )

    def _root_id(
        self, called_route: route.Route, caller: callers.Caller
    ) -> str:
        number = self._root_numbers.next(
            called_route.priority, caller.organisation_id
        )
        return shedding.root_id(self._random, number)


def _timeout_s(
    request: context.Request, called_route: route.Route
) -> float | None:
    text = request.header(headers.TIMEOUT_MS)
    if not text:
        return called_route.timeout_ms / 1000
    if not text.isdecimal() or int(text) == 0:
        return None
    requested_ms = min(int(text), defaults.CALL_TIMEOUT_MAX_MS)
    return min(requested_ms, called_route.timeout_ms) / 1000


def _log_failure(failure: outcomes.Failure, root_id: str) -> None:
    # Rejections are frequent under overload and the metrics count them, so
    # that they are logged at debug level only.
    level = logging.DEBUG if failure.code.not_run else logging.INFO
    fields = logs.fields(root_id, failure.code.number)
    logging.log(level, "request failed: %s", failure.detail, extra=fields)
