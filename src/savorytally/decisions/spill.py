"""Decides how far from its entry a request is placed.

Bytes between data centres and between regions are expensive, and the spread
of run times alone is no reason to cross. A request stays in its data centre
while an upstream there has a free slot, or a queue whose wait is short against
the request's objective. Beyond that, a growing part of the requests goes to
the local region, and then to other regions, as far as the wait there is
shorter.

Each entry hears of an upstream only through the results of its own requests,
in large fleets a few per second. The results of all upstreams of a service in
one data centre are therefore averaged: the wait that a request has to expect
there is known from the sum of the results, not from the last one of each
upstream.
"""

import dataclasses
import math
import typing as t

from . import gate_queue

# Time constant over which results are averaged. A longer one would let the
# share that crosses overshoot, since queues drain within a few run times.
AVERAGED_S = 0.12
# Time in which what is known about another data centre fades without results.
KNOWN_S = 1.0
# Weight of the assumption that there is room, in results. A single result
# is not enough to send requests elsewhere.
ROOM_ASSUMED = 2.0
# Weight of one result in the mean run time of a data centre.
RUN_WEIGHT = 0.05
# Assumed run time without results.
RUN_UNKNOWN_S = 0.1
# Range of waits, from the one that requests bear, in which the share that
# crosses rises from none to all: a fraction of the latency objective, and at
# least. A queue that drains faster than results arrive would make a steeper
# share overshoot.
RANGE_FRACTION = 0.25
RANGE_MIN_S = 0.15
# Factor on the wait further away. Data centres that are nearly as full as each
# other would exchange requests because their estimates vary.
BEYOND_FACTOR = 2.0
# Local wait that requests bear before they cross to another data centre and
# to another region, as fractions of the latency objective. Gates refuse new
# requests that would wait for 0.45 of it.
REGION_BORNE = 0.08
OTHER_REGION_BORNE = 0.15


@dataclasses.dataclass(slots=True)
class _Room:
    """Averages over the results of a service's upstreams in a data centre.

    :param at: when the sums were last updated.
    :param queued: sum of the queue lengths of the results, in multiples of
        the concurrency limit, decayed to ``at``.
    :param results: number of results, decayed to ``at``.
    :param run_s: mean run time in seconds.
    """

    at: float
    queued: float = 0.0
    results: float = 0.0
    run_s: float = 0.0

    def add(self, queued: float, run_s: float | None, now: float) -> None:
        decay = _decay(now - self.at)
        self.queued = self.queued * decay + queued
        self.results = self.results * decay + 1.0
        self.at = now
        if run_s is None:
            return
        self.run_s = (
            self.run_s + RUN_WEIGHT * (run_s - self.run_s)
            if self.run_s
            else run_s
        )

    def least_queued(self, now: float) -> float:
        """Return the mean if few results count as room."""
        decay = _decay(now - self.at)
        return self.queued * decay / (self.results * decay + ROOM_ASSUMED)

    def last_queued(self, now: float) -> float:
        """Return the mean of the last results, also if they are few."""
        fade = math.exp(-max(0.0, now - self.at) / KNOWN_S)
        return self.queued / self.results * fade


def _decay(passed_s: float) -> float:
    return math.exp(-max(0.0, passed_s) / AVERAGED_S)


def queued(load: float, limit: int) -> float:
    """Return how many rounds of requests a new one has to wait for.

    :param load: requests that run or wait at a gate.
    :param limit: the gate's concurrency limit.
    """
    return max(0.0, load + 1 - limit) / limit


class Spill:
    """Expected waits by service and data centre, as one entry sees them."""

    def __init__(self) -> None:
        self._rooms: dict[tuple[str, str], _Room] = {}

    def record(
        self,
        service: str,
        data_centre: str,
        found: float,
        run_s: float | None,
        now: float,
    ) -> None:
        """Apply what a result shows about the room at an upstream.

        :param found: the queue at its gate, as of :func:`queued`.
        :param run_s: run time in seconds, ``None`` if the request did not run.
        """
        key = (service, data_centre)
        room = self._rooms.get(key)
        if room is None:
            room = self._rooms[key] = _Room(now)
        room.add(found, run_s, now)

    def retain(self, used: t.Container[tuple[str, str]]) -> None:
        """Forget the data centres in which a service has no upstream."""
        for key in list(self._rooms):
            if key not in used:
                del self._rooms[key]

    def borne_wait_s(
        self,
        service: str,
        data_centre: str,
        found: float,
        freshness: float,
        objective_s: float,
        now: float,
    ) -> float:
        """Return the wait that certainly exists in a data centre, in seconds.

        A free slot at the chosen upstream counts as far as its report is
        fresh. A queue there counts only as far as the others have one too,
        unless the gate would refuse the request.

        :param found: the queue at the upstream that would be chosen.
        :param freshness: weight of its report, from 0 to 1.
        :param objective_s: latency objective of the request, in seconds.
        """
        room = self._rooms.get((service, data_centre))
        if room is None:
            return 0.0
        run_s = room.run_s or RUN_UNKNOWN_S
        fresh = found * freshness
        if fresh * run_s > gate_queue.WAIT_SHARE * objective_s:
            return fresh * run_s
        mean = room.least_queued(now)
        return min(mean, fresh + mean * (1.0 - freshness)) * run_s

    def known_wait_s(
        self, service: str, data_centre: str, found: float, now: float
    ) -> float:
        """Return the wait to be feared in another data centre, in seconds.

        Few requests cross, so that their last results count for longer.

        :param found: the queue at the upstream that would be chosen.
        """
        room = self._rooms.get((service, data_centre))
        if room is None:
            return 0.0
        expected = max(room.last_queued(now), found)
        return expected * (room.run_s or RUN_UNKNOWN_S)


def crossing_share(
    near_s: float, beyond_s: float, objective_s: float, borne: float
) -> float:
    """Return the share of requests that should cross, from 0 to 1.

    :param near_s: wait to expect nearby, in seconds.
    :param beyond_s: wait to expect further away, in seconds.
    :param objective_s: latency objective of the requests, in seconds.
    :param borne: the part of the objective that they wait before they cross.
    """
    range_s = max(RANGE_FRACTION * objective_s, RANGE_MIN_S)
    excess_s = near_s - BEYOND_FACTOR * beyond_s - borne * objective_s
    return min(1.0, max(0.0, excess_s / range_s))
