"""A cold upstream receives no more requests than it tolerates."""

import asyncio
import bisect

from fakes import advertised
from fakes import mesh
from fakes import net
import pytest

from savorytally.dataplane import options
from savorytally.decisions import cold_rate
from savorytally.decisions import gate_queue
from savorytally.world import catalog

TERMS = catalog.ColdTerms(start_s=6.0, per_s=6.5)
BOUNDS = options.Bounds(cold_overage=1.5, cold_slack=8)
# The stated bound: 6.5 x 1.5 + 8 in any second.
BOUND = 17
LOAD_PER_S = 200
COLD_MS = "x-savorytally-cold-ms"


def max_in_second(times):
    """Return the largest number of times in any second."""
    ordered = sorted(times)
    return max(
        (
            bisect.bisect_left(ordered, at + 1.0) - first
            for first, at in enumerate(ordered)
        ),
        default=0,
    )


def instance(name="i-1", cold_s=0.0, sequence=1, started_ms=1000):
    """Return the entry of the upstream."""
    return catalog.Instance(
        instance_id=name,
        service="drawers",
        address="10.1.0.1",
        port=1,
        data_centre="low-a",
        slots=32,
        ready=True,
        cold_s=cold_s,
        started_ms=started_ms,
        sequence=sequence,
    )


def warm_rate(now=10.0, probes=True):
    """Return the bound of an upstream that is known to be warm."""
    rate = cold_rate.ColdRate(1.5, 8.0, 0.0)
    rate.learn_terms(TERMS, probes, 0.0)
    rate.learn_entry(instance(), 0.0)
    rate.learn_health("i-1", 0.0, now, now)
    assert not rate.limited(now)
    return rate


def send_all(rate, start, seconds, per_s=LOAD_PER_S, delay_s=0.0):
    """Offer requests at a constant rate; return when each is sent."""
    sent = []
    opening = []
    for step in range(int(seconds * per_s)):
        now = start + step / per_s
        while opening and opening[0] <= now:
            rate.sent(now)
            sent.append(now)
            opening.pop(0)
        if not rate.limited(now):
            rate.sent_freely(now)
            sent.append(now)
        elif rate.try_reserve(now):
            opening.append(now + delay_s)
    return sent


