"""The store is away for a moment and restored from an older copy."""

import asyncio

from fakes import fault_run
from fakes import mesh
from fakes import net
import pytest

from savorytally.dataplane import frames
from savorytally.world import store_position

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


class TestObservedOutage:
    """Not every host notices that the store was away."""

    def versions_after(self, connections, fillers=0):
        """Return versions in force after the first change of the new era.

        :param connections: selects the connections that the outage ends.
        """

        async def scenario(cluster):
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            cluster.store.restore(copied)
            for connection in connections(
                cluster.net.open[mesh.STORE.host, mesh.STORE.port]
            ):
                connection.abort()
            await asyncio.sleep(1.0)
            write(cluster, fillers)
            cluster.store.put("op/config", mesh.configuration(5))
            await asyncio.sleep(IN_FORCE_S)
            return {
                (host.node.version, host.node.position.era)
                for host in cluster.hosts
            }

        return run_scenario(scenario)

    @pytest.mark.parametrize("part", [0, 1], ids=["first", "second"])
    def test_host_that_notices_nothing_misses_a_change(self, part):
        def every_other(connections):
            up = [item for item in connections if not item.closed]
            return up[part::2]

        assert self.versions_after(every_other) == {(5, 2)}

    def test_waiting_watch_is_answered_in_another_era(self):
        found = self.versions_after(lambda connections: (), LOST_WRITES)
        assert found == {(5, 2)}

    def test_outage_between_two_reads_is_not_noticed(self):
        """Revisions of both eras are equal when readers read again."""

        async def scenario(cluster):
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            known = cluster.store.revision
            await asyncio.sleep(0.1)
            cluster.store.restore(copied)
            cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
            write(cluster, known - cluster.store.revision - 1)
            cluster.store.put("op/config", mesh.configuration(5))
            await asyncio.sleep(IN_FORCE_S)
            return {host.node.version for host in cluster.hosts}

        assert run_scenario(scenario) == {5}

    def test_second_restore_is_missed(self):
        async def scenario(cluster):
            copied = cluster.store.copy()
            for version in (5, 6):
                write(cluster, LOST_WRITES)
                await asyncio.sleep(0.3)
                await lose(cluster, copied)
                cluster.store.put("op/config", mesh.configuration(version))
                await asyncio.sleep(0.3)
            await asyncio.sleep(IN_FORCE_S)
            return {
                (host.node.version, host.node.position.era)
                for host in cluster.hosts
            }

        assert run_scenario(scenario) == {(6, 3)}


class RecordingStream:
    """A stream to a follower, whose frames are recorded."""

    def __init__(self, peer="10.1.0.9"):
        self.peer = peer
        self.open = True
        self.frames = []

    def send(self, kind, *fields):
        encoded = frames.encode(kind, *fields)
        self.frames += frames.Decoder().feed(encoded)

    def take(self, kind):
        """Return the fields of the frames of a kind; forget all frames."""
        taken = [frame[1:] for frame in self.frames if frame[0] == kind]
        self.frames = []
        return taken


class TestChangedReaders:
    @pytest.mark.parametrize("killed_at_s", [0.0, 0.3, 1.0])
    def test_readers_are_killed_around_the_return(self, killed_at_s):
        """Followers turn to readers that are of another era."""

        async def scenario(cluster):
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            ended = [
                host
                for host in cluster.hosts
                if host.node._store_watch.healthy
            ]
            await lose(cluster, copied)
            await asyncio.sleep(killed_at_s)
            for host in ended:
                fault_run.end(cluster.net, host)
            cluster.store.put("op/config", mesh.configuration(5))
            await asyncio.sleep(IN_FORCE_S)
            return {
                (host.node.version, host.node.position.era)
                for host in cluster.hosts
                if host not in ended
            }

        assert run_scenario(scenario) == {(5, 2)}


