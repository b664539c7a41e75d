"""Dissemination: readers, relay trees, repair, restart and faulty versions."""

from fakes import fleet
from fakes import transport
import pytest

from savorytally import defaults
from savorytally.decisions import relay_tree
from savorytally.world import publication
from savorytally.world import region

ONE_DATA_CENTRE = {("bagmati", "kirtipur"): 16}
TWO_DATA_CENTRES = {("bagmati", "kirtipur"): 12, ("gandaki", "pokhara"): 12}
ACTIVATION_MAX_S = 3.0
DATA_CENTRES = 25
CHANGES_PER_S = 79_000 / 86_400
PLATFORM_CALLS_PER_S = 2_000
LOSSY = transport.NetworkConditions(loss_rate=0.1, duplication_rate=0.1)


@pytest.fixture
def one() -> fleet.Fleet:
    """One data centre whose nodes all serve version 1."""
    made = fleet.Fleet(ONE_DATA_CENTRE, conditions=LOSSY)
    made.publish()
    made.start_all()
    return made


@pytest.fixture
def two() -> fleet.Fleet:
    """Two data centres in two regions whose nodes all serve version 1."""
    made = fleet.Fleet(TWO_DATA_CENTRES, conditions=LOSSY)
    made.publish()
    made.start_all()
    return made


def nodes_behind(made: fleet.Fleet, version: int) -> dict[str, int]:
    """Return the nodes whose active configuration is older."""
    held = made.versions()
    return {name: item for name, item in held.items() if item < version}


class TestReaders:
    def test_only_the_first_ranks_read(self, two):
        assert len(two.readers()) == 2 * defaults.READERS_PER_DATA_CENTRE

    def test_readers_rotate_with_the_version(self, one):
        before = set(one.readers())
        tree = one.members["kirtipur-0"].relay
        tree.learn_version(defaults.READER_ROTATION_VERSIONS)
        assert set(tree.readers) != before

    def test_next_ranks_replace_crashed_readers(self, one):
        for reader in one.readers():
            one.crash(reader)
        one.transport.run(defaults.READER_UNRESPONSIVE_S + 1.0)
        assert len(one.readers()) == defaults.READERS_PER_DATA_CENTRE

    def test_readers_are_few_while_the_platform_is_down_for_all(self, one):
        one.store.down = set(one.all_hosts)
        one.transport.run(120.0)
        assert len(one.readers()) <= defaults.READER_CANDIDATES

    def test_other_hosts_read_when_all_candidates_are_gone(self, one):
        candidates = set(one.members["kirtipur-0"].relay.candidates)
        for host_id in candidates:
            one.crash(host_id)
        one.transport.run(defaults.READER_AGE_MAX_S + 10.0)
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(one, version) == {}

    def test_platform_calls_are_bounded_while_versions_change(self, one):
        one.store.calls = 0
        for _ in range(20):
            one.publish()
            one.transport.run(1 / CHANGES_PER_S)
        calls_per_s = one.store.calls * CHANGES_PER_S / 20
        assert calls_per_s * DATA_CENTRES < PLATFORM_CALLS_PER_S / 2

    def test_platform_calls_are_bounded_in_an_outage(self):
        longest_s = defaults.PLATFORM_RETRY_MAX_S / 2
        calls_per_s = defaults.READER_CANDIDATES * 2 / longest_s
        assert calls_per_s * DATA_CENTRES < PLATFORM_CALLS_PER_S / 2


class TestRelay:
    def test_every_host_is_reached_once_in_each_tree(self, one):
        members = one.members
        for root in one.readers():
            reached = [root]
            for host_id in members:
                tree = members[host_id].relay
                children = tree.children(root, lambda host_id: True)
                assert len(children) <= defaults.RELAY_FAN_OUT
                reached += children
            assert sorted(reached) == sorted(members)

    def test_children_of_a_lost_host_are_adopted(self, one):
        root = one.readers()[0]
        lost = one.members[root].relay.children(root, lambda item: True)[0]
        orphans = one.members[lost].relay.children(root, lambda item: True)
        adopted = one.members[root].relay.children(
            root, lambda item: item != lost
        )
        assert set(orphans) <= set(adopted)

    def test_losing_a_host_keeps_the_order_of_the_others(self):
        hosts = [f"host-{number}" for number in range(40)]
        ranks = relay_tree.rank_hosts("1", hosts)
        fewer = [item for item in hosts if item != ranks[3]]
        expected = [item for item in ranks if item != ranks[3]]
        assert relay_tree.rank_hosts("1", fewer) == expected

    def test_remote_hosts_are_not_in_the_tree(self, two):
        tree = two.members["kirtipur-0"].relay
        assert list(tree.remote_hosts) == [region.Place("gandaki", "pokhara")]
        assert all(item.startswith("kirtipur") for item in tree.ranks)


