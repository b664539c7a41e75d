"""Ramp-up of an upstream's limit after a start or a recovery."""

import asyncio
import heapq
import random

from fakes import mesh
from fakes import net
import pytest
import test_cold_rate

from savorytally.decisions import gate_queue
from savorytally.decisions import start_pace

SLOTS = 34
OBJECTIVE_S = 0.5
TIMEOUT_S = 1.0
WORK_S = 0.05
# The stated time within which a fast upstream gets its full share.
FULL_WITHIN_S = 2.0


class Replay:
    """A gate's queue in front of a simulated upstream.

    :param run_s: returns the run time of a request from its start time, the
        requests that are running and its work in seconds.
    :param per_s: rate of requests.
    :param works_s: works of requests, drawn at random.
    """

    def __init__(self, run_s, per_s=600.0, works_s=(WORK_S,), begin=True):
        self.queue = gate_queue.GateQueue()
        self.queue.learn_slots(SLOTS)
        self.full = self.queue.limit
        self.run_s = run_s
        self.per_s = per_s
        self.works_s = works_s
        self.random = random.Random(3)
        self.now = 0.0
        self.ends = []
        # Start and run time of each request, and the limit over time.
        self.ran = []
        self.limits = []
        self.max_running = 0
        self.rejects = lambda now, running: False
        if begin:
            self.queue.pace.begin(0.0)

    def run(self, until):
        """Replay requests until a time."""
        while self.now < until:
            self.now += self.random.expovariate(self.per_s)
            self._finish(self.now)
            self.queue.remove_overdue(self.now)
            job = gate_queue.Job(
                1, False, "r", self.now + TIMEOUT_S, OBJECTIVE_S
            )
            if self.queue.offer(job, self.now) is gate_queue.Decision.START:
                self._start(job, self.now)
            self.limits.append((self.now, self.queue.limit))
        return self

    def _start(self, job, now):
        self.max_running = max(self.max_running, self.queue.running)
        if self.rejects(now, self.queue.running):
            self.queue.pace.rejected(self.queue.running, now)
            self.queue.finish(job, None, now)
            return
        work_s = self.random.choice(self.works_s)
        run_s = self.run_s(now, self.queue.running, work_s)
        self.ran.append((now, run_s))
        heapq.heappush(self.ends, (now + run_s, id(job), job, run_s))

    def _finish(self, until):
        while self.ends and self.ends[0][0] <= until:
            now, _, job, run_s = heapq.heappop(self.ends)
            for waiting in self.queue.finish(job, run_s, now).started:
                self._start(waiting, now)

    def limit_at(self, at):
        return [limit for when, limit in self.limits if when <= at][-1]

    def max_limit(self, since, until):
        return max(
            limit for when, limit in self.limits if since <= when <= until
        )


def steady(now, running, work_s):
    return work_s


def shares(parallel):
    """Return the run times of an upstream that runs few requests at once."""
    return lambda now, running, work_s: work_s * max(1, running / parallel)


