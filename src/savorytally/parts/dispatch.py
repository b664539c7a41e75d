"""Sends a call to a host of its service, and again where that is safe."""

import dataclasses
import itertools

import xxhash

from .. import outcomes
from .. import ports
from .. import results
from ..decisions import retry
from ..decisions import routing
from ..peer import messages
from ..world import host
from ..world import route
from . import context
from . import headers


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A call that is ready to be sent.

    :param route: the route to run.
    :param tail: what follows the route's path.
    :param request: the request as it came.
    :param context: what it inherits.
    :param idempotency_key: identifies the logical request, may be empty.
    """

    route: route.Route
    tail: str
    request: context.Request
    context: context.Context
    idempotency_key: str = ""


class Dispatcher:
    """Runs jobs by calling other hosts' gates.

    :param outside: clock, random source and peers.
    :param choice: the routing policy.
    """

    def __init__(
        self, outside: ports.Outside, choice: routing.Routing
    ) -> None:
        self._clock = outside.clock
        self._peers = outside.peers
        self._routing = choice
        self._ids = itertools.count(1)

    async def run(self, job: Job) -> outcomes.Outcome:
        """Return the outcome of the job, over all its attempts."""
        tried: set[str] = set()
        failure = outcomes.Failure(results.NO_HOST, job.route.service_id)
        for attempt in itertools.count():
            target = self._choose(job, tried)
            if target is None:
                return failure
            tried.add(target.host_id)
            outcome = await self._attempt(job, target, attempt)
            if isinstance(outcome, outcomes.Answer):
                return outcome
            failure = outcome
            if not self._again(job, failure, tried):
                return failure
        raise AssertionError("unreachable")

    def _choose(self, job: Job, tried: set[str]) -> host.Host | None:
        question = routing.Question(
            service_id=job.route.service_id,
            priority=job.route.priority,
            bytes_estimate=len(job.request.body),
            tried=frozenset(tried),
        )
        return self._routing.choose(question, self._clock.now())

    def _again(
        self, job: Job, failure: outcomes.Failure, tried: set[str]
    ) -> bool:
        attempt = retry.Attempt(
            idempotent=job.route.idempotent,
            remaining_s=job.context.deadline - self._clock.now(),
            other_host=self._choose(job, tried) is not None,
        )
        if not retry.worthwhile(failure, attempt):
            return False
        return job.context.budget.spend()

    async def _attempt(
        self, job: Job, target: host.Host, attempt: int
    ) -> outcomes.Outcome:
        now = self._clock.now()
        remaining_s = job.context.deadline - now
        if remaining_s <= 0:
            return outcomes.Failure(results.DEADLINE_TOO_SHORT)
        lent = job.context.budget.lend()
        call = self._call(job, attempt, remaining_s, lent)
        self._routing.sent(target.host_id, now)
        result = await self._peers.call(target, call)
        outcome = result.outcome
        job.context.budget.give_back(outcome.retries_unused, lent)
        ok = isinstance(outcome, outcomes.Answer) or outcome.code.not_run
        self._routing.done(target.host_id, ok, result.level, self._clock.now())
        return outcome

    def _call(
        self, job: Job, attempt: int, remaining_s: float, retries: int
    ) -> messages.Call:
        request = job.request
        return messages.Call(
            call_id=next(self._ids),
            root_id=job.context.root_id,
            route_id=job.route.route_id,
            organisation_id=job.context.organisation_id,
            key_id=job.context.key_id,
            tail=job.tail,
            query=request.query,
            headers=headers.end_to_end(request.headers),
            body=request.body,
            remaining_ms=max(int(remaining_s * 1000), 1),
            retries=retries,
            depth=job.context.depth,
            attempt=attempt,
            idempotency_key=job.idempotency_key,
            fingerprint=fingerprint(job),
            suspect=False,
            traceparent=job.context.traceparent,
        )


def fingerprint(job: Job) -> int:
    """Return a digest of what the upstream would see of the job."""
    digest = xxhash.xxh3_64()
    digest.update(job.route.route_id.encode())
    digest.update(job.tail.encode())
    digest.update(job.request.query.encode())
    digest.update(job.request.body)
    return digest.intdigest() >> 1
