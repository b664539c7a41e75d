"""Chooses the upstream of a service that a request is forwarded to.

The upstream with the least expected response time is chosen. The estimate is
based on the load that gates report and on the outcomes of earlier requests,
and so covers upstreams that are slow, cold, partially failing or down. Links
between regions are expensive: another region is used only when the local one
has no free capacity.

An upstream whose entry in the host list has expired may only have lost its
connection to the list. If a service has no listed upstream left, requests are
still offered to the unlisted ones; the node on each upstream's host checks
that it serves.

An upstream that advertises a rate limit counts as busy until the next request
in this node's share of the limit is due. One that advertises that it is
leaving gets requests only if no other upstream is available, and none after
the drain time.
"""

import dataclasses
import random
import typing as t

from ..world import catalog
from . import standing

# Weight of the latest observation in a moving mean.
WEIGHT = 0.15
# Assumed run time of a route without samples.
RUN_UNKNOWN_S = 0.1
# Penalty for another data centre in the local region.
OTHER_CENTRE_S = 0.02
# Penalty for another region, as a fraction of the latency objective and at
# least; traffic over the link between regions is billed by volume.
OTHER_REGION_PART = 0.3
OTHER_REGION_MIN_S = 0.08
# Penalty for a failure rate of 100 %, in multiples of the latency objective.
FAILING_PART = 1.5
# Half-life of the failure rate.
FAILURE_HALF_S = 2.0
# Factor on the run time of an upstream that is still warming up.
COLD_FACTOR = 2.0
# Time over which a gate's load report loses its weight.
REPORT_FADES_S = 0.5
# How long nothing is sent to a host that leaves; afterwards its node may have
# been restarted beside the same upstream.
LEAVING_S = 3.0
# Time after which an unlisted upstream is dropped.
UNLISTED_MAX_S = 30.0
# Penalty for an upstream that is avoided.
AVOIDED_S = 10.0
# Longest time for which a rate limit makes an upstream count as busy, so that
# it is used again soon after a burst.
PACED_MAX_S = 2.0
# Maximum number of upstreams whose advertisements are stored.
STATED_MAX = 4096
# Relative random spread of the expected times, so that equal upstreams share
# the load.
SPREAD = 0.15


@dataclasses.dataclass(slots=True)
class _Known:
    """State of one upstream.

    :param instance: its entry in the host list.
    :param distance_s: penalty for another data centre.
    :param far: whether it is in another region.
    :param joined: when it was first listed.
    :param in_flight: requests from this node that have not ended.
    :param load: requests at its gate when last reported.
    :param limit: its concurrency limit when last reported, 0 if unknown.
    :param reported: time of the last load report.
    :param run_s: mean run time by route.
    :param failing: failure rate at ``failed_at``.
    :param failed_at: when the failure rate was last updated.
    :param avoid_until: until when it counts as unreachable.
    :param leaving_until: until when nothing is sent to its leaving host.
    """

    instance: catalog.Instance
    distance_s: float
    far: bool
    joined: float
    in_flight: int = 0
    load: int = 0
    limit: int = 0
    reported: float = -1e9
    run_s: dict[str, float] = dataclasses.field(default_factory=dict)
    failing: float = 0.0
    failed_at: float = 0.0
    avoid_until: float = 0.0
    leaving_until: float = 0.0
    # When its entry expired, 0 while it is in the host list.
    unlisted: float = 0.0


