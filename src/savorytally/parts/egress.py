"""The egress: sends the local upstream's own calls down the chain."""

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from .. import view
from ..decisions import downstream
from ..peer import messages
from ..world import configuration
from ..world import route
from . import context
from . import dispatch
from . import headers
from . import paths
from . import running


class Egress:
    """Attaches the context of the running parent call to a child call.

    :param outside: the clock.
    :param current: the configuration in force.
    :param tokens: running calls by call token, shared with the gate.
    :param dispatcher: sends calls.
    :param below: is told which services are called.
    """

    def __init__(
        self,
        outside: ports.Outside,
        current: view.View,
        tokens: running.RunningCalls,
        dispatcher: dispatch.Dispatcher,
        below: downstream.DownstreamLevels,
    ) -> None:
        self._clock = outside.clock
        self._view = current
        self._tokens = tokens
        self._dispatcher = dispatcher
        self._downstream = below

    async def handle(self, request: context.Request) -> outcomes.Outcome:
        """Return the outcome of a child call."""
        parent = self._tokens.find(request.header(headers.CALL_TOKEN))
        if parent is None:
            return outcomes.Failure(results.CALL_TOKEN_REJECTED)
        job = self._prepare(request, parent)
        if isinstance(job, outcomes.Failure):
            return job
        self._downstream.called(
            parent.call.route_id, job.route, self._clock.now()
        )
        return await self._run(job, parent)

    async def _run(
        self, job: dispatch.Job, parent: running.RunningCall
    ) -> outcomes.Outcome:
        content = dispatch.fingerprint(job)
        if parent.failed.repeats(content) and not parent.budget.spend():
            return outcomes.Failure(results.RETRIES_SPENT)
        outcome = await self._dispatcher.run(job)
        if isinstance(outcome, outcomes.Failure) or outcome.status >= 500:
            parent.failed.failed(content)
        return outcome

    def _prepare(
        self, request: context.Request, parent: running.RunningCall
    ) -> dispatch.Job | outcomes.Failure:
        version = self._view.configuration
        if version is None:
            return outcomes.Failure(results.NOT_CONFIGURED)
        found = paths.find_route(version, request)
        if found is None:
            return outcomes.Failure(results.UNKNOWN_ROUTE)
        if not _permitted(version, found.route, parent.call):
            return outcomes.Failure(results.NOT_PERMITTED)
        if parent.call.depth + 1 >= defaults.CALL_DEPTH_MAX:
            return outcomes.Failure(results.MALFORMED_REQUEST, "depth")
        return dispatch.Job(
            route=found.route,
            tail=found.tail,
            request=request,
            context=_child_context(parent, request),
            idempotency_key=request.header(headers.IDEMPOTENCY_KEY),
        )


def _permitted(
    version: configuration.Configuration,
    found: route.Route,
    call: messages.Call,
) -> bool:
    if found.open:
        return True
    holder = version.organisations.get(call.organisation_id)
    return holder is not None and found.route_id in holder.contract.routes


def _child_context(
    parent: running.RunningCall, request: context.Request
) -> context.Context:
    call = parent.call
    above = headers.traceparent(request.headers)
    return context.Context(
        root_id=call.root_id,
        organisation_id=call.organisation_id,
        key_id=call.key_id,
        priority=route.Priority(call.priority),
        deadline=parent.deadline,
        budget=parent.budget,
        depth=call.depth + 1,
        traceparent=above or call.traceparent,
    )
