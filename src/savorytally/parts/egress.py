"""The egress: sends the child calls that the local upstream makes."""

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from .. import view
from ..decisions import downstream
from ..peer import messages
from ..world import configuration
from ..world import route
from . import call_tokens
from . import context
from . import dispatch
from . import headers
from . import paths


class Egress:
    """Runs child calls in the context of the parent call that makes them.

    :param environment: provides the clock.
    :param current_view: provides the configuration in force.
    :param running_calls: running calls by call token, shared with the gate.
    :param dispatcher: sends the calls.
    :param downstream_levels: records which routes a parent's route calls.
    """

    def __init__(
        self,
        environment: ports.Environment,
        current_view: view.View,
        running_calls: call_tokens.RunningCalls,
        dispatcher: dispatch.Dispatcher,
        downstream_levels: downstream.DownstreamLevels,
    ) -> None:
        self._clock = environment.clock
        self._view = current_view
        self._running_calls = running_calls
        self._dispatcher = dispatcher
        self._downstream = downstream_levels

    async def handle(self, request: context.Request) -> outcomes.Outcome:
        """Run a child call and return its outcome.

        A call that repeats a failed child of the same parent is a retry and
        is charged to the parent's retry budget.
        """
        parent = self._running_calls.find(request.header(headers.CALL_TOKEN))
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
        self, job: dispatch.Job, parent: call_tokens.RunningCall
    ) -> outcomes.Outcome:
        content_digest = dispatch.fingerprint(job)
        if (
            parent.failed_children.is_retry(content_digest)
            and not parent.retry_budget.spend()
        ):
            return outcomes.Failure(results.RETRIES_SPENT)
        outcome = await self._dispatcher.run(job)
        if isinstance(outcome, outcomes.Failure) or outcome.status >= 500:
            parent.failed_children.record_failure(content_digest)
        return outcome

    def _prepare(
        self, request: context.Request, parent: call_tokens.RunningCall
    ) -> dispatch.Job | outcomes.Failure:
        version = self._view.configuration
        if version is None:
            return outcomes.Failure(results.NOT_CONFIGURED)
        resolved = paths.find_route(version, request)
        if resolved is None:
            return outcomes.Failure(results.UNKNOWN_ROUTE)
        if not _permitted(version, resolved.route, parent.call):
            return outcomes.Failure(results.NOT_PERMITTED)
        if parent.call.depth + 1 >= defaults.CALL_DEPTH_MAX:
            return outcomes.Failure(results.MALFORMED_REQUEST, "depth")
        return dispatch.Job(
            route=resolved.route,
            path_suffix=resolved.path_suffix,
            request=request,
            context=_child_context(parent, request),
            idempotency_key=request.header(headers.IDEMPOTENCY_KEY),
        )


def _permitted(
    version: configuration.Configuration,
    called_route: route.Route,
    call: messages.Call,
) -> bool:
    if called_route.open:
        return True
    organisation = version.organisations.get(call.organisation_id)
    return (
        organisation is not None
        and called_route.route_id in organisation.contract.routes
    )


def _child_context(
    parent: call_tokens.RunningCall, request: context.Request
) -> context.Context:
    call = parent.call
    received_traceparent = headers.traceparent(request.headers)
    return context.Context(
        root_id=call.root_id,
        organisation_id=call.organisation_id,
        key_id=call.key_id,
        priority=route.Priority(call.priority),
        deadline=parent.deadline,
        retry_budget=parent.retry_budget,
        depth=call.depth + 1,
        traceparent=received_traceparent or call.traceparent,
    )
