"""Upstreams of an evacuated data centre get nothing."""

import asyncio
import json

from fakes import advertised
from fakes import mesh
from fakes import net
import pytest

KEY = "op/evacuate/low-a"
SERVICES = {"drawers": ["low-a", "low-b", "up-a"], "desk": ["low-a"]}
# Time within which an evacuation takes effect on all hosts in touch.
BOUND_S = 5.0


def run_scenario(scenario, services=SERVICES, **changes):
    """Run a scenario on a started mesh."""

    async def work():
        cluster = mesh.Mesh()
        await cluster.start(services, **changes)
        return await scenario(cluster)

    return net.run(work)


def arrivals_at(cluster, place, service="drawers"):
    """Return the requests that reached a service's upstreams at a place."""
    return [
        name
        for host in cluster.hosts
        if host.place == place and host.service_name == service
        for name in host.upstream.arrived
    ]


class TestEvacuation:
    def test_evacuated_upstreams_get_nothing_under_load(self):
        async def scenario(cluster):
            load = advertised.Load(cluster)
            await load.run(60, 2)
            before = len(arrivals_at(cluster, "low-a"))
            cluster.store.put(KEY, {})
            await load.run(60, BOUND_S)
            within = len(arrivals_at(cluster, "low-a"))
            await load.run(60, 5)
            after = len(arrivals_at(cluster, "low-a"))
            return before, within, after, load.statuses()

        before, within, after, statuses = run_scenario(scenario)
        assert before > 0
        assert after == within
        assert set(statuses) == {200}

    def test_upstreams_get_requests_again_after_the_evacuation(self):
        async def scenario(cluster):
            cluster.store.put(KEY, {})
            await asyncio.sleep(1)
            cluster.store.delete(KEY)
            await asyncio.sleep(1)
            await advertised.Load(cluster).run(60, 2)
            return arrivals_at(cluster, "low-a")

        assert run_scenario(scenario)

    def test_evacuation_set_again_binds_again(self):
        async def scenario(cluster):
            for _ in range(3):
                cluster.store.put(KEY, {})
                await asyncio.sleep(0.5)
                cluster.store.delete(KEY)
                await asyncio.sleep(0.5)
            cluster.store.put(KEY, {})
            await asyncio.sleep(BOUND_S)
            before = len(arrivals_at(cluster, "low-a"))
            await advertised.Load(cluster).run(60, 2)
            return before, len(arrivals_at(cluster, "low-a"))

        before, after = run_scenario(scenario)
        assert after == before

    def test_evacuations_of_two_data_centres_hold_together(self):
        async def scenario(cluster):
            cluster.store.put(KEY, {})
            cluster.store.put("op/evacuate/low-b", {})
            await asyncio.sleep(BOUND_S)
            load = advertised.Load(cluster)
            await load.run(60, 2)
            return arrivals_at(cluster, "low-b"), load.statuses()

        arrived, statuses = run_scenario(scenario)
        assert not arrived
        assert set(statuses) == {200}

    def test_request_without_other_upstreams_is_refused_with_the_reason(self):
        async def scenario(cluster):
            cluster.store.put(KEY, {})
            await asyncio.sleep(1)
            reply = await cluster.send(
                cluster.hosts[0], "/desk/1", method="POST"
            )
            return reply, arrivals_at(cluster, "low-a", "desk")

        reply, arrived = run_scenario(scenario)
        assert reply.status == 503
        assert json.loads(reply.body)["name"] == "data_centre_evacuated"
        assert float(reply.header(b"retry-after")) > 0
        assert not arrived

    def test_node_that_starts_during_an_evacuation_observes_it(self):
        # A start with an empty list would send requests anywhere.
        async def scenario(cluster):
            cluster.store.put(KEY, {})
            await asyncio.sleep(1)
            for host in cluster.hosts:
                await host.restart_node()
            before = len(arrivals_at(cluster, "low-a"))
            load = advertised.Load(cluster)
            await load.run(60, 3)
            return before, len(arrivals_at(cluster, "low-a"))

        before, after = run_scenario(scenario)
        assert after == before

    def test_evacuation_holds_while_the_store_is_silent(self):
        async def scenario(cluster):
            cluster.store.put(KEY, {})
            await asyncio.sleep(1)
            cluster.store.status = 503
            before = len(arrivals_at(cluster, "low-a"))
            await advertised.Load(cluster).run(60, 8)
            return before, len(arrivals_at(cluster, "low-a"))

        before, after = run_scenario(scenario)
        assert after == before

    def test_gate_refuses_for_an_entry_that_has_not_heard(self):
        # A call that was sent before its entry learned of the evacuation.
        async def scenario(cluster):
            host = cluster.hosts[0]
            host.node.gate.learn_evacuated(True)
            load = advertised.Load(cluster)
            await load.run(60, 2)
            return arrivals_at(cluster, "low-a"), load.statuses()

        arrived, statuses = run_scenario(scenario)
        assert not arrived
        assert set(statuses) == {200}

    def test_waiting_requests_run_elsewhere_and_running_ones_end_well(self):
        async def scenario(cluster):
            for host in cluster.hosts:
                host.upstream.work_s = 0.4
            sends = [
                asyncio.ensure_future(cluster.send(cluster.hosts[0]))
                for _ in range(12)
            ]
            await asyncio.sleep(0.2)
            cluster.store.put(KEY, {})
            replies = await asyncio.gather(*sends)
            return [reply.status for reply in replies]

        assert run_scenario(scenario) == [200] * 12

    @pytest.mark.parametrize("key", ["op/evacuate/nowhere", "op/evacuate/"])
    def test_unknown_data_centre_is_ignored(self, key):
        async def scenario(cluster):
            cluster.store.put(key, {})
            await asyncio.sleep(1)
            load = advertised.Load(cluster)
            await load.run(60, 1)
            node = cluster.hosts[0].node
            return load.statuses(), node.evacuations

        statuses, evacuations = run_scenario(scenario)
        assert set(statuses) == {200}
        assert not evacuations.in_force
        assert evacuations.ignored == (key != "op/evacuate/")

    def test_restored_store_decides_by_the_keys_that_it_holds(self):
        async def scenario(cluster):
            copied = cluster.store.copy()
            cluster.store.put(KEY, {})
            await asyncio.sleep(1)
            held = cluster.hosts[1].node.evacuations.in_force
            cluster.store.restore(copied)
            # A revision beyond the known one makes the waiting reads return.
            cluster.store.put("op/other", {})
            cluster.store.put("op/other", {})
            await asyncio.sleep(3)
            return held, cluster.hosts[1].node.evacuations.in_force

        held, after = run_scenario(scenario)
        assert held == {"low-a"}
        assert not after


