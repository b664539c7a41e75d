"""Chooses the upstream of a service that a request is forwarded to.

The upstream with the least expected response time is chosen. The estimate is
based on the load that gates report and on the outcomes of earlier requests,
and so covers upstreams that are slow, cold, partially failing or down. Links
between data centres and between regions are expensive: they are used as far as
local capacity lacks (see :mod:`.spill`).

An upstream whose entry in the host list has expired may only have lost its
connection to the list. If a service has no listed upstream left, requests are
still offered to the unlisted ones; the node on each upstream's host checks
that it serves.

An upstream that advertises a rate limit counts as busy until the next request
in this node's share of the limit is due. One that advertises that it is
leaving gets requests only if no other upstream is available, and none after
the drain time.

Upstreams in data centres that an operator has evacuated get nothing, and a
request that is confined to some regions is not sent to others.
"""

import dataclasses
import random
import typing as t

from .. import results
from ..world import catalog
from . import advertised_state
from . import failure_excess
from . import placement_report
from . import spill

# Weight of the latest observation in a moving mean.
WEIGHT = 0.15
# Assumed run time of a route without samples.
RUN_UNKNOWN_S = 0.1
# Penalty for another data centre in the local region.
OTHER_CENTRE_PENALTY_S = 0.02
# Penalty for another region, as a fraction of the latency objective and at
# least; traffic over the link between regions is billed by volume.
OTHER_REGION_FRACTION = 0.3
OTHER_REGION_PENALTY_MIN_S = 0.08
# Penalty for a failure rate of 100 % at an upstream whose service does not
# fail otherwise, in multiples of the latency objective.
FAILURE_RATE_FACTOR = 1.5
# Failure rate below which upstreams are not compared, to save time for each
# choice: the penalty would be within the random spread.
FAILURE_RATE_MIN = 0.02
# Run time, as a fraction of the latency objective, that is no reason to use
# another data centre.
RUN_BORNE = 0.5
# Half-life of the failure rate.
FAILURE_HALF_LIFE_S = 2.0
# Assumed concurrency limit of a cold upstream before its gate has reported
# one.
COLD_LIMIT_UNKNOWN = 1
# Time over which a gate's load report loses its weight.
REPORT_FADE_S = 0.5
# Time over which a reported slowdown loses its weight; it changes many times a
# second.
SLOWDOWN_FADE_S = 0.2
# Range of slowdowns that are taken for real, in percent.
SLOWDOWN_MIN = 10
SLOWDOWN_MAX = 1000
# How long nothing is sent to a host that leaves; afterwards its node may have
# been restarted beside the same upstream.
LEAVING_HOST_S = 3.0
# Time after which an unlisted upstream is dropped.
UNLISTED_MAX_S = 30.0
# Penalty for an upstream that is avoided.
AVOIDED_PENALTY_S = 10.0
# Longest time for which a rate limit makes an upstream count as busy, so that
# it is used again soon after a burst.
RATE_LIMIT_BUSY_MAX_S = 2.0
# Maximum number of upstreams whose advertisements are stored.
ADVERTISED_MAX = 4096
# Relative random spread of the expected times, so that equal upstreams share
# the load.
SPREAD = 0.15
# Mean of the random draws, for reports.
MEAN_DRAW = 0.5