class TestStartPace:
    @pytest.mark.parametrize("work_s", [0.005, 0.05, 0.2, 0.3])
    def test_fast_upstream_gets_its_full_share(self, work_s):
        replay = Replay(steady, 2 * 32 / work_s, (work_s,))
        replay.run(FULL_WITHIN_S)
        assert replay.limits[0][1] == 1
        assert replay.limit_at(FULL_WITHIN_S) == replay.full

    @pytest.mark.parametrize("parallel", [1, 2, 4])
    def test_slow_upstream_holds_no_more_than_it_answers_in_time(
        self, parallel
    ):
        # For four seconds it runs few requests at once.
        slow = shares(parallel)

        def run_s(now, running, work_s):
            return slow(now, running, work_s) if now < 4.0 else work_s

        replay = Replay(run_s).run(4.0 + FULL_WITHIN_S)
        late = [ran for at, ran in replay.ran if ran > TIMEOUT_S]
        assert not late
        most = OBJECTIVE_S / WORK_S * parallel
        assert replay.max_limit(0.0, 4.0) <= most
        assert replay.limit_at(4.0 + FULL_WITHIN_S) == replay.full

    def test_upstream_that_is_slow_at_any_load_is_not_left_idle(self):
        # Three times slower than before its restart, but not because of load.
        replay = Replay(steady, begin=False).run(2.0)
        replay.queue.pace.begin(2.0)
        replay.run_s = lambda now, running, work_s: 3.0 * work_s
        replay.run(5.0)
        assert replay.limit_at(5.0) >= replay.full / 2

    def test_upstream_that_turns_slow_again_is_given_less(self):
        def run_s(now, running, work_s):
            return shares(2)(now, running, work_s) if now > 1.0 else work_s

        replay = Replay(run_s).run(5.0)
        assert replay.limit_at(1.0) == replay.full
        late = [at for at, ran in replay.ran if ran > TIMEOUT_S]
        assert not [at for at in late if at > 2.0]
        assert replay.limit_at(3.0) <= OBJECTIVE_S / WORK_S * 2

    def test_flapping_upstream_does_not_get_its_full_share_at_once(self):
        replay = Replay(steady)
        for flap in range(1, 5):
            replay.run(flap * 0.5)
            replay.queue.pace.failed()
            replay.queue.pace.responded(replay.now)
            assert replay.queue.limit == 1
        # The rise is slower than that of an upstream that started once.
        once = Replay(steady).run(0.3).limit_at(0.3)
        replay.run(2.3)
        assert replay.limit_at(2.3) < once
        replay.run(2.3 + FULL_WITHIN_S)
        assert replay.limit_at(replay.now) == replay.full

    def test_few_requests_are_no_evidence(self):
        replay = Replay(steady, per_s=4.0).run(20.0)
        assert replay.limit_at(20.0) <= 2 * replay.max_running
        assert replay.limit_at(20.0) < replay.full

    def test_burst_after_few_requests_is_served_soon(self):
        replay = Replay(steady, per_s=4.0).run(10.0)
        replay.per_s = 600.0
        replay.run(10.0 + FULL_WITHIN_S)
        assert replay.limit_at(replay.now) == replay.full

    def test_requests_of_unequal_length_do_not_stop_the_rise(self):
        works_s = (0.01,) * 8 + (0.1, 0.3)
        replay = Replay(steady, 1200.0, works_s).run(FULL_WITHIN_S)
        assert replay.limit_at(FULL_WITHIN_S) == replay.full

    @pytest.mark.parametrize("seed", range(4))
    def test_long_requests_among_typical_ones_do_not_hold_the_limit(
        self, seed
    ):
        # Three in a hundred requests take seven times as long and are late.
        # A ramp-up that took them for a slow upstream refused a third of the
        # requests on a day without faults.
        lengths = random.Random(seed)
        works_s = [lengths.lognormvariate(-2.3, 0.5) for _ in range(97)]
        works_s += [0.7] * 3
        replay = Replay(steady, 700.0, works_s).run(FULL_WITHIN_S)
        assert replay.limit_at(FULL_WITHIN_S) == replay.full

    def test_rejections_hold_the_limit(self):
        # The upstream has room for eight and says so.
        def rejects(now, running):
            return running > 8

        replay = Replay(steady)
        replay.rejects = rejects
        replay.run(3.0)
        assert replay.max_limit(1.0, 3.0) <= 16

    def test_upstream_without_a_ramp_up_keeps_its_limit(self):
        replay = Replay(steady, begin=False).run(1.0)
        assert {limit for _, limit in replay.limits} == {replay.full}

    def test_ramp_up_ends_after_some_time_at_the_full_limit(self):
        replay = Replay(steady).run(1.0 + start_pace.SETTLED_S)
        assert not replay.queue.pace.active
        assert replay.queue.pace.reason is start_pace.Reason.NONE

    def test_callees_shared_by_upstreams_that_return_are_not_overloaded(self):
        # Eight upstreams return at once; what they call runs 16 at once.
        replays = [Replay(steady, per_s=200.0) for _ in range(8)]

        def run_s(now, running, work_s):
            total = sum(item.queue.running for item in replays)
            return work_s * max(1.0, total / 16)

        for item in replays:
            item.run_s = run_s
        for step in range(1, 400):
            for item in replays:
                item.run(step * 0.01)
        slow = [ran for item in replays for _, ran in item.ran]
        assert max(slow) <= TIMEOUT_S
        assert sum(ran > OBJECTIVE_S for ran in slow) <= 0.01 * len(slow)