class TestBuildsWithoutEras:
    """Their frames contain revisions, and entries have ten fields."""

    def frames_of_a_follower(self, revision, scenario):
        async def work(cluster):
            sharing = cluster.hosts[0].node.store_sharing
            stream = RecordingStream()
            sharing.handle_follow(stream, revision)
            first = stream.take(frames.Kind.CHANGES)
            await scenario(cluster)
            return first, stream

        return run_scenario(work)

    def test_follower_gets_fields_that_it_rejects(self):
        async def scenario(cluster):
            await asyncio.sleep(0.5)

        ((after, revision, _, version, entries, removed),), stream = (
            self.frames_of_a_follower(0, scenario)
        )
        assert (after, revision, version, removed) == (None, 8, 1, [])
        assert {len(entry) for entry in entries} == {10}
        fresh = stream.take(frames.Kind.FRESH)
        assert {fields[0] for fields in fresh} == {8}

    def test_follower_ignores_the_restored_list(self):
        """It drops a list with a lower revision than the one it knows."""

        async def scenario(cluster):
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            sharing = cluster.hosts[0].node.store_sharing
            (stream,) = [
                stream
                for stream in sharing._followers
                if isinstance(stream, RecordingStream)
            ]
            sharing.handle_follow(stream, 12)
            stream.take(frames.Kind.CHANGES)
            await lose(cluster, copied)
            # The next renewals find the host in the new era.
            for _ in range(2):
                sharing.handle_follow(stream, 12)
                await asyncio.sleep(1.0)

        _, stream = self.frames_of_a_follower(8, scenario)
        lists = stream.take(frames.Kind.CHANGES)
        assert lists
        assert {(after, at) for after, at, *_ in lists} == {(None, 12)}

    def test_host_follows_a_reader_that_does_not_know_eras(self):
        async def scenario(cluster):
            follower = next(
                host
                for host in cluster.hosts
                if not host.node._store_watch.healthy
            )
            sharing = follower.node.store_sharing
            reader = next(iter(sharing._followed_at))
            before = follower.node.position
            stream = RecordingStream(reader)
            sharing.handle_changes(stream, 8, 99, True, 1, [], ["i-1"])
            sharing.handle_fresh(stream, 99, True, 0, 1)
            await asyncio.sleep(0.1)
            kept = follower.node.position == before
            return kept, reader in sharing._followed_at

        assert run_scenario(scenario) == (True, False)


class TestFollowers:
    def test_follower_applies_changes_of_an_era_that_it_missed(self):
        async def scenario(cluster):
            follower = cluster.hosts[0].node
            before = follower.position
            stream = RecordingStream()
            follower.store_sharing.handle_changes(
                stream, [3, 2], [3, 4], True, 1, [], ["i-1"], 100
            )
            ((number,),) = stream.take(frames.Kind.FOLLOW)
            asked = store_position.from_number(number)
            return asked == before == follower.position

        assert run_scenario(scenario)

    def test_report_of_an_earlier_era_confirms_the_list(self):
        async def scenario(cluster):
            follower = cluster.hosts[0].node
            follower._confirmed = 0.0
            era, revision = follower.position
            stream = RecordingStream()
            handle_fresh = follower.store_sharing.handle_fresh
            handle_fresh(stream, [era - 1, revision + 5], True, 0, 1)
            handle_fresh(stream, [era + 1, revision - 5], True, 0, 1)
            return follower._confirmed

        assert run_scenario(scenario) == 0.0

    @pytest.mark.parametrize("restored_ms", [-1, 0, 2_500])
    def test_follower_counts_from_the_moment_that_it_is_told(
        self, restored_ms
    ):
        """The reader states how long ago the store was restored."""

        async def scenario(cluster):
            follower = cluster.hosts[0].node
            loop = asyncio.get_running_loop()
            follower.store_sharing.handle_changes(
                *(RecordingStream(), None, [3, 4], False),
                *(1, [], [], restored_ms),
            )
            return loop.time() - follower._reconciler.restored_at

        expected = max(0, restored_ms) / 1000
        assert run_scenario(scenario) == pytest.approx(expected)