class TestColdRate:
    def test_load_far_above_the_bound_keeps_it_in_each_second(self):
        rate = warm_rate()
        rate.learn_entry(instance(cold_s=6.0, sequence=2), 10.0)
        sent = send_all(rate, 10.0, 5.0)
        assert max_in_second(sent) <= BOUND
        # The permitted rate is used; nothing else serves the requests.
        assert len(sent) >= 5 * TERMS.per_s

    def test_connections_that_open_late_do_not_send_together(self):
        # An upstream that was down accepts all pending connections at once.
        rate = warm_rate()
        rate.failed(10.0)
        sent = []
        reserved = 0
        for step in range(600):
            now = 10.0 + step / 200
            reserved += rate.try_reserve(now)
            if now >= 12.0 and reserved:
                rate.sent(now)
                sent.append(now)
                reserved -= 1
        assert max_in_second(sent) <= BOUND

    def test_requests_before_the_restart_count(self):
        # The upstream turns cold without an interruption of the load.
        rate = warm_rate()
        before = send_all(rate, 10.0, 1.0)
        rate.learn_entry(instance("i-2", 6.0, started_ms=2000), 11.0)
        after = send_all(rate, 11.0, 4.0)
        assert before
        assert max_in_second([before[-1], *after]) <= BOUND
        assert after[0] - before[-1] > 0.9

    def test_new_gate_sends_nothing_that_an_earlier_one_may_have_sent(self):
        rate = cold_rate.ColdRate(1.5, 8.0, 0.0)
        rate.learn_terms(TERMS, True, 0.2)
        rate.learn_health("i-1", 5.0, 0.2, 0.21)
        assert send_all(rate, 0.21, 4.0)[0] >= 1.0

    def test_gate_without_a_configuration_knows_the_slack_only(self):
        # Other hosts may send before the gate has read its configuration.
        rate = cold_rate.ColdRate(1.5, 8.0, 0.0)
        assert max_in_second(send_all(rate, 0.0, 4.0)) <= 8

    def test_new_gate_beside_a_warm_upstream_is_free_after_one_check(self):
        rate = cold_rate.ColdRate(1.5, 8.0, 0.0)
        rate.learn_terms(TERMS, True, 0.1)
        rate.learn_entry(instance(), 0.1)
        assert rate.limited(0.1)
        assert not rate.certain(0.1)
        assert rate.probe_due(0.1)
        rate.learn_health("i-1", 0.0, 0.1, 0.102)
        assert not rate.limited(0.102)

    @pytest.mark.parametrize("probes", [True, False])
    def test_new_gate_is_free_soon_without_any_statement(self, probes):
        rate = cold_rate.ColdRate(1.5, 8.0, 0.0)
        rate.learn_terms(TERMS, probes, 0.1)
        rate.learn_entry(instance(), 0.1)
        if probes:
            rate.learn_health("i-1", None, 0.1, 0.102)
            assert not rate.limited(0.102)
        assert not rate.limited(cold_rate.START_UNVERIFIED_S)

    @pytest.mark.parametrize(
        "restarted",
        [instance("i-2", 0.0), instance("i-1", 0.0, 2, started_ms=5000)],
    )
    def test_new_instance_is_cold_though_its_entry_does_not_say(
        self, restarted
    ):
        rate = warm_rate()
        rate.learn_entry(restarted, 11.0)
        assert rate.certain(11.0)
        assert rate.limited(11.0 + TERMS.start_s - 0.1)
        assert not rate.limited(11.0 + TERMS.start_s + 0.1)

    def test_returned_upstream_is_cold_though_nothing_says_so(self):
        rate = warm_rate(probes=False)
        rate.failed(11.0)
        # It is down for longer than it would be cold.
        assert rate.limited(30.0)
        rate.responded("i-1", 30.0)
        assert rate.limited(30.0 + TERMS.start_s - 0.1)
        assert not rate.limited(30.0 + TERMS.start_s + 0.1)

    def test_entry_from_before_the_outage_does_not_lift_the_bound(self):
        rate = warm_rate()
        rate.failed(11.0)
        rate.responded("i-1", 12.0)
        rate.learn_entry(instance(sequence=2), 12.1)
        assert rate.limited(12.2)
        # A later one does.
        rate.learn_entry(instance(sequence=3), 14.0)
        assert not rate.limited(14.1)

    def test_check_sent_before_the_outage_does_not_lift_the_bound(self):
        rate = warm_rate()
        rate.failed(11.0)
        rate.learn_health("i-1", 0.0, 10.9, 11.1)
        assert rate.limited(11.2)
        rate.learn_health("i-1", 0.0, 11.3, 11.31)
        assert not rate.limited(11.4)

    def test_idle_upstream_is_checked_before_a_burst(self):
        # It may have restarted while nothing was sent to it.
        rate = warm_rate()
        rate.responded("i-1", 10.0)
        rate.arrived(15.0)
        assert rate.limited(15.0)
        assert rate.probe_due(15.0)

    def test_checks_are_sparing(self):
        rate = warm_rate()
        assert not rate.probe_due(10.0)
        rate.failed(11.0)
        checks = []
        for step in range(1000):
            now = 11.0 + step / 100
            if rate.probe_due(now):
                rate.probed(now)
                checks.append(now)
        assert max_in_second(checks) <= cold_rate.PROBES_RESERVED

    @pytest.mark.parametrize("terms", [None, catalog.ColdTerms(6.0, 0.0)])
    def test_service_without_a_cold_rate_has_no_bound(self, terms):
        rate = cold_rate.ColdRate(1.5, 8.0, 0.0)
        rate.learn_terms(terms, True, 0.0)
        rate.failed(0.0)
        assert not rate.limited(0.0)
        assert not rate.probe_due(0.0)


class TestQueue:
    @staticmethod
    def job(rank, now):
        return gate_queue.Job(rank, False, "r", now + 2.0, 0.5)

    def replay(self, ranks):
        """Offer 200 requests/s to a cold upstream; return starts by rank."""
        rate = warm_rate()
        rate.learn_entry(instance(cold_s=9.0, sequence=2), 10.0)
        queue = gate_queue.GateQueue(rate)
        queue.learn_slots(32)
        started, waited_s, refused = [], [], 0

        def start(job, now):
            assert queue.sending(job, now)
            started.append((now, job.rank))
            waited_s.append(now - job.arrived)
            follow(queue.finish(job, 0.02, now), now)

        def follow(change, now):
            waited_s.extend(now - job.arrived for job in change.dropped)
            for job in change.started:
                start(job, now)

        for step in range(1000):
            now = 10.0 + step / LOAD_PER_S
            offered = self.job(ranks[step % len(ranks)], now)
            decision = queue.offer(offered, now)
            if decision is gate_queue.Decision.START:
                start(offered, now)
            elif decision is gate_queue.Decision.REFUSE:
                refused += 1
            follow(queue.advance(now), now)
        return started, waited_s, refused

    def test_urgent_requests_get_the_permitted_rate(self):
        started, _, _ = self.replay([2] * 19 + [0])
        urgent = [at for at, rank in started if rank == 0]
        # 10 urgent requests a second fit within the bound.
        assert len(urgent) >= 0.95 * 50
        assert max_in_second([at for at, _ in started]) <= BOUND

    def test_requests_do_not_wait_out_their_budget(self):
        _, waited_s, refused = self.replay([1])
        assert max(waited_s) <= gate_queue.COLD_WAIT_MAX_S + 1e-6
        assert refused > 500

    def test_reported_limit_and_load_deter_other_hosts(self):
        rate = warm_rate()
        queue = gate_queue.GateQueue(rate)
        queue.learn_slots(32)
        assert queue.reported_load(10.0) == (0, queue.limit)
        rate.learn_entry(instance(cold_s=9.0, sequence=2), 10.0)
        for _ in range(30):
            queue.offer(self.job(1, 10.0), 10.0)
        load, limit = queue.reported_load(10.0)
        assert limit < queue.limit
        assert load > limit


