"""Upstreams of one service that differ in speed."""

import heapq
import random

import pytest

from savorytally.decisions import gate_queue
from savorytally.decisions import placement
from savorytally.world import catalog

SPEEDS = {"half": 0.5, "usual": 1.0, "fast": 1.5}
SLOTS = 20
RUN_S = 0.05
OBJECTIVE_S = 0.5


def instance(name, **changes):
    """Return an upstream of the service almanac."""
    given = {
        "instance_id": name,
        "service": "almanac",
        "address": name,
        "port": 1,
        "data_centre": "low-a",
        "slots": SLOTS,
        "ready": True,
        "cold_s": 0.0,
    }
    return catalog.Instance(**{**given, **changes})


class Replay:
    """Nodes that send a steady load to gates before unequal upstreams.

    :param load: arrivals as a fraction of what all upstreams can serve.
    :param nodes: number of nodes that send it.
    :param spread: run times vary by this fraction in both directions.
    """

    def __init__(self, seed, load, nodes=4, seconds=12.0, spread=0.5):
        source = random.Random(seed)
        self.nodes = []
        for _ in range(nodes):
            known = placement.Placement(
                "low-a", {"low-a": "low"}, random.Random(source.random())
            )
            known.learn_instances({n: instance(n) for n in SPEEDS}, 0.0)
            self.nodes.append(known)
        self.queues = {name: gate_queue.GateQueue() for name in SPEEDS}
        for queue in self.queues.values():
            queue.learn_slots(SLOTS)
        self.source, self.spread = source, spread
        self.runs = dict.fromkeys(SPEEDS, 0)
        self.took_s = []
        self.refused = 0
        self.ends = []
        self.count = 0
        limit = self.queues["usual"].limit
        per_s = load * limit * sum(SPEEDS.values()) / RUN_S
        now = 0.0
        # The first second, in which nodes learn the speeds, does not count.
        while now < seconds:
            now += source.expovariate(per_s)
            self.finish(now)
            self.arrive(source.choice(self.nodes), now)

    def arrive(self, known, now):
        found = known.choose("almanac", "r", (), OBJECTIVE_S, now)
        name = found.instance_id
        known.sent(name, now)
        job = gate_queue.Job(
            1, False, "r", now + 1.0, OBJECTIVE_S, (known, name)
        )
        verdict = self.queues[name].offer(job, now)
        if verdict is gate_queue.Decision.START:
            self.start(job, now)
        elif verdict is gate_queue.Decision.REFUSE:
            self.refused += 1
            self.result(job, None, now)

    def start(self, job, now):
        _, name = job.context
        self.runs[name] += now > 1.0
        ran_s = RUN_S / SPEEDS[name]
        ran_s *= self.source.uniform(1 - self.spread, 1 + self.spread)
        self.count += 1
        heapq.heappush(self.ends, (now + ran_s, self.count, job, ran_s))

    def result(self, job, ran_s, now):
        known, name = job.context
        queue = self.queues[name]
        load = queue.running + queue.waiting
        known.ended(name)
        known.record_load(name, "r", ran_s, load, queue.limit, now)

    def finish(self, until):
        while self.ends and self.ends[0][0] <= until:
            now, _, job, ran_s = heapq.heappop(self.ends)
            self.took_s.append(now - job.arrived)
            self.result(job, ran_s, now)
            change = self.queues[job.context[1]].finish(job, ran_s, now)
            for started in change.started:
                self.start(started, now)
            for dropped in change.dropped:
                self.refused += 1
                self.result(dropped, None, now)

    def shares(self):
        """Return each upstream's share, relative to that by its speed."""
        total = sum(self.runs.values())
        speed = sum(SPEEDS.values())
        return {
            name: self.runs[name] / total / (SPEEDS[name] / speed)
            for name in SPEEDS
        }


class TestShares:
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("load", [0.3, 0.6, 0.9])
    @pytest.mark.parametrize("nodes", [1, 12])
    def test_shares_follow_speed(self, seed, load, nodes):
        # A fast upstream that gets all requests until it is full works at its
        # knee while the others are idle.
        shares = Replay(seed, load, nodes).shares()
        assert all(0.9 <= share <= 1.1 for share in shares.values()), shares
