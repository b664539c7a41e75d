"""Ownership of shards and its use by the execution record."""

import math
import random

import pytest

from savorytally import defaults
from savorytally import results
from savorytally.decisions import execution_record
from savorytally.decisions import executor_choice
from savorytally.decisions import list_age
from savorytally.decisions import list_confirmation
from savorytally.decisions import shard_ownership
from savorytally.peer import host_list_messages
from savorytally.world import host
from savorytally.world import region

NAMES = ("a", "b", "c")
START = 1_000.0
WAIT_S = shard_ownership.TAKEOVER_WAIT_S


def host_list(version, *names):
    return host.HostList(
        version,
        {
            name: host.Host(
                name, "browse", region.Place("r", "d"), "127.0.0.1", 1
            )
            for name in names
        },
    )


def shard_of(owner, *names):
    """Return a shard that the given host owns among the given hosts."""
    ranking = shard_ownership.Ranking(frozenset(names))
    return next(
        f"shard{number}"
        for number in range(1000)
        if ranking.owner(f"shard{number}") == owner
    )


class Node:
    """Shard ownership of one node, with confirming hosts simulated."""

    def __init__(self, name, fresh=False):
        self.evidence = list_age.ListAge()
        self.witnesses = list_confirmation.ListConfirmations(random.Random(1))
        self.owned = shard_ownership.Ownership(
            name, lambda item: True, self.evidence, self.witnesses, fresh
        )

    def learn(self, listed, now):
        """Apply a list that was just read from the platform."""
        self.witnesses.learn(listed.version, now)
        self.owned.learn_hosts(listed, now)
        self.evidence.confirm(now)

    def reply_to_queries(self, version, now, held_ms=0):
        """Let every queried host report the version that it holds.

        :param held_ms: time in milliseconds for which it has held the version.
        """
        for item in self.witnesses.tick(now):
            reply = host_list_messages.HostListReply(
                item.message.nonce, version, held_ms
            )
            self.witnesses.receive(item.host_id, reply, now)

    def acts(self, shard, now, version=1):
        """Confirm the list, let the queried hosts reply, and check again."""
        self.evidence.confirm(now)
        self.owned.acts(shard, now)
        self.reply_to_queries(version, now)
        return self.owned.acts(shard, now)


class TestTakeoverWait:
    def test_restarted_node_waits(self):
        made = Node("a")
        made.learn(host_list(1, *NAMES), START)
        shard = shard_of("a", *NAMES)
        assert not made.acts(shard, START)
        assert not made.acts(shard, START + WAIT_S - 0.1)
        assert made.acts(shard, START + WAIT_S)

    def test_fresh_node_acts_at_once(self):
        made = Node("a", fresh=True)
        made.learn(host_list(1, *NAMES), START)
        assert made.acts(shard_of("a", *NAMES), START)
        assert not made.acts(shard_of("b", *NAMES), START)

    def test_wait_starts_when_confirming_hosts_have_the_list(self):
        made = Node("a")
        made.learn(host_list(1, *NAMES), START)
        shard = shard_of("a", *NAMES)
        late = START + 100.0
        assert not made.acts(shard, late)
        assert not made.acts(shard, late + WAIT_S - 0.1)
        assert made.acts(shard, late + WAIT_S)

    def test_new_owner_waits_for_a_lost_owner(self):
        made = Node("a", fresh=True)
        made.learn(host_list(1, *NAMES), START)
        shard = shard_of("b", *NAMES)
        new_owner = shard_ownership.Ranking(frozenset("ac")).owner(shard)
        made = Node(new_owner, fresh=True)
        made.learn(host_list(1, *NAMES), START)
        made.learn(host_list(2, "a", "c"), START + 1)
        assert not made.acts(shard, START + 1, 2)
        assert not made.acts(shard, START + WAIT_S, 2)
        assert made.acts(shard, START + 1 + WAIT_S, 2)