SERVICES = {"drawers": {"health_path": "/healthz", "cold_start": "3s"}}


def run_scenario(scenario, services=SERVICES, ramp_up=True):
    """Run a scenario on a started mesh without a cold rate."""

    async def work():
        cluster = mesh.Mesh()
        config = mesh.configuration(1, services=services)
        places = {"drawers": ["low-a", "low-a"]}
        await cluster.start(places, slots=32, config=config, ramp_up=ramp_up)
        return await scenario(cluster)

    return net.run(work)


class TestMesh:
    def test_new_gate_beside_a_warm_upstream_has_the_full_limit(self):
        async def scenario(cluster):
            host = cluster.hosts[0]
            await asyncio.sleep(2)
            await host.restart_node(ramp_up=True)
            await asyncio.sleep(0.2)
            return host.node.gate.queue

        queue = run_scenario(scenario)
        assert not queue.pace.active
        assert queue.limit == 30

    def test_ramp_up_needs_the_setting_and_a_cold_start(self):
        # Deployments that ask for none are served as before.
        async def scenario(cluster):
            host = cluster.hosts[0]
            host.instance_id = host.upstream.instance_id = "i-new"
            cluster.store.delete("servers/i-1")
            cluster.store.put(host.key, host.entry(32))
            await asyncio.sleep(1)
            return host.node.gate.queue.pace.active

        assert run_scenario(scenario)
        assert not run_scenario(scenario, {})
        assert not run_scenario(scenario, ramp_up=False)

    def test_lost_response_does_not_start_a_ramp_up(self):
        # The only open connection was reset instead of a response, as if the
        # upstream had restarted.
        async def scenario(cluster):
            cluster.store.delete(cluster.hosts[1].key)
            await asyncio.sleep(1)
            host = cluster.hosts[0]
            host.upstream.fault = lambda connection, name, answer: (
                connection.transport.abort()
            )
            await cluster.send(host)
            host.upstream.fault = None
            await cluster.send(host)
            return host.node.gate.queue.pace.active

        assert not run_scenario(scenario)

    def test_replaced_and_returned_upstreams_ramp_up(self):
        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            replaced, returned = cluster.hosts
            load = test_cold_rate.Load(cluster)
            running = asyncio.ensure_future(load.run(100, 8))
            await asyncio.sleep(1)
            replaced.instance_id = replaced.upstream.instance_id = "i-new"
            cluster.store.delete("servers/i-1")
            cluster.store.put(replaced.key, replaced.entry(32))
            await asyncio.sleep(0.001)
            server = await test_cold_rate.stop_upstream(cluster, returned)
            await asyncio.sleep(1)
            loop.net.servers[returned.address, mesh.UPSTREAM_PORT] = server
            back_at = loop.time()
            began = set()
            while not running.done():
                await asyncio.sleep(0.02)
                began |= {
                    host.address
                    for host in cluster.hosts
                    if host.node.gate.queue.pace.active
                }
            late = load.served_fraction(back_at + 1)
            metrics = returned.node.counts.render().decode()
            return len(began), late, metrics

        began, served, metrics = run_scenario(scenario)
        assert began == 2
        assert served >= 0.99
        assert "savorytally_ramp_up_limit" in metrics
        assert "savorytally_ramp_up_held" in metrics
