"""Entries and upstreams of one service in several regions, replayed.

Each entry has its own ``Placement`` and each upstream a real ``GateQueue``;
upstreams, network and callers are simulated on a virtual clock.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from savorytally.decisions import gate_queue
from savorytally.decisions import placement
from savorytally.world import catalog

SERVICE = "almanac"
REGIONS = {f"{r}-{c}": r for r in ("low", "mid", "up") for c in "ab"}
SPEEDS = (0.6, 1.0, 1.4)
SLOTS = 9
LIMIT = 8
ENTRIES = 6
OFFERS_MAX = 3
AVOID_S = 0.6
# One-way delay in seconds within a data centre, a region and between regions.
DELAYS_S = (0.0005, 0.001, 0.02)
REFUSED = "refused"
# How long a call to an unreachable host takes to fail.
CONNECT_FAILS_S = 0.01


@dataclasses.dataclass(frozen=True)
class Class:
    """A class of requests.

    :param share: its share of all requests.
    :param run_s: mean time at an upstream of speed 1.
    """

    route: str
    share: float
    run_s: float
    objective_s: float
    child: bool


CLASSES = (
    Class("chained", 0.8, 0.02, 0.25, True),
    Class("page", 0.2, 0.12, 1.0, False),
)
MEAN_RUN_S = sum(item.share * item.run_s for item in CLASSES)
CENTRE_PER_S = LIMIT * sum(SPEEDS) / MEAN_RUN_S
UTILISATION = 0.75


@dataclasses.dataclass(eq=False)
class Request:
    """One request of a caller."""

    centre: str
    kind: Class
    began: float
    work_s: float
    entry: int = 0
    tried: list = dataclasses.field(default_factory=list)


class Upstream:
    """An upstream with its gate."""

    def __init__(self, instance, speed, slots):
        self.instance = instance
        self.centre = instance.data_centre
        self.speed = speed
        self.queue = gate_queue.GateQueue()
        self.queue.learn_slots(slots)
        self.down_until = 0.0
        # Rejects whatever arrives, while it reports no load.
        self.lies = False
        self.running = {}


def level(source, target):
    """Return 0 within a data centre, 1 within a region, 2 beyond it."""
    if source == target:
        return 0
    return 1 if REGIONS[source] == REGIONS[target] else 2


def wave(centre, now):
    """Return the factor on the mean load: waves through the centres."""
    phase = list(REGIONS).index(centre) / len(REGIONS)
    return 1.0 + 0.55 * math.sin(2 * math.pi * (now / 17.0 - phase))


class Replay:
    """Replays a load.

    :param factor: returns the factor on the mean load of a class in a data
        centre at a time.
    :param utilisation: mean load as a fraction of the capacity.
    :param faults: times and functions that change this object.
    :param report_jitter_s: largest random delay of a result.
    """

    def __init__(
        self,
        seed,
        factor,
        until,
        utilisation=UTILISATION,
        faults=(),
        report_jitter_s=0.0,
        entries=ENTRIES,
    ):
        self.source = random.Random(seed)
        self.until = until
        self.jitter_s = report_jitter_s
        self.events = []
        self.number = itertools.count()
        self.cut = False
        self.upstreams = {}
        for centre in REGIONS:
            for place, speed in enumerate(SPEEDS):
                name = f"{centre}{place}"
                found = catalog.Instance(
                    instance_id=name,
                    service=SERVICE,
                    address=name,
                    port=1,
                    data_centre=centre,
                    slots=SLOTS,
                    ready=True,
                    cold_s=0.0,
                )
                self.upstreams[name] = Upstream(found, speed, SLOTS)
        listed = {name: item.instance for name, item in self.upstreams.items()}
        self.entries = {}
        for centre in REGIONS:
            for number in range(entries):
                made = placement.Placement(
                    centre, REGIONS, random.Random(f"{seed}{centre}{number}")
                )
                made.learn_instances(listed, 0.0)
                self.entries[centre, number] = made
        self.requests = []
        for centre in REGIONS:
            for kind in CLASSES:
                self._arrivals(centre, kind, factor, utilisation, entries)
        self.requests.sort(key=lambda item: item.began)
        for item in self.requests:
            self.at(item.began, self._offer, item)
        for when, act in faults:
            self.at(when, act, self)
        # Response times by request, and the centres that each was sent to.
        self.response_s = {}
        self.sent = []
        self.now = 0.0
        self._play()

    def _arrivals(self, centre, kind, factor, utilisation, entries):
        now = 0.0
        mean_per_s = CENTRE_PER_S * utilisation * kind.share
        peak = 4.0
        while now < self.until:
            now += self.source.expovariate(mean_per_s * peak)
            if self.source.random() * peak < factor(centre, kind, now):
                work_s = kind.run_s * self.source.uniform(0.5, 1.5)
                self.requests.append(
                    Request(
                        centre,
                        kind,
                        now,
                        work_s,
                        self.source.randrange(entries),
                    )
                )

    def at(self, when, act, *given):
        heapq.heappush(self.events, (when, next(self.number), act, given))

    def _play(self):
        self.at(0.0, self._tick)
        while self.events and self.now < self.until + 4.0:
            self.now, _, act, given = heapq.heappop(self.events)
            act(*given)

    def _tick(self):
        for upstream in self.upstreams.values():
            for job in upstream.queue.remove_overdue(self.now):
                self._reply(upstream, job.context, REFUSED)
        if self.now < self.until + 4.0:
            self.at(self.now + 0.05, self._tick)

    def _placement(self, request):
        return self.entries[request.centre, request.entry]

    def _offer(self, request):
        if len(request.tried) >= OFFERS_MAX:
            return
        known = self._placement(request)
        found = known.choose(
            SERVICE,
            request.kind.route,
            request.tried,
            request.kind.objective_s,
            self.now,
        )
        if found is None:
            return
        name = found.instance_id
        request.tried.append(name)
        known.sent(name, self.now)
        upstream = self.upstreams[name]
        self.sent.append((self.now, request.centre, upstream.centre))
        if self._unreachable(request, upstream):
            self.at(self.now + CONNECT_FAILS_S, self._lost, request, upstream)
            return
        delay_s = DELAYS_S[level(request.centre, upstream.centre)]
        self.at(self.now + delay_s, self._arrive, request, upstream)

    def _unreachable(self, request, upstream):
        if upstream.down_until > self.now:
            return True
        return self.cut and level(request.centre, upstream.centre) == 2

    def _lost(self, request, upstream):
        known, name = self._placement(request), upstream.instance.instance_id
        known.ended(name)
        known.avoid(name, self.now + AVOID_S)
        known.record_outcome(name, False, self.now)
        self._offer(request)

    def _arrive(self, request, upstream):
        if upstream.down_until > self.now:
            self._lost(request, upstream)
            return
        if upstream.lies:
            self.at(self.now + 0.002, self._rejected, request, upstream)
            return
        kind = request.kind
        job = gate_queue.Job(
            rank=1,
            child=kind.child,
            route=kind.route,
            deadline=request.began + 3 * kind.objective_s,
            objective_s=kind.objective_s,
            context=request,
        )
        verdict = upstream.queue.offer(job, self.now)
        if verdict is gate_queue.Decision.START:
            self._start(upstream, job)
        elif verdict is gate_queue.Decision.REFUSE:
            self._reply(upstream, request, REFUSED)

    def _rejected(self, request, upstream):
        known, name = self._placement(request), upstream.instance.instance_id
        known.ended(name)
        known.record_load(name, request.kind.route, 0.002, 0, LIMIT, self.now)
        known.record_outcome(name, False, self.now)
        self._offer(request)

    def _start(self, upstream, job):
        run_s = job.context.work_s / upstream.speed
        upstream.running[job] = run_s
        self.at(self.now + run_s, self._finish, upstream, job)

    def _finish(self, upstream, job):
        run_s = upstream.running.pop(job, None)
        if run_s is None:
            return
        change = upstream.queue.finish(job, run_s, self.now)
        self._reply(upstream, job.context, run_s)
        for started in change.started:
            self._start(upstream, started)
        for dropped in change.dropped:
            self._reply(upstream, dropped.context, REFUSED)

    def take_down(self, region, until):
        """Lose all upstreams of a region, with what runs and waits there."""
        for upstream in self.upstreams.values():
            if REGIONS[upstream.centre] == region:
                self.kill(upstream, until)

    def kill(self, upstream, until):
        """Lose one upstream until the given time."""
        upstream.down_until = until
        jobs = list(upstream.running)
        upstream.running.clear()
        lost = [job.context for job in jobs + upstream.queue.clear()]
        for job in jobs:
            upstream.queue.finish(job, None, self.now)
        for request in lost:
            self.at(self.now, self._lost, request, upstream)

    def _reply(self, upstream, request, run_s):
        delay_s = DELAYS_S[level(request.centre, upstream.centre)]
        delay_s += self.source.random() * self.jitter_s
        queue = upstream.queue
        load = queue.running + queue.waiting
        self.at(
            self.now + delay_s,
            self._handle,
            upstream,
            request,
            run_s,
            load,
            queue.limit,
        )

    def _handle(self, upstream, request, run_s, load, limit):
        known, name = self._placement(request), upstream.instance.instance_id
        known.ended(name)
        ran = None if run_s is REFUSED else run_s
        known.record_load(name, request.kind.route, ran, load, limit, self.now)
        if run_s is REFUSED:
            self._offer(request)
            return
        known.record_outcome(name, True, self.now)
        self.response_s[request] = self.now - request.began

    def served(self, start=0.0):
        """Return how many requests were answered within their objective."""
        return sum(
            took_s <= request.kind.objective_s
            for request, took_s in self.response_s.items()
            if request.began >= start
        )

    def sent_beyond(self, above, start=0.0, end=1e9):
        """Return how many calls were sent beyond a level, and of how many."""
        within = [item for item in self.sent if start <= item[0] < end]
        beyond = sum(level(a, b) > above for _, a, b in within)
        return beyond, len(within)

    def lacking(self, key, groups, lost=lambda group, now: False):
        """Return how many requests exceed the capacity of their group.

        :param key: returns the group of a data centre.
        :param groups: number of data centres in each group.
        :param lost: whether a group has no capacity at a time.
        """
        work = collections.Counter()
        for item in self.requests:
            work[key(item.centre), int(item.began)] += item.work_s
        capacity = LIMIT * sum(SPEEDS) * groups
        return (
            sum(
                max(0.0, found - capacity * (not lost(group, second)))
                for (group, second), found in work.items()
            )
            / MEAN_RUN_S
        )

    def alternations(self, start=0.0):
        """Return when data centres changed between sending and taking in.

        A data centre sends out (takes in) in a quarter of a second if more
        than 3 % of its capacity leaves (arrives) on balance.
        """
        step_s = 0.25
        flows = collections.Counter()
        for when, source, target in self.sent:
            if source != target and when >= start:
                flows[source, int(when / step_s)] -= 1
                flows[target, int(when / step_s)] += 1
        least = 0.03 * CENTRE_PER_S * step_s
        found = []
        for centre in REGIONS:
            last = None
            for step in range(int(self.until / step_s)):
                flow = flows[centre, step]
                if abs(flow) <= least:
                    continue
                if (
                    last is not None
                    and (flow > 0) != (last[1] > 0)
                    and (step - last[0]) * step_s < 1.0
                ):
                    found.append((centre, step * step_s))
                last = (step, flow)
        return found


def pool_served(replay, capacity=lambda now: 1.0, start=0.0):
    """Return how many requests one pool with all the capacity serves.

    :param capacity: returns the fraction of the capacity at a time.
    """
    queue = gate_queue.GateQueue()
    full = round(LIMIT * sum(SPEEDS) * len(REGIONS))
    ends = []
    served = 0
    order = itertools.count()

    def begin(job, now):
        when = now + job.context.work_s
        heapq.heappush(ends, (when, next(order), job))

    def finish_until(until):
        nonlocal served
        while ends and ends[0][0] <= until:
            when, _, job = heapq.heappop(ends)
            item = job.context
            took_s = when - item.began
            if item.began >= start:
                served += took_s <= item.kind.objective_s
            for found in queue.finish(job, item.work_s, when).started:
                begin(found, when)

    for item in replay.requests:
        now, kind = item.began, item.kind
        finish_until(now)
        # One slot in 17 is headroom.
        limit = max(1, round(full * capacity(now)))
        queue.learn_slots(round(limit / (1 - gate_queue.HEADROOM)))
        job = gate_queue.Job(
            rank=1,
            child=kind.child,
            route=kind.route,
            deadline=now + 3 * kind.objective_s,
            objective_s=kind.objective_s,
            context=item,
        )
        if queue.offer(job, now) is gate_queue.Decision.START:
            begin(job, now)
    finish_until(1e9)
    return served
