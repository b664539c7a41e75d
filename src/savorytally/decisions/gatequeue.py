"""Which requests an upstream works on, which wait and which are refused.

Answers a lasting overload of one upstream: what waits is bounded by the time
in which an answer is still of use, so that a request is refused on arrival
rather than after it has been held. An upstream that names a limit gets its
requests at that pace, in the same order. Work that is paid for already, the
calls of requests in progress, goes before new work of the same rank.
"""

import dataclasses
import enum
import heapq
import itertools
import typing as t

from . import pace

# Part of the slots that stays free: upstreams slow down when nearly full,
# and probes and new connections hold slots for a moment.
HEADROOM = 0.06
# Part of the objective that a new request may spend waiting here.
WAIT_SHARE = 0.45
# Weight of the latest run in the mean time of a run.
RUN_WEIGHT = 0.1
# Assumed time of a run before one has ended.
RUN_UNKNOWN_S = 0.05
# Requests at once before the upstream's slots are known.
LIMIT_UNKNOWN = 8


class Verdict(enum.Enum):
    """What becomes of a request at the gate."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at the gate.

    :param rank: 0 is the most urgent.
    :param child: whether a request in progress waits for it.
    :param route: its route's name.
    :param deadline: when its answer is of no more use.
    :param objective_s: time in which its answer is worth most.
    :param owner: what the gate knows it by.
    """

    rank: int
    child: bool
    route: str
    deadline: float
    objective_s: float
    owner: t.Any = None
    arrived: float = 0.0
    gone: bool = False

    @property
    def order(self) -> tuple[int, bool]:
        """Sorts before what is served later."""
        return (self.rank, not self.child)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What follows from the end of a request.

    :param started: jobs to start.
    :param dropped: jobs that can't be answered in time any more.
    """

    started: list[Job]
    dropped: list[Job]


class GateQueue:
    """The requests at one upstream."""

    def __init__(self) -> None:
        self._limit = LIMIT_UNKNOWN
        self._pace = pace.Pace()
        self._heap: list[tuple[int, bool, int, Job]] = []
        self._waiting: dict[tuple[int, bool], int] = {}
        self._sequence = itertools.count()
        self._running = 0
        self._run_s = RUN_UNKNOWN_S
        self._route_run_s: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Requests at the upstream."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(self._waiting.values())

    @property
    def limit(self) -> int:
        """Requests that may be at the upstream."""
        return self._limit

    def learn_slots(self, slots: int) -> None:
        """Apply how many requests the upstream works on at once."""
        self._limit = max(1, slots - max(1, round(slots * HEADROOM)))

    def learn_pace(self, limit_per_s: float, now: float) -> Change:
        """Apply how many requests a second the upstream takes.

        :param limit_per_s: :data:`.standing.NO_LIMIT` if it names no limit.
        """
        self._pace.learn(limit_per_s, now)
        return self.advance(now)

    @property
    def paced(self) -> bool:
        """Whether the upstream names a limit."""
        return self._pace.limited

    def next_start_s(self, now: float) -> float | None:
        """Return when the pace lets the next one go, if it holds one up."""
        if not self.paced or not self.waiting or self._running >= self._limit:
            return None
        return self._pace.wait_s(0, now)

    def run_s(self, route: str) -> float:
        """Return the mean time of a route's runs."""
        return self._route_run_s.get(route, self._run_s)

    def wait_s(self, rank: int, child: bool, now: float) -> float:
        """Return how long a request of that kind would wait."""
        ahead = sum(
            count
            for order, count in self._waiting.items()
            if order <= (rank, not child)
        )
        over = ahead + self._running + 1 - self._limit
        room_s = max(0, over) * self._run_s / self._limit
        return max(room_s, self._pace.wait_s(ahead, now))

    def offer(self, job: Job, now: float) -> Verdict:
        """Decide on a request that has arrived."""
        job.arrived = now
        free = self._running < self._limit and not self.waiting
        if free and self._pace.take(now):
            self._running += 1
            return Verdict.START
        if self.wait_s(job.rank, job.child, now) > self._patience_s(job, now):
            return Verdict.REFUSE
        heapq.heappush(self._heap, (*job.order, next(self._sequence), job))
        self._waiting[job.order] = self._waiting.get(job.order, 0) + 1
        return Verdict.WAIT

    def cancel(self, job: Job) -> None:
        """Take a waiting request out."""
        if not job.gone:
            job.gone = True
            self._waiting[job.order] -= 1

    def finish(
        self, job: Job, ran_s: float | None, now: float, sent: bool = True
    ) -> Change:
        """Note the end of a request at the upstream.

        :param ran_s: how long it ran, ``None`` if that says nothing.
        :param sent: whether it was sent to the upstream.
        """
        self._running -= 1
        if not sent:
            self._pace.give_back()
        if ran_s is not None:
            self._run_s += RUN_WEIGHT * (ran_s - self._run_s)
            known = self._route_run_s.get(job.route, ran_s)
            known += RUN_WEIGHT * (ran_s - known)
            self._route_run_s[job.route] = known
        return self.advance(now)

    def advance(self, now: float) -> Change:
        """Start what there is room for and drop what has waited too long."""
        started: list[Job] = []
        dropped: list[Job] = []
        while self._heap:
            job = self._heap[0][3]
            if not job.gone and not self._hopeless(job, now):
                if self._running >= self._limit or not self._pace.take(now):
                    break
                started.append(job)
                self._running += 1
            elif not job.gone:
                dropped.append(job)
            heapq.heappop(self._heap)
            self.cancel(job)
        return Change(started, dropped)

    def drop_late(self, now: float) -> list[Job]:
        """Take out all requests that have waited too long."""
        late = [
            entry[3]
            for entry in self._heap
            if not entry[3].gone and self._hopeless(entry[3], now)
        ]
        for job in late:
            self.cancel(job)
        return late

    def clear(self) -> list[Job]:
        """Take out all requests that wait."""
        waiting = [entry[3] for entry in self._heap if not entry[3].gone]
        for job in waiting:
            self.cancel(job)
        return waiting

    def _patience_s(self, job: Job, now: float) -> float:
        left_s = job.deadline - now - self.run_s(job.route)
        if job.child:
            return left_s
        return min(left_s, job.objective_s * WAIT_SHARE)

    def _hopeless(self, job: Job, now: float) -> bool:
        if now + self.run_s(job.route) * 0.5 > job.deadline:
            return True
        waited_s = now - job.arrived
        return not job.child and waited_s > job.objective_s * WAIT_SHARE
