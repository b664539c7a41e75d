"""A few hosts of a data centre read the store; the others follow them."""

import asyncio

from fakes import fault_run
from fakes import mesh
from fakes import net
import hypothesis
import hypothesis.strategies as st
import pytest

from savorytally.dataplane import compression
from savorytally.dataplane import frames
from savorytally.dataplane import store_watch
from savorytally.dataplane import upstream_list
from savorytally.decisions import change_log
from savorytally.decisions import store_readers
from savorytally.world import catalog
from savorytally.world import store_position

# Time within which the users require a change to be in force.
IN_FORCE_S = 2.0


def run_scenario(scenario, hosts=8, **changes):
    """Run a scenario after the hosts of a data centre have connected."""

    async def work():
        cluster = mesh.Mesh()
        await cluster.start({"drawers": ["low-a"] * hosts}, **changes)
        await asyncio.sleep(6)
        return await scenario(cluster)

    return net.run(work)


def readers(cluster):
    """Return the hosts that read the store."""
    return [host for host in cluster.hosts if host.node._store_watch.healthy]


def versions(hosts):
    """Return the versions of the configuration in force."""
    return {host.node.version for host in hosts}


def silence_store(cluster, hosts):
    """Make the store unresponsive to some hosts on all connections."""
    for host in hosts:
        host.store_client._pool.acquire = lambda fresh, take: None
        for transport in cluster.net.open[mesh.STORE.host, mesh.STORE.port]:
            if transport.protocol in host.store_client._pool._open:
                transport.drops_data = True


class TestReads:
    """Reads of the store as the number of hosts grows."""

    @pytest.mark.parametrize("hosts", [6, 24])
    def test_two_hosts_read_for_all(self, hosts):
        async def scenario(cluster):
            before = len(cluster.store.calls)
            for version in range(2, 12):
                cluster.store.put("op/config", mesh.configuration(version))
                await asyncio.sleep(1.0)
            read = len(cluster.store.calls) - before
            return len(readers(cluster)), versions(cluster.hosts), read

        count, in_force, read = run_scenario(scenario, hosts)
        assert (count, in_force) == (2, {11})
        # Two readers, and at most two reads for each change.
        assert read <= 2 * 2 * 10

    def test_large_configuration_is_read_by_two_hosts_of_a_region(self):
        """Each of 31 hosts used to read it over the link between regions."""

        async def scenario(cluster):
            before = {host: host.store_client.calls for host in cluster.hosts}
            large = mesh.configuration(2)
            large["services"] = {
                f"s-{number}": {"health_path": "/healthz"}
                for number in range(10_000)
            }
            cluster.store.put("op/config", large)
            await asyncio.sleep(IN_FORCE_S)
            contacted = [
                host
                for host in cluster.hosts
                if host.store_client.calls > before[host]
            ]
            return versions(cluster.hosts), len(contacted)

        assert run_scenario(scenario, 31) == ({2}, 2)

    def test_draining_upstream_is_published_to_all_hosts(self):
        async def scenario(cluster):
            leaving = cluster.hosts[0]
            cluster.store.put(
                f"servers/{leaving.instance_id}",
                leaving.entry(state="draining"),
            )
            await asyncio.sleep(IN_FORCE_S)
            return {
                host.node._upstream_list.instances[leaving.instance_id].ready
                for host in cluster.hosts
            }

        assert run_scenario(scenario) == {False}

    def test_lost_store_history_is_recovered(self):
        async def scenario(cluster):
            cluster.store.delete(f"servers/{cluster.hosts[0].instance_id}")
            cluster.store.forget()
            cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
            await asyncio.sleep(IN_FORCE_S)
            return {
                len(host.node._upstream_list.instances)
                for host in cluster.hosts
            }

        assert run_scenario(scenario) == {7}

    def test_host_without_followers_and_rank_stops_reading(self):
        async def scenario(cluster):
            idle = next(
                host
                for host in cluster.hosts
                if not host.node._store_watch.healthy
            )
            idle.node._store_watch.start()
            await asyncio.sleep(1.0)
            return idle.node._store_watch.healthy

        assert run_scenario(scenario) is False


