"""Nodes obey what upstreams advertise in their responses."""

import asyncio
import typing

from fakes import advertised
from fakes import chain
from fakes import mesh
from fakes import net
from fakes import virtual_loop
import pytest

from savorytally import settings
from savorytally.decisions import advertised_state

SERVICES = {"drawers": ["low-a", "low-b", "up-a"], "desk": ["low-a", "up-a"]}
LAST = {"drawers": ["low-a"], "desk": ["low-a", "up-a"]}
HEALTH = {
    "services": {
        name: {"health_path": "/healthz"} for name in ("drawers", "desk")
    }
}


def run_scenario(scenario, services=SERVICES, **changes):
    """Run a scenario on a started mesh."""

    async def work():
        cluster = mesh.Mesh()
        changes.setdefault("config", mesh.configuration(1, **HEALTH))
        await cluster.start(services, **changes)
        return await scenario(cluster)

    return net.run(work)


def hosts_of(cluster, service_name="drawers"):
    """Return the hosts of a service."""
    return [
        host for host in cluster.hosts if host.service_name == service_name
    ]


def now():
    """Return the loop's time."""
    return asyncio.get_running_loop().time()


async def kill(cluster, host):
    """Kill a node, without a graceful stop."""
    host.node._store_watch.stop()
    for task in host.node._tasks:
        task.cancel()
    for server in host.node._servers:
        server.close()
    for (address, port), ends in list(cluster.net.open.items()):
        if address == host.address and port != mesh.UPSTREAM_PORT:
            for end in ends:
                end.abort()
    host.node._upstream.close()
    host.node.peers.close()
    await asyncio.sleep(0.01)


