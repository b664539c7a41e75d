"""A deep overload observed by many entries with few samples each."""

import heapq
import random

import pytest

from savorytally.decisions import backpressure
from savorytally.decisions import gate_queue
from savorytally.decisions import shared_waits

ENTRIES = 24
CALLS = 4
RUN_S = 0.05
SLOTS = 9
# Pages per second that the deep service has capacity for.
ROOM_PER_S = (SLOTS - 1) / RUN_S / CALLS
CALL_BUDGET_S = 0.7
OBJECTIVE_S = 1.5
SHARE_S = 0.2
PAGE = ("page", 0)
SEEDS = range(3)


class Page:
    """A page request, which makes sequential calls to one service."""

    def __init__(self, entry, began):
        self.entry = entry
        self.began = began
        self.waits = []


class Load:
    """Entries that offer pages whose calls all go to one overloaded service.

    :param pooled: whether hosts share the waits that they observe, including
        those of single calls.
    """

    def __init__(self, seed, pooled):
        self.source = random.Random(seed)
        self.pooled = pooled
        self.queue = gate_queue.GateQueue()
        self.queue.learn_slots(SLOTS)
        self.entries = [backpressure.Backpressure() for _ in range(ENTRIES)]
        self.hub = shared_waits.SharedWaits()
        self.events = []
        self.number = 0
        self.served = self.failed = 0

    def at(self, when, act, *given):
        self.number += 1
        heapq.heappush(self.events, (when, self.number, act, given))

    def play(self, factor, until):
        """Offer a load of ``factor`` times the capacity."""
        now = 0.0
        while now < until:
            now += self.source.expovariate(ROOM_PER_S * factor)
            self.at(now, self.arrive)
        for step in range(int(until / SHARE_S)):
            self.at(step * SHARE_S, self.share)
        while self.events:
            now, _, act, given = heapq.heappop(self.events)
            act(now, *given)
        return self.served, self.failed

    def share(self, now):
        if not self.pooled:
            return
        for entry in self.entries:
            self.hub.merge(entry.waits.take_samples(), now)
        for entry in self.entries:
            entry.waits.apply_means(self.hub.means(now), now)

    def arrive(self, now):
        entry = self.source.choice(self.entries)
        draw = self.source.random()
        if not entry.refuses(PAGE, OBJECTIVE_S, False, draw, now):
            self.call(now, Page(entry, now))

    def call(self, now, page):
        job = gate_queue.Job(
            0, True, "lookup", now + CALL_BUDGET_S, CALL_BUDGET_S, page
        )
        verdict = self.queue.offer(job, now)
        if verdict is gate_queue.Decision.START:
            self.start(now, job)
        elif verdict is gate_queue.Decision.REFUSE:
            self.drop(now, job)

    def start(self, now, job):
        job.context.waits.append(now - job.arrived)
        if self.pooled:
            # The page may run on any host.
            host = self.source.choice(self.entries)
            host.note(PAGE, (now - job.arrived) * CALLS, now)
        run_s = self.source.uniform(0.5, 1.5) * RUN_S
        self.at(now + run_s, self.end, job, run_s)

    def end(self, now, job, run_s):
        change = self.queue.finish(job, run_s, now)
        for late in change.dropped:
            self.drop(now, late)
        for started in change.started:
            self.start(now, started)
        page = job.context
        if len(page.waits) < CALLS:
            self.call(now, page)
            return
        page.entry.note(PAGE, sum(page.waits), now)
        self.served += now - page.began <= OBJECTIVE_S

    def drop(self, now, job):
        page = job.context
        waited_s = max(now - job.arrived, self.queue.wait_s(0, True, now))
        page.entry.note(PAGE, sum(page.waits) + waited_s, now)
        self.failed += 1


class TestDeepOverload:
    @pytest.mark.parametrize("factor", [1.3, 2.0, 3.0])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_deep_service_works_on_pages_that_complete(self, seed, factor):
        """Each entry sees only 1.7 pages per second and free capacity."""
        until = 30.0
        served, failed = Load(seed, True).play(factor, until)
        assert served > 0.95 * ROOM_PER_S * until
        assert failed < 0.01 * served

    @pytest.mark.parametrize("seed", SEEDS)
    def test_hosts_without_shared_waits_serve_less(self, seed):
        served, failed = Load(seed, False).play(2.0, 30.0)
        assert served < 0.5 * ROOM_PER_S * 30.0
        assert failed > 0.05 * ROOM_PER_S * 30.0

    @pytest.mark.parametrize("seed", SEEDS)
    def test_refusals_end_soon_after_the_overload(self, seed):
        load = Load(seed, True)
        load.play(3.0, 10.0)
        draws = [load.source.random() for _ in range(100)]
        refused = sum(
            load.entries[0].refuses(PAGE, OBJECTIVE_S, False, draw, 13.5)
            for draw in draws
        )
        assert refused == 0

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_is_refused_without_an_overload(self, seed):
        load = Load(seed, True)
        served, failed = load.play(0.7, 30.0)
        assert failed == 0
        assert served > 0.95 * 0.7 * ROOM_PER_S * 30.0


class TestSharedWaits:
    def test_only_the_kind_that_waits_is_refused(self):
        """Urgent requests wait less downstream than others on the route."""
        pressure = backpressure.Backpressure()
        for _ in range(20):
            pressure.note(("page", 18), 1.0, 0.0)
            pressure.note(("page", 2), 0.0, 0.0)
        assert pressure.refuses(("page", 18), 1.0, False, 0.5, 0.0)
        assert not pressure.refuses(("page", 2), 1.0, False, 0.0, 0.0)

    def test_hosts_without_waits_report_nothing(self):
        waits = shared_waits.SharedWaits()
        waits.add(PAGE, 0.0, 0.0)
        assert waits.take_samples() == {}
        assert waits.means(0.0) == {}

    def test_end_of_waits_is_reported(self):
        waits = shared_waits.SharedWaits()
        waits.apply_means({PAGE: 0.5}, 0.0)
        waits.add(PAGE, 0.0, 0.1)
        assert waits.take_samples() == {PAGE: shared_waits.Samples(1, 0.0)}

    def test_received_mean_decays_without_updates(self):
        waits = shared_waits.SharedWaits()
        waits.apply_means({PAGE: 0.5}, 0.0)
        assert waits.value_s(PAGE, 0.0) == 0.5
        assert waits.value_s(PAGE, 4.0) < 0.01
