"""Overload decisions of the data plane under simulated load."""

import heapq
import random

import pytest

from savorytally.decisions import backpressure
from savorytally.decisions import call_fanout
from savorytally.decisions import gate_queue
from savorytally.decisions import parent_matching
from savorytally.decisions import placement
from savorytally.decisions import poison_requests
from savorytally.decisions import retry_budget
from savorytally.decisions import retry_slack
from savorytally.decisions import shared_rates
from savorytally.decisions import weighted_split
from savorytally.world import catalog

SEEDS = range(5)


def instance(name, place="low-a", **changes):
    """Return an upstream of the service almanac."""
    given = {
        "instance_id": name,
        "service": "almanac",
        "address": name,
        "port": 1,
        "data_centre": place,
        "slots": 10,
        "ready": True,
        "cold_s": 0.0,
    }
    return catalog.Instance(**{**given, **changes})


def job(rank=1, child=False, deadline=1e9, objective_s=1.0, context=None):
    """Return a request at the gate."""
    return gate_queue.Job(
        rank=rank,
        child=child,
        route="r",
        deadline=deadline,
        objective_s=objective_s,
        context=context,
    )


class Overload:
    """A gate queue with a load of ``times`` its upstream's capacity."""

    def __init__(self, seed, times, seconds=6.0, run_s=0.05, slots=11):
        self.queue = gate_queue.GateQueue()
        self.queue.learn_slots(slots)
        self.run_s = run_s
        self.served = {0: 0, 1: 0, 2: 0}
        self.offered = {0: 0, 1: 0, 2: 0}
        self.waited_s = []
        source = random.Random(seed)
        capacity = self.queue.limit / run_s
        self.ends = []
        now = 0.0
        while now < seconds:
            now += source.expovariate(capacity * times)
            self.finish(now)
            for late in self.queue.remove_overdue(now):
                self.waited_s.append(now - late.arrived)
            rank = source.choice((0, 1, 1, 2, 2, 2))
            self.offered[rank] += 1
            offered = job(rank, objective_s=0.3, deadline=now + 1.2)
            verdict = self.queue.offer(offered, now)
            if verdict is gate_queue.Decision.START:
                self.start(offered, now)
        # The queue is no longer checked while the last requests run.
        held_s = list(self.waited_s)
        self.finish(1e6)
        self.waited_s = held_s

    def start(self, started, now):
        heapq.heappush(self.ends, (now + self.run_s, id(started), started))

    def finish(self, until):
        while self.ends and self.ends[0][0] <= until:
            now, _, ended = heapq.heappop(self.ends)
            self.served[ended.rank] += 1
            change = self.queue.finish(ended, self.run_s, now)
            for late in change.dropped:
                self.waited_s.append(now - late.arrived)
            for waiting in change.started:
                self.start(waiting, now)


class TestGateQueue:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_urgent_requests_are_served_in_a_lasting_overload(self, seed):
        load = Overload(seed, times=1.7)
        shares = {
            rank: load.served[rank] / load.offered[rank] for rank in (0, 1, 2)
        }
        assert shares[0] > 0.99
        assert shares[0] >= shares[1] >= shares[2]

    @pytest.mark.parametrize("seed", SEEDS)
    def test_capacity_is_used_while_requests_are_refused(self, seed):
        load = Overload(seed, times=1.7)
        possible = load.queue.limit / load.run_s * 6.0
        assert sum(load.served.values()) > 0.95 * possible

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_request_waits_longer_than_it_is_useful(self, seed):
        load = Overload(seed, times=3.0)
        between_checks_s = 0.05
        longest_s = gate_queue.WAIT_SHARE * 0.3 + between_checks_s
        assert all(held_s <= longest_s for held_s in load.waited_s)

    def test_child_calls_precede_new_requests_of_the_same_rank(self):
        queue = gate_queue.GateQueue()
        queue.learn_slots(2)
        first = job()
        queue.offer(first, 0.0)
        queue.offer(job(context="new"), 0.0)
        queue.offer(job(child=True, context="call"), 0.0)
        (next_job,) = queue.finish(first, 0.05, 0.05).started
        assert next_job.context == "call"

    def test_withdrawn_request_frees_its_place(self):
        queue = gate_queue.GateQueue()
        queue.learn_slots(2)
        first, second, third = job(), job(context=2), job(context=3)
        for offered in (first, second, third):
            queue.offer(offered, 0.0)
        queue.cancel(second)
        assert queue.waiting == 1
        (started,) = queue.finish(first, 0.05, 0.05).started
        assert started is third

    def test_late_request_is_dropped_before_its_deadline(self):
        queue = gate_queue.GateQueue()
        queue.learn_slots(2)
        queue.offer(job(), 0.0)
        late = job(child=True, deadline=0.3)
        queue.offer(late, 0.0)
        assert queue.remove_overdue(0.2) == []
        assert queue.remove_overdue(0.29) == [late]