class TestHomes:
    @staticmethod
    def config(version=1, **homes):
        value = mesh.configuration(version)
        for name, regions in homes.items():
            table = "routes" if name.startswith("r_") else "tenants"
            value[table][name.replace("_", "-")]["allowed_regions"] = regions
        return value

    @pytest.mark.parametrize(
        "homes",
        [
            {"r_lookup": ["up"]},
            {"growers": ["up"]},
            {"r_lookup": ["up", "low"], "growers": ["up"]},
        ],
    )
    def test_requests_stay_in_the_regions_of_route_and_organisation(
        self, homes
    ):
        async def scenario(cluster):
            load = advertised.Load(cluster)
            await load.run(60, 2)
            low = arrivals_at(cluster, "low-a") + arrivals_at(cluster, "low-b")
            return low, load.statuses()

        low, statuses = run_scenario(scenario, config=self.config(**homes))
        assert not low
        assert set(statuses) == {200}

    def test_homes_that_exclude_each_other_refuse_the_request(self):
        async def scenario(cluster):
            reply = await cluster.send(cluster.hosts[0])
            return reply, [
                name
                for host in cluster.hosts
                for name in host.upstream.arrived
            ]

        config = self.config(r_lookup=["up"], growers=["low"])
        reply, arrived = run_scenario(scenario, config=config)
        assert reply.status == 503
        assert json.loads(reply.body)["name"] == "not_at_home"
        assert not arrived

    def test_home_that_is_down_is_no_reason_to_leave_it(self):
        async def scenario(cluster):
            home = next(h for h in cluster.hosts if h.place == "up-a")
            cluster.store.delete(home.key)
            home.upstream.leaving = True
            await asyncio.sleep(1)
            load = advertised.Load(cluster)
            await load.run(60, 2)
            low = arrivals_at(cluster, "low-a") + arrivals_at(cluster, "low-b")
            return low, load.statuses()

        config = self.config(r_lookup=["up"])
        low, statuses = run_scenario(scenario, config=config)
        assert not low
        assert set(statuses) == {503}

    def test_gate_observes_homes_that_its_sender_does_not_know(self):
        # A newer configuration confines requests that are already on the way.
        async def scenario(cluster):
            newest = mesh.documents.configuration(
                json.dumps(self.config(2, r_lookup=["up"])).encode()
            )
            for host in cluster.hosts[:2]:
                host.node.gate.learn_catalog(newest)
            load = advertised.Load(cluster)
            await load.run(60, 2)
            return arrivals_at(cluster, "low-a") + arrivals_at(
                cluster, "low-b"
            )

        assert not run_scenario(scenario)

    @pytest.mark.parametrize("regions", ["up", [1], [""], {"up": 1}])
    def test_malformed_homes_leave_the_last_configuration_in_force(
        self, regions
    ):
        async def scenario(cluster):
            cluster.store.put("op/config", self.config(2, r_lookup=regions))
            await asyncio.sleep(1)
            return cluster.hosts[0].node.version

        assert run_scenario(scenario) == 1


class TestStoreEntries:
    def test_evacuation_reaches_followers_that_do_not_read_the_store(self):
        services = {"drawers": ["low-a"] * 6 + ["up-a"]}

        async def scenario(cluster):
            await asyncio.sleep(3)
            cluster.store.put("op/evacuate/up-a", {})
            await asyncio.sleep(2)
            return [host.node.evacuations.in_force for host in cluster.hosts]

        found = run_scenario(scenario, services)
        assert set(found) == {frozenset({"up-a"})}