@dataclasses.dataclass(slots=True)
class _UpstreamState:
    """State of one upstream.

    :param instance: its entry in the host list.
    :param distance_s: penalty in seconds for another data centre.
    :param region: its region.
    :param far: whether it is in another region.
    :param first_listed_at: when it was added to the host list.
    :param in_flight: requests from this node that have not ended.
    :param load: requests at its gate when last reported.
    :param limit: its concurrency limit when last reported, 0 if unknown.
    :param reported_at: time of the last load report.
    :param run_s: mean run time in seconds by route.
    :param failure_rate: failure rate at ``failed_at``.
    :param failed_at: when the failure rate was last updated.
    :param outcomes: outcomes of the latest requests.
    :param avoid_until: until when it counts as unreachable.
    :param leaving_until: until when nothing is sent to its leaving host.
    """

    instance: catalog.Instance
    distance_s: float
    region: str
    far: bool
    first_listed_at: float
    in_flight: int = 0
    load: int = 0
    limit: int = 0
    reported_at: float = -1e9
    run_s: dict[str, float] = dataclasses.field(default_factory=dict)
    failure_rate: float = 0.0
    failed_at: float = 0.0
    outcomes: failure_excess.Outcomes = dataclasses.field(
        default_factory=failure_excess.Outcomes
    )
    avoid_until: float = 0.0
    leaving_until: float = 0.0
    # Reported slowdown in percent when last reported, and its moving mean,
    # which the mean run times contain already.
    slowdown: float = 100.0
    mean_slowdown: float = 0.0
    slowdown_at: float = -1e9
    # When its entry expired, 0 while it is in the host list.
    unlisted_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Advertisement:
    """Advertisements of one instance of an upstream, as received here.

    They are kept while the upstream is not in the host list.

    :param born: start time of the instance.
    :param limit_per_s: the advertised rate limit.
    :param interval_s: time between two requests in this node's share of the
        limit, 0 without a limit.
    """

    born: int
    limit_per_s: float = advertised_state.NO_LIMIT
    interval_s: float = 0.0
    # When the limit allows the next request from this node.
    next_at: float = 0.0
    # When it was first received that the instance is leaving.
    leaving_at: float | None = None


# Upstreams of one service from near to far, with the wait borne before
# requests go that far.
_Levels = tuple[tuple[list[_UpstreamState], float], ...]


class _Terms(t.NamedTuple):
    """What :meth:`Placement.choose` is asked for."""

    service: str
    route: str
    tried: t.Container[str]
    objective_s: float
    now: float
    only: t.Container[str] | None
    regions: frozenset[str] | None
    # Draws a random number from 0 to 1.
    draw: t.Callable[[], float]


