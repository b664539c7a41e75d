"""The entry: takes callers' requests and answers them."""

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
    """Checks a request, takes it from the rate and has it run.

    :param outside: clock and random source.
    :param current: the configuration in force.
    :param limits: admits requests against the organisations' rates.
    :param dispatcher: sends calls.
    :param counts: counts the requests.
    """

    def __init__(
        self,
        outside: ports.Outside,
        current: view.View,
        limits: quota.Quota,
        dispatcher: dispatch.Dispatcher,
        counts: metrics.Metrics,
    ) -> None:
        self._clock = outside.clock
        self._random = outside.random
        self._view = current
        self._quota = limits
        self._dispatcher = dispatcher
        self._metrics = counts
        self._numbers = shedding.RootNumbers()

    async def handle(self, request: context.Request) -> outcomes.Outcome:
        """Return the outcome of a caller's request."""
        started = self._clock.now()
        labels = metrics.Labels()
        outcome = await self._run(request, labels)
        taken_s = self._clock.now() - started
        self._metrics.ended(labels, outcome.code, taken_s)
        return outcome

    async def _run(
        self, request: context.Request, labels: metrics.Labels
    ) -> outcomes.Outcome:
        job = self._prepare(request, labels)
        if isinstance(job, outcomes.Failure):
            return job
        first = self._dispatcher.choose_first(job)
        if isinstance(first, outcomes.Failure):
            # Shed before the rate is charged for it.
            return first
        over = await self._take(job.context)
        if over is not None:
            return over
        outcome = await self._dispatcher.run(job, first)
        if isinstance(outcome, outcomes.Failure):
            _log(outcome, job.context.root_id)
        return outcome

    async def _take(self, called: context.Context) -> outcomes.Failure | None:
        """Take from the rate; wait a moment for a token that may arrive."""
        if not called.organisation_id:
            return None
        left_s = defaults.QUOTA_WAIT_MAX_S
        while True:
            now = self._clock.now()
            final = left_s <= 0.0 or now >= called.deadline
            taken = self._quota.take(called.organisation_id, now, final)
            if isinstance(taken, quota.Taken):
                return None
            if isinstance(taken, quota.OverRate):
                return outcomes.Failure(
                    results.OVER_RATE, retry_after_ms=taken.retry_after_ms
                )
            left_s -= taken.wait_ms / 1000
            await asyncio.sleep(taken.wait_ms / 1000)

    def _prepare(
        self, request: context.Request, labels: metrics.Labels
    ) -> dispatch.Job | outcomes.Failure:
        version = self._view.configuration
        if version is None:
            return outcomes.Failure(results.NOT_CONFIGURED)
        if not self._view.confirmed(self._clock.now()):
            return outcomes.Failure(results.STALE_VIEW)
        found = paths.find_route(version, request)
        if found is None:
            return outcomes.Failure(results.UNKNOWN_ROUTE)
        labels.route_class = found.route.priority.name.lower()
        caller = callers.identify(version, found.route, request)
        if isinstance(caller, outcomes.Failure):
            return caller
        labels.organisation_id = caller.organisation_id
        fault = callers.misuse(version, request, caller)
        if fault is not None:
            return fault
        request = callers.without_key(request)
        return self._job(version, found, caller, request)

    def _job(
        self,
        version: configuration.Configuration,
        found: paths.Found,
        caller: callers.Caller,
        request: context.Request,
    ) -> dispatch.Job | outcomes.Failure:
        idempotency_key = request.header(headers.IDEMPOTENCY_KEY)
        if not found.route.idempotent and not idempotency_key:
            return outcomes.Failure(results.IDEMPOTENCY_KEY_MISSING)
        timeout_s = _timeout_s(request, found.route)
        if timeout_s is None:
            return outcomes.Failure(
                results.MALFORMED_REQUEST, headers.TIMEOUT_MS
            )
        return dispatch.Job(
            route=found.route,
            tail=found.tail,
            request=request,
            context=context.Context(
                root_id=self._root_id(found.route, caller),
                organisation_id=caller.organisation_id,
                key_id=caller.key_id,
                priority=found.route.priority,
                deadline=self._clock.now() + timeout_s,
                budget=retry.RetryBudget(version.retries.per_root),
                depth=0,
                traceparent=headers.traceparent(request.headers),
            ),
            idempotency_key=idempotency_key,
        )

    def _root_id(self, called: route.Route, caller: callers.Caller) -> str:
        number = self._numbers.next(called.priority, caller.organisation_id)
        return shedding.root_id(self._random, number)


def _timeout_s(request: context.Request, found: route.Route) -> float | None:
    text = request.header(headers.TIMEOUT_MS)
    if not text:
        return found.timeout_ms / 1000
    if not text.isdecimal() or int(text) == 0:
        return None
    asked_ms = min(int(text), defaults.CALL_TIMEOUT_MAX_MS)
    return min(asked_ms, found.timeout_ms) / 1000


def _log(failure: outcomes.Failure, root_id: str) -> None:
    # Refusals are many under overload, and counted by the metrics.
    level = logging.DEBUG if failure.code.not_run else logging.INFO
    fields = logs.fields(root_id, failure.code.number)
    logging.log(level, "no answer: %s", failure.detail, extra=fields)
