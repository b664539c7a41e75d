"""Leaving hosts, incarnations, backoff and the age of the host list."""

import random

from fakes import fleet
from fakes import transport
import pytest

from savorytally import defaults
from savorytally.decisions import reachability
from savorytally.decisions import shard_ownership
from savorytally.peer import dissemination_messages
from savorytally.peer import messages
from savorytally.world import host

PLACES = {("bagmati", "kirtipur"): 12, ("gandaki", "pokhara"): 8}
LEAVING_S = 2.0


@pytest.fixture
def made() -> fleet.Fleet:
    """A fleet of two data centres whose network loses messages."""
    fleet_ = fleet.Fleet(
        PLACES, conditions=transport.NetworkConditions(loss_rate=0.1)
    )
    fleet_.publish()
    fleet_.start_all()
    return fleet_


def leave(made: fleet.Fleet, host_id: str) -> None:
    """Make a host announce that it is leaving."""
    member = made.members[host_id].membership
    made.send(host_id, member.leave(made.now))


def nodes_that_choose(made: fleet.Fleet, host_id: str) -> list[str]:
    """Return the nodes that consider a host usable for new work."""
    return [
        name
        for name, item in made.members.items()
        if item.membership.usable(host_id, made.now)
    ]


class TestLeaving:
    def test_no_node_chooses_leaving_host_after_2_s(self, made):
        leave(made, "kirtipur-3")
        made.transport.run(LEAVING_S)
        assert nodes_that_choose(made, "kirtipur-3") == []

    @pytest.mark.parametrize("number", range(4))
    def test_no_node_chooses_it_in_a_large_data_centre(self, number):
        place = {("bagmati", "kirtipur"): 64}
        conditions = transport.NetworkConditions(loss_rate=0.1)
        many = fleet.Fleet(place, seed=number, conditions=conditions)
        many.publish()
        many.start_all()
        leave(many, f"kirtipur-{number}")
        many.transport.run(LEAVING_S)
        assert nodes_that_choose(many, f"kirtipur-{number}") == []

    def test_relay_trees_alone_reach_every_node(self, monkeypatch):
        monkeypatch.setattr(defaults, "HOST_STATUS_FAN_OUT", 0)
        many = fleet.Fleet({("bagmati", "kirtipur"): 64})
        many.publish()
        many.start_all()
        leave(many, "kirtipur-3")
        many.transport.run(LEAVING_S)
        assert nodes_that_choose(many, "kirtipur-3") == []

    def test_peer_with_an_open_stream_is_notified_directly(self, made):
        member = made.members["kirtipur-3"].membership
        hello = messages.Hello(1, "pokhara-5", 7)
        member.receive("pokhara-5", hello, made.now)
        notified = {item.host_id for item in member.leave(made.now)}
        assert "pokhara-5" in notified

    def test_peer_that_connects_later_is_notified(self, made):
        leave(made, "kirtipur-3")
        member = made.members["kirtipur-3"].membership
        hello = messages.Hello(1, "pokhara-5", 7)
        sent = member.receive("pokhara-5", hello, made.now)
        assert [item.host_id for item in sent] == ["pokhara-5"]
        assert sent[0].message.leaving

    def test_goodbye_marks_a_leaving_host(self, made):
        member = made.members["kirtipur-3"].membership
        now = made.now
        member.receive("pokhara-5", messages.Hello(1, "pokhara-5", 999), now)
        member.receive("pokhara-5", messages.Goodbye(True), now)
        assert not member.usable("pokhara-5", now)

    def test_host_removed_from_the_list_is_not_chosen(self, made):
        hosts = dict(made.all_hosts)
        del hosts["kirtipur-3"]
        made.crash("kirtipur-3")
        made.publish_hosts(hosts)
        made.transport.run(3.0)
        assert nodes_that_choose(made, "kirtipur-3") == []

    def test_host_listed_as_leaving_is_not_chosen(self, made):
        hosts = dict(made.all_hosts)
        old = hosts["kirtipur-3"]
        hosts["kirtipur-3"] = host.Host(
            old.host_id,
            old.service_id,
            old.place,
            old.address,
            old.peer_port,
            host.HostState.LEAVING,
        )
        made.publish_hosts(hosts)
        made.transport.run(3.0)
        assert nodes_that_choose(made, "kirtipur-3") == []


