"""The store is away for a moment and restored from an older copy."""

import asyncio

from fakes import fault_run
from fakes import mesh
from fakes import net
import pytest

# Time within which the users require a change to be in force.
IN_FORCE_S = 2.0
# Time within which upstreams and the operator write again what was lost.
REWRITTEN_S = 1.8
# Number of writes that the copy lacks.
LOST_WRITES = 4
# Revision of the store after its return, relative to the known one.
BELOW, EQUAL, ABOVE = -3, 0, 3


def run_scenario(scenario, services=None, **changes):
    """Run a scenario on a mesh whose hosts have settled who reads."""

    async def work():
        cluster = mesh.Mesh()
        await cluster.start(services or {"drawers": ["low-a"] * 6}, **changes)
        await asyncio.sleep(6)
        return await scenario(cluster)

    return net.run(work)


async def add_host(cluster, service_name, place="low-a"):
    """Start a host whose upstream is not in the store yet."""
    host = mesh.Host(len(cluster.hosts) + 1, service_name, place)
    cluster.hosts.append(host)
    await host.upstream.start()
    await host.start_node()
    return host


def write(cluster, count):
    """Write to the store something that changes nothing."""
    for _ in range(count):
        cluster.store.put("other/key", {})


async def lose(cluster, copied, revision=BELOW, change=lambda: None):
    """Make the store unavailable for a second and restore it.

    :param revision: revision after the return, relative to the known one.
    :param change: writes to the store before it can be read.
    """
    known = cluster.store.revision
    cluster.store.status = 503
    cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
    await asyncio.sleep(1.0)
    cluster.store.restore(copied)
    change()
    write(cluster, known + revision - cluster.store.revision)
    cluster.store.status = 0


async def requests(cluster, target="/drawers/1", count=60, spread_s=1.0):
    """Send requests to the first host; return their statuses."""
    statuses = set()
    for _ in range(count):
        answer = await cluster.send(cluster.hosts[0], target)
        statuses.add(answer.status)
        await asyncio.sleep(spread_s / count)
    return statuses


class TestReads:
    @pytest.mark.parametrize("hosts", [4, 30])
    def test_reads_repeat_without_pause_while_the_copy_is_behind(self, hosts):
        async def scenario(cluster):
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            await lose(cluster, copied)
            before = len(cluster.store.calls)
            await asyncio.sleep(3.0)
            return len(cluster.store.calls) - before

        reads = run_scenario(scenario, {"drawers": ["low-a"] * hosts})
        assert reads <= 6 * hosts


class TestReusedRevisions:
    @pytest.mark.parametrize("revision", [BELOW, EQUAL, ABOVE])
    def test_upstream_that_joins_at_a_reused_revision_is_not_used(
        self, revision
    ):
        async def scenario(cluster):
            joined = await add_host(cluster, "drawers")
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            await lose(
                cluster,
                copied,
                revision,
                lambda: cluster.store.put(joined.key, joined.entry()),
            )
            await asyncio.sleep(IN_FORCE_S)
            write(cluster, 2 * LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            await requests(cluster)
            return len(joined.upstream.ran)

        assert run_scenario(scenario) > 0

    @pytest.mark.parametrize("revision", [BELOW, EQUAL, ABOVE])
    def test_slots_written_at_a_reused_revision_are_ignored(self, revision):
        async def scenario(cluster):
            changed = cluster.hosts[1]
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            entry = changed.entry(slots=21, sequence=9)
            await lose(
                cluster,
                copied,
                revision,
                lambda: cluster.store.put(changed.key, entry),
            )
            await asyncio.sleep(IN_FORCE_S)
            write(cluster, 2 * LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            return {
                host.node._upstream_list.instances[changed.instance_id].slots
                for host in cluster.hosts
            }

        assert run_scenario(scenario) == {21}


class TestLostEntries:
    def test_upstream_that_left_in_the_lost_seconds_gets_requests(self):
        async def scenario(cluster):
            left = cluster.hosts[1]
            copied = cluster.store.copy()
            cluster.store.put(left.key, left.entry(state="draining"))
            await asyncio.sleep(IN_FORCE_S)
            cluster.store.delete(left.key)
            await asyncio.sleep(IN_FORCE_S)
            left.upstream.ran.clear()
            await lose(cluster, copied, ABOVE)
            await requests(cluster, spread_s=3.0)
            return len(left.upstream.ran)

        assert run_scenario(scenario) == 0

    def test_draining_upstream_gets_requests_again(self):
        async def scenario(cluster):
            leaving = cluster.hosts[1]
            copied = cluster.store.copy()
            draining = leaving.entry(state="draining", sequence=4)
            cluster.store.put(leaving.key, draining)
            await asyncio.sleep(2 * IN_FORCE_S)
            leaving.upstream.ran.clear()
            await lose(cluster, copied, ABOVE)
            await requests(cluster, spread_s=REWRITTEN_S)
            cluster.store.put(leaving.key, {**draining, "sequence": 6})
            await requests(cluster, spread_s=2.0)
            return len(leaving.upstream.ran)

        assert run_scenario(scenario) == 0

    def test_upstream_that_joined_in_the_lost_seconds_gets_no_requests(self):
        async def scenario(cluster):
            joined = await add_host(cluster, "drawers")
            copied = cluster.store.copy()
            cluster.store.put(joined.key, joined.entry())
            await asyncio.sleep(IN_FORCE_S)
            await lose(cluster, copied, ABOVE)
            await asyncio.sleep(1.0)
            joined.upstream.ran.clear()
            await requests(cluster, spread_s=REWRITTEN_S - 1.0)
            early = len(joined.upstream.ran)
            cluster.store.put(joined.key, joined.entry(sequence=3))
            await asyncio.sleep(4.0)
            joined.upstream.ran.clear()
            await requests(cluster)
            return early > 0, len(joined.upstream.ran) > 0

        assert run_scenario(scenario) == (True, True)


class TestConfigurations:
    def test_starting_host_serves_an_older_configuration(self):
        """A route of a confirmed version is unknown to a restarted host."""

        async def scenario(cluster):
            copied = cluster.store.copy()
            newer = mesh.configuration(7)
            newer["routes"]["r-new"] = mesh.route("drawers", prefix="/new/")
            cluster.store.put("op/config", newer)
            await asyncio.sleep(IN_FORCE_S)
            restarted = cluster.hosts[0]
            fault_run.end(cluster.net, restarted)
            await lose(cluster, copied)
            await restarted.start_node(first_start=False)
            return await requests(cluster, "/new/1", spread_s=3.0)

        assert run_scenario(scenario) == {200}