PAGE = ("page", 0)


class TestBackpressure:
    def test_refused_fraction_grows_and_stays_below_one(self):
        pressure = backpressure.Backpressure()
        source = random.Random(1)

        def refused(wait_s):
            for _ in range(20):
                pressure.note(PAGE, wait_s, 0.0)
            return sum(
                pressure.refuses(PAGE, 1.0, False, source.random(), 0.0)
                for _ in range(500)
            )

        parts = [refused(wait_s) for wait_s in (0.05, 0.2, 0.3, 5.0)]
        assert parts[0] == 0
        assert parts == sorted(parts)
        assert parts[3] < 500

    def test_refusals_end_soon_after_the_overload(self):
        pressure = backpressure.Backpressure()
        for _ in range(20):
            pressure.note(PAGE, 1.0, 0.0)
        assert pressure.refuses(PAGE, 1.0, False, 0.5, 0.0)
        assert not pressure.refuses(PAGE, 1.0, False, 0.0, 2.0)

    def test_retried_requests_are_preferred(self):
        pressure = backpressure.Backpressure()
        for _ in range(20):
            pressure.note(PAGE, 0.3, 0.0)
        draws = [number / 100 for number in range(100)]
        new, retried = (
            sum(
                pressure.refuses(PAGE, 1.0, returned, draw, 0.0)
                for draw in draws
            )
            for returned in (False, True)
        )
        assert 0 < retried < new

    def test_waits_of_all_calls_of_a_request_add_up(self):
        waits = backpressure.DownstreamWaits()
        for _ in range(30):
            waits.record_calls("tiles", 4)
            waits.record_wait(("tiles", 0), 0.1, 0.0)
        assert waits.expected_s(("tiles", 0), 0.0) == pytest.approx(
            0.4, rel=0.1
        )
        assert waits.expected_s(("map", 0), 0.0) == 0.0


class TestCallFanout:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_route_without_calls_is_recognised(self, seed):
        source = random.Random(seed)
        model = call_fanout.CallFanout()
        now = 0.0
        while now < 30.0:
            now += source.expovariate(40.0)
            if source.random() < 0.3:
                model.record_request("map", now)
                model.record_request("map", now)
                continue
            model.record_request("tiles", now)
            model.record_request("tiles", now)
            for _ in range(4):
                model.record_call("taxon", now)
        assert model.makes_calls("tiles", "taxon")
        assert not model.makes_calls("map", "taxon")

    @pytest.mark.parametrize("seed", SEEDS)
    def test_both_of_two_calling_routes_are_recognised(self, seed):
        source = random.Random(seed)
        model = call_fanout.CallFanout()
        now = 0.0
        while now < 30.0:
            now += source.expovariate(60.0)
            route = source.choice(("reserve", "ledger"))
            model.record_request(route, now)
            model.record_request(route, now)
            model.record_call("history", now)
        assert model.makes_calls("reserve", "history")
        assert model.makes_calls("ledger", "history")


class TestParentMatcher:
    def test_equal_deadline_determines_the_parent(self):
        known = parent_matching.ParentMatcher()
        known.request_started("page", 5.000, "first", 0.0)
        known.request_started("page", 5.020, "second", 0.1)
        match = known.match_call(
            parent_matching.ObservedCall("lookup", 4.9995, 4.8), 0.2
        )
        assert match.parent.context == "first"
        assert match.method is parent_matching.MatchMethod.EXACT

    def test_call_belongs_to_the_request_with_the_latest_response(self):
        known = parent_matching.ParentMatcher()
        first = known.request_started("page", 5.0, "first", 0.0)
        known.request_started("page", 6.0, "second", 0.1)
        first.calls = 1
        known.call_ended(first, True, 0.2)
        match = known.match_call(
            parent_matching.ObservedCall("lookup", 0.7, 0.499), 0.201
        )
        assert match.parent.context == "first"
        assert match.method is parent_matching.MatchMethod.ORDER

    def test_client_requests_are_not_matched_by_order(self):
        known = parent_matching.ParentMatcher()
        known.request_started("page", 5.0, "first", 0.0)
        seen = parent_matching.ObservedCall("page", 3.0, 2.9, exact_only=True)
        assert known.match_call(seen, 0.1) is parent_matching.NO_MATCH