class TestLimit:
    @pytest.mark.parametrize("limit_per_s", [0.2, 2.6, 7.6, 60.0])
    def test_upstream_gets_no_more_than_its_advertised_limit(
        self, limit_per_s
    ):
        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            arrivals = advertised.Arrivals(limited)
            load = advertised.Load(cluster)
            limited.advertised_headers[advertised.LIMIT] = str(limit_per_s)
            began = now()
            await load.run(200, 12)
            return arrivals.max_in_window(
                began + advertised.TOUCH_S
            ), load.served_fraction(began + 3)

        most, served = run_scenario(scenario)
        assert most <= advertised.allowed_requests(limit_per_s)
        # The other upstreams have free capacity.
        assert served > 0.99

    @pytest.mark.parametrize("limit_per_s", [2.6, 7.6])
    def test_all_upstreams_of_a_service_advertise_limits(self, limit_per_s):
        async def scenario(cluster):
            arrivals = [
                advertised.Arrivals(host.upstream)
                for host in hosts_of(cluster)
            ]
            for host in hosts_of(cluster):
                host.upstream.advertised_headers[advertised.LIMIT] = str(
                    limit_per_s
                )
            load = advertised.Load(cluster)
            began = now()
            await load.run(100, 12)
            most = [
                item.max_in_window(began + advertised.TOUCH_S)
                for item in arrivals
            ]
            return most, load, set().union(*(item.ran for item in arrivals))

        most, load, ran = run_scenario(scenario)
        assert max(most) <= advertised.allowed_requests(limit_per_s)
        assert set(load.statuses()) == {200, 503}
        refused = [item for item in load.sent if item.status == 503]
        assert not ran & {item.name for item in refused}
        assert all(item.retry_after_s for item in refused)
        # Most of what the limits allow is used.
        assert load.statuses()[200] >= 0.8 * 3 * limit_per_s * 12

    def test_retry_after_follows_from_the_limit(
        self,
    ):
        async def scenario(cluster):
            for host in hosts_of(cluster):
                host.upstream.advertised_headers[advertised.LIMIT] = "0.5"
            load = advertised.Load(cluster)
            await load.run(20, 8)
            return [
                item.retry_after_s
                for item in load.sent
                if item.status == 503 and item.at > 3.0
            ]

        waits_s = run_scenario(scenario)
        assert sum(waits_s) / len(waits_s) > 0.4

    def test_chains_ending_in_a_limit_are_refused_at_their_top(self):
        services = {
            "drawers": ["low-a", "low-b"],
            "desk": ["low-a"],
            "ledger": ["low-a", "low-b"],
        }
        config = mesh.configuration(1, **HEALTH)
        config["routes"]["r-ledger"] = mesh.route("ledger", auth_exempt=True)

        async def scenario(cluster):
            for host in hosts_of(cluster):

                async def calls(headers, host=host):
                    left_ms = int(headers["x-savorytally-deadline-ms"])
                    reply = await cluster.send(
                        host,
                        "/ledger/1",
                        key=None,
                        remaining_ms=min(left_ms, 700),
                    )
                    return 200 if reply.status == 200 else 500

                host.upstream.calls = calls
            for host in hosts_of(cluster, "ledger"):
                host.upstream.advertised_headers[advertised.LIMIT] = "5"
            load = advertised.Load(cluster)
            began = now()
            await load.run(60, 12)
            return [item.status for item in load.sent if item.at > began + 2]

        statuses = run_scenario(scenario, services, config=config)
        # Ten of sixty requests per second can be served.
        assert statuses.count(200) >= 0.7 * 10 * 10
        assert statuses.count(500) <= 0.15 * len(statuses)
        assert set(statuses) <= {200, 500, 503}

    def test_limit_of_zero_admits_only_trial_requests(self):
        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            arrivals = advertised.Arrivals(limited)
            load = advertised.Load(cluster)
            limited.advertised_headers[advertised.LIMIT] = "0"
            began = now()
            await load.run(100, 12)
            limited.advertised_headers.clear()
            lifted = now()
            await load.run(100, 12)
            return (
                arrivals.count_between(began + advertised.TOUCH_S, lifted),
                arrivals.count_between(lifted + 7, lifted + 12),
                load.served_fraction(began + 3),
            )

        trials, later, served = run_scenario(scenario)
        assert 1 <= trials <= 3
        assert later > 50
        assert served > 0.99

    def test_withdrawn_limit_ends_without_oscillation(self):
        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            limited.advertised_headers[advertised.LIMIT] = "7.6"
            load = advertised.Load(cluster)
            await load.run(150, 6)
            limited.advertised_headers.clear()
            arrivals = advertised.Arrivals(limited)
            lifted = now()
            await load.run(150, 6)
            return [
                arrivals.count_between(lifted + second, lifted + second + 1)
                for second in range(1, 6)
            ], load.served_fraction()

        by_second, served = run_scenario(scenario)
        assert min(by_second) > 20
        assert max(by_second) < 3 * min(by_second)
        assert served > 0.99

    def test_overtaken_response_does_not_lift_a_limit(self):
        """A response from before the limit was advertised arrives late."""

        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            arrivals = advertised.Arrivals(limited)
            late = []

            def hold(connection, name, answer):
                if b"server-limit" in answer:
                    connection.transport.write(answer)
                else:
                    late.append((connection, answer))

            limited.fault = hold
            load = advertised.Load(cluster)
            loading = asyncio.ensure_future(load.run(100, 9))
            await asyncio.sleep(0.2)
            limited.advertised_headers[advertised.LIMIT] = "2.6"
            began = now()
            for _ in range(60):
                await asyncio.sleep(0.1)
                if late:
                    connection, answer = late.pop()
                    connection.transport.write(answer)
            await loading
            return arrivals.max_in_window(began + advertised.TOUCH_S)

        assert run_scenario(scenario) <= advertised.allowed_requests(2.6)

    @pytest.mark.parametrize(
        "value",
        ["", "many", "-1", "nan", "inf", "1e400", "1e1", "7" * 400, "1, 2"],
    )
    def test_invalid_limit_is_ignored(self, value):
        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            limited.advertised_headers[advertised.LIMIT] = "2.6"
            load = advertised.Load(cluster)
            await load.run(100, 3)
            arrivals = advertised.Arrivals(limited)
            limited.advertised_headers[advertised.LIMIT] = value
            began = now()
            await load.run(100, 8)
            return arrivals.max_in_window(began)

        assert run_scenario(scenario) <= advertised.allowed_requests(2.6)

    def test_second_limit_in_one_response_is_ignored(self):
        def twice(connection, name, answer):
            replacement = b"server-limit: 500\r\nx-savorytally-attempt-id"
            answer = answer.replace(
                b"x-savorytally-attempt-id", replacement, 1
            )
            connection.transport.write(answer)

        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            limited.advertised_headers[advertised.LIMIT] = "2.6"
            load = advertised.Load(cluster)
            await load.run(100, 3)
            arrivals = advertised.Arrivals(limited)
            limited.fault = twice
            began = now()
            await load.run(100, 8)
            return arrivals.max_in_window(began)

        assert run_scenario(scenario) <= advertised.allowed_requests(2.6)

    @pytest.mark.parametrize("how", ["refused", "broken", "failed"])
    def test_limit_applies_whatever_the_responses_are(self, how):
        def break_off(connection, name, answer):
            connection.transport.write(answer[:-3])
            connection.transport.close()

        async def failing(headers):
            return 500

        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            arrivals = advertised.Arrivals(limited)
            limited.advertised_headers[advertised.LIMIT] = "2.6"
            if how == "refused":
                limited.rejects = lambda: True
            elif how == "broken":
                limited.fault = break_off
            else:
                limited.calls = failing
            load = advertised.Load(cluster)
            began = now()
            await load.run(100, 9)
            return arrivals.max_in_window(began + advertised.TOUCH_S)

        assert run_scenario(scenario) <= advertised.allowed_requests(2.6)

    def test_requests_of_disconnected_callers_count(self):
        async def scenario(cluster):
            limited = hosts_of(cluster)[0].upstream
            arrivals = advertised.Arrivals(limited)
            limited.advertised_headers[advertised.LIMIT] = "2.6"
            limited.work_s = 0.3
            began = now()
            tasks = []
            while now() < began + 9:
                host = cluster.hosts[int(now() * 10) % len(cluster.hosts)]
                leaves = cluster.send(
                    host, leave_after_s=0.1, remaining_ms=900
                )
                tasks.append(asyncio.ensure_future(leaves))
                tasks.append(asyncio.ensure_future(cluster.send(host)))
                await asyncio.sleep(0.02)
            await asyncio.gather(*tasks)
            return arrivals.max_in_window(began + advertised.TOUCH_S)

        assert run_scenario(scenario) <= advertised.allowed_requests(2.6)

    def test_restarted_gate_gets_the_limit_from_other_hosts(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            arrivals = advertised.Arrivals(host.upstream)
            host.upstream.advertised_headers[advertised.LIMIT] = "2.6"
            load = advertised.Load(cluster)
            began = now()
            loading = asyncio.ensure_future(load.run(200, 14))
            for _ in range(3):
                await asyncio.sleep(3.5)
                load.down.add(host.address)
                await kill(cluster, host)
                await asyncio.sleep(0.5)
                await host.start_node(first_start=False)
                await asyncio.sleep(0.2)
                load.down.discard(host.address)
            await loading
            return arrivals.max_in_window(began + advertised.TOUCH_S)

        assert run_scenario(scenario) <= advertised.allowed_requests(2.6)

    def test_limit_survives_a_temporarily_missing_entry(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            arrivals = advertised.Arrivals(host.upstream)
            host.upstream.advertised_headers[advertised.LIMIT] = "2.6"
            load = advertised.Load(cluster)
            began = now()
            loading = asyncio.ensure_future(load.run(100, 12))
            key = f"servers/{host.instance_id}"
            for _ in range(3):
                await asyncio.sleep(2)
                cluster.store.delete(key)
                await asyncio.sleep(1)
                cluster.store.put(key, host.entry())
            await loading
            return arrivals.max_in_window(began + advertised.TOUCH_S)

        assert run_scenario(scenario) <= advertised.allowed_requests(2.6)

    def test_limit_does_not_apply_to_the_next_instance(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            host.upstream.advertised_headers[advertised.LIMIT] = "0.2"
            load = advertised.Load(cluster)
            await load.run(150, 5)
            cluster.store.delete(f"servers/{host.instance_id}")
            host.upstream.advertised_headers.clear()
            host.instance_id = host.upstream.instance_id = "i-next"
            cluster.store.put("servers/i-next", host.entry())
            await asyncio.sleep(1)
            arrivals = advertised.Arrivals(host.upstream)
            began = now()
            await load.run(150, 4)
            return arrivals.count_between(began, began + 4)

        assert run_scenario(scenario) > 50

    def test_limit_reaches_other_hosts_within_half_a_second(self):
        """This includes a host of another region that sends no requests."""

        async def scenario(cluster):
            (limited,) = hosts_of(cluster)
            load = advertised.Load(cluster)
            await load.run(200, 2)
            limited.upstream.advertised_headers[advertised.LIMIT] = "2.6"
            load.down = {host.address for host in cluster.hosts}
            load.down.discard(limited.address)
            # Only the upstream's own host sends requests.
            await load.run(100, 0.25)
            await asyncio.sleep(0.25)
            return [
                host.node.entry.placement.limit_per_s(limited.instance_id)
                for host in hosts_of(cluster, "desk")
            ]

        assert run_scenario(scenario, LAST) == [2.6, 2.6]

    def test_other_hosts_do_not_send_requests_beyond_the_limit(self):
        async def scenario(cluster):
            limited = hosts_of(cluster)[0]
            limited.upstream.advertised_headers[advertised.LIMIT] = "2.6"
            load = advertised.Load(cluster)
            await load.run(150, 3)
            refused = []
            limited.node.log.event = lambda name, **fields: refused.append(
                name
            )
            most_waiting = 0
            loading = asyncio.ensure_future(load.run(150, 6))
            while not loading.done():
                await asyncio.sleep(0.01)
                waiting = limited.node.gate.queue.waiting
                most_waiting = max(most_waiting, waiting)
            return refused.count("gate"), most_waiting

        refused, most_waiting = run_scenario(scenario)
        assert refused < 20
        assert most_waiting <= 3


class TestDraining:
    async def _advertise_draining(self, host, load):
        """Let an upstream advertise that it is draining, in responses only."""
        host.upstream.advertised_headers[advertised.LEAVING] = "1"
        await load.run(100, 1)
        return now()

    def test_draining_upstream_gets_no_new_requests(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            load = advertised.Load(cluster)
            advertised_at = await self._advertise_draining(host, load)
            arrivals = advertised.Arrivals(host.upstream)
            await load.run(100, 8)
            late = arrivals.count_between(
                advertised_at + advertised.DRAIN_S, advertised_at + 9
            )
            return late, load.served_fraction()

        late, served = run_scenario(scenario)
        assert late == 0
        assert served > 0.99

    def test_entry_that_becomes_ready_again_is_ignored(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            load = advertised.Load(cluster)
            advertised_at = await self._advertise_draining(host, load)
            arrivals = advertised.Arrivals(host.upstream)
            key = f"servers/{host.instance_id}"
            loading = asyncio.ensure_future(load.run(100, 10))
            cluster.store.delete(key)
            await asyncio.sleep(4)
            cluster.store.put(key, host.entry())
            await loading
            return arrivals.count_between(
                advertised_at + advertised.DRAIN_S, advertised_at + 11
            )

        assert run_scenario(scenario) == 0

    def test_upstream_still_drains_after_a_gate_restart(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            load = advertised.Load(cluster)
            advertised_at = await self._advertise_draining(host, load)
            arrivals = advertised.Arrivals(host.upstream)
            load.down.add(host.address)
            await kill(cluster, host)
            await asyncio.sleep(1)
            await host.start_node(first_start=False)
            await load.run(100, 8)
            names = set(arrivals.names)
            return [
                item.host
                for item in load.sent
                if item.at > advertised_at + advertised.DRAIN_S
                and item.name in names
            ]

        assert run_scenario(scenario) == []

    def test_last_upstream_is_not_used_after_the_drain(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            load = advertised.Load(cluster)
            advertised_at = await self._advertise_draining(host, load)
            arrivals = advertised.Arrivals(host.upstream)
            await load.run(50, 6)
            names = set(arrivals.names)
            late = [
                item
                for item in load.sent
                if item.at > advertised_at + advertised.DRAIN_S
                and item.name in names
            ]
            return late, load

        late, load = run_scenario(scenario, LAST)
        assert late == []
        refused = [item for item in load.sent if item.status != 200]
        assert {item.status for item in refused} == {503}
        assert all(item.retry_after_s for item in refused)

    @pytest.mark.parametrize("limit_per_s", ["2.6", "6"])
    def test_call_that_waited_below_a_limit_arrives_after_the_drain(
        self, limit_per_s
    ):
        """Seed 3000 of the soak: 2.2 s after the upstream drained."""

        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            host.upstream.advertised_headers[advertised.LIMIT] = limit_per_s
            load = advertised.Load(cluster)
            await load.run(20, 2)
            arrivals = advertised.Arrivals(host.upstream)
            await self._advertise_draining(host, load)
            await load.run(100, 5)
            instances = host.node.gate.advertisements._instances
            since = instances[host.instance_id].leaving_since
            late = arrivals.count_between(
                since + advertised.DRAIN_S, since + 9
            )
            return late, {item.status for item in load.sent}

        late, statuses = run_scenario(scenario, LAST)
        assert late == 0
        assert statuses <= {200, 503}

    def test_draining_upstream_is_used_if_it_is_the_only_one(self):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            host.upstream.advertised_headers[advertised.LEAVING] = "1"
            load = advertised.Load(cluster)
            await load.run(50, 1)
            return load.served_fraction()

        assert run_scenario(scenario, LAST) > 0.95

    @pytest.mark.parametrize("same_name", [True, False])
    def test_next_instance_of_the_upstream_is_used(self, same_name):
        async def scenario(cluster):
            host = hosts_of(cluster)[0]
            load = advertised.Load(cluster)
            await self._advertise_draining(host, load)
            await asyncio.sleep(3)
            host.upstream.advertised_headers.clear()
            entry = {**host.entry(), "born": 1_900_000_000_000}
            if not same_name:
                cluster.store.delete(f"servers/{host.instance_id}")
                host.instance_id = host.upstream.instance_id = "i-next"
            cluster.store.put(f"servers/{host.instance_id}", entry)
            await asyncio.sleep(0.5)
            arrivals = advertised.Arrivals(host.upstream)
            await load.run(150, 4)
            return len(arrivals.at)

        assert run_scenario(scenario) > 50


def run_product_scenario(scenario):
    """Run a scenario on the nodes of :mod:`savorytally.node`."""

    cluster = chain.Chain(settings.Policies(), 1_000.0)

    async def work():
        await cluster.start()
        try:
            return await scenario(cluster)
        finally:
            await cluster.stop()

    return virtual_loop.run(cluster.clock, work())


def max_in_window(arrived, since):
    """Return the largest count in a window that starts after a time."""
    return max(
        (
            sum(at <= other < at + advertised.WINDOW_S for other in arrived)
            for at in arrived
            if at >= since
        ),
        default=0,
    )


class TestProduct:
    RATES: typing.ClassVar = {"org1": 60.0}

    @pytest.mark.parametrize("limit_per_s", [2.6, 20.0])
    def test_upstream_gets_no_more_than_its_advertised_limit(
        self, limit_per_s
    ):
        async def scenario(cluster):
            limited = cluster.upstreams["browse-0"]
            limited.advertised_headers = (("Server-Limit", str(limit_per_s)),)
            began = now()
            await cluster.load(12.0, self.RATES)
            await asyncio.sleep(2)
            return max_in_window(
                limited.arrival_times, began + advertised.TOUCH_S
            )

        assert run_product_scenario(scenario) <= advertised.allowed_requests(
            limit_per_s
        )

    def test_withdrawn_limit_ends(self):
        async def scenario(cluster):
            limited = cluster.upstreams["browse-0"]
            limited.advertised_headers = (("server-limit", "2.6"),)
            await cluster.load(5.0, self.RATES)
            limited.advertised_headers = ()
            await cluster.load(4.0, self.RATES)
            arrivals = len(limited.arrival_times)
            await cluster.load(4.0, self.RATES)
            return len(limited.arrival_times) - arrivals

        assert run_product_scenario(scenario) > 40

    def test_draining_upstream_gets_no_new_requests(self):
        async def scenario(cluster):
            leaving = cluster.upstreams["browse-0"]
            leaving.advertised_headers = (("Server-Leaving", "1"),)
            await cluster.load(2.0, self.RATES)
            advertised_at = now()
            await cluster.load(6.0, self.RATES)
            late = [
                at
                for at in leaving.arrival_times
                if at > advertised_at + advertised.DRAIN_S
            ]
            sent = cluster.between(advertised_at, advertised_at + 6.0)
            return len(late), sum(item.served for item in sent) / len(sent)

        late, served = run_product_scenario(scenario)
        assert late == 0
        assert served > 0.95

    def test_restarted_gate_gets_the_limit_from_entries(self):
        async def scenario(cluster):
            limited = cluster.upstreams["browse-0"]
            limited.advertised_headers = (("Server-Limit", "2.6"),)
            await cluster.load(4.0, self.RATES)
            gate = cluster.nodes["browse-0"].gate
            gate._advertised = advertised_state.AdvertisedState()
            gate._resolve_waiting(
                gate.policy.learn_rate_limit(advertised_state.NO_LIMIT, now())
            )
            began = len(limited.arrival_times)
            # Before the upstream responds again, calls carry the limit.
            limited.slowdown_factor = 100.0
            await cluster.load(1.0, self.RATES)
            return len(limited.arrival_times) - began

        assert run_product_scenario(scenario) <= 8