class TestHostListUsers:
    """What follows from the host list stays while the store is rewritten."""

    def test_rates_and_retries_are_shared_anew(self):
        def shared(node):
            return (
                list(node.rates._region_hosts),
                node._slack_share._listed,
                list(node._slack_share._removed),
                node.store_sharing._store_readers._readers,
                node.gate.queue.limit,
            )

        async def scenario(cluster):
            copied = cluster.store.copy()
            joined = await add_host(cluster, "drawers")
            cluster.store.put(joined.key, joined.entry())
            changed = cluster.hosts[1]
            entry = changed.entry(slots=21, sequence=4)
            cluster.store.put(changed.key, entry)
            await asyncio.sleep(IN_FORCE_S)
            before = [shared(host.node) for host in cluster.hosts]
            await lose(cluster, copied)
            await asyncio.sleep(REWRITTEN_S)
            during = [shared(host.node) for host in cluster.hosts]
            cluster.store.put(joined.key, joined.entry(sequence=6))
            cluster.store.put(changed.key, {**entry, "sequence": 7})
            await asyncio.sleep(8.0)
            after = [shared(host.node) for host in cluster.hosts]
            return before == during, before == after

        assert run_scenario(scenario) == (True, True)

    def test_end_of_the_settling_time_confirms_the_list(self):
        """The store is away again, so that the list is not confirmed."""

        async def scenario(cluster):
            copied = cluster.store.copy()
            write(cluster, LOST_WRITES)
            await asyncio.sleep(IN_FORCE_S)
            await lose(cluster, copied)
            await asyncio.sleep(2.0)
            cluster.store.status = 503
            cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
            at = asyncio.get_running_loop().time()
            await asyncio.sleep(10.0)
            return all(
                host.node._slack_share._confirmed_at <= at
                for host in cluster.hosts
            )

        assert run_scenario(scenario)


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

    def test_draining_upstream_gets_requests_of_a_starting_host(self):
        """A host that starts knows only the copy, in which it is ready."""

        async def scenario(cluster):
            leaving = cluster.hosts[1]
            copied = cluster.store.copy()
            draining = leaving.entry(state="draining", sequence=4)
            cluster.store.put(leaving.key, draining)
            await asyncio.sleep(2 * IN_FORCE_S)
            leaving.upstream.ran.clear()
            restarted = cluster.hosts[0]
            fault_run.end(cluster.net, restarted)
            await lose(cluster, copied)
            await restarted.start_node(first_start=False)
            statuses = await requests(cluster, spread_s=REWRITTEN_S)
            return statuses, len(leaving.upstream.ran)

        assert run_scenario(scenario) == ({200}, 0)

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

    def test_starting_host_accepts_a_withdrawn_key(self):
        async def scenario(cluster):
            copied = cluster.store.copy()
            tenants = mesh.configuration(7)["tenants"]
            tenants["growers"]["api_keys"] = ["another"]
            newer = mesh.configuration(7, tenants=tenants)
            cluster.store.put("op/config", newer)
            await asyncio.sleep(IN_FORCE_S)
            restarted = cluster.hosts[0]
            fault_run.end(cluster.net, restarted)
            await lose(cluster, copied)
            await restarted.start_node(first_start=False)
            return await requests(cluster, spread_s=3.0)

        assert run_scenario(scenario) == {401}

    def test_starting_host_does_not_serve_beside_unresponsive_hosts(self):
        async def scenario(cluster):
            for host in cluster.hosts[1:]:
                fault_run.end(cluster.net, host)
                address = (host.address, mesh.PEER_PORT)
                cluster.net.unreachable.add(address)
            restarted = cluster.hosts[0]
            fault_run.end(cluster.net, restarted)
            await restarted.start_node(first_start=False)
            await asyncio.sleep(0.7)
            return restarted.node.version

        assert run_scenario(scenario) == 1

    def test_hosts_that_all_restarted_miss_the_rewritten_configuration(self):
        """Nobody knows the lost version until it is written again."""

        async def scenario(cluster):
            copied = cluster.store.copy()
            cluster.store.put("op/config", mesh.configuration(7))
            await asyncio.sleep(IN_FORCE_S)
            for host in cluster.hosts:
                fault_run.end(cluster.net, host)
            await lose(cluster, copied)
            for host in cluster.hosts:
                await host.start_node(first_start=False)
            await asyncio.sleep(1.0)
            before = {host.node.version for host in cluster.hosts}
            cluster.store.put("op/config", mesh.configuration(7))
            await asyncio.sleep(IN_FORCE_S)
            return before, {host.node.version for host in cluster.hosts}

        assert run_scenario(scenario) == ({1}, {7})

    def test_other_region_never_gets_the_lost_configuration(self):
        """Its readers had not read the version before it was lost."""

        async def scenario(cluster):
            copied = cluster.store.copy()
            far = [host for host in cluster.hosts if host.place == "up-a"]
            for host in far:
                host.store_client._pool.acquire = lambda fresh, take: None
            for connection in cluster.net.open[
                mesh.STORE.host, mesh.STORE.port
            ]:
                for host in far:
                    if connection.protocol in host.store_client._pool._open:
                        connection.drops_data = True
            for host in cluster.hosts:
                host.node.peers.announce = lambda version: None
            cluster.store.put("op/config", mesh.configuration(7))
            await asyncio.sleep(0.3)
            cluster.store.restore(copied)
            for host in far:
                del host.store_client._pool.acquire
            cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
            await asyncio.sleep(3.0)
            return {host.node.version for host in cluster.hosts}

        places = ["low-a"] * 4 + ["up-a"] * 4
        assert run_scenario(scenario, {"drawers": places}) == {7}
