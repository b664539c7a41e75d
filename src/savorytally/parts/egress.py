"""The egress: sends the local upstream's own calls down the chain."""

from .. import defaults
from .. import outcomes
from .. import results
from .. import view
from . import context
from . import dispatch
from . import entry
from . import headers
from . import running


class Egress:
    """Attaches the context of the running parent call to a child call.

    :param current: the configuration in force.
    :param tokens: running calls by call token, shared with the gate.
    :param dispatcher: sends calls.
    """

    def __init__(
        self,
        current: view.View,
        tokens: running.RunningCalls,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._view = current
        self._tokens = tokens
        self._dispatcher = dispatcher

    async def handle(self, request: context.Request) -> outcomes.Outcome:
        """Return the outcome of a child call."""
        parent = self._tokens.find(request.header(headers.CALL_TOKEN))
        if parent is None:
            return outcomes.Failure(results.CALL_TOKEN_REJECTED)
        job = self._prepare(request, parent)
        if isinstance(job, outcomes.Failure):
            return job
        return await self._dispatcher.run(job)

    def _prepare(
        self, request: context.Request, parent: running.RunningCall
    ) -> dispatch.Job | outcomes.Failure:
        version = self._view.configuration
        if version is None:
            return outcomes.Failure(results.NOT_CONFIGURED)
        found = entry.find_route(version, request)
        if found is None:
            return outcomes.Failure(results.UNKNOWN_ROUTE)
        call = parent.call
        holder = version.organisations.get(call.organisation_id)
        permitted = holder.contract.routes if holder else frozenset()
        if not found.route.open and found.route.route_id not in permitted:
            return outcomes.Failure(results.NOT_PERMITTED)
        if call.depth + 1 >= defaults.CALL_DEPTH_MAX:
            return outcomes.Failure(results.MALFORMED_REQUEST, "depth")
        return dispatch.Job(
            route=found.route,
            tail=found.tail,
            request=request,
            context=context.Context(
                root_id=call.root_id,
                organisation_id=call.organisation_id,
                key_id=call.key_id,
                deadline=parent.deadline,
                budget=parent.budget,
                depth=call.depth + 1,
                traceparent=call.traceparent,
            ),
            idempotency_key=request.header(headers.IDEMPOTENCY_KEY),
        )