class Load(advertised.Load):
    """Load of different requests; equal ones would count as poison."""

    async def _send(self, host):
        self._target = f"/drawers/{self._random.random()}"
        await super()._send(host)


class Traffic:
    """Load on a mesh, with the time of each request to each upstream.

    Requests for another instance (421) count towards nothing; health checks
    count.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.load = Load(cluster)
        self.at = {host.address: [] for host in cluster.hosts}
        for host in cluster.hosts:
            self.watch(host)

    def watch(self, host):
        loop = asyncio.get_running_loop()
        seen = self.at[host.address]
        upstream = host.upstream
        write = upstream.write

        def note(name, ran, headers):
            seen.append(loop.time())

        def note_checks(connection, answer):
            if connection.target == b"/healthz":
                seen.append(loop.time())
            write(connection, answer)

        upstream.observed = note
        upstream.write = note_checks

    def max_since(self, host, since):
        return max_in_second(
            [at for at in self.at[host.address] if at >= since]
        )


def cold_configuration(**terms):
    """Return a configuration whose service has cold upstreams."""
    return mesh.configuration(
        1,
        services={
            "drawers": {
                "health_path": "/healthz",
                "cold_start": "6s",
                "cold_per_s": 6.5,
                **terms,
            }
        },
    )


def run_scenario(scenario, places=("low-a", "low-a", "low-b"), **terms):
    """Run a scenario on a mesh whose service bounds cold upstreams."""

    async def work():
        cluster = mesh.Mesh()
        await cluster.start(
            {"drawers": list(places)},
            slots=32,
            config=cold_configuration(**terms),
            bounds=BOUNDS,
        )
        traffic = Traffic(cluster)
        await traffic.load.run(50, 3.5)
        return await scenario(cluster, traffic)

    return net.run(work)


class ColdClock:
    """States in health responses how long the upstream remains cold."""

    def __init__(self, host, for_s):
        self.until = asyncio.get_running_loop().time() + for_s
        write = host.upstream.write

        def stated(connection, answer):
            if connection.target == b"/healthz":
                left_s = self.until - asyncio.get_running_loop().time()
                text = f"{COLD_MS}: {max(0, int(left_s * 1000))}\r\n\r\n"
                answer = answer.replace(b"\r\n\r\n", b"\r\n" + text.encode())
            write(connection, answer)

        host.upstream.write = stated


async def stop_upstream(cluster, host):
    """Stop an upstream: its connections end, new ones are refused."""
    loop = asyncio.get_running_loop()
    server = loop.net.servers.pop((host.address, mesh.UPSTREAM_PORT))
    loop.net.reset(host.address, mesh.UPSTREAM_PORT)
    return server


class TestMesh:
    @pytest.mark.parametrize("stated", [True, False])
    def test_upstreams_that_return_together_stay_within_the_bound(
        self, stated
    ):
        # A data centre's upstreams go down for two seconds and return cold.
        async def scenario(cluster, traffic):
            loop = asyncio.get_running_loop()
            hosts = [h for h in cluster.hosts if h.place == "low-a"]
            load = asyncio.ensure_future(traffic.load.run(LOAD_PER_S, 9.0))
            await asyncio.sleep(1)
            servers = [await stop_upstream(cluster, h) for h in hosts]
            await asyncio.sleep(2)
            back_at = loop.time()
            for host, server in zip(hosts, servers, strict=True):
                loop.net.servers[host.address, mesh.UPSTREAM_PORT] = server
                if stated:
                    ColdClock(host, 6.0)
            await load
            busiest = [
                max_in_second(
                    [
                        at
                        for at in traffic.at[host.address]
                        if back_at <= at < back_at + 6.0
                    ]
                )
                for host in hosts
            ]
            counts = [
                sum(at >= back_at for at in traffic.at[host.address])
                for host in hosts
            ]
            late = traffic.load.served_fraction(back_at + 1)
            return busiest, counts, late

        busiest, counts, late = run_scenario(scenario)
        assert max(busiest) <= BOUND
        # They get some, and the other data centre, which has room, the rest.
        assert min(counts) > 0
        assert late >= 0.95

    def test_service_that_is_cold_as_a_whole_serves_at_its_rate(self):
        # No other upstream can serve the load.
        async def scenario(cluster, traffic):
            loop = asyncio.get_running_loop()
            load = asyncio.ensure_future(traffic.load.run(LOAD_PER_S, 8.0))
            await asyncio.sleep(1)
            servers = [await stop_upstream(cluster, h) for h in cluster.hosts]
            await asyncio.sleep(1)
            back_at = loop.time()
            for host, server in zip(cluster.hosts, servers, strict=True):
                loop.net.servers[host.address, mesh.UPSTREAM_PORT] = server
            await load
            return [
                [at for at in traffic.at[h.address] if 0 <= at - back_at < 6]
                for h in cluster.hosts
            ]

        for times in run_scenario(scenario):
            assert max_in_second(times) <= BOUND
            assert len(times) >= 6 * TERMS.per_s

    @pytest.mark.parametrize("stated", [True, False])
    def test_gate_restart_keeps_the_bound(self, stated):
        async def scenario(cluster, traffic):
            loop = asyncio.get_running_loop()
            host = cluster.hosts[0]
            if stated:
                ColdClock(host, 8.0)
            value = {**host.entry(32, sequence=9), "cold_remaining": "8s"}
            cluster.store.put(host.key, value)
            await asyncio.sleep(1.0)
            since = loop.time()
            load = asyncio.ensure_future(traffic.load.run(LOAD_PER_S, 6.0))
            for _ in range(3):
                await asyncio.sleep(1.3)
                traffic.load.down = {host.address}
                await host.restart_node(bounds=BOUNDS)
                traffic.load.down = set()
            await load
            return traffic.max_since(host, since)

        assert run_scenario(scenario) <= BOUND

    def test_upstream_restarted_beside_its_node_stays_within_the_bound(self):
        # A new instance at the same address, first seen as a 421 response.
        async def scenario(cluster, traffic):
            loop = asyncio.get_running_loop()
            host = cluster.hosts[0]
            load = asyncio.ensure_future(traffic.load.run(LOAD_PER_S, 6.0))
            await asyncio.sleep(1)
            loop.net.reset(host.address, mesh.UPSTREAM_PORT)
            cluster.store.delete(host.key)
            host.instance_id = host.upstream.instance_id = "i-new"
            since = loop.time()
            await asyncio.sleep(0.8)
            value = {**host.entry(32), "cold_remaining": "5s"}
            cluster.store.put(host.key, value)
            await load
            return (
                traffic.max_since(host, since),
                sum(at > since + 1 for at in traffic.at[host.address]),
            )

        busiest, count = run_scenario(scenario)
        assert busiest <= BOUND
        assert count > 0

    def test_end_of_an_evacuation_starts_within_the_bound(self):
        async def scenario(cluster, traffic):
            loop = asyncio.get_running_loop()
            hosts = [h for h in cluster.hosts if h.place == "low-a"]
            cluster.store.put("op/evacuate/low-a", {})
            await asyncio.sleep(5)
            load = asyncio.ensure_future(traffic.load.run(LOAD_PER_S, 6.0))
            await asyncio.sleep(1)
            since = loop.time()
            cluster.store.delete("op/evacuate/low-a")
            await load
            return [traffic.max_since(host, since) for host in hosts]

        assert max(run_scenario(scenario)) <= BOUND

    def test_new_gate_beside_a_warm_upstream_gives_it_its_share(self):
        async def scenario(cluster, traffic):
            loop = asyncio.get_running_loop()
            host = cluster.hosts[0]
            ColdClock(host, 0.0)
            await host.restart_node(bounds=BOUNDS)
            await asyncio.sleep(0.5)
            since = loop.time()
            await traffic.load.run(LOAD_PER_S, 3.0)
            return sum(at > since for at in traffic.at[host.address])

        # A third of the load is 200; the bound would leave 50.
        assert run_scenario(scenario) >= 100

    def test_service_without_a_cold_rate_is_not_limited_or_checked(self):
        async def scenario(cluster, traffic):
            loop = asyncio.get_running_loop()
            host = cluster.hosts[0]
            server = await stop_upstream(cluster, host)
            await asyncio.sleep(1)
            loop.net.servers[host.address, mesh.UPSTREAM_PORT] = server
            since = loop.time()
            await traffic.load.run(LOAD_PER_S, 4.0)
            reason = host.node.gate.queue.cold.reason(loop.time())
            return (
                sum(at > since for at in traffic.at[host.address]),
                reason,
            )

        count, reason = run_scenario(scenario, cold_per_s=0)
        assert reason is cold_rate.Reason.NONE
        assert count > 4 * BOUND