class TestMeanWaits:
    """Followers that ignore the means lose the waits of other hosts."""

    def test_followers_apply_the_means_of_a_reader(self):
        async def scenario(cluster):
            sharing = cluster.hosts[0].node.store_sharing
            sharing.handle_mean_waits([[0, "drawers", 16, 250]])
            now = asyncio.get_running_loop().time()
            return sharing._waits[0].value_s(("drawers", 16), now)

        assert run_scenario(scenario, 2) == pytest.approx(0.25)

    def test_rows_of_unknown_tables_are_ignored(self):
        """An error would end the stream and the calls on it."""

        async def scenario(cluster):
            sharing = cluster.hosts[0].node.store_sharing
            sharing.handle_samples([[9, "drawers", 16, 1, 250]])
            sharing.handle_mean_waits([[9, "drawers", 16, 250]])
            sharing.handle_mean_waits([[0, "9\0means\0drawers", 16, 250]])
            now = asyncio.get_running_loop().time()
            return sharing._waits[0].means(now)

        assert run_scenario(scenario, 2) == {}

    def test_means_of_samples_by_older_builds_are_ignored(self):
        """Older builds average the samples of tables they don't know."""

        async def scenario(cluster):
            sharing = cluster.hosts[0].node.store_sharing
            sharing.handle_mean_waits([[0, "2\0samples\0drawers", 16, 900]])
            sharing.handle_mean_waits([[0, "2\0means\0desk", 16, 900]])
            now = asyncio.get_running_loop().time()
            refusals = cluster.hosts[0].node.entry.chain_success
            return [
                refusals.refused_fraction((route, 16), now)
                for route in ("drawers", "desk")
            ]

        assert run_scenario(scenario, 2) == [0.0, 0.9]


class TestReaderFailures:
    """Readers that are killed, disconnected, refused or frozen."""

    def versions_after(self, inject_failure, hosts=8):
        """Apply a failure, change the configuration; return the versions."""

        async def scenario(cluster):
            failed = inject_failure(cluster)
            cluster.store.put("op/config", mesh.configuration(5))
            await asyncio.sleep(IN_FORCE_S)
            return versions(set(cluster.hosts) - set(failed))

        return run_scenario(scenario, hosts)

    def test_all_readers_are_killed_at_once(self):
        def inject_failure(cluster):
            killed = readers(cluster)
            for host in killed:
                fault_run.end(cluster.net, host)
            return killed

        assert self.versions_after(inject_failure) == {5}

    def test_more_than_half_of_the_hosts_are_killed_at_once(self):
        def inject_failure(cluster):
            killed = [*readers(cluster), *cluster.hosts[:5]]
            for host in killed:
                fault_run.end(cluster.net, host)
            return killed

        assert self.versions_after(inject_failure) == {5}

    def test_all_readers_lose_power(self):
        """Their connections are not closed, but carry no more data."""

        def inject_failure(cluster):
            dark = readers(cluster)
            for host in dark:
                cluster.net.drop_data(host.address, mesh.PEER_PORT)
                cluster.net.unreachable.add((host.address, mesh.PEER_PORT))
                host.node._store_watch.stop()
                for task in host.node._tasks:
                    task.cancel()
                for link in host.node.peers._links.values():
                    if link._stream is not None:
                        link._stream._transport.drops_data = True
            return dark

        assert self.versions_after(inject_failure) == {5}

    def test_one_reader_has_a_dead_watch(self):
        """It takes seconds until it notices that its watch is dead."""

        def inject_failure(cluster):
            silence_store(cluster, readers(cluster)[:1])
            return ()

        assert self.versions_after(inject_failure) == {5}

    def test_all_readers_are_refused_by_the_store(self):
        def inject_failure(cluster):
            for host in readers(cluster):
                host.store_client._pool.acquire = lambda fresh, take: take(
                    None
                )
            cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
            return ()

        assert self.versions_after(inject_failure) == {5}

    def test_followers_of_unresponsive_readers_read_the_store(self):
        """Streams between hosts are cut, but all hosts reach the store."""

        def inject_failure(cluster):
            for host in cluster.hosts:
                cluster.net.drop_data(host.address, mesh.PEER_PORT)
                cluster.net.unreachable.add((host.address, mesh.PEER_PORT))
            return ()

        assert self.versions_after(inject_failure) == {5}

    def test_store_is_read_soon_after_an_outage(self):
        async def scenario(cluster):
            cluster.store.status = 503
            cluster.net.reset(mesh.STORE.host, mesh.STORE.port)
            await asyncio.sleep(10)
            cluster.store.put("op/config", mesh.configuration(5))
            cluster.store.status = 0
            await asyncio.sleep(IN_FORCE_S)
            in_force = versions(cluster.hosts)
            await asyncio.sleep(10)
            return in_force, len(readers(cluster))

        assert run_scenario(scenario) == ({5}, 2)

    def test_stopping_reader_is_replaced_at_once(self):
        async def scenario(cluster):
            stopping = readers(cluster)[0]
            stopping.node._leave()
            await asyncio.sleep(0.2)
            return [
                stopping.address in host.node.store_sharing._followed_at
                for host in cluster.hosts
                if host is not stopping
            ]

        assert not any(run_scenario(scenario))