@dataclasses.dataclass(slots=True)
class _Stated:
    """Advertisements of one instance of an upstream, as received here.

    They are kept while the upstream is not in the host list.

    :param born: start time of the instance.
    :param limit_per_s: the advertised rate limit.
    :param interval_s: time between two requests in this node's share of the
        limit, 0 without a limit.
    """

    born: int
    limit_per_s: float = standing.NO_LIMIT
    interval_s: float = 0.0
    # When the limit allows the next request from this node.
    next_at: float = 0.0
    # When it was first received that the instance is leaving.
    leaving_at: float | None = None


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
        self._stated: dict[str, _Stated] = {}
        self._data_centre = data_centre
        self._regions = regions
        self._random = source
        self._known: dict[str, _Known] = {}
        self._services: dict[str, list[_Known]] = {}
        self._unlisted: dict[str, list[_Known]] = {}

    def learn_instances(
        self, instances: t.Mapping[str, catalog.Instance], now: float
    ) -> None:
        """Apply the upstreams in the host list."""
        for identifier, known in list(self._known.items()):
            if identifier not in instances:
                self._lapse(identifier, known, now)
        for identifier, instance in instances.items():
            self._note_start(instance)
            known = self._known.get(identifier)
            if known is None:
                self._known[identifier] = self._new(instance, now)
            else:
                known.instance = instance
                known.unlisted = 0.0
        self._services = {}
        self._unlisted = {}
        for known in self._known.values():
            if known.instance.ready:
                table = self._unlisted if known.unlisted else self._services
                table.setdefault(known.instance.service, []).append(known)

    def learn_standing(
        self,
        instance_id: str,
        limit_per_s: float,
        share_per_s: float,
        leaving: bool,
        now: float,
    ) -> None:
        """Apply what an upstream advertises.

        :param limit_per_s: its rate limit, :data:`.standing.NO_LIMIT` if it
            advertises none.
        :param share_per_s: this node's share of the limit.
        :param leaving: whether it is leaving.
        """
        stated = self._stated.get(instance_id)
        limited = limit_per_s != standing.NO_LIMIT
        if stated is None:
            if not (limited or leaving):
                return
            stated = self._stated[instance_id] = self._new_stated(instance_id)
        stated.limit_per_s = limit_per_s
        stated.interval_s = 0.0
        if limited and share_per_s > 0.0:
            stated.interval_s = 1.0 / share_per_s
        if not limited:
            stated.next_at = 0.0
        if leaving and stated.leaving_at is None:
            stated.leaving_at = now

    def limit_per_s(self, instance_id: str) -> float | None:
        """Return the advertised rate limit, ``None`` without one."""
        stated = self._stated.get(instance_id)
        if stated is None or stated.limit_per_s == standing.NO_LIMIT:
            return None
        return stated.limit_per_s

    def hold_back(self, instance_id: str, wait_s: float, now: float) -> None:
        """Record how long requests wait for an upstream's rate limit."""
        stated = self._stated.get(instance_id)
        if stated is not None and stated.interval_s:
            due = now + min(wait_s, PACED_MAX_S)
            stated.next_at = max(stated.next_at, due)

    def unlisted(self, instance_id: str) -> bool:
        """Return whether an upstream is known but not in the host list."""
        known = self._known.get(instance_id)
        return known is not None and known.unlisted > 0.0

    def choose(
        self,
        service: str,
        route: str,
        tried: t.Container[str],
        objective_s: float,
        now: float,
        only: t.Container[str] | None = None,
    ) -> catalog.Instance | None:
        """Return the upstream with the least expected response time, if any.

        :param objective_s: latency objective of the request.
        :param tried: upstreams that are left out.
        :param only: the upstreams to choose from, all if ``None``.
        """
        best: _Known | None = None
        best_score = float("inf")
        candidates = self._services.get(service)
        if not candidates:
            candidates = self._unlisted.get(service, [])
        for known in candidates:
            name = known.instance.instance_id
            if known.leaving_until > now or name in tried:
                continue
            if only is not None and name not in only:
                continue
            stated = self._stated.get(name)
            if stated is not None and self._drained(stated, now):
                continue
            score = self._score(known, route, objective_s, now)
            if stated is not None:
                score += self._held_back_s(stated, now)
            if score < best_score:
                best, best_score = known, score
        return best.instance if best is not None else None

    def sent(self, instance_id: str, now: float) -> None:
        """Record that a request was sent."""
        stated = self._stated.get(instance_id)
        if stated is not None and stated.interval_s:
            due = max(stated.next_at, now) + stated.interval_s
            stated.next_at = min(due, now + PACED_MAX_S)
        known = self._known.get(instance_id)
        if known is not None:
            known.in_flight += 1

    def ended(self, instance_id: str) -> None:
        """Record that a sent request has ended."""
        known = self._known.get(instance_id)
        if known is not None and known.in_flight:
            known.in_flight -= 1

    def report(
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
        known = self._known.get(instance_id)
        if known is None:
            return
        known.load, known.limit, known.reported = load, limit, now
        if run_s is not None:
            mean = known.run_s.get(route, run_s)
            known.run_s[route] = mean + WEIGHT * (run_s - mean)

    def outcome(self, instance_id: str, good: bool, now: float) -> None:
        """Update the failure rate with the outcome of a request."""
        known = self._known.get(instance_id)
        if known is None:
            return
        known.failing = self._failing(known, now)
        known.failed_at = now
        known.failing += WEIGHT * ((0.0 if good else 1.0) - known.failing)

    def avoid(self, instance_id: str, until: float) -> None:
        """Avoid an unreachable upstream until the given time."""
        known = self._known.get(instance_id)
        if known is not None:
            known.avoid_until = until

    def leaving(self, instance_id: str, now: float) -> None:
        """Record that an upstream's host has announced that it leaves."""
        known = self._known.get(instance_id)
        if known is not None:
            known.leaving_until = now + LEAVING_S

    def _lapse(self, identifier: str, known: _Known, now: float) -> None:
        """Mark an upstream as unlisted; drop it when it is not usable.

        It is dropped if it was leaving or not ready, or after a time.
        """
        if not known.unlisted:
            known.unlisted = now
        gone = known.leaving_until > now or not known.instance.ready
        if gone or now - known.unlisted > UNLISTED_MAX_S:
            del self._known[identifier]

    def _new(self, instance: catalog.Instance, now: float) -> _Known:
        far = self._region(instance.data_centre) != self._region(
            self._data_centre
        )
        near = instance.data_centre == self._data_centre
        distance_s = 0.0 if near else OTHER_CENTRE_S
        return _Known(
            instance=instance,
            distance_s=distance_s,
            far=far,
            joined=now,
        )

    def _note_start(self, instance: catalog.Instance) -> None:
        """Reset the leaving state when a new instance has started."""
        stated = self._stated.get(instance.instance_id)
        if stated is not None and instance.born > stated.born:
            stated.born = instance.born
            stated.leaving_at = None

    def _new_stated(self, instance_id: str) -> _Stated:
        if len(self._stated) >= STATED_MAX:
            for name in list(self._stated):
                if name not in self._known:
                    del self._stated[name]
        known = self._known.get(instance_id)
        return _Stated(known.instance.born if known is not None else 0)

    def _drained(self, stated: _Stated, now: float) -> bool:
        since = stated.leaving_at
        return since is not None and now - since >= self._drain_s

    @staticmethod
    def _held_back_s(stated: _Stated, now: float) -> float:
        held_s = max(0.0, stated.next_at - now)
        return held_s + AVOIDED_S * (stated.leaving_at is not None)

    def _region(self, data_centre: str) -> str:
        return self._regions.get(data_centre, data_centre)

    def _score(
        self, known: _Known, route: str, objective_s: float, now: float
    ) -> float:
        run_s = known.run_s.get(route)
        if run_s is None:
            run_s = self._usual_run_s(known.instance.service, route)
        cold_s = known.instance.cold_s
        if cold_s > 0.0 and now - known.joined < cold_s:
            run_s *= COLD_FACTOR
        limit = known.limit or max(1, known.instance.slots - 1)
        age = min(1.0, (now - known.reported) / REPORT_FADES_S)
        load = max(known.in_flight, known.load * (1.0 - age))
        wait_s = max(0.0, load + 1 - limit) * run_s / limit
        # Prefers the less loaded host among those without a queue.
        fill_s = 0.3 * run_s * min(1.0, load / limit)
        expected_s = (run_s + wait_s + fill_s) * (
            1.0 + SPREAD * self._random.random()
        )
        if known.far:
            distance_s = OTHER_REGION_PART * objective_s
            expected_s += max(OTHER_REGION_MIN_S, distance_s)
        else:
            expected_s += known.distance_s
        failing = self._failing(known, now)
        expected_s += FAILING_PART * objective_s * failing
        if known.avoid_until > now:
            expected_s += AVOIDED_S
        return expected_s

    def _usual_run_s(self, service: str, route: str) -> float:
        seen = [
            known.run_s[route]
            for known in self._services.get(service, ())
            if route in known.run_s
        ]
        return sum(seen) / len(seen) if seen else RUN_UNKNOWN_S

    def _failing(self, known: _Known, now: float) -> float:
        if not known.failing:
            return 0.0
        age_s = now - known.failed_at
        return known.failing * 0.5 ** (age_s / FAILURE_HALF_S)