class Placement:
    """Chooses among the upstreams of all services, for one node.

    :param data_centre: the node's data centre.
    :param regions: region of each data centre.
    :param source: random number generator.
    :param drain_s: how long an upstream that is leaving may get requests.
    """

    def __init__(
        self,
        data_centre: str,
        regions: t.Mapping[str, str],
        source: random.Random,
        drain_s: float = 2.0,
    ) -> None:
        self._drain_s = drain_s
        self._advertisements: dict[str, _Advertisement] = {}
        self._data_centre = data_centre
        self._regions = regions
        self._random = source
        self._upstreams: dict[str, _UpstreamState] = {}
        self._services: dict[str, list[_UpstreamState]] = {}
        self._unlisted: dict[str, list[_UpstreamState]] = {}
        self._evacuated: frozenset[str] = frozenset()
        # Outcomes of each service by region.
        self._outcomes: dict[str, dict[str, failure_excess.Outcomes]] = {}
        # The upstreams of each service by distance, for services that have
        # some at several distances.
        self._levels: dict[str, _Levels] = {}
        self._spill = spill.Spill()

    def learn_evacuated(self, data_centres: frozenset[str]) -> None:
        """Apply which data centres are evacuated."""
        if data_centres != self._evacuated:
            self._evacuated = data_centres
            self._group_by_service()

    def learn_instances(
        self, instances: t.Mapping[str, catalog.Instance], now: float
    ) -> None:
        """Apply the upstreams in the host list."""
        for identifier, state in list(self._upstreams.items()):
            if identifier not in instances:
                self._mark_unlisted(identifier, state, now)
        for identifier, instance in instances.items():
            self._apply_instance_start(instance)
            state = self._upstreams.get(identifier)
            if state is None:
                self._upstreams[identifier] = self._new(instance, now)
            else:
                state.instance = instance
                state.unlisted_at = 0.0
        self._group_by_service()

    def learn_advertised(
        self,
        instance_id: str,
        limit_per_s: float,
        share_per_s: float,
        leaving: bool,
        now: float,
    ) -> None:
        """Apply what an upstream advertises.

        :param limit_per_s: its rate limit, ``NO_LIMIT`` if it advertises
            none.
        :param share_per_s: this node's share of the limit.
        :param leaving: whether it is leaving.
        """
        advertisement = self._advertisements.get(instance_id)
        limited = limit_per_s != advertised_state.NO_LIMIT
        if advertisement is None:
            if not (limited or leaving):
                return
            advertisement = self._advertisements[instance_id] = (
                self._new_advertisement(instance_id)
            )
        advertisement.limit_per_s = limit_per_s
        advertisement.interval_s = 0.0
        if limited and share_per_s > 0.0:
            advertisement.interval_s = 1.0 / share_per_s
        if not limited:
            advertisement.next_at = 0.0
        if leaving and advertisement.leaving_at is None:
            advertisement.leaving_at = now

    def limit_per_s(self, instance_id: str) -> float | None:
        """Return the advertised rate limit, ``None`` without one."""
        advertisement = self._advertisements.get(instance_id)
        if (
            advertisement is None
            or advertisement.limit_per_s == advertised_state.NO_LIMIT
        ):
            return None
        return advertisement.limit_per_s

    def record_rate_limit_wait(
        self, instance_id: str, wait_s: float, now: float
    ) -> None:
        """Record how long requests wait for an upstream's rate limit."""
        advertisement = self._advertisements.get(instance_id)
        if advertisement is not None and advertisement.interval_s:
            due = now + min(wait_s, RATE_LIMIT_BUSY_MAX_S)
            advertisement.next_at = max(advertisement.next_at, due)

    def is_unlisted(self, instance_id: str) -> bool:
        """Return whether an upstream is known but not in the host list."""
        state = self._upstreams.get(instance_id)
        return state is not None and state.unlisted_at > 0.0

    def choose(
        self,
        service: str,
        route: str,
        tried: t.Container[str],
        objective_s: float,
        now: float,
        only: t.Container[str] | None = None,
        regions: frozenset[str] | None = None,
    ) -> catalog.Instance | None:
        """Return the upstream with the least expected response time, if any.

        :param objective_s: latency objective of the request.
        :param tried: upstreams that are left out.
        :param only: the upstreams to choose from, all if ``None``.
        :param regions: the regions to choose from, all if ``None``.
        """
        best = self._choose(
            _Terms(
                service,
                route,
                tried,
                objective_s,
                now,
                only,
                regions,
                self._random.random,
            )
        )
        return best.instance if best is not None else None

    def _choose(self, terms: _Terms) -> _UpstreamState | None:
        levels = self._levels.get(terms.service)
        best: _UpstreamState | None = None
        # After a refusal, all upstreams are compared: the estimate that led
        # there was wrong.
        if levels is not None and not terms.tried and terms.only is None:
            best = self._best_by_level(levels, terms)
        if best is None:
            found = self._candidates(terms.service, terms.regions)
            best = self._best(found, terms, True)
        return best

    def _best_by_level(
        self, levels: _Levels, terms: _Terms
    ) -> _UpstreamState | None:
        """Return the best upstream at the level where there is room.

        Only the upstreams of the levels that come into question are looked
        at.
        """
        best: _UpstreamState | None = None
        least_s = draw = 0.0
        for candidates, borne in levels:
            if best is not None and draw >= spill.crossing_share(
                least_s, 0.0, terms.objective_s, borne
            ):
                break
            if terms.regions is not None:
                candidates = [
                    item for item in candidates if item.region in terms.regions
                ]
            found = self._best(candidates, terms, False)
            if found is None:
                continue
            if best is None:
                best = found
                least_s = self._delay_s(found, terms, True)
                draw = terms.draw() if least_s else 1.0
                continue
            # What nearer levels have room for does not go further.
            delay_s = self._delay_s(found, terms, False)
            if draw < spill.crossing_share(
                least_s, delay_s, terms.objective_s, borne
            ):
                best = found
            least_s = min(least_s, delay_s)
        return best

    def _best(
        self,
        candidates: t.Iterable[_UpstreamState],
        terms: _Terms,
        distant: bool,
    ) -> _UpstreamState | None:
        """Return the upstream with the least expected response time, if any.

        :param distant: whether distance counts.
        """
        best: _UpstreamState | None = None
        best_score = float("inf")
        _, route, tried, objective_s, now, only, _, draw = terms
        for state in candidates:
            name = state.instance.instance_id
            if state.leaving_until > now or name in tried:
                continue
            if only is not None and name not in only:
                continue
            advertisement = self._advertisements.get(name)
            if advertisement is not None and self._drained(advertisement, now):
                continue
            score = self._score(state, route, objective_s, now, draw())
            if distant and (state.far or state.distance_s):
                score += self._distance_s(state, objective_s)
            if advertisement is not None:
                score += self._rate_limit_wait_s(advertisement, now)
            if score < best_score:
                best, best_score = state, score
        return best

    def _delay_s(
        self, state: _UpstreamState, terms: _Terms, nearest: bool
    ) -> float:
        """Return what an upstream costs beyond its run time, in seconds.

        That is the wait to expect in its data centre, and penalties if it is
        not in order itself.
        """
        now, instance = terms.now, state.instance
        limit = state.limit or self._assumed_limit(state, now)
        fresh = max(0.0, 1.0 - (now - state.reported_at) / REPORT_FADE_S)
        load = max(state.in_flight, state.load * fresh)
        queued = spill.queued(load, limit)
        place = (terms.service, instance.data_centre)
        if nearest:
            delay_s = self._spill.borne_wait_s(
                *place, queued, fresh, terms.objective_s, now
            )
        else:
            delay_s = self._spill.known_wait_s(*place, queued, now)
        run_s = state.run_s.get(terms.route, 0.0)
        delay_s += max(0.0, run_s - RUN_BORNE * terms.objective_s)
        excess = self._failure_excess(state, now)
        delay_s += FAILURE_RATE_FACTOR * terms.objective_s * excess
        if state.avoid_until > now:
            delay_s += AVOIDED_PENALTY_S
        advertisement = self._advertisements.get(instance.instance_id)
        if advertisement is not None:
            delay_s += self._rate_limit_wait_s(advertisement, now)
        return delay_s

    def refusal_code(
        self, service: str, regions: frozenset[str] | None
    ) -> results.ResultCode:
        """Return the result code of a request that has no upstream.

        :param regions: the regions that it may be sent to, all if ``None``.
        """
        ready = [
            state
            for state in self._upstreams.values()
            if state.instance.service == service and state.instance.ready
        ]
        at_home = [
            state
            for state in ready
            if regions is None or state.region in regions
        ]
        if ready and not at_home:
            return results.NOT_AT_HOME
        if at_home and all(
            state.instance.data_centre in self._evacuated for state in at_home
        ):
            return results.DATA_CENTRE_EVACUATED
        return results.NO_HOST

    def candidates(
        self,
        service: str,
        route: str,
        objective_s: float,
        now: float,
        regions: frozenset[str] | None = None,
    ) -> list[placement_report.Candidate]:
        """Return what is known of each upstream of a service.

        Changes nothing and draws no random number.

        :param objective_s: latency objective of the request.
        :param regions: the regions that it may be sent to, all if ``None``.
        """
        offered = {
            state.instance.instance_id
            for state in self._candidates(service, regions)
        }
        preferred = self._choose(
            _Terms(
                service,
                route,
                (),
                objective_s,
                now,
                None,
                regions,
                lambda: MEAN_DRAW,
            )
        )
        return [
            self._describe(
                state,
                self._score(state, route, objective_s, now, MEAN_DRAW)
                + self._distance_s(state, objective_s),
                name in offered,
                state is preferred,
                now,
            )
            for name, state in self._upstreams.items()
            if state.instance.service == service
        ]

    def estimate_parts(
        self, instance_id: str, route: str, objective_s: float, now: float
    ) -> placement_report.Parts | None:
        """Return the parts of an upstream's expected response time.

        Each part is what the estimate would be shorter by without its cause.
        Changes nothing and draws no random number.

        :return: ``None`` if the upstream is not known.
        """
        state = self._upstreams.get(instance_id)
        if state is None:
            return None

        def without(draw: float = MEAN_DRAW, **changes: t.Any) -> float:
            changed = dataclasses.replace(state, **changes)
            return self._score(changed, route, objective_s, now, draw)

        whole_s = without()
        wait_s = whole_s - without(in_flight=0, load=0)
        distance_s = self._distance_s(state, objective_s)
        failure_s = whole_s - without(failure_rate=0.0)
        avoided_s = whole_s - without(avoid_until=0.0)
        return placement_report.Parts(
            run_s=whole_s - wait_s - failure_s - avoided_s,
            wait_s=wait_s,
            distance_s=distance_s,
            failure_s=failure_s,
            spread_s=without(draw=1.0) - without(draw=0.0),
        )

    def distance(self, instance_id: str) -> str:
        """Return how far an upstream is, as a label of metrics."""
        state = self._upstreams.get(instance_id)
        if state is None:
            return "unknown"
        if state.far:
            return "other_region"
        near = state.instance.data_centre == self._data_centre
        return "data_centre" if near else "region"

    def sent(self, instance_id: str, now: float) -> None:
        """Record that a request was sent."""
        advertisement = self._advertisements.get(instance_id)
        if advertisement is not None and advertisement.interval_s:
            due = max(advertisement.next_at, now) + advertisement.interval_s
            advertisement.next_at = min(due, now + RATE_LIMIT_BUSY_MAX_S)
        state = self._upstreams.get(instance_id)
        if state is not None:
            state.in_flight += 1

    def ended(self, instance_id: str) -> None:
        """Record that a sent request has ended."""
        state = self._upstreams.get(instance_id)
        if state is not None and state.in_flight:
            state.in_flight -= 1

    def record_load(
        self,
        instance_id: str,
        route: str,
        run_s: float | None,
        load: int,
        limit: int,
        now: float,
    ) -> None:
        """Apply the load that a gate reports with a result.

        :param run_s: run time of the request, ``None`` if it did not run.
        :param load: requests at the gate.
        :param limit: the gate's concurrency limit.
        """
        state = self._upstreams.get(instance_id)
        if state is None:
            return
        state.load, state.limit, state.reported_at = load, limit, now
        if state.instance.service in self._levels:
            self._spill.record(
                state.instance.service,
                state.instance.data_centre,
                spill.queued(load, limit),
                run_s,
                now,
            )
        if run_s is not None:
            mean = state.run_s.get(route, run_s)
            state.run_s[route] = mean + WEIGHT * (run_s - mean)

    def record_slowdown(
        self, instance_id: str, slowdown: int, now: float
    ) -> None:
        """Apply the slowdown that an upstream reports.

        :param slowdown: how long work takes there at the moment, in percent of
            the usual time.
        """
        state = self._upstreams.get(instance_id)
        if state is None:
            return
        state.slowdown = float(min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, slowdown)))
        state.slowdown_at = now
        mean = state.mean_slowdown or state.slowdown
        state.mean_slowdown = mean + WEIGHT * (state.slowdown - mean)

    def record_outcome(self, instance_id: str, good: bool, now: float) -> None:
        """Update the failure rate with the outcome of a request."""
        state = self._upstreams.get(instance_id)
        if state is None:
            return
        state.failure_rate = self._failure_rate(state, now)
        state.failed_at = now
        state.failure_rate += WEIGHT * (
            (0.0 if good else 1.0) - state.failure_rate
        )
        state.outcomes.add(good, now)
        service = state.instance.service
        regions = self._outcomes.setdefault(service, {})
        regions.setdefault(state.region, failure_excess.Outcomes()).add(
            good, now
        )

    def avoid(self, instance_id: str, until: float) -> None:
        """Avoid an unreachable upstream until the given time."""
        state = self._upstreams.get(instance_id)
        if state is not None:
            state.avoid_until = until

    def host_leaving(self, instance_id: str, now: float) -> None:
        """Record that an upstream's host has announced that it leaves."""
        state = self._upstreams.get(instance_id)
        if state is not None:
            state.leaving_until = now + LEAVING_HOST_S

    def _group_by_service(self) -> None:
        """Group the upstreams that may get requests by service."""
        self._services = {}
        self._unlisted = {}
        for state in self._upstreams.values():
            instance = state.instance
            if instance.ready and instance.data_centre not in self._evacuated:
                table = self._unlisted if state.unlisted_at else self._services
                table.setdefault(instance.service, []).append(state)
        used = {item.instance.service for item in self._upstreams.values()}
        self._outcomes = {
            service: regions
            for service, regions in self._outcomes.items()
            if service in used
        }
        self._group_by_level()

    def _group_by_level(self) -> None:
        """Group the listed upstreams of each service by distance.

        Services whose upstreams are all at the same distance are left out.
        """
        self._levels = {}
        used = set()
        for service, found in self._services.items():
            near: list[_UpstreamState] = []
            region: list[_UpstreamState] = []
            far: list[_UpstreamState] = []
            for state in found:
                level = far if state.far else region
                if state.instance.data_centre == self._data_centre:
                    level = near
                level.append(state)
            if len(found) in (len(near), len(region), len(far)):
                continue
            self._levels[service] = (
                (near, spill.REGION_BORNE),
                (region, spill.REGION_BORNE),
                (far, spill.OTHER_REGION_BORNE),
            )
            used |= {(service, item.instance.data_centre) for item in found}
        self._spill.retain(used)

    def _candidates(
        self, service: str, regions: frozenset[str] | None
    ) -> list[_UpstreamState]:
        """Return the upstreams that a request may be sent to."""
        for table in (self._services, self._unlisted):
            found = table.get(service, [])
            if regions is not None:
                found = [item for item in found if item.region in regions]
            if found:
                return found
        return []

    def _mark_unlisted(
        self, identifier: str, state: _UpstreamState, now: float
    ) -> None:
        """Mark an upstream as unlisted; drop it when it is not usable.

        It is dropped if it was leaving or not ready, or after a time.
        """
        if not state.unlisted_at:
            state.unlisted_at = now
        unusable = state.leaving_until > now or not state.instance.ready
        if unusable or now - state.unlisted_at > UNLISTED_MAX_S:
            del self._upstreams[identifier]

    def _new(self, instance: catalog.Instance, now: float) -> _UpstreamState:
        region = self._region(instance.data_centre)
        far = region != self._region(self._data_centre)
        near = instance.data_centre == self._data_centre
        distance_s = 0.0 if near else OTHER_CENTRE_PENALTY_S
        return _UpstreamState(
            instance=instance,
            distance_s=distance_s,
            region=region,
            far=far,
            first_listed_at=now,
        )

    def _describe(
        self,
        state: _UpstreamState,
        expected_s: float,
        offered: bool,
        preferred: bool,
        now: float,
    ) -> placement_report.Candidate:
        """Return what is known of an upstream."""
        instance = state.instance
        advertisement = self._advertisements.get(instance.instance_id)
        held_s, draining, drained = 0.0, False, False
        if advertisement is not None:
            draining = advertisement.leaving_at is not None
            drained = self._drained(advertisement, now)
            held_s = max(0.0, advertisement.next_at - now)
            expected_s += self._rate_limit_wait_s(advertisement, now)
        return placement_report.Candidate(
            instance_id=instance.instance_id,
            data_centre=instance.data_centre,
            region=state.region,
            listed=not state.unlisted_at,
            ready=instance.ready,
            evacuated=instance.data_centre in self._evacuated,
            offered=offered,
            preferred=preferred,
            leaving=state.leaving_until > now,
            draining=draining,
            drained=drained,
            avoided_s=max(0.0, state.avoid_until - now),
            rate_limit_s=held_s,
            cold_s=max(0.0, instance.cold_s - (now - state.first_listed_at)),
            expected_s=expected_s,
            in_flight=state.in_flight,
            load=state.load,
            limit=state.limit,
            slots=instance.slots,
            report_age_s=(
                now - state.reported_at if state.reported_at >= 0 else None
            ),
            failure_rate=self._failure_rate(state, now),
        )

    def _apply_instance_start(self, instance: catalog.Instance) -> None:
        """Reset the leaving state when a new instance has started."""
        advertisement = self._advertisements.get(instance.instance_id)
        if (
            advertisement is not None
            and instance.started_ms > advertisement.born
        ):
            advertisement.born = instance.started_ms
            advertisement.leaving_at = None

    def _new_advertisement(self, instance_id: str) -> _Advertisement:
        if len(self._advertisements) >= ADVERTISED_MAX:
            for name in list(self._advertisements):
                if name not in self._upstreams:
                    del self._advertisements[name]
        state = self._upstreams.get(instance_id)
        return _Advertisement(
            state.instance.started_ms if state is not None else 0
        )

    def _drained(self, advertisement: _Advertisement, now: float) -> bool:
        since = advertisement.leaving_at
        return since is not None and now - since >= self._drain_s

    @staticmethod
    def _rate_limit_wait_s(advertisement: _Advertisement, now: float) -> float:
        held_s = max(0.0, advertisement.next_at - now)
        return held_s + AVOIDED_PENALTY_S * (
            advertisement.leaving_at is not None
        )

    def _region(self, data_centre: str) -> str:
        return self._regions.get(data_centre, data_centre)

    def _score(
        self,
        state: _UpstreamState,
        route: str,
        objective_s: float,
        now: float,
        draw: float,
    ) -> float:
        run_s = state.run_s.get(route)
        if run_s is None:
            run_s = self._mean_run_s(state.instance.service, route)
        run_s *= self._slowdown_factor(state, now)
        limit = state.limit or self._assumed_limit(state, now)
        age = min(1.0, (now - state.reported_at) / REPORT_FADE_S)
        load = max(state.in_flight, state.load * (1.0 - age))
        wait_s = max(0.0, load + 1 - limit) * run_s / limit
        # Prefers the less loaded host among those without a queue.
        fill_s = 0.3 * run_s * min(1.0, load / limit)
        expected_s = (run_s + wait_s + fill_s) * (1.0 + SPREAD * draw)
        excess = self._failure_excess(state, now)
        expected_s += FAILURE_RATE_FACTOR * objective_s * excess
        if state.avoid_until > now:
            expected_s += AVOIDED_PENALTY_S
        return expected_s

    @staticmethod
    def _assumed_limit(state: _UpstreamState, now: float) -> int:
        """Return the limit of an upstream whose gate has reported none."""
        cold_s = state.instance.cold_s
        if cold_s > 0.0 and now - state.first_listed_at < cold_s:
            return COLD_LIMIT_UNKNOWN
        return max(1, state.instance.slots - 1)

    @staticmethod
    def _distance_s(state: _UpstreamState, objective_s: float) -> float:
        """Return the penalty for the distance of an upstream, in seconds."""
        if not state.far:
            return state.distance_s
        distance_s = OTHER_REGION_FRACTION * objective_s
        return max(OTHER_REGION_PENALTY_MIN_S, distance_s)

    @staticmethod
    def _slowdown_factor(state: _UpstreamState, now: float) -> float:
        """Return the expected run time in multiples of the mean run time."""
        age = (now - state.slowdown_at) / SLOWDOWN_FADE_S
        if age >= 1.0:
            return 1.0
        ratio = state.slowdown / state.mean_slowdown
        return 1.0 + (1.0 - age) * (ratio - 1.0)

    def _mean_run_s(self, service: str, route: str) -> float:
        seen = [
            state.run_s[route]
            for state in self._services.get(service, ())
            if route in state.run_s
        ]
        return sum(seen) / len(seen) if seen else RUN_UNKNOWN_S

    def _failure_excess(self, state: _UpstreamState, now: float) -> float:
        """Return by how much an upstream fails more than its service."""
        rate = self._failure_rate(state, now)
        if rate < FAILURE_RATE_MIN:
            return 0.0
        regions = self._outcomes.get(state.instance.service, {})
        if state.region not in regions:
            # The upstream's entry names another service than before.
            return rate
        return failure_excess.excess(
            rate, WEIGHT, state.outcomes, state.region, regions, now
        )

    def _failure_rate(self, state: _UpstreamState, now: float) -> float:
        if not state.failure_rate:
            return 0.0
        age_s = now - state.failed_at
        return state.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
