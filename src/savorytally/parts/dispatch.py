"""Sends calls to hosts of their services and retries them where safe."""

import dataclasses
import itertools
import typing as t

import xxhash

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import advertised_by_host
from ..decisions import evacuation_refusals
from ..decisions import execution_record
from ..decisions import executor_choice
from ..decisions import fair_shares
from ..decisions import moving_estimates
from ..decisions import refusal_cache
from ..decisions import retry
from ..decisions import routing
from ..decisions import shedding
from ..peer import messages
from ..world import configuration
from ..world import host
from ..world import region
from ..world import route
from . import context
from . import headers

_UNHEALTHY_HOST_CODES = frozenset(
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

    :param route: the route to call.
    :param path_suffix: the request's path after the route's path.
    :param request: the request as received.
    :param context: the root request's or the parent call's context.
    :param idempotency_key: identifies the logical request, may be empty.
    """

    route: route.Route
    path_suffix: str
    request: context.Request
    context: context.Context
    idempotency_key: str = ""


@dataclasses.dataclass(slots=True)
class _Tried:
    """Where attempts at a job were made or refused.

    :param hosts: the hosts of all attempts.
    :param evacuated: data centres in which a gate refused it as evacuated.
    :param foreign: regions in which a gate refused it as not at home.
    """

    hosts: set[str] = dataclasses.field(default_factory=set)
    evacuated: set[region.Place] = dataclasses.field(default_factory=set)
    foreign: set[str] = dataclasses.field(default_factory=set)

    def note_refusal(
        self, target: host.Host, outcome: outcomes.Outcome
    ) -> None:
        """Record where gates refuse the job, from an attempt's outcome."""
        if outcome.code is results.DATA_CENTRE_EVACUATED:
            self.evacuated.add(target.place)
        elif outcome.code is results.NOT_AT_HOME:
            self.foreign.add(target.place.region_id)

    def refused_at(self, item: host.Host) -> bool:
        """Return whether a host's gate would refuse the job as well."""
        return (
            item.place in self.evacuated
            or item.place.region_id in self.foreign
        )


class Dispatcher:
    """Runs jobs by calling the gates of other hosts.

    :param environment: provides the clock and the peers.
    :param choice: the routing policy.
    """

    def __init__(
        self, environment: ports.Environment, choice: routing.Routing
    ) -> None:
        self._clock = environment.clock
        self._peers = environment.peers
        self._routing = choice
        self._retry_ratio = retry.RetryRatio(configuration.RetryPolicy().ratio)
        self._response_estimates = moving_estimates.MovingEstimates()
        self._shares = fair_shares.FairShares()
        self._weights: dict[str, float] = {}
        self._configuration: configuration.Configuration | None = None
        self._refusals = evacuation_refusals.EvacuationRefusals()
        self._refusal_cache = refusal_cache.RefusalCache()
        self._advertised_by_host = advertised_by_host.HostAdvertisements()
        self._owners = executor_choice.ExecutorChoice()
        self._accepting_hosts: frozenset[str] = frozenset()
        self._ids = itertools.count(1)

    def learn_configuration(
        self, version: configuration.Configuration
    ) -> None:
        """Apply a newer configuration.

        :param version: the newer configuration.
        """
        self._configuration = version
        self._weights = {
            identifier: item.contract.weight
            for identifier, item in version.organisations.items()
        }
        self._retry_ratio.learn_ratio(version.retries.ratio)

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Apply a newer host list."""
        self._owners.learn_hosts(hosts)

    def learn_accepting_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Set the hosts that accept new work.

        :param hosts: those hosts by identifier.
        """
        self._accepting_hosts = frozenset(hosts)

    def choose_first(self, job: Job) -> routing.Chosen | outcomes.Failure:
        """Count a root request and choose the host of its first attempt.

        :return: the chosen host, or the failure that rejects the request.
        """
        self._record_demand(job.context)
        choice = self._choose(job, _Tried())
        if isinstance(choice, routing.Chosen):
            return choice
        return _unavailable(choice)

    async def run(
        self, job: Job, first: routing.Chosen | None = None
    ) -> outcomes.Outcome:
        """Run a job with its retries and return its final outcome.

        :param first: the host of the first attempt, ``None`` to choose one.
        """
        tried = _Tried()
        outcome: outcomes.Outcome | None = None
        suspect = False
        content_digest = fingerprint(job)
        refused_ms = self._refusal_cache.remaining_ms(
            content_digest, self._clock.now()
        )
        if refused_ms:
            return outcomes.Failure(
                results.QUARANTINED, retry_after_ms=refused_ms
            )
        self._retry_ratio.first_attempt()
        if first is not None and self._misplaced(job, first.host):
            first = None
        for attempt in itertools.count():
            choice = first or self._choose(job, tried)
            first = None
            if isinstance(choice, routing.Unavailable):
                return outcome or _unavailable(choice)
            if outcome is not None and not self._spend_retry(job):
                return outcome
            tried.hosts.add(choice.host.host_id)
            latest = await self._attempt(job, choice.host, attempt, suspect)
            tried.note_refusal(choice.host, latest)
            self._record_refusal(content_digest, latest)
            outcome = retry.combined_outcome(outcome, latest)
            suspect = _may_have_crashed_upstream(latest)
            if not retry.should_retry(latest, self._next_attempt(job)):
                return outcome
        raise AssertionError("unreachable")

    def _record_refusal(
        self, content_digest: int, outcome: outcomes.Outcome
    ) -> None:
        if outcome.code is results.QUARANTINED:
            now = self._clock.now()
            self._refusal_cache.note(
                content_digest, outcome.retry_after_ms, now
            )

    def _misplaced(
        self, job: Job, target: host.Host
    ) -> results.ResultCode | None:
        """Return why a job may not be sent to a host's data centre.

        :return: ``None`` if it may.
        """
        if self._configuration is None:
            return None
        return self._configuration.misplaced(
            target.place, job.route.route_id, job.context.organisation_id
        )

    def _choose(self, job: Job, tried: _Tried) -> routing.Choice:
        if not job.route.idempotent and job.idempotency_key:
            return self._choose_owner(job, tried)
        now = self._clock.now()
        route_id = job.route.route_id
        request_bytes = len(job.request.body)
        query = routing.RoutingRequest(
            service_id=job.route.service_id,
            route_id=route_id,
            priority=job.context.priority,
            admits=lambda level: self._admits(job.context, level),
            size_bytes=max(
                request_bytes,
                int(self._response_estimates.size_bytes(route_id)),
            ),
            tried=frozenset(tried.hosts),
            regions=self._permitted_regions(job),
            refuses=self._refuses(tried, now),
        )
        leaving = self._advertised_by_host.leaving(now)
        if leaving:
            query = dataclasses.replace(query, tried=query.tried | leaving)
        choice = self._routing.choose(query, now)
        draining = leaving - self._advertised_by_host.drained(now)
        if not draining or isinstance(choice, routing.Chosen):
            return choice
        # Only leaving hosts are left. They serve until they have drained.
        query = dataclasses.replace(
            query, tried=query.tried - (draining - tried.hosts)
        )
        return self._routing.choose(query, now)

    def _permitted_regions(self, job: Job) -> frozenset[str] | None:
        if self._configuration is None:
            return None
        return self._configuration.permitted_regions(
            job.route.route_id, job.context.organisation_id
        )

    def _refuses(
        self, tried: _Tried, now: float
    ) -> t.Callable[[host.Host], bool] | None:
        if not self._refusals.active(now):
            # The usual case: hosts need not be checked one by one.
            refused = tried.evacuated or tried.foreign
            return tried.refused_at if refused else None
        return lambda item: (
            tried.refused_at(item) or self._refusals.expected(item, now)
        )

    def _admits(self, call_context: context.Context, level: int) -> bool:
        if call_context.depth:
            # The entry has admitted the root request. Shedding one of its
            # child calls by another node's shares would waste the work
            # that the call tree has already done.
            return shedding.admitted(level, call_context.priority) > 0.0
        return self._shares.admits(
            level,
            call_context.priority,
            call_context.organisation_id,
            shedding.root_number(call_context.root_id),
        )

    def _choose_owner(self, job: Job, tried: _Tried) -> routing.Choice:
        """Return the host that owns the record of a non-idempotent request.

        No other host may run the request, so that it runs at most once. It
        is refused if the owner is in an evacuated data centre or not in the
        request's homes.
        """
        key = execution_record.Key(
            job.context.organisation_id, job.idempotency_key
        )
        owner = self._owners.owner_of(job.route.service_id, key)
        if owner is None:
            return routing.Unavailable(
                results.NO_HOST, defaults.RETRY_AFTER_MS
            )
        misplaced = self._misplaced(job, owner)
        if misplaced is not None:
            return routing.Unavailable(
                misplaced, routing.ABSENT_RETRY_AFTER_MS
            )
        drained_hosts = self._advertised_by_host.drained(self._clock.now())
        unavailable = (
            owner.host_id in tried.hosts or owner.host_id in drained_hosts
        )
        if unavailable or owner.host_id not in self._accepting_hosts:
            return routing.Unavailable(
                results.OWNER_UNSETTLED, defaults.RETRY_AFTER_MS
            )
        return routing.Chosen(owner)

    def _record_demand(self, call_context: context.Context) -> None:
        self._shares.note(
            call_context.priority,
            call_context.organisation_id,
            self._weights.get(call_context.organisation_id, 1.0),
            self._clock.now(),
        )

    def _next_attempt(self, job: Job) -> retry.Attempt:
        return retry.Attempt(
            idempotent=job.route.idempotent,
            remaining_s=job.context.deadline - self._clock.now(),
            needed_s=self._response_estimates.response_time_s(
                job.route.route_id
            ),
        )

    def _spend_retry(self, job: Job) -> bool:
        if job.context.retry_budget.left == 0:
            return False
        return self._retry_ratio.spend() and job.context.retry_budget.spend()

    async def _attempt(
        self, job: Job, target: host.Host, attempt: int, suspect: bool
    ) -> outcomes.Outcome:
        started = self._clock.now()
        remaining_s = job.context.deadline - started
        if remaining_s <= 0:
            return outcomes.Failure(results.DEADLINE_TOO_SHORT)
        lent_retries = job.context.retry_budget.lend()
        call = self._build_call(
            job, target, attempt, remaining_s, lent_retries
        )
        if suspect:
            call = dataclasses.replace(call, suspect=True)
        self._routing.sent(target.host_id, started)
        result: ports.CallResult | None = None

        def return_unused(ended: ports.CallResult) -> None:
            job.context.retry_budget.return_unused(
                _unused(ended.outcome, lent_retries), lent_retries
            )

        try:
            result = await self._peers.call(target, call, return_unused)
        finally:
            self._record_attempt(job, target, result, started)
        return_unused(result)
        return result.outcome

    def _record_attempt(
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
        if outcome and outcome.code is results.DATA_CENTRE_EVACUATED:
            self._refusals.note(target, now)
        if isinstance(outcome, outcomes.Answer):
            size_bytes = max(size_bytes, len(outcome.body))
            advertised = headers.advertised(outcome.headers)
            self._advertised_by_host.note(target.host_id, advertised, now)
            self._response_estimates.learn(
                job.route.route_id, len(outcome.body), took_s
            )
        self._routing.done(
            routing.Result(
                host_id=target.host_id,
                route_id=job.route.route_id,
                ok=_host_is_healthy(outcome),
                level=result.level if result else routing.LEVEL_UNKNOWN,
                took_s=took_s,
                size_bytes=size_bytes,
            ),
            now,
        )

    def _build_call(
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
            path_suffix=job.path_suffix,
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
            limit_per_s=self._advertised_by_host.limit_per_s(
                target.host_id, self._clock.now()
            ),
        )


def _unavailable(choice: routing.Unavailable) -> outcomes.Failure:
    return outcomes.Failure(choice.code, retry_after_ms=choice.retry_after_ms)


def _remaining_ms(remaining_s: float) -> int:
    """Return the deadline sent to the gate, in ms from now.

    It is earlier than the caller's deadline by a margin in which the gate's
    answer can arrive.
    """
    remaining_ms = int(remaining_s * 1000)
    margin_ms = min(defaults.RESPONSE_MARGIN_MS, remaining_ms // 10)
    return max(remaining_ms - margin_ms, 1)


def _unused(outcome: outcomes.Outcome, lent_retries: int) -> int:
    """Return how many of the lent retries an attempt left unused."""
    if isinstance(outcome, outcomes.Failure) and outcome.code.not_run:
        return lent_retries
    return outcome.retries_unused


def _host_is_healthy(outcome: outcomes.Outcome | None) -> bool:
    """Return whether an outcome counts as a success of the host.

    A cancelled call (no outcome) and one whose deadline has passed are no
    sign of a faulty host; heartbeats detect hosts that don't respond.
    """
    if outcome is None or isinstance(outcome, outcomes.Answer):
        return True
    return outcome.code not in _UNHEALTHY_HOST_CODES


def _may_have_crashed_upstream(outcome: outcomes.Outcome) -> bool:
    return outcome.code in (
        results.UPSTREAM_BROKEN,
        results.ANSWER_TRUNCATED,
    )


def fingerprint(job: Job) -> int:
    """Return a digest of the content that a job sends to the upstream."""
    digest = xxhash.xxh3_64()
    digest.update(job.route.route_id.encode())
    digest.update(job.path_suffix.encode())
    digest.update(job.request.query.encode())
    digest.update(job.request.body)
    return digest.intdigest() >> 1