def instance(name, slots=1):
    return catalog.Instance(name, "drawers", name, 1, "low-a", slots, True, 0)


def position(revision, era=1):
    return store_position.Position(era, revision)


def change(after, revision, changed=(), removed=(), stepwise=True):
    by_id = {item.instance_id: item for item in changed}
    return store_watch.Changes(
        position(after),
        position(revision),
        None,
        by_id,
        tuple(removed),
        stepwise,
    )


def snapshot(at, changed=()):
    by_id = {item.instance_id: item for item in changed}
    return store_watch.Changes(None, at, None, by_id, ())


class TestUpstreamList:
    """Changes that are missing, duplicated or from another reader."""

    def known_list(self, *changes):
        made = upstream_list.UpstreamList()
        made.apply(snapshot(position(10), [instance("a")]))
        for item in changes:
            made.apply(item)
        return made

    def test_duplicate_change_is_applied_once(self):
        known_list = self.known_list(change(10, 12, [instance("b")]))
        assert known_list.apply(change(10, 12, [instance("c")])) is None
        assert set(known_list.instances) == {"a", "b"}

    def test_change_after_a_gap_is_rejected(self):
        with pytest.raises(upstream_list.MissingChanges):
            self.known_list(change(11, 12, [instance("b")]))

    def test_state_difference_is_not_applied_in_between(self):
        """It lacks entries that were changed and changed back in between."""
        known_list = self.known_list(change(10, 11, [instance("a", 2)]))
        with pytest.raises(upstream_list.MissingChanges):
            known_list.apply(change(10, 12, stepwise=False))

    def test_older_snapshot_is_ignored(self):
        known_list = self.known_list()
        assert known_list.apply(snapshot(position(9))) is None
        assert set(known_list.instances) == {"a"}

    @hypothesis.given(st.data())
    def test_changes_of_several_readers_yield_the_stores_state(self, data):
        """Readers' changes arrive in any order, repeatedly or not at all."""
        names = st.sampled_from("abcd")
        step = st.tuples(names, st.one_of(st.none(), st.integers(1, 3)))
        written = data.draw(st.lists(step, min_size=1, max_size=12))
        states = [{}]
        for name, slots in written:
            state = dict(states[-1])
            state.pop(name, None)
            if slots is not None:
                state[name] = instance(name, slots)
            states.append(state)
        follower = upstream_list.UpstreamList()
        follower.apply(snapshot(position(0)))
        spans = st.tuples(
            st.integers(0, len(written)), st.integers(0, len(written))
        )
        for one, other in data.draw(st.lists(spans, max_size=12)):
            after, revision = sorted((one, other))
            changes = change(after, revision)
            for name, slots in written[after:revision]:
                changes.changed.pop(name, None)
                if slots is not None:
                    changes.changed[name] = instance(name, slots)
            gone = {name for name, _ in written[after:revision]}
            changes = change(
                after,
                revision,
                changes.changed.values(),
                gone - changes.changed.keys(),
            )
            try:
                follower.apply(changes)
            except upstream_list.MissingChanges:
                pass
            assert follower.instances == states[follower.position.revision]


def written_states(before, written):
    """Return the state before some writes, and after each of them."""
    states = [before]
    for name, slots in written:
        state = dict(states[-1])
        state.pop(name, None)
        if slots is not None:
            state[name] = instance(name, slots)
        states.append(state)
    return states