class TestFencing:
    def make(self):
        made = Node("a", fresh=True)
        made.learn(host_list(1, *NAMES), START)
        shard = shard_of("a", *NAMES)
        assert made.acts(shard, START)
        return made, shard

    def test_paused_owner_is_fenced(self):
        made, shard = self.make()
        assert not made.owned.acts(shard, START + 60.0)

    def test_owner_without_platform_acts_while_the_majority_agrees(self):
        made, shard = self.make()
        later = START + 60.0
        made.owned.acts(shard, later)
        made.reply_to_queries(1, later)
        assert made.owned.acts(shard, later + 1.0)
        assert not made.owned.acts(shard, later + 10.0)

    def test_owner_is_fenced_by_a_newer_list_on_other_hosts(self):
        made, shard = self.make()
        later = START + 60.0
        made.owned.acts(shard, later)
        made.reply_to_queries(2, later)
        assert not made.owned.acts(shard, later + 1.0)

    def test_new_list_after_unconfirmed_time_restarts_the_wait(self):
        made, shard = self.make()
        later = START + 60.0
        made.witnesses.learn(2, later)
        made.owned.learn_hosts(host_list(2, *NAMES), later)
        assert not made.acts(shard, later, 2)


class TestRelease:
    def test_owner_releases_once_and_only_to_the_new_owner(self):
        shard = shard_of("d", *NAMES, "d")
        owner = shard_ownership.Ranking(frozenset(NAMES)).owner(shard)
        made = Node(owner, fresh=True)
        made.learn(host_list(1, *NAMES), START)
        assert made.acts(shard, START)
        assert made.owned.release(shard, "d", START) is None
        made.learn(host_list(2, *NAMES, "d"), START + 1)
        other = next(name for name in NAMES if name != owner)
        assert made.owned.release(shard, other, START + 1) is None
        assert made.owned.release(shard, "d", START + 1) == -math.inf
        assert made.owned.release(shard, "d", START + 1) is None


class TestRecord:
    KEY = execution_record.Key("org1", "order-17")

    def make(self, name, fresh=True):
        made = Node(name, fresh)
        made.learn(host_list(1, *NAMES), START)
        return execution_record.ExecutionRecord("browse", made.owned)

    def owner(self):
        shard = executor_choice.record_shard("browse", self.KEY)
        return shard_ownership.Ranking(frozenset(NAMES)).owner(shard)

    def test_only_the_owner_runs(self):
        for name in NAMES:
            decision = self.make(name).begin(self.KEY, START, START)
            if name == self.owner():
                assert decision is execution_record.RUN
            else:
                assert decision.code is results.OWNER_UNSETTLED

    def test_fenced_owner_does_not_start(self):
        made = self.make(self.owner())
        assert made.begin(self.KEY, START, START) is execution_record.RUN
        refusal = made.start(self.KEY, START + 60.0)
        assert refusal.code is results.OWNER_UNSETTLED
        made.finish(self.KEY, refusal, START + 60.0)
        assert len(made) == 0

    @pytest.mark.parametrize("ahead_s", [6.0, 3600.0])
    def test_key_from_the_future_does_not_run(self, ahead_s):
        made_ms = int((START + ahead_s) * 1000)
        key = execution_record.Key(
            "o", f"{made_ms << 80 | 7 << 76 | 2 << 62:032x}"
        )
        for name in NAMES:
            decision = self.make(name).begin(key, START, START)
            assert decision.code in (
                results.MALFORMED_REQUEST,
                results.OWNER_UNSETTLED,
            )

    def test_full_record_rejects_new_requests(self, monkeypatch):
        monkeypatch.setattr(execution_record, "RECORDS_MAX", 0)
        decision = self.make(self.owner()).begin(self.KEY, START, START)
        assert decision.code is results.RECORD_FULL

    def test_outcome_expires_after_the_retention_window(self):
        made = self.make(self.owner())
        made.begin(self.KEY, START, START)
        made.start(self.KEY, START)
        made.finish(self.KEY, None, START)
        made.expire(START + defaults.RECORD_RETENTION_S - 1)
        assert len(made) == 1
        made.expire(START + defaults.RECORD_RETENTION_S)
        assert len(made) == 0
