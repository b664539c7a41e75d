"""Routing by two choices, shed levels, failures and link budget."""

import collections
import random

from fakes import documents
import pytest

from savorytally import results
from savorytally.decisions import balanced
from savorytally.decisions import host_health
from savorytally.decisions import link_budget
from savorytally.decisions import routing
from savorytally.decisions import shedding
from savorytally.world import hosts
from savorytally.world import region
from savorytally.world import route

HERE = region.Place("bagmati", "kirtipur")
BROWSING = route.Priority.BROWSING
CRITICAL = route.Priority.CRITICAL
ROUTE = route.Route(
    "r", "browse", {}, "GET", "/", BROWSING, True, False, 1_000
)


def hosts_of(count: int, service: str = "browse"):
    listed = {
        f"h{number}": documents.host(service, number, 1000 + number)
        for number in range(count)
    }
    return hosts.read(1, listed).hosts


@pytest.fixture
def router(himali):
    made = balanced.BalancedRouting(HERE, random.Random(7))
    made.learn_configuration(himali, 0.0)
    made.learn_hosts(hosts_of(8), 0.0)
    return made


def request_for(priority=BROWSING, **fields):
    def admits(level):
        return shedding.admits(level, priority, 0)

    return routing.RoutingRequest("browse", "r", priority, admits, **fields)


def report(host_id, ok=True, level=0, size_bytes=0):
    return routing.Result(host_id, "r", ok, level, 0.01, size_bytes)


def send_all(router, count, request, now=1.0):
    chosen = collections.Counter()
    for _ in range(count):
        choice = router.choose(request, now)
        assert isinstance(choice, routing.Chosen)
        router.sent(choice.host.host_id, now)
        chosen[choice.host.host_id] += 1
    return chosen


class TestBalancedRouting:
    def test_stays_in_region_and_spreads(self, router):
        chosen = send_all(router, 400, request_for())
        assert set(chosen) == {"h0", "h2", "h4", "h6"}
        assert max(chosen.values()) - min(chosen.values()) <= 20

    def test_local_data_centre_is_preferred_when_idle(self, router):
        host_id = router.choose(request_for(), 1.0).host.host_id
        assert host_id in ("h0", "h4")

    def test_tried_hosts_are_left_out(self, router):
        tried = frozenset({"h0", "h2", "h4"})
        assert (
            router.choose(request_for(tried=tried), 1.0).host.host_id == "h6"
        )

    def test_failing_host_is_avoided_then_probed_once(self, router):
        for _ in range(3):
            router.sent("h0", 1.0)
            router.done(report("h0", ok=False, level=-1), 1.0)
        others = frozenset(f"h{number}" for number in range(1, 8))
        request = request_for(BROWSING, tried=others)
        later = 1.0 + host_health.OPEN_MIN_S
        assert isinstance(router.choose(request, 1.1), routing.Unavailable)
        assert router.choose(request, later).host.host_id == "h0"
        router.sent("h0", later)
        probed_again = router.choose(request, later)
        assert isinstance(probed_again, routing.Unavailable)
        router.done(report("h0"), later)
        assert router.choose(request, later).host.host_id == "h0"

    def test_leaving_host_is_not_chosen(self, router):
        listed = {
            "h0": documents.host("browse", 0, 1000, "leaving"),
            "h4": documents.host("browse", 4, 1004),
        }
        router.learn_hosts(hosts.read(2, listed).hosts, 2.0)
        assert set(send_all(router, 50, request_for())) == {"h4"}

    def test_shed_browsing_stays_in_region(self, router):
        level = shedding.rank(BROWSING, 0) + shedding.STEPS
        for host_id in ("h0", "h2", "h4", "h6"):
            router.done(report(host_id, level=level), 1.0)
        refused = router.choose(request_for(), 1.0)
        assert refused.code is results.SHED_AT_ENTRY
        assert refused.retry_after_ms > 0

    def test_shed_critical_crosses_within_link_budget(self, router):
        for host_id in ("h0", "h2", "h4", "h6"):
            router.done(report(host_id, level=shedding.LEVEL_MAX), 1.0)
        crossing = router.choose(request_for(CRITICAL), 1.0)
        assert crossing.host.host_id in ("h1", "h3", "h5", "h7")
        router.done(report(crossing.host.host_id, size_bytes=50_000_000), 1.0)
        spent = router.choose(request_for(CRITICAL), 1.0)
        assert spent.code is results.LINK_BUDGET_SPENT

    def test_level_without_updates_decays(self, router):
        for host_id in ("h0", "h2", "h4", "h6"):
            router.done(report(host_id, level=shedding.LEVEL_MAX), 1.0)
        assert router.route_level(ROUTE, 1.0) == shedding.LEVEL_MAX
        assert router.route_level(ROUTE, 10.0) == 0

    def test_level_of_one_route_does_not_affect_another(self, router):
        for host_id in ("h0", "h2", "h4", "h6"):
            router.done(report(host_id, level=shedding.LEVEL_MAX), 1.0)
        other = routing.RoutingRequest(
            "browse", "other", BROWSING, lambda level: level == 0
        )
        assert isinstance(router.choose(other, 1.0), routing.Chosen)


class TestLinkBudget:
    def test_nodes_of_a_region_share_the_link(self, himali):
        budgets = []
        for _ in range(4):
            budget = link_budget.LinkBudget(HERE)
            budget.learn_configuration(himali, 0.0)
            budget.learn_hosts(hosts_of(8), 0.0)
            budgets.append(budget)
        moved = 0
        for budget in budgets:
            for tenth in range(100):
                now = tenth / 10
                while budget.allows("gandaki", 10_000, CRITICAL, now):
                    budget.charge("gandaki", 10_000, now)
                    moved += 10_000
        link = himali.links[("bagmati", "gandaki")]
        rate = link.bits_per_s * link.call_share / 8
        assert moved <= rate * (10 + link_budget.BURST_S)

    def test_low_classes_leave_budget_for_higher_ones(self, himali):
        budget = link_budget.LinkBudget(HERE)
        budget.learn_configuration(himali, 0.0)
        while budget.allows("gandaki", 10_000, BROWSING, 0.0):
            budget.charge("gandaki", 10_000, 0.0)
        assert budget.allows("gandaki", 10_000, CRITICAL, 0.0)


class TestShedding:
    def test_higher_class_is_never_shed_first(self):
        for level in range(shedding.LEVEL_MAX + 1):
            lower = any(
                shedding.admits(level, BROWSING, number)
                for number in range(shedding.STEPS)
            )
            higher = all(
                shedding.admits(level, CRITICAL, number)
                for number in range(shedding.STEPS)
            )
            assert higher or not lower