class TestRetryBudget:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_stays_within_the_bound_when_half_is_rejected(self, seed):
        source = random.Random(seed)
        names = [f"10.0.0.{number}" for number in range(5)]
        shares = [
            retry_slack.SlackShare(50.0, name, 10.0, True) for name in names
        ]
        budgets = [
            retry_budget.FleetRetryBudget(0.2, 10.0, share) for share in shares
        ]
        for share in shares:
            share.learn_hosts(names, -10.0)
        events = []
        now = 0.0
        while now < 40.0:
            for share in shares:
                share.confirm_list(now)
            now += source.expovariate(300.0)
            budget = source.choice(budgets)
            budget.record_request("almanac", now)
            events.append((now, False))
            claim = retry_budget.RetryClaim(progress=source.random())
            while source.random() < 0.55:
                if not budget.spend("almanac", claim, now):
                    break
                budget.record_arrival("almanac", now)
                events.append((now, True))
        for start in range(0, 30, 1):
            within = [
                again for at, again in events if start <= at < start + 10
            ]
            retries = sum(within)
            assert retries <= 0.2 * (len(within) - retries) + 50

    @pytest.mark.parametrize("seed", SEEDS)
    def test_more_chains_complete_than_with_first_come(self, seed):
        by_progress = self.chains(seed, lambda answered: answered / 4)
        first_come = self.chains(seed, lambda answered: 1.0)
        assert by_progress > 1.2 * first_come

    def budget(self, slack):
        """Return the budget of the only host of a fleet."""
        share = retry_slack.SlackShare(slack, "10.0.0.1", 10.0, True)
        share.learn_hosts(["10.0.0.1"], -10.0)
        return retry_budget.FleetRetryBudget(0.2, 10.0, share)

    def chains(self, seed, progress):
        """Return how many of 4,000 chains of four calls complete."""
        source = random.Random(seed)
        budget = self.budget(10.0)
        now = 0.0
        completed = 0
        for _ in range(4000):
            now += 0.005
            good = True
            for answered in range(4):
                budget.record_request("almanac", now)
                claim = retry_budget.RetryClaim(progress=progress(answered))
                while good and source.random() < 0.55:
                    good = budget.spend("almanac", claim, now)
                    if good:
                        budget.record_arrival("almanac", now)
                if not good:
                    break
            completed += good
        return completed

    def test_urgent_retries_use_the_reserved_budget(self):
        budget = self.budget(0.0)
        for _ in range(1000):
            budget.record_request("almanac", 0.0)
        low = retry_budget.RetryClaim(urgency=2)
        while budget.spend("almanac", low, 0.0):
            pass
        assert budget.spend("almanac", retry_budget.RetryClaim(), 0.0)