class TestIncarnation:
    def test_new_incarnation_overrides_an_earlier_status(self, made):
        member = made.members["kirtipur-3"].membership
        note = dissemination_messages.HostUpdate("", "pokhara-5", 100, True)
        member.receive("pokhara-5", note, made.now)
        assert not member.usable("pokhara-5", made.now)
        later = messages.Hello(1, "pokhara-5", 101)
        member.receive("pokhara-5", later, made.now)
        assert member.usable("pokhara-5", made.now)

    def test_late_status_of_an_earlier_incarnation_is_ignored(self, made):
        member = made.members["kirtipur-3"].membership
        now = made.now
        back = dissemination_messages.HostUpdate("", "pokhara-5", 101, False)
        member.receive("pokhara-5", back, now)
        late = dissemination_messages.HostUpdate("", "pokhara-5", 100, True)
        member.receive("pokhara-1", late, now)
        assert member.usable("pokhara-5", now)

    def test_working_host_overrides_a_false_status(self, made):
        host_id = "kirtipur-3"
        number = made.members[host_id].membership.incarnation
        false = dissemination_messages.HostUpdate(
            "", host_id, number + 50, True
        )
        for item in made.members.values():
            item.membership.receive("kirtipur-1", false, made.now)
        made.transport.run(8.0)
        others = set(made.members) - {host_id}
        assert set(nodes_that_choose(made, host_id)) >= others


class TestBackoff:
    def test_lost_peer_is_not_chosen_until_its_backoff_ends(self, made):
        member = made.members["kirtipur-3"].membership
        now = made.now
        for _ in range(8):
            member.receive("pokhara-5", messages.PeerDisconnected(), now)
        assert not member.usable("pokhara-5", now)
        assert member.usable("pokhara-5", now + defaults.RECONNECT_MAX_S)

    def test_reconnections_are_spread_out_by_jitter(self):
        ready = set()
        for seed in range(50):
            peers = reachability.PeerReachability(random.Random(seed))
            for _ in range(8):
                peers.lost("peer", 0.0)
            max_s = defaults.RECONNECT_MAX_S
            steps = [max_s * part / 100 for part in range(101)]
            ready.add(next(x for x in steps if peers.reachable("peer", x)))
        assert min(ready) >= defaults.RECONNECT_MAX_S / 2
        assert len(ready) > 10


class TestListAge:
    def test_list_age_counts_from_the_query(self, made):
        member = made.members["kirtipur-3"]
        made.store.down = set(made.all_hosts)
        made.transport.conditions = transport.NetworkConditions(0.4, 0.4)
        made.transport.run(2.0)
        began = made.now
        made.store.down.clear()
        made.transport.run(10.0)
        age = made.now - member.evidence.confirmed_at()
        assert member.evidence.confirmed_at() > began
        assert age >= 0.4

    def test_list_is_confirmed_on_every_node_within_the_limit(self, made):
        made.transport.run(10.0)
        ages = {
            name: made.now - item.evidence.confirmed_at()
            for name, item in made.members.items()
        }
        assert max(ages.values()) <= shard_ownership.LIST_CONFIRM_MAX_S

    def test_list_is_not_confirmed_while_the_platform_is_down(self, made):
        made.store.down = set(made.all_hosts)
        began = made.now
        made.transport.run(10.0)
        for item in made.members.values():
            assert item.evidence.confirmed_at() <= began


class TestRestartWithoutPlatform:
    def test_restarted_host_gets_the_configuration_from_peers(self, made):
        made.store.down = set(made.all_hosts)
        made.crash("kirtipur-3")
        made.transport.run(1.0)
        made.start("kirtipur-3")
        made.transport.run(15.0)
        assert made.members["kirtipur-3"].version == 1