class TestRestoredStore:
    @hypothesis.given(st.data())
    def test_reused_revisions_mix_the_states_of_two_eras(self, data):
        """Snapshots and changes of both eras arrive in any order."""
        names = st.sampled_from("abc")
        step = st.tuples(names, st.one_of(st.none(), st.integers(1, 3)))
        first = data.draw(st.lists(step, min_size=1, max_size=8))
        copied = data.draw(st.integers(0, len(first)))
        later = data.draw(st.lists(step, max_size=8))
        writes = {1: first, 2: first[:copied] + later}
        states = {era: written_states({}, writes[era]) for era in writes}
        follower = upstream_list.UpstreamList()
        follower.apply(snapshot(position(0)))
        span = st.tuples(
            st.sampled_from((1, 2)), st.integers(0, 16), st.integers(0, 16)
        )
        for era, one, other in data.draw(st.lists(span, max_size=12)):
            last = len(writes[era])
            after, at = sorted((min(one, last), min(other, last)))
            if one >= other:
                listed = states[era][at].values()
                follower.apply(snapshot(position(at, era), listed))
            else:
                touched = {name for name, _ in writes[era][after:at]}
                now = states[era][at]
                changes = store_watch.Changes(
                    position(after, era),
                    position(at, era),
                    None,
                    {name: now[name] for name in touched & now.keys()},
                    tuple(touched - now.keys()),
                )
                try:
                    follower.apply(changes)
                except upstream_list.MissingChanges:
                    continue
            era, revision = follower.position
            assert follower.instances == states[era][revision]


class TestChangeLog:
    def log(self, *steps):
        made = change_log.ChangeLog()
        for after, revision, stepwise in steps:
            made.append(
                change_log.Change(
                    position(after), position(revision), stepwise, {}, ()
                )
            )
        return made

    def test_changes_since_a_revision_are_returned(self):
        log = self.log((1, 3, True), (3, 6, True), (6, 7, True))
        found = [item.position.revision for item in log.since(position(4))]
        assert found == [6, 7]
        assert log.since(position(7)) == []

    def test_unknown_revisions_need_a_snapshot(self):
        log = self.log((5, 6, True), (6, 9, False))
        assert log.since(position(2)) is None
        assert log.since(position(7)) is None

    def test_memory_is_bounded(self):
        log = change_log.ChangeLog()
        entries = {f"i-{number}": None for number in range(100)}
        for at in range(1_000):
            log.append(
                change_log.Change(
                    position(at), position(at + 1), True, entries, ()
                )
            )
        assert len(log._changes) <= change_log.ENTRIES_MAX / 100


class TestStoreReaders:
    def test_followers_are_spread_over_many_readers(self):
        """A data centre of 480 hosts has ten readers."""
        hosts = [f"10.1.0.{number}" for number in range(480)]
        followed = {}
        for own in hosts:
            one = store_readers.StoreReaders(own)
            one.learn_hosts(hosts)
            for address in one.follows(0.0):
                followed[address] = followed.get(address, 0) + 1
        assert len(followed) == 10
        assert max(followed.values()) < 480 * 2 / 10 * 1.5

    def test_own_event_loop_pause_does_not_count_as_silence(self):
        one = store_readers.StoreReaders("own")
        one.learn_hosts(["own", "a", "b", "c"])
        for address in one.follows(0.0):
            one.reported(address, True, 0.1)
        before = one.follows(0.2)
        one.restart_timeouts(9.0)
        assert one.follows(9.0) == before

    def test_unresponsive_reader_is_retried_later(self):
        one = store_readers.StoreReaders("own")
        one.learn_hosts(["own", *"abcdefgh"])
        first = one.follows(0.0)[0]
        times = [at / 10 for at in range(80)]
        contacted = [at for at in times if first in one.follows(at)]
        assert min(at for at in contacted if at > 1.0) < 6.0


class TestCompression:
    """Configurations from peers that are damaged or too large."""

    def test_configuration_survives_a_round_trip(self):
        raw = b'{"version":"r1"}' * 1000
        assert compression.decompress(compression.compress(raw)) == raw

    @pytest.mark.parametrize(
        "packed",
        [
            b"",
            b"no configuration",
            compression.compress(bytes(1000))[:-1],
            compression.compress(
                bytes(compression.DECOMPRESSED_MAX_BYTES + 1)
            ),
        ],
        ids=["empty", "garbled", "cut short", "too large"],
    )
    def test_damaged_configuration_is_rejected(self, packed):
        with pytest.raises(ValueError, match="a peer's configuration"):
            compression.decompress(packed)

    def test_damaged_configuration_does_not_replace_the_current_one(self):
        async def scenario(cluster):
            node = cluster.hosts[0].node
            lines = []
            node.log.event = lambda name, **fields: lines.append(name)
            node.apply_compressed(b"damaged")
            return node.version, lines

        assert run_scenario(scenario) == (1, ["configuration_refused"])


def test_frame_of_a_change_is_small():
    """Each change is sent to every host of a data centre."""
    fields = (position(10), position(12), True, 3, [], ["i-0123456789"], -1)
    assert len(frames.encode(frames.Kind.CHANGES, *fields)) < 32