class TestActivation:
    def test_reaches_every_node_despite_message_loss(self, two):
        version = two.publish()
        two.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(two, version) == {}

    def test_reaches_every_node_of_a_large_data_centre(self):
        made = fleet.Fleet({("bagmati", "kirtipur"): 250})
        made.publish()
        made.start_all()
        version = made.publish()
        made.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(made, version) == {}

    def test_relay_trees_alone_reach_every_node(self, monkeypatch):
        monkeypatch.setattr(defaults, "REPAIR_PERIOD_S", 1e9)
        made = fleet.Fleet({("bagmati", "kirtipur"): 60})
        made.publish()
        made.start_all()
        version = made.publish()
        made.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(made, version) == {}

    def test_reaches_every_node_after_all_readers_crashed(self, one):
        for reader in one.readers():
            one.crash(reader)
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(one, version) == {}

    def test_reaches_a_data_centre_cut_off_from_the_platform(self, two):
        two.store.down = {
            item for item in two.all_hosts if item.startswith("pokhara")
        }
        version = two.publish()
        two.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(two, version) == {}

    def test_reaches_both_sides_of_a_partition_between_regions(self, two):
        kirtipur = [item for item in two.all_hosts if item.startswith("kirt")]
        pokhara = [item for item in two.all_hosts if item.startswith("pokh")]
        two.transport.cut(kirtipur, pokhara)
        version = two.publish()
        two.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(two, version) == {}

    def test_reaches_a_node_that_is_not_in_the_host_list(self, one):
        spare = "kirtipur-15"
        one.crash(spare)
        listed = {k: v for k, v in one.all_hosts.items() if k != spare}
        one.publish_hosts(listed)
        one.transport.run(2.0)
        one.start(spare)
        one.transport.run(2 * defaults.STARTUP_WAIT_S)
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(one, version) == {}

    def test_version_stays_active_while_the_platform_is_down(self, one):
        one.store.down = set(one.all_hosts)
        one.transport.run(600.0)
        assert set(one.versions().values()) == {1}

    def test_frame_with_a_newer_version_triggers_a_pull(self, one):
        dissemination = one.members["kirtipur-0"].dissemination
        sent = dissemination.newer_version_seen("kirtipur-1", 7, one.now)
        assert [(item.host_id, item.message.after) for item in sent] == [
            ("kirtipur-1", 1)
        ]
        assert dissemination.newer_version_seen("kirtipur-1", 7, one.now) == []


class TestFaultyVersion:
    def test_faulty_version_is_neither_activated_nor_relayed(self, one):
        faulty = one.publish(b"faulty")
        one.transport.run(ACTIVATION_MAX_S)
        readers = set(one.readers())
        assert set(one.versions().values()) == {faulty - 1}
        for host_id, member in one.members.items():
            if host_id not in readers:
                assert member.dissemination.versions["configuration"] == 1

    def test_valid_version_after_a_faulty_one_is_activated(self, one):
        one.publish(b"faulty")
        one.transport.run(1.0)
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        assert nodes_behind(one, version) == {}


