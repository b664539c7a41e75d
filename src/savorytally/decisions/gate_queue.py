"""The gate's queue: decides which requests run, wait or are refused.

Protects one upstream against lasting overload. The queue is bounded by the
time in which a response is still useful, so that a request is refused on
arrival instead of after a wait. If the upstream advertises a rate limit,
requests are forwarded at that rate, in the same order. Calls of requests in
progress, in which work was already invested, precede new requests of the same
rank.
"""

import dataclasses
import enum
import heapq
import itertools
import math
import typing as t

from . import cold_rate
from . import pacing
from . import start_pace

# Fraction of the slots that is left free: upstreams slow down when nearly
# full, and health probes and new connections briefly occupy slots.
HEADROOM = 0.06
# Fraction of the latency objective that a new request may wait in the queue.
WAIT_SHARE = 0.45
# Weight of the latest request in the mean run time.
RUN_WEIGHT = 0.1
# Assumed run time before the first request has finished.
RUN_UNKNOWN_S = 0.05
# Longest time that a request waits for the bound of a cold upstream; other
# upstreams may serve it sooner.
COLD_WAIT_MAX_S = 0.15
# Concurrency limit before the upstream's slots are known.
LIMIT_UNKNOWN = 8
# A rank that no request has; all others precede it.
LAST_RANK = 1 << 30