class TestPlacement:
    def spread(self, known, count=400, source=None):
        """Return how often each upstream is chosen."""
        chosen = {}
        for _ in range(count):
            found = known.choose("almanac", "r", (), 0.5, 1.0)
            name = found.instance_id
            chosen[name] = chosen.get(name, 0) + 1
        return chosen

    def make(self, *instances):
        known = placement.Placement(
            "low-a",
            {"low-a": "low", "low-b": "low", "up-a": "up"},
            random.Random(1),
        )
        known.learn_instances(
            {item.instance_id: item for item in instances}, 0.0
        )
        return known

    def test_local_region_is_used_while_it_has_capacity(self):
        known = self.make(instance("near", "low-b"), instance("far", "up-a"))
        assert self.spread(known) == {"near": 400}

    def test_other_region_is_used_when_the_local_one_is_full(self):
        known = self.make(instance("near", "low-b"), instance("far", "up-a"))
        known.record_load("near", "r", 0.1, 60, 10, 1.0)
        known.record_load("far", "r", 0.1, 0, 10, 1.0)
        assert self.spread(known) == {"far": 400}

    @pytest.mark.parametrize(
        ("objective_s", "chosen"), [(0.3, "far"), (2.0, "near")]
    )
    def test_expensive_link_is_used_for_short_objectives_only(
        self, objective_s, chosen
    ):
        known = self.make(instance("near", "low-b"), instance("far", "up-a"))
        known.record_load("near", "r", 0.1, 35, 10, 1.0)
        known.record_load("far", "r", 0.1, 0, 10, 1.0)
        found = known.choose("almanac", "r", (), objective_s, 1.0)
        assert found.instance_id == chosen

    def test_slow_upstream_gets_fewer_requests(self):
        known = self.make(instance("fast"), instance("slow"))
        for _ in range(30):
            known.record_load("fast", "r", 0.05, 0, 10, 1.0)
            known.record_load("slow", "r", 0.25, 0, 10, 1.0)
        assert self.spread(known).get("slow", 0) == 0

    def test_failing_upstream_is_avoided_and_used_again_later(self):
        known = self.make(instance("good"), instance("grey"))
        for _ in range(20):
            known.record_outcome("grey", False, 1.0)
        assert self.spread(known).get("grey", 0) == 0
        later = [
            known.choose("almanac", "r", (), 0.5, 30.0).instance_id
            for _ in range(200)
        ]
        assert later.count("grey") > 20

    def test_draining_and_tried_upstreams_are_left_out(self):
        known = self.make(instance("a", ready=False), instance("b"))
        assert known.choose("almanac", "r", ("b",), 0.5, 1.0) is None

    def test_host_that_left_is_used_again_after_a_time(self):
        known = self.make(instance("only"))
        known.host_leaving("only", 1.0)
        assert known.choose("almanac", "r", (), 0.5, 2.0) is None
        assert known.choose("almanac", "r", (), 0.5, 5.0) is not None

    def test_new_upstream_is_used(self):
        known = self.make(instance("old"))
        for _ in range(5):
            known.record_load("old", "r", 0.05, 0, 10, 1.0)
        known.learn_instances(
            {"old": instance("old"), "new": instance("new")}, 1.0
        )
        assert self.spread(known)["new"] > 50


class TestWeightedSplits:
    @pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2, 7)])
    def test_shares_follow_the_weights(self, weights):
        route = catalog.Route(
            name="r",
            host="h",
            prefix="/",
            idempotent=True,
            timeout_s=1.0,
            objective_s=1.0,
            priority=1,
            clusters=tuple(
                catalog.Cluster(str(place), weight)
                for place, weight in enumerate(weights)
            ),
            attempts=1,
            open_to_all=True,
        )
        parts = weighted_split.WeightedSplits(random.Random(1))
        chosen = [parts.choose(route) for _ in range(300)]
        for place, weight in enumerate(weights):
            share = chosen.count(str(place)) / 300
            assert share == pytest.approx(weight / sum(weights), abs=0.02)


class Regions:
    """Rate owners of two regions that exchange demand reports with delay."""

    def __init__(self):
        self.pools = {name: self.pool(60.0) for name in ("low", "up")}

    growers = catalog.Organisation("growers", 1, 88.0, 88.0)

    def pool(self, full_until):
        """Return the state of a host that becomes rate owner."""
        pool = shared_rates.SharedRates(0.25, 20.0, 5.0, full_until)
        pool.learn_organisations({"growers": self.growers})
        pool.learn_hosts(8, 16)
        return pool

    def simulate(self, source, demand, seconds, restarts=()):
        """Return the times at which requests were granted.

        :param demand: returns the requests per second by region at a time.
        :param restarts: times at which both owners restart without state.
        """
        granted = []
        now = 0.0
        next_tell = {"low": 0.3, "up": 0.7}
        while now < seconds:
            now += 0.005
            if any(now - 0.005 < moment <= now for moment in restarts):
                self.pools = {name: self.pool(0.0) for name in self.pools}
            for name, pool in self.pools.items():
                if now >= next_tell[name]:
                    next_tell[name] += 0.8
                    other = "up" if name == "low" else "low"
                    report = pool.measure(now)
                    self.pools[other].learn_demand(name, report, now)
                count = demand(now)[name] * 0.005
                while source.random() < count:
                    count -= 1
                    if pool.grant("growers", 0, now).granted:
                        granted.append(now)
        return granted