class TestRestart:
    def test_stale_platform_copy_does_not_downgrade_a_new_process(self, one):
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        for host_id in list(one.all_hosts)[:8]:
            one.store.stale[host_id] = 1
            one.crash(host_id)
            one.transport.run(0.3)
            one.start(host_id)
        one.transport.run(defaults.STARTUP_TIMEOUT_S)
        assert nodes_behind(one, version) == {}
        for member in one.members.values():
            seen = [e for e in member.activations if e.name == "configuration"]
            assert min(item.version for item in seen[-1:]) >= version

    def test_stale_copy_is_not_activated_before_slow_peers_reply(self, one):
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        reader = one.readers()[0]
        one.store.stale[reader] = 1
        one.crash(reader)
        slow_s = defaults.STARTUP_WAIT_S / 4
        one.transport.conditions = transport.NetworkConditions(
            slow_s, 1.2 * slow_s
        )
        restarted = one.start(reader)
        one.transport.run(2 * defaults.STARTUP_TIMEOUT_S)
        served = [
            item.version
            for item in restarted.activations
            if item.name == "configuration"
        ]
        assert served == [version]

    def test_version_survives_the_replacement_of_every_host(self, two):
        version = two.publish()
        two.transport.run(ACTIVATION_MAX_S)
        two.store.stale = dict.fromkeys(two.all_hosts, 1)
        for host_id in list(two.all_hosts):
            member = two.members[host_id].membership
            two.send(host_id, member.leave(two.now))
            two.transport.run(0.5)
            two.crash(host_id)
            two.transport.run(0.5)
            two.start(host_id)
        two.transport.run(defaults.STARTUP_TIMEOUT_S)
        assert set(two.versions().values()) == {version}
        for member in two.members.values():
            seen = [e for e in member.activations if e.name == "configuration"]
            assert [item.version for item in seen] == [version]

    def test_process_without_replies_serves_the_platform_copy(self):
        made = fleet.Fleet({("bagmati", "kirtipur"): 3})
        made.publish()
        made.start("kirtipur-1")
        made.transport.run(defaults.STARTUP_WAIT_S * 2)
        assert made.versions() == {"kirtipur-1": 1}

    def test_reader_notifies_others_before_it_activates_a_version(self, one):
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        at = {
            host_id: item.at
            for host_id, member in one.members.items()
            for item in member.activations
            if item.name == "configuration" and item.version == version
        }
        first_host = min(at, key=lambda host_id: at[host_id])
        assert first_host not in one.readers()


class TestPause:
    @pytest.mark.parametrize("number", range(16))
    def test_resumed_node_admits_only_with_the_newest_version(
        self, one, number
    ):
        host_id = f"kirtipur-{number}"
        one.transport.pause(host_id)
        one.transport.run(2.0)
        version = one.publish()
        one.transport.run(ACTIVATION_MAX_S)
        one.transport.resume(host_id)
        resumed = one.members[host_id]
        detector = resumed.dissemination.pause_detector
        assert not detector.confirmed(one.now)
        for _ in range(60):
            one.transport.run(0.05)
            if detector.confirmed(one.now):
                assert resumed.version == version
        assert detector.confirmed(one.now)


class TestSections:
    def test_delta_contains_only_changed_sections(self):
        old = publication.empty("x").replace(1, {"a": b"1", "b": b"1"})
        new = old.replace(2, {"a": b"1", "b": b"2"})
        delta = new.since(1)
        assert [item.name for item in delta.sections] == ["b"]
        assert old.apply(delta) == new

    def test_section_is_removed_on_every_older_version(self):
        first = publication.empty("x").replace(1, {"a": b"1", "b": b"1"})
        second = first.replace(2, {"b": b"2"})
        third = second.replace(3, {"b": b"3"})
        applied = first.apply(third.since(1))
        assert set(applied.sections) == {"b"}
        assert set(second.apply(third.since(2)).sections) == {"b"}

    def test_corrupt_section_is_not_applied(self):
        old = publication.empty("x").replace(1, {"a": b"1"})
        delta = old.replace(2, {"a": b"2"}).since(1)
        damaged = publication.Section("a", 2, 7, delta.sections[0].body)
        broken = publication.Delta(1, 2, (damaged,), {})
        assert old.apply(broken) is None

    def test_delta_from_another_base_version_is_not_applied(self):
        old = publication.empty("x").replace(1, {"a": b"1"})
        new = old.replace(5, {"a": b"5"}).replace(6, {"a": b"6"})
        assert old.apply(new.since(5)) is None


class TestParts:
    def test_large_delta_is_reassembled_from_reordered_parts(
        self, monkeypatch
    ):
        monkeypatch.setattr(defaults, "DELTA_PART_BYTES", 64)
        made = fleet.Fleet(ONE_DATA_CENTRE, conditions=LOSSY)
        noise = {
            f"routes/{number}": made.random.randbytes(200)
            for number in range(20)
        }
        version = made.publish(others=noise)
        made.start_all()
        made.transport.run(2 * defaults.STARTUP_TIMEOUT_S)
        assert nodes_behind(made, version) == {}
        replicas = made.members["kirtipur-0"].dissemination.replicas
        parts = replicas["configuration"].since(0)
        assert len(parts) == defaults.DELTA_PARTS_PER_PULL
        assert parts[0].parts > 5 * len(parts)

    def test_announced_version_that_never_arrives_is_dropped(self, one):
        dissemination = one.members["kirtipur-0"].dissemination
        dissemination.newer_version_seen("kirtipur-1", 1 << 40, one.now)
        assert dissemination.lagging
        one.transport.run(defaults.ANNOUNCED_MAX_S + 1.0)
        assert not dissemination.lagging
