"""Which upstream of a service takes a request.

Answers upstreams of unequal speed, cold, grey and failing ones, and regions
joined by a dear link: the expected time of an answer decides, learned from
what gates report and from what became of earlier requests; another region
is taken only for want of room in the own one.

An upstream whose entry has lapsed may be cut off from the list only. Where a
service has no listed upstream left, the unlisted ones are still offered
requests; the node beside each of them makes sure that it serves.

An upstream that names a limit counts as busy until the next of the requests
that this node may count on is due. One that has said that it leaves is offered
requests for want of others only, and none once the time to drain is over.
"""

import dataclasses
import random
import typing as t

from ..world import catalog
from . import standing

# Weight of the latest observation in a mean.
WEIGHT = 0.15
# Assumed time of a run before one was seen.
RUN_UNKNOWN_S = 0.1
# Expected wait that a data centre further away must save.
OTHER_CENTRE_S = 0.02
# Expected wait that another region must save, as a part of the objective;
# its link is billed by volume.
OTHER_REGION_PART = 0.3
OTHER_REGION_MIN_S = 0.08
# What a failure in all of the last requests adds to the expected time, in
# objectives.
FAILING_PART = 1.5
# Time after which half of a failure memory is gone.
FAILURE_HALF_S = 2.0
# Slower start of a cold upstream: its runs count as longer by this factor.
COLD_FACTOR = 2.0
# A report of a gate's load is trusted less with age.
REPORT_FADES_S = 0.5
# How long a host that leaves is not offered anything; its node may be
# started again beside the same upstream.
LEAVING_S = 3.0
# Time after which an unlisted upstream is forgotten.
UNLISTED_MAX_S = 30.0
# What is added to the expected time of an upstream that is avoided.
AVOIDED_S = 10.0
# The most by which an upstream that names a limit counts as busy, so that it
# is used again soon after a rush.
PACED_MAX_S = 2.0
# Upstreams of which it is kept what they have said.
STATED_MAX = 4096
# Random spread of scores, so that equal hosts share.
SPREAD = 0.15


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of one upstream."""

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
    # When its entry lapsed, 0 while it is listed.
    unlisted: float = 0.0


@dataclasses.dataclass(slots=True)
class _Stated:
    """What one start of an upstream has said, as this node was told.

    It is kept while the upstream is not listed.
    """

    born: int
    limit_per_s: float = standing.NO_LIMIT
    interval_s: float = 0.0
    # When the next request of this node is due there.
    next_at: float = 0.0
    leaving_at: float | None = None


class Placement:
    """The upstreams of all services as one node knows them.

    :param data_centre: the node's data centre.
    :param regions: region of each data centre.
    :param source: random source.
    :param drain_s: how long an upstream that leaves may get new requests.
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
        """Apply the upstreams that are listed."""
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
        """Note what an upstream has said of itself.

        :param limit_per_s: :data:`.standing.NO_LIMIT` if it names no limit.
        :param share_per_s: how many of these this node may count on.
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
        """Return the limit that this node was told, ``None`` if none."""
        stated = self._stated.get(instance_id)
        if stated is None or stated.limit_per_s == standing.NO_LIMIT:
            return None
        return stated.limit_per_s

    def hold_back(self, instance_id: str, wait_s: float, now: float) -> None:
        """Note how long requests wait for the limit of an upstream."""
        stated = self._stated.get(instance_id)
        if stated is not None and stated.interval_s:
            due = now + min(wait_s, PACED_MAX_S)
            stated.next_at = max(stated.next_at, due)

    def unlisted(self, instance_id: str) -> bool:
        """Return whether an upstream is offered requests unlisted."""
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
        """Return the upstream that should answer first, if there is any.

        :param objective_s: time in which an answer is worth most.
        :param tried: upstreams that are left out.
        :param only: the upstreams to choose from, all if not given.
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
        """Note that a request was sent."""
        stated = self._stated.get(instance_id)
        if stated is not None and stated.interval_s:
            due = max(stated.next_at, now) + stated.interval_s
            stated.next_at = min(due, now + PACED_MAX_S)
        known = self._known.get(instance_id)
        if known is not None:
            known.in_flight += 1

    def ended(self, instance_id: str) -> None:
        """Note that a request that was sent has ended."""
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
        """Note what a gate said with a result."""
        known = self._known.get(instance_id)
        if known is None:
            return
        known.load, known.limit, known.reported = load, limit, now
        if run_s is not None:
            mean = known.run_s.get(route, run_s)
            known.run_s[route] = mean + WEIGHT * (run_s - mean)

    def outcome(self, instance_id: str, good: bool, now: float) -> None:
        """Note whether the upstream did what it was asked."""
        known = self._known.get(instance_id)
        if known is None:
            return
        known.failing = self._failing(known, now)
        known.failed_at = now
        known.failing += WEIGHT * ((0.0 if good else 1.0) - known.failing)

    def avoid(self, instance_id: str, until: float) -> None:
        """Send nothing to an upstream that can't be reached for a while."""
        known = self._known.get(instance_id)
        if known is not None:
            known.avoid_until = until

    def leaving(self, instance_id: str, now: float) -> None:
        """Note that an upstream's host has said that it leaves."""
        known = self._known.get(instance_id)
        if known is not None:
            known.leaving_until = now + LEAVING_S

    def _lapse(self, identifier: str, known: _Known, now: float) -> None:
        """Keep an upstream that has lapsed while it was ready, for a time."""
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
        """Note whether an upstream has started again since it said it left."""
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
        # An emptier host is the better one among hosts without a queue.
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