class TestSharedRates:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        "surge",
        [{"low": 100.0, "up": 400.0}, {"low": 500.0, "up": 12.0}],
        ids=["both regions", "one region"],
    )
    def test_limit_holds_in_every_window_of_a_surge(self, seed, surge):
        def demand(now):
            return {"low": 30.0, "up": 25.0} if now < 6.0 else surge

        granted = Regions().simulate(random.Random(seed), demand, 20.0)
        limit = (88.0 * 5 + 88.0) * 1.25 + 20
        for start in range(0, 150):
            begin = start / 10
            within = sum(begin <= at < begin + 5 for at in granted)
            assert within <= limit

    @pytest.mark.parametrize("low_per_s", [0.0, 3.0, 40.0, 500.0])
    def test_shares_of_the_regions_add_up_to_one(self, low_per_s):
        def demand(now):
            return {"low": low_per_s, "up": 12.0}

        regions = Regions()
        regions.simulate(random.Random(1), demand, 12.0)
        parts = [
            pool._region_fraction("growers", Regions.growers, 12.0)
            for pool in regions.pools.values()
        ]
        assert sum(parts) == pytest.approx(1.0, abs=0.03)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_within_the_rate_is_refused_when_callers_move(self, seed):
        def demand(now):
            if now < 5.0:
                return {"low": 35.0, "up": 35.0}
            return {"low": 60.0, "up": 10.0}

        granted = Regions().simulate(random.Random(seed), demand, 15.0)
        assert len(granted) > 0.97 * 70 * 15

    @pytest.mark.parametrize("seed", SEEDS)
    def test_limit_holds_when_all_owners_restart(self, seed):
        def demand(now):
            return {"low": 300.0, "up": 300.0}

        granted = Regions().simulate(
            random.Random(seed), demand, 25.0, restarts=(8.0, 17.0)
        )
        limit = (88.0 * 5 + 88.0) * 1.25 + 20
        for start in range(0, 200):
            begin = start / 10
            within = sum(begin <= at < begin + 5 for at in granted)
            assert within <= limit

    @pytest.mark.parametrize("seed", SEEDS)
    def test_usual_demand_is_served_when_all_owners_restart(self, seed):
        def demand(now):
            return {"low": 35.0, "up": 35.0}

        source = random.Random(seed)
        granted = Regions().simulate(source, demand, 12.0, restarts=(8.0,))
        at_once = sum(8.0 <= at < 8.5 for at in granted)
        assert at_once > 0.75 * 70 * 0.5

    def test_restarted_owner_grants_nothing_without_tolerance(self):
        pool = shared_rates.SharedRates(0.0, 0.0, 5.0)
        pool.learn_organisations({"growers": Regions.growers})
        pool.learn_hosts(16, 16)
        assert not pool.grant("growers", 0, 10.0).granted
        assert pool.grant("growers", 0, 10.1).granted

    def test_urgent_routes_are_served_from_a_low_bucket(self):
        pool = shared_rates.SharedRates(0.0, 0.0, 5.0, 60.0)
        pool.learn_organisations({"growers": Regions.growers})
        pool.learn_hosts(1, 1)
        while pool.grant("growers", 2, 1.0).granted:
            pass
        assert pool.grant("growers", 0, 1.0).granted

    def test_host_without_an_owner_admits_a_small_share(self):
        alone = shared_rates.DisconnectedAllowance("10.1.0.1")
        now = 0.0
        taken = 0
        for _ in range(1000):
            now += 0.01
            taken += alone.take(Regions.growers, 16, now)
        assert 0 < taken <= 88.0 / 16 * 10

    def test_unlisted_host_stays_owner_until_it_stops(self):
        hosts = shared_rates.RateOwners("10.1.0.99", "up")
        everyone = {f"10.1.0.{number}": "low" for number in range(8)}
        hosts.learn(everyone, {}, 0.0)
        unlisted = shared_rates.rate_owner("growers", everyone)
        rest = {name: "low" for name in everyone if name != unlisted}
        hosts.learn(rest, {}, 5.0)
        assert (
            shared_rates.rate_owner("growers", hosts.regions()["low"])
            == unlisted
        )
        assert not hosts.node_refuses(unlisted)
        hosts.learn(rest, {unlisted: "low"}, 6.0)
        assert (
            shared_rates.rate_owner("growers", hosts.regions()["low"])
            == unlisted
        )
        assert hosts.node_stopping(unlisted)
        assert (
            shared_rates.rate_owner("growers", hosts.regions()["low"])
            != unlisted
        )
        hosts.learn(rest, {unlisted: "low"}, 7.0)
        assert (
            shared_rates.rate_owner("growers", hosts.regions()["low"])
            != unlisted
        )

    def test_unlisted_host_is_dropped_after_a_time(self):
        hosts = shared_rates.RateOwners("a", "low")
        hosts.learn({"a": "low", "b": "low"}, {}, 0.0)
        # The time counts from its removal, not from the change before.
        removed_at = shared_rates.OWNER_RETENTION_S + 1
        hosts.learn({"a": "low"}, {}, removed_at)
        assert hosts.regions() == {"low": ["a", "b"]}
        assert not hosts.expire(removed_at + shared_rates.OWNER_RETENTION_S)
        # No further change of the list is needed.
        assert hosts.expire(removed_at + shared_rates.OWNER_RETENTION_S + 0.1)
        assert hosts.regions() == {"low": ["a"]}

    def test_leaving_host_uses_the_same_owner_as_the_others(self):
        everyone = {f"10.1.0.{number}": "low" for number in range(8)}
        leaving = shared_rates.rate_owner("growers", everyone)
        rest = {name: "low" for name in everyone if name != leaving}
        hosts_by_address = {
            own: shared_rates.RateOwners(own, "low") for own in everyone
        }
        for hosts in hosts_by_address.values():
            hosts.learn(everyone, {}, 0.0)
        # Half of the hosts have not received the new host list yet.
        for own in sorted(everyone)[::2]:
            hosts_by_address[own].learn(rest, {leaving: "low"}, 1.0)
        assert self.owners(hosts_by_address) == {leaving}
        for hosts in hosts_by_address.values():
            hosts.learn(rest, {leaving: "low"}, 6.0)
            hosts.node_stopping(leaving)
        assert len(self.owners(hosts_by_address)) == 1
        assert leaving not in self.owners(hosts_by_address)

    def owners(self, hosts_by_address):
        """Return the owners that the hosts use."""
        return {
            shared_rates.rate_owner("growers", hosts.regions()["low"])
            for hosts in hosts_by_address.values()
        }

    def test_joining_host_counts_a_draining_owner(self):
        hosts = shared_rates.RateOwners("b", "low")
        hosts.learn({"b": "low"}, {"a": "low"}, 0.0)
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_draining_host_that_refuses_connections_owns_nothing(self):
        hosts = shared_rates.RateOwners("b", "low")
        hosts.learn({"b": "low"}, {"a": "low"}, 0.0)
        assert hosts.node_refuses("a")
        assert hosts.regions() == {"low": ["b"]}

    def test_drained_host_that_refuses_connections_owns_nothing(self):
        hosts = shared_rates.RateOwners("b", "low")
        hosts.learn({"a": "low", "b": "low"}, {}, 0.0)
        hosts.learn({"b": "low"}, {"a": "low"}, 1.0)
        hosts.learn({"b": "low"}, {}, 4.0)
        assert hosts.regions() == {"low": ["a", "b"]}
        assert hosts.node_refuses("a")
        assert hosts.regions() == {"low": ["b"]}
        hosts.learn({"a": "low", "b": "low"}, {}, 5.0)
        assert not hosts.node_refuses("a")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_only_host_of_a_region_stays_owner_while_leaving(self):
        hosts = shared_rates.RateOwners("a", "low")
        hosts.learn({"b": "up"}, {"a": "low"}, 1.0)
        assert hosts.node_stopping("a")
        assert hosts.regions() == {"low": ["a"], "up": ["b"]}

    def test_host_relisted_under_its_address_is_an_owner(self):
        hosts = shared_rates.RateOwners("a", "low")
        hosts.learn({"a": "low"}, {"b": "low"}, 0.0)
        hosts.node_stopping("b")
        hosts.learn({"a": "low", "b": "low"}, {"b": "low"}, 1.0)
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_restarted_node_stays_an_owner(self):
        hosts = shared_rates.RateOwners("a", "low")
        hosts.learn({"a": "low", "b": "low"}, {}, 0.0)
        assert not hosts.node_stopping("b")
        assert not hosts.node_refuses("b")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_all_hosts_find_the_same_owner(self):
        hosts = [f"10.1.0.{number}" for number in range(30)]
        other = list(reversed(hosts))
        for name in ("growers", "agents", "societies"):
            owner = shared_rates.rate_owner(name, hosts)
            assert shared_rates.rate_owner(name, other) == owner
            rest = [host for host in hosts if host != owner]
            assert shared_rates.rate_owner(name, rest) != owner


