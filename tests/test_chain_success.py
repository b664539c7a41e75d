"""A service at the end of call chains that rejects most of what arrives."""

import heapq
import random

import pytest

from savorytally.decisions import chain_success

HOSTS = 10
DAY_S = 30.0
REJECTION = (8.0, 16.5)
REJECTED = 0.55
CALL_S = 0.04
SHARE_S = 0.2
PAGE = ("page", 2)
SEEDS = range(4)
# Targets: share of a day's requests that fail after they have begun, and time
# until all are admitted after the rejections.
FAILED_MAX = 0.03
RECOVERY_S = 2.0


class Day:
    """Requests at the hosts of a data centre that each make several calls.

    :param calls: calls per request.
    :param rate_per_s: new requests per second of the data centre.
    :param active: whether hosts refuse requests.
    :param rejected: rejected fraction of the calls during the rejections.
    """

    def __init__(
        self, seed, calls, rate_per_s, active=True, rejected=REJECTED
    ):
        self.source = random.Random(seed)
        self.calls = calls
        self.rate_per_s = rate_per_s
        self.active = active
        self.rejected = rejected
        self.hosts = [chain_success.ChainSuccess() for _ in range(HOSTS)]
        # Hosts whose requests call rejecting upstreams.
        self.affected = self.hosts
        self.events = []
        self.number = 0
        # Times of all requests, of refusals and of runs that failed.
        self.offered, self.refused, self.failed, self.run = [], [], [], []

    def at(self, when, act, *given):
        self.number += 1
        heapq.heappush(self.events, (when, self.number, act, given))

    def play(self):
        now = 0.0
        while now < DAY_S:
            now += self.source.expovariate(self.rate_per_s)
            self.at(now, self.arrive, True)
        for step in range(int(DAY_S / SHARE_S)):
            self.at(step * SHARE_S, self.share)
        while self.events:
            now, _, act, given = heapq.heappop(self.events)
            act(now, *given)
        return self

    def share(self, now):
        """Share as the nodes do; the first host reads for the others."""
        reader, *followers = self.hosts
        for host in followers:
            reader.merge(host.take_samples(), now)
        reader.take_samples()
        for host in followers:
            host.apply_means(reader.means(now), now)

    def arrive(self, now, is_new):
        self.offered.append(now)
        host = self.source.choice(self.hosts)
        if self.active and host.refuses(PAGE, self.source.random(), now):
            self.refused.append(now)
            if is_new:
                self.at(
                    now + self.source.uniform(0.3, 0.7), self.arrive, False
                )
            return
        self.run.append(now)
        self.call(now, host, self.calls)

    def call(self, now, host, left):
        rejecting = REJECTION[0] <= now < REJECTION[1]
        rejecting = rejecting and host in self.affected
        if rejecting and self.source.random() < self.rejected:
            self.failed.append(now)
            host.record(PAGE, True, now)
        elif left > 1:
            self.at(now + CALL_S, self.call, host, left - 1)
        else:
            host.record(PAGE, False, now)


class TestRejections:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("rate_per_s", [40, 100, 400])
    @pytest.mark.parametrize("calls", [4, 8])
    def test_few_requests_fail_after_they_have_begun(
        self, calls, rate_per_s, seed
    ):
        """Without refusals, chains fail in the middle and are not retried."""
        day = Day(seed, calls, rate_per_s).play()
        assert len(day.failed) <= FAILED_MAX * len(day.offered)

    @pytest.mark.parametrize("calls", [4, 8])
    def test_replay_without_refusals_misses_the_target(self, calls):
        day = Day(0, calls, 100, active=False).play()
        assert len(day.failed) > 5 * FAILED_MAX * len(day.offered)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("rate_per_s", [20, 100, 400])
    @pytest.mark.parametrize("calls", [4, 8])
    def test_all_are_admitted_soon_after_the_end(
        self, calls, rate_per_s, seed
    ):
        """Refusals that outlast their cause lose requests that can run."""
        day = Day(seed, calls, rate_per_s).play()
        assert all(at < REJECTION[1] + RECOVERY_S for at in day.refused)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_few_probes_notice_the_end(self, seed):
        """Ten hosts with 20 requests per second run some in each second."""
        day = Day(seed, 4, 20).play()
        since = REJECTION[1]
        assert any(since <= at < since + 1.0 for at in day.run)

    @pytest.mark.parametrize("rate_per_s", [20, 100])
    def test_chains_with_a_fair_chance_run(self, rate_per_s):
        """One upstream of ten that fails costs a third of the chains."""
        day = Day(1, 4, rate_per_s, rejected=0.1).play()
        assert len(day.refused) <= 0.01 * len(day.offered)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("rate_per_s", [20, 100])
    def test_one_failing_upstream_does_not_refuse_at_other_hosts(
        self, rate_per_s, seed
    ):
        """The successful runs of the other hosts have to be known."""
        day = Day(seed, 4, rate_per_s, rejected=1.0)
        day.affected = day.hosts[3:4]
        day.play()
        share = 1 / HOSTS + 0.01
        rejection_s = REJECTION[1] - REJECTION[0]
        assert len(day.refused) <= share * rejection_s * rate_per_s


class TestKinds:
    def record(self, kind, count, failed=True):
        known = chain_success.ChainSuccess()
        for _ in range(count):
            known.record(kind, failed, 1.0)
        return known

    def test_few_samples_do_not_refuse(self):
        known = self.record(PAGE, 3)
        assert not known.refuses(PAGE, 0.0, 1.0)

    def test_other_routes_are_not_refused(self):
        """Direct callers of the rejecting service have a chance of 45 %."""
        known = self.record(PAGE, 20)
        assert known.refuses(PAGE, 0.9, 1.0)
        assert not known.refuses(("ledger", 2), 0.0, 1.0)

    def test_less_urgent_requests_do_not_replace_urgent_ones(self):
        known = self.record(PAGE, 20)
        assert known.refuses(("page", 18), 0.9, 1.0)
        assert not known.refuses(("page", 0), 0.0, 1.0)

    def test_refusals_end_without_evidence(self):
        """Otherwise, a kind without probes would be refused for good."""
        known = self.record(PAGE, 20)
        assert not known.refuses(PAGE, 0.0, 1.0 + 2 * RECOVERY_S)

    def test_received_share_expires_without_updates(self):
        known = chain_success.ChainSuccess()
        known.apply_means({PAGE: 1.0}, 1.0)
        assert known.refuses(PAGE, 0.5, 1.1)
        assert not known.refuses(PAGE, 0.0, 1.0 + RECOVERY_S)

    def test_hosts_without_failures_report_nothing(self):
        known = self.record(PAGE, 20, failed=False)
        assert known.take_samples() == {}
        assert known.means(1.0) == {}

    def test_routes_that_a_configuration_drops_are_forgotten(self):
        """Otherwise, each route that ever failed would stay in memory."""
        known = self.record(PAGE, 20)
        known.retain({"other"})
        assert known.shares(1.0) == {}

    def test_end_of_failures_is_published(self):
        known = self.record(PAGE, 20)
        assert known.means(1.0)[PAGE] > 0.9
        for _ in range(40):
            known.record(PAGE, False, 1.5)
        assert known.means(1.5)[PAGE] == 0.0