class Decision(enum.Enum):
    """The gate's decision on a new request."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at the gate.

    :param rank: urgency, 0 is the most urgent.
    :param child: whether it is a call that a request in progress waits for.
    :param route: name of the route.
    :param deadline: time after which the response is useless.
    :param objective_s: latency objective of the request.
    :param context: the gate's own object for the request.
    :param arrived: when it arrived at the gate.
    :param removed: whether it was removed; its heap entry is then skipped.
    :param reserved: whether it has room within the bound of a cold upstream.
    """

    rank: int
    child: bool
    route: str
    deadline: float
    objective_s: float
    context: t.Any = None
    arrived: float = 0.0
    removed: bool = False
    reserved: bool = False

    @property
    def sort_key(self) -> tuple[int, bool]:
        """Sort key: requests with a smaller one are served first."""
        return (self.rank, not self.child)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Requests that left the queue.

    :param started: requests to start.
    :param dropped: requests that can no longer be answered in time.
    """

    started: list[Job]
    dropped: list[Job]


class GateQueue:
    """Running and waiting requests at one upstream.

    :param cold: the bound while the upstream is cold, ``None`` for no bound.
    """

    def __init__(self, cold: cold_rate.ColdRate | None = None) -> None:
        self._cold = cold or cold_rate.ColdRate(1.0, 0.0, 0.0)
        # Ceilings on concurrency; the lowest applies.
        self._listed_ceiling = LIMIT_UNKNOWN
        self._reported_ceiling: int | None = None
        self._limit = LIMIT_UNKNOWN
        self._pace = start_pace.StartPace()
        self._pacer = pacing.Pacer()
        self._heap: list[tuple[int, bool, int, Job]] = []
        self._waiting: dict[tuple[int, bool], int] = {}
        self._sequence = itertools.count()
        self._running = 0
        self._run_s = RUN_UNKNOWN_S
        self._route_run_s: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Number of requests at the upstream."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(self._waiting.values())

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests at the upstream."""
        return self._pace.ceiling(self._limit)

    @property
    def pace(self) -> start_pace.StartPace:
        """The ramp-up after a start or an outage."""
        return self._pace

    def learn_slots(self, slots: int) -> None:
        """Apply the number of slots that the host list states."""
        headroom = max(1, round(slots * HEADROOM))
        self._listed_ceiling = max(1, slots - headroom)
        self._apply_ceilings()

    def learn_reported(self, ceiling: int | None) -> bool:
        """Apply the ceiling that the upstream's load reports yield.

        :param ceiling: requests at once, ``None`` without usable reports.
        :return: whether the concurrency limit has risen.
        """
        if ceiling == self._reported_ceiling:
            return False
        before = self._limit
        self._reported_ceiling = ceiling
        self._apply_ceilings()
        return self._limit > before

    def learn_rate_limit(self, limit_per_s: float, now: float) -> Change:
        """Apply the rate limit that the upstream advertises.

        :param limit_per_s: requests per second, ``NO_LIMIT`` without a limit.
        """
        self._pacer.set_limit(limit_per_s, now)
        return self.advance(now)

    @property
    def rate_limited(self) -> bool:
        """Whether the upstream advertises a rate limit."""
        return self._pacer.limited

    @property
    def cold(self) -> cold_rate.ColdRate:
        """The bound while the upstream is cold."""
        return self._cold

    def next_start_s(self, now: float) -> float | None:
        """Return the time until a rate allows the next request.

        :return: seconds, ``None`` unless the upstream's rate limit or the
            bound of a cold upstream is the only reason why a request waits.
        """
        limited = self.rate_limited or self._cold.active
        if not limited or not self.waiting or self._running >= self.limit:
            return None
        return max(self._pacer.wait_s(0, now), self._cold.wait_s(0, now))

    def run_s(self, route: str) -> float:
        """Return the mean run time of a route in seconds."""
        return self._route_run_s.get(route, self._run_s)

    def wait_s(self, rank: int, child: bool, now: float) -> float:
        """Return how long a new request would wait, in seconds.

        :param rank: rank of the request.
        :param child: whether a request in progress waits for it.
        """
        ahead = self._ahead(rank, child)
        excess = ahead + self._running + 1 - self.limit
        slot_wait_s = max(0, excess) * self._run_s / self.limit
        return max(slot_wait_s, self._pacer.wait_s(ahead, now))

    def cold_wait_s(self, rank: int, child: bool, now: float) -> float:
        """Return when a cold upstream may get a new request, in seconds.

        :param rank: rank of the request.
        :param child: whether a request in progress waits for it.
        """
        if not self._cold.active:
            return 0.0
        return self._cold.wait_s(self._ahead(rank, child), now)

    def reported_load(self, now: float) -> tuple[int, int]:
        """Return the load and the limit for the results.

        They express the bound of a cold upstream: the limit is what runs at
        the permitted rate, and the load rises with the time until the next
        request is permitted.
        """
        load = self._running + self.waiting
        if not self._cold.certain(now):
            return load, self.limit
        run_s = max(self._run_s, 0.001)
        limit = min(self.limit, max(1, int(self._cold.per_s * run_s)))
        wait_s = self.cold_wait_s(LAST_RANK, False, now)
        if wait_s > 0.0:
            load = max(load, limit + math.ceil(wait_s * limit / run_s))
        return load, limit

    def offer(self, job: Job, now: float) -> Decision:
        """Start, queue or refuse a request that has arrived."""
        job.arrived = now
        self._cold.arrived(now)
        if not self.waiting and self._take(job, now):
            return Decision.START
        if self.cold_wait_s(job.rank, job.child, now) > COLD_WAIT_MAX_S:
            return Decision.REFUSE
        if self.wait_s(job.rank, job.child, now) > self._max_wait_s(job, now):
            return Decision.REFUSE
        heapq.heappush(self._heap, (*job.sort_key, next(self._sequence), job))
        self._waiting[job.sort_key] = self._waiting.get(job.sort_key, 0) + 1
        return Decision.WAIT

    def cancel(self, job: Job) -> None:
        """Remove a waiting request."""
        if not job.removed:
            job.removed = True
            self._waiting[job.sort_key] -= 1

    def finish(
        self, job: Job, ran_s: float | None, now: float, sent: bool = True
    ) -> Change:
        """Record the end of a request at the upstream.

        :param ran_s: run time in seconds, ``None`` if it is not
            representative.
        :param sent: whether the request was sent to the upstream.
        """
        if ran_s is not None:
            self._pace.answered(
                job.route,
                ran_s,
                job.objective_s,
                self._running,
                self._limit,
                now,
            )
        self._running -= 1
        if not sent:
            self._pacer.refund()
            if job.reserved:
                job.reserved = False
                self._cold.release()
        if ran_s is not None:
            self._run_s += RUN_WEIGHT * (ran_s - self._run_s)
            mean_s = self._route_run_s.get(job.route, ran_s)
            mean_s += RUN_WEIGHT * (ran_s - mean_s)
            self._route_run_s[job.route] = mean_s
        return self.advance(now)

    def advance(self, now: float) -> Change:
        """Start requests while there is capacity; drop overdue ones."""
        started: list[Job] = []
        dropped: list[Job] = []
        while self._heap:
            job = self._heap[0][3]
            if not job.removed and not self._overdue(job, now):
                if not self._take(job, now):
                    break
                started.append(job)
            elif not job.removed:
                dropped.append(job)
            heapq.heappop(self._heap)
            self.cancel(job)
        if self._heap and self._cold.certain(now):
            dropped += self._remove_beyond_bound(now)
        return Change(started, dropped)

    def sending(self, job: Job, now: float) -> bool:
        """Record that a started request is sent to the upstream now.

        :return: whether it may be sent; the upstream may have turned cold
            while the connection was opened.
        """
        if not job.reserved and self._cold.limited(now):
            job.reserved = self._cold.try_reserve(now)
            if not job.reserved:
                return False
        if job.reserved:
            job.reserved = False
            self._cold.sent(now)
        else:
            self._cold.sent_freely(now)
        return True

    def remove_overdue(self, now: float) -> list[Job]:
        """Remove and return all requests that have waited too long."""
        late = [
            entry[3]
            for entry in self._heap
            if not entry[3].removed and self._overdue(entry[3], now)
        ]
        for job in late:
            self.cancel(job)
        return late

    def jobs(self) -> list[Job]:
        """Return all waiting requests."""
        return [entry[3] for entry in self._heap if not entry[3].removed]

    def clear(self) -> list[Job]:
        """Remove and return all waiting requests."""
        waiting = self.jobs()
        for job in waiting:
            self.cancel(job)
        return waiting

    def _ahead(self, rank: int, child: bool) -> int:
        """Return how many waiting requests precede a new one."""
        return sum(
            count
            for order, count in self._waiting.items()
            if order <= (rank, not child)
        )

    def _take(self, job: Job, now: float) -> bool:
        """Occupy a slot for a request; return whether there is one."""
        if self._running >= self.limit:
            return False
        limited = self._cold.limited(now)
        if limited and not self._cold.try_reserve(now):
            return False
        if not self._pacer.try_acquire(now):
            if limited:
                self._cold.release()
            return False
        job.reserved = limited
        self._running += 1
        return True

    def _remove_beyond_bound(self, now: float) -> list[Job]:
        """Remove the requests that a cold upstream may not get soon."""
        waiting = [item[3] for item in sorted(self._heap)]
        waiting = [job for job in waiting if not job.removed]
        beyond = [
            job
            for ahead, job in enumerate(waiting)
            if self._cold.wait_s(ahead, now) > COLD_WAIT_MAX_S
        ]
        for job in beyond:
            self.cancel(job)
        return beyond

    def _apply_ceilings(self) -> None:
        """Set the concurrency limit to the lowest ceiling."""
        self._limit = self._listed_ceiling
        if self._reported_ceiling is not None:
            self._limit = max(1, min(self._limit, self._reported_ceiling))

    def _max_wait_s(self, job: Job, now: float) -> float:
        left_s = job.deadline - now - self.run_s(job.route)
        if job.child:
            return left_s
        return min(left_s, job.objective_s * WAIT_SHARE)

    def _overdue(self, job: Job, now: float) -> bool:
        if now + self.run_s(job.route) * 0.5 > job.deadline:
            return True
        waited_s = now - job.arrived
        return not job.child and waited_s > job.objective_s * WAIT_SHARE