class TestPoisonRequests:
    def hosts(self, count=3):
        """Return hosts that receive updates at once, and a crash function.

        The crash function counts a crash in which given requests ran.
        """
        known = [poison_requests.PoisonRequests() for _ in range(count)]

        def crash(names, now):
            for update in known[0].record_crash(names, now):
                for host in known:
                    host.apply_update(update, now)

        return known, crash

    def test_request_is_refused_by_all_after_the_third_crash(self):
        known, crash = self.hosts()
        for now in (1.0, 5.0):
            crash([7, 8], now)
        assert [host.refused_s(7, 5.0) for host in known] == [0.0] * 3
        crash([7], 9.0)
        assert all(host.refused_s(7, 9.0) > 60.0 for host in known)
        assert all(host.refused_s(8, 9.0) == 0.0 for host in known)

    def test_response_at_any_host_clears_a_suspect(self):
        known, crash = self.hosts()
        for now in (1.0, 5.0):
            crash([7], now)
        update = known[2].answered(7)
        assert update is not None
        assert all(host.apply_update(update, 6.0) for host in known)
        assert not any(host.apply_update(update, 6.0) for host in known)
        crash([7], 9.0)
        assert known[0].refused_s(7, 9.0) == 0.0

    def test_response_to_another_request_is_not_announced(self):
        known, crash = self.hosts()
        crash([7], 1.0)
        assert known[0].answered(7) is None

    def test_crashes_long_apart_are_not_counted_together(self):
        known, crash = self.hosts()
        apart_s = poison_requests.COUNTED_S + 1.0
        for number in range(5):
            crash([7], number * apart_s)
        assert not any(host.watching for host in known)

    def test_refusal_ends_after_a_time(self):
        known, crash = self.hosts()
        for now in (1.0, 2.0, 3.0):
            crash([7], now)
        assert known[1].refused_s(7, 3.0 + poison_requests.REFUSED_S) == 0.0

    def test_crossing_updates_are_not_forwarded_forever(self):
        """A request is cleared while notices of suspicion are in transit."""
        known = [poison_requests.PoisonRequests() for _ in range(6)]
        in_transit = [
            (0.0, 0, poison_requests.State.SUSPECT),
            (0.0015, 1, poison_requests.State.CLEARED),
        ]
        received = 0
        while in_transit and received < 4 * len(known) ** 2:
            received += 1
            at, host, state = heapq.heappop(in_transit)
            if known[host].apply_update(poison_requests.Update(state, 7), at):
                for other in range(len(known)):
                    if other != host:
                        heapq.heappush(in_transit, (at + 0.001, other, state))
        assert not in_transit

    def test_cleared_request_is_suspected_again_after_more_crashes(self):
        known, crash = self.hosts()
        for now in (1.0, 5.0):
            crash([7], now)
        update = known[1].answered(7)
        for host in known:
            host.apply_update(update, 6.0)
        for now in (9.0, 12.0):
            crash([7], now)
        assert all(host.answered(7) is not None for host in known)
        crash([7], 13.0)
        assert all(host.refused_s(7, 13.0) > 60.0 for host in known)

    def test_same_request_has_the_same_fingerprint(self):
        def of(caller=b"growers", target=b"/a", body=b""):
            name = caller.decode()
            return poison_requests.fingerprint(name, b"GET", target, body)

        assert of() == of()
        others = {of(b"agents"), of(target=b"/b"), of(body=b"x")}
        assert len(others | {of()}) == 4


class TestLatestStarts:
    def test_other_services_at_an_address_replace_nothing(self):
        listed = {
            "old": instance("old", address="a", created_revision=1),
            "new": instance("new", address="a", created_revision=2),
            "other": instance(
                "other", address="a", service="desk", created_revision=3
            ),
            "beside": instance(
                "beside", address="a", port=2, created_revision=0
            ),
        }
        found = catalog.latest_instances(listed)
        assert set(found) == {"new", "other", "beside"}
