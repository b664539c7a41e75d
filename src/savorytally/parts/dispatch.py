"""Sends a call to a host of its service, and again where that is safe."""

import dataclasses
import itertools
import typing as t

import xxhash

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import estimates
from ..decisions import owners
from ..decisions import record
from ..decisions import refusals
from ..decisions import retry
from ..decisions import routing
from ..decisions import shares
from ..decisions import shedding
from ..decisions import stated
from ..peer import messages
from ..world import configuration
from ..world import host
from ..world import route
from . import context
from . import headers

_HOST_FAILURES = frozenset(
    {
        results.NOT_DISPATCHED,
        results.OUTCOME_UNKNOWN,
        results.UPSTREAM_BROKEN,
        results.ANSWER_TRUNCATED,
    }
)


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
        self._ratio = retry.RetryRatio(configuration.RetryPolicy().ratio)
        self._answers = estimates.Estimates()
        self._shares = shares.Shares()
        self._weights: dict[str, float] = {}
        self._refusals = refusals.Refusals()
        self._stated = stated.Stated()
        self._owners = owners.RecordOwners()
        self._working: frozenset[str] = frozenset()
        self._ids = itertools.count(1)

    def learn_configuration(
        self, version: configuration.Configuration
    ) -> None:
        """Apply the retry ratio and weights of a newer configuration."""
        self._weights = {
            identifier: item.contract.weight
            for identifier, item in version.organisations.items()
        }
        self._ratio.learn_ratio(version.retries.ratio)

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Apply a newer host list."""
        self._owners.learn_hosts(hosts)

    def learn_working(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Apply which of the listed hosts accept new work."""
        self._working = frozenset(hosts)

    def choose_first(self, job: Job) -> routing.Chosen | outcomes.Failure:
        """Count a root request and choose its host, or refuse it."""
        self._note_demand(job.context)
        choice = self._choose(job, set())
        if isinstance(choice, routing.Chosen):
            return choice
        return _unavailable(choice)

    async def run(
        self, job: Job, first: routing.Chosen | None = None
    ) -> outcomes.Outcome:
        """Return the outcome of the job, over all its attempts.

        :param first: the host of the first attempt, if it was chosen.
        """
        tried: set[str] = set()
        known: outcomes.Outcome | None = None
        suspect = False
        content = fingerprint(job)
        refused_ms = self._refusals.remaining_ms(content, self._clock.now())
        if refused_ms:
            return outcomes.Failure(
                results.QUARANTINED, retry_after_ms=refused_ms
            )
        self._ratio.first_attempt()
        for attempt in itertools.count():
            choice = first or self._choose(job, tried)
            first = None
            if isinstance(choice, routing.Unavailable):
                return known or _unavailable(choice)
            if known is not None and not self._spend(job):
                return known
            tried.add(choice.host.host_id)
            latest = await self._attempt(job, choice.host, attempt, suspect)
            self._note_refusal(content, latest)
            known = retry.known_after(known, latest)
            suspect = _broke_upstream(latest)
            if not retry.worthwhile(latest, self._prospect(job)):
                return known
        raise AssertionError("unreachable")

    def _note_refusal(self, content: int, outcome: outcomes.Outcome) -> None:
        if outcome.code is results.QUARANTINED:
            now = self._clock.now()
            self._refusals.note(content, outcome.retry_after_ms, now)

    def _choose(self, job: Job, tried: set[str]) -> routing.Choice:
        if not job.route.idempotent and job.idempotency_key:
            return self._choose_owner(job, tried)
        route_id = job.route.route_id
        request_bytes = len(job.request.body)
        question = routing.Question(
            service_id=job.route.service_id,
            route_id=route_id,
            priority=job.context.priority,
            admits=lambda level: self._admits(job.context, level),
            size_bytes=max(
                request_bytes, int(self._answers.size_bytes(route_id))
            ),
            tried=frozenset(tried),
        )
        now = self._clock.now()
        leaving = self._stated.leaving(now)
        if leaving:
            question = dataclasses.replace(
                question, tried=question.tried | leaving
            )
        choice = self._routing.choose(question, now)
        draining = leaving - self._stated.drained(now)
        if not draining or isinstance(choice, routing.Chosen):
            return choice
        # None but those that leave is left; they serve for a while.
        question = dataclasses.replace(
            question, tried=question.tried - (draining - tried)
        )
        return self._routing.choose(question, now)

    def _admits(self, above: context.Context, level: int) -> bool:
        if above.depth:
            # The entry has judged the root request; a second judgement
            # by other shares would leave the chain half done.
            return shedding.admitted(level, above.priority) > 0.0
        return self._shares.admits(
            level,
            above.priority,
            above.organisation_id,
            shedding.root_number(above.root_id),
        )

    def _choose_owner(self, job: Job, tried: set[str]) -> routing.Choice:
        """Return the only host that may run a request once."""
        key = record.Key(job.context.organisation_id, job.idempotency_key)
        owner = self._owners.owner_of(job.route.service_id, key)
        if owner is None:
            return routing.Unavailable(
                results.NO_HOST, defaults.RETRY_AFTER_MS
            )
        drained = self._stated.drained(self._clock.now())
        unfit = owner.host_id in tried or owner.host_id in drained
        if unfit or owner.host_id not in self._working:
            return routing.Unavailable(
                results.OWNER_UNSETTLED, defaults.RETRY_AFTER_MS
            )
        return routing.Chosen(owner)

    def _note_demand(self, above: context.Context) -> None:
        self._shares.note(
            above.priority,
            above.organisation_id,
            self._weights.get(above.organisation_id, 1.0),
            self._clock.now(),
        )

    def _prospect(self, job: Job) -> retry.Attempt:
        return retry.Attempt(
            idempotent=job.route.idempotent,
            remaining_s=job.context.deadline - self._clock.now(),
            needed_s=self._answers.took_s(job.route.route_id),
        )

    def _spend(self, job: Job) -> bool:
        if job.context.budget.left == 0:
            return False
        return self._ratio.spend() and job.context.budget.spend()

    async def _attempt(
        self, job: Job, target: host.Host, attempt: int, suspect: bool
    ) -> outcomes.Outcome:
        started = self._clock.now()
        remaining_s = job.context.deadline - started
        if remaining_s <= 0:
            return outcomes.Failure(results.DEADLINE_TOO_SHORT)
        lent = job.context.budget.lend()
        call = self._call(job, target, attempt, remaining_s, lent)
        if suspect:
            call = dataclasses.replace(call, suspect=True)
        self._routing.sent(target.host_id, started)
        result: ports.CallResult | None = None

        def give_back(ended: ports.CallResult) -> None:
            job.context.budget.give_back(_unused(ended.outcome, lent), lent)

        try:
            result = await self._peers.call(target, call, give_back)
        finally:
            self._done(job, target, result, started)
        give_back(result)
        return result.outcome

    def _done(
        self,
        job: Job,
        target: host.Host,
        result: ports.CallResult | None,
        started: float,
    ) -> None:
        now = self._clock.now()
        took_s = now - started
        size_bytes = len(job.request.body)
        outcome = result.outcome if result else None
        if isinstance(outcome, outcomes.Answer):
            size_bytes = max(size_bytes, len(outcome.body))
            said = headers.said(outcome.headers)
            self._stated.note(target.host_id, said, now)
            self._answers.learn(job.route.route_id, len(outcome.body), took_s)
        self._routing.done(
            routing.Result(
                host_id=target.host_id,
                route_id=job.route.route_id,
                ok=_host_works(outcome),
                level=result.level if result else routing.LEVEL_UNKNOWN,
                took_s=took_s,
                size_bytes=size_bytes,
            ),
            now,
        )

    def _call(
        self,
        job: Job,
        target: host.Host,
        attempt: int,
        remaining_s: float,
        retries: int,
    ) -> messages.Call:
        request = job.request
        return messages.Call(
            call_id=next(self._ids),
            root_id=job.context.root_id,
            route_id=job.route.route_id,
            organisation_id=job.context.organisation_id,
            key_id=job.context.key_id,
            priority=job.context.priority,
            tail=job.tail,
            query=request.query,
            headers=headers.end_to_end(request.headers),
            body=request.body,
            remaining_ms=_remaining_ms(remaining_s),
            retries=retries,
            depth=job.context.depth,
            attempt=attempt,
            idempotency_key=job.idempotency_key,
            fingerprint=fingerprint(job),
            suspect=False,
            traceparent=job.context.traceparent,
            limit_per_s=self._stated.limit_per_s(
                target.host_id, self._clock.now()
            ),
        )


def _unavailable(choice: routing.Unavailable) -> outcomes.Failure:
    return outcomes.Failure(choice.code, retry_after_ms=choice.retry_after_ms)


def _remaining_ms(remaining_s: float) -> int:
    """Return the time that a gate is given, so that its word arrives."""
    remaining_ms = int(remaining_s * 1000)
    margin_ms = min(defaults.ANSWER_MARGIN_MS, remaining_ms // 10)
    return max(remaining_ms - margin_ms, 1)


def _unused(outcome: outcomes.Outcome, lent: int) -> int:
    """Return how many of the lent retries come back."""
    if isinstance(outcome, outcomes.Failure) and outcome.code.not_run:
        return lent
    return outcome.retries_unused


def _host_works(outcome: outcomes.Outcome | None) -> bool:
    """Return whether an outcome speaks for the host's health.

    A cancelled call (no outcome) and one whose deadline passed say nothing
    against the host; one that is silent is found by heartbeats.
    """
    if outcome is None or isinstance(outcome, outcomes.Answer):
        return True
    return outcome.code not in _HOST_FAILURES


def _broke_upstream(outcome: outcomes.Outcome) -> bool:
    return outcome.code in (
        results.UPSTREAM_BROKEN,
        results.ANSWER_TRUNCATED,
    )


def fingerprint(job: Job) -> int:
    """Return a digest of what the upstream would see of the job."""
    digest = xxhash.xxh3_64()
    digest.update(job.route.route_id.encode())
    digest.update(job.tail.encode())
    digest.update(job.request.query.encode())
    digest.update(job.request.body)
    return digest.intdigest() >> 1
