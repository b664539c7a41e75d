"""Decisions of the data plane under the loads that they are for."""

import heapq
import random

import pytest

from savorytally.decisions import backpressure
from savorytally.decisions import call_fanout
from savorytally.decisions import culprits
from savorytally.decisions import gatequeue
from savorytally.decisions import lineage
from savorytally.decisions import placement
from savorytally.decisions import ratepool
from savorytally.decisions import repeatbudget
from savorytally.decisions import slackshare
from savorytally.decisions import splits
from savorytally.world import catalog

SEEDS = range(5)


def instance(name, place="low-a", **changes):
    """Return an upstream of the almanac."""
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


def job(rank=1, child=False, deadline=1e9, objective_s=1.0, owner=None):
    """Return a request at the gate."""
    return gatequeue.Job(
        rank=rank,
        child=child,
        route="r",
        deadline=deadline,
        objective_s=objective_s,
        owner=owner,
    )


class Overload:
    """A gate queue fed at a multiple of what its upstream can do."""

    def __init__(self, seed, times, seconds=6.0, run_s=0.05, slots=11):
        self.queue = gatequeue.GateQueue()
        self.queue.learn_slots(slots)
        self.run_s = run_s
        self.served = {0: 0, 1: 0, 2: 0}
        self.asked = {0: 0, 1: 0, 2: 0}
        self.held_s = []
        source = random.Random(seed)
        capacity = self.queue.limit / run_s
        self.ends = []
        now = 0.0
        while now < seconds:
            now += source.expovariate(capacity * times)
            self.finish(now)
            for late in self.queue.drop_late(now):
                self.held_s.append(now - late.arrived)
            rank = source.choice((0, 1, 1, 2, 2, 2))
            self.asked[rank] += 1
            offered = job(rank, objective_s=0.3, deadline=now + 1.2)
            verdict = self.queue.offer(offered, now)
            if verdict is gatequeue.Verdict.START:
                self.start(offered, now)
        # Nothing checks the queue any more while the rest runs.
        held_s = list(self.held_s)
        self.finish(1e6)
        self.held_s = held_s

    def start(self, started, now):
        heapq.heappush(self.ends, (now + self.run_s, id(started), started))

    def finish(self, until):
        while self.ends and self.ends[0][0] <= until:
            now, _, ended = heapq.heappop(self.ends)
            self.served[ended.rank] += 1
            change = self.queue.finish(ended, self.run_s, now)
            for late in change.dropped:
                self.held_s.append(now - late.arrived)
            for waiting in change.started:
                self.start(waiting, now)


class TestGateQueue:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_urgent_requests_are_served_in_a_lasting_overload(self, seed):
        load = Overload(seed, times=1.7)
        shares = {
            rank: load.served[rank] / load.asked[rank] for rank in (0, 1, 2)
        }
        assert shares[0] > 0.99
        assert shares[0] >= shares[1] >= shares[2]

    @pytest.mark.parametrize("seed", SEEDS)
    def test_capacity_is_used_while_requests_are_refused(self, seed):
        load = Overload(seed, times=1.7)
        possible = load.queue.limit / load.run_s * 6.0
        assert sum(load.served.values()) > 0.95 * possible

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_is_held_longer_than_it_is_worth(self, seed):
        load = Overload(seed, times=3.0)
        between_checks_s = 0.05
        longest_s = gatequeue.WAIT_SHARE * 0.3 + between_checks_s
        assert all(held_s <= longest_s for held_s in load.held_s)

    def test_calls_go_before_new_work_of_the_same_rank(self):
        queue = gatequeue.GateQueue()
        queue.learn_slots(2)
        first = job()
        queue.offer(first, 0.0)
        queue.offer(job(owner="new"), 0.0)
        queue.offer(job(child=True, owner="call"), 0.0)
        (next_job,) = queue.finish(first, 0.05, 0.05).started
        assert next_job.owner == "call"

    def test_withdrawn_request_frees_its_place(self):
        queue = gatequeue.GateQueue()
        queue.learn_slots(2)
        first, second, third = job(), job(owner=2), job(owner=3)
        for offered in (first, second, third):
            queue.offer(offered, 0.0)
        queue.cancel(second)
        assert queue.waiting == 1
        (started,) = queue.finish(first, 0.05, 0.05).started
        assert started is third

    def test_hopeless_request_is_dropped_before_its_deadline(self):
        queue = gatequeue.GateQueue()
        queue.learn_slots(2)
        queue.offer(job(), 0.0)
        late = job(child=True, deadline=0.3)
        queue.offer(late, 0.0)
        assert queue.drop_late(0.2) == []
        assert queue.drop_late(0.29) == [late]


PAGE = ("page", 0)


class TestBackpressure:
    def test_refuses_a_growing_part_and_never_all(self):
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

    def test_ends_soon_after_the_overload(self):
        pressure = backpressure.Backpressure()
        for _ in range(20):
            pressure.note(PAGE, 1.0, 0.0)
        assert pressure.refuses(PAGE, 1.0, False, 0.5, 0.0)
        assert not pressure.refuses(PAGE, 1.0, False, 0.0, 2.0)

    def test_callers_that_come_back_are_preferred(self):
        pressure = backpressure.Backpressure()
        for _ in range(20):
            pressure.note(PAGE, 0.3, 0.0)
        draws = [number / 100 for number in range(100)]
        new, back = (
            sum(
                pressure.refuses(PAGE, 1.0, returned, draw, 0.0)
                for draw in draws
            )
            for returned in (False, True)
        )
        assert 0 < back < new

    def test_waits_of_all_calls_of_a_request_add_up(self):
        waits = backpressure.ChainWaits()
        for _ in range(30):
            waits.ran("tiles", 4)
            waits.called(("tiles", 0), 0.1, 0.0)
        assert waits.expected_s(("tiles", 0), 0.0) == pytest.approx(
            0.4, rel=0.1
        )
        assert waits.expected_s(("map", 0), 0.0) == 0.0


class TestCallModel:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_route_that_never_calls_is_told_apart(self, seed):
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
    def test_two_routes_that_both_call_are_both_kept(self, seed):
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


class TestLineage:
    def test_exact_end_decides(self):
        known = lineage.Lineage()
        known.begin("page", 5.000, "first", 0.0)
        known.begin("page", 5.020, "second", 0.1)
        match = known.call(lineage.Seen("lookup", 4.9995, 4.8), 0.2)
        assert match.parent.owner == "first"
        assert match.how is lineage.How.EXACT

    def test_next_call_follows_the_last_answer(self):
        known = lineage.Lineage()
        first = known.begin("page", 5.0, "first", 0.0)
        known.begin("page", 6.0, "second", 0.1)
        first.calls = 1
        known.answered(first, True, 0.2)
        match = known.call(lineage.Seen("lookup", 0.7, 0.499), 0.201)
        assert match.parent.owner == "first"
        assert match.how is lineage.How.ORDER

    def test_callers_requests_are_not_taken_for_calls(self):
        known = lineage.Lineage()
        known.begin("page", 5.0, "first", 0.0)
        seen = lineage.Seen("page", 3.0, 2.9, exact_only=True)
        assert known.call(seen, 0.1) is lineage.NO_MATCH


class TestRepeatBudget:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_stays_within_the_bound_when_half_is_rejected(self, seed):
        source = random.Random(seed)
        names = [f"10.0.0.{number}" for number in range(5)]
        shares = [
            slackshare.SlackShare(50.0, name, 10.0, True) for name in names
        ]
        budgets = [
            repeatbudget.RepeatBudget(0.2, 10.0, share) for share in shares
        ]
        for share in shares:
            share.learn(names, -10.0)
        events = []
        now = 0.0
        while now < 40.0:
            for share in shares:
                share.confirm(now)
            now += source.expovariate(300.0)
            budget = source.choice(budgets)
            budget.first("almanac", now)
            events.append((now, False))
            claim = repeatbudget.Claim(progress=source.random())
            while source.random() < 0.55:
                if not budget.spend("almanac", claim, now):
                    break
                budget.arrived("almanac", now)
                events.append((now, True))
        for start in range(0, 30, 1):
            within = [
                again for at, again in events if start <= at < start + 10
            ]
            repeats = sum(within)
            assert repeats <= 0.2 * (len(within) - repeats) + 50

    @pytest.mark.parametrize("seed", SEEDS)
    def test_more_chains_get_through_than_with_first_come(self, seed):
        by_progress = self.chains(seed, lambda answered: answered / 4)
        first_come = self.chains(seed, lambda answered: 1.0)
        assert by_progress > 1.2 * first_come

    def budget(self, slack):
        """Return the budget of a host that shares with none."""
        share = slackshare.SlackShare(slack, "10.0.0.1", 10.0, True)
        share.learn(["10.0.0.1"], -10.0)
        return repeatbudget.RepeatBudget(0.2, 10.0, share)

    def chains(self, seed, progress):
        """Return how many of 4,000 chains of four calls end well."""
        source = random.Random(seed)
        budget = self.budget(10.0)
        now = 0.0
        whole = 0
        for _ in range(4000):
            now += 0.005
            good = True
            for answered in range(4):
                budget.first("almanac", now)
                claim = repeatbudget.Claim(progress=progress(answered))
                while good and source.random() < 0.55:
                    good = budget.spend("almanac", claim, now)
                    if good:
                        budget.arrived("almanac", now)
                if not good:
                    break
            whole += good
        return whole

    def test_urgent_requests_may_use_what_others_leave(self):
        budget = self.budget(0.0)
        for _ in range(1000):
            budget.first("almanac", 0.0)
        low = repeatbudget.Claim(urgency=2)
        while budget.spend("almanac", low, 0.0):
            pass
        assert budget.spend("almanac", repeatbudget.Claim(), 0.0)


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

    def test_stays_in_the_region_while_it_has_room(self):
        known = self.make(instance("near", "low-b"), instance("far", "up-a"))
        assert self.spread(known) == {"near": 400}

    def test_goes_to_the_other_region_for_want_of_room(self):
        known = self.make(instance("near", "low-b"), instance("far", "up-a"))
        known.report("near", "r", 0.1, 60, 10, 1.0)
        known.report("far", "r", 0.1, 0, 10, 1.0)
        assert self.spread(known) == {"far": 400}

    @pytest.mark.parametrize(
        ("objective_s", "chosen"), [(0.3, "far"), (2.0, "near")]
    )
    def test_dear_link_is_taken_for_urgent_answers_only(
        self, objective_s, chosen
    ):
        known = self.make(instance("near", "low-b"), instance("far", "up-a"))
        known.report("near", "r", 0.1, 35, 10, 1.0)
        known.report("far", "r", 0.1, 0, 10, 1.0)
        found = known.choose("almanac", "r", (), objective_s, 1.0)
        assert found.instance_id == chosen

    def test_slow_upstream_gets_less(self):
        known = self.make(instance("fast"), instance("slow"))
        for _ in range(30):
            known.report("fast", "r", 0.05, 0, 10, 1.0)
            known.report("slow", "r", 0.25, 0, 10, 1.0)
        assert self.spread(known).get("slow", 0) == 0

    def test_grey_upstream_is_avoided_and_forgiven(self):
        known = self.make(instance("good"), instance("grey"))
        for _ in range(20):
            known.outcome("grey", False, 1.0)
        assert self.spread(known).get("grey", 0) == 0
        later = [
            known.choose("almanac", "r", (), 0.5, 30.0).instance_id
            for _ in range(200)
        ]
        assert later.count("grey") > 20

    def test_draining_and_tried_upstreams_are_left_out(self):
        known = self.make(instance("a", ready=False), instance("b"))
        assert known.choose("almanac", "r", ("b",), 0.5, 1.0) is None

    def test_host_that_left_is_used_again_when_it_is_back(self):
        known = self.make(instance("only"))
        known.leaving("only", 1.0)
        assert known.choose("almanac", "r", (), 0.5, 2.0) is None
        assert known.choose("almanac", "r", (), 0.5, 5.0) is not None

    def test_new_upstream_is_used(self):
        known = self.make(instance("old"))
        for _ in range(5):
            known.report("old", "r", 0.05, 0, 10, 1.0)
        known.learn_instances(
            {"old": instance("old"), "new": instance("new")}, 1.0
        )
        assert self.spread(known)["new"] > 50


class TestSplits:
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
        parts = splits.Splits(random.Random(1))
        chosen = [parts.choose(route) for _ in range(300)]
        for place, weight in enumerate(weights):
            share = chosen.count(str(place)) / 300
            assert share == pytest.approx(weight / sum(weights), abs=0.02)


class Regions:
    """Keepers of two regions that tell each other their demands late."""

    def __init__(self):
        self.pools = {name: self.pool(60.0) for name in ("low", "up")}

    growers = catalog.Organisation("growers", 1, 88.0, 88.0)

    def pool(self, full_until):
        """Return what a host that becomes keeper has."""
        pool = ratepool.RatePool(0.25, 20.0, 5.0, full_until)
        pool.learn_organisations({"growers": self.growers})
        pool.learn_hosts(8, 16)
        return pool

    def play(self, source, demand, seconds, restarts=()):
        """Return when requests were granted; demand(now) by region.

        :param restarts: moments at which both keepers begin anew.
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
                    told = pool.measure(now)
                    self.pools[other].learn_demand(name, told, now)
                count = demand(now)[name] * 0.005
                while source.random() < count:
                    count -= 1
                    if pool.grant("growers", 0, now).granted:
                        granted.append(now)
        return granted


class TestRatePool:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        "surge",
        [{"low": 100.0, "up": 400.0}, {"low": 500.0, "up": 12.0}],
        ids=["both regions", "one region"],
    )
    def test_limit_holds_in_every_window_of_a_surge(self, seed, surge):
        def demand(now):
            return {"low": 30.0, "up": 25.0} if now < 6.0 else surge

        granted = Regions().play(random.Random(seed), demand, 20.0)
        limit = (88.0 * 5 + 88.0) * 1.25 + 20
        for start in range(0, 150):
            begin = start / 10
            within = sum(begin <= at < begin + 5 for at in granted)
            assert within <= limit

    @pytest.mark.parametrize("low_per_s", [0.0, 3.0, 40.0, 500.0])
    def test_parts_of_the_regions_add_up_to_one(self, low_per_s):
        def demand(now):
            return {"low": low_per_s, "up": 12.0}

        regions = Regions()
        regions.play(random.Random(1), demand, 12.0)
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

        granted = Regions().play(random.Random(seed), demand, 15.0)
        assert len(granted) > 0.97 * 70 * 15

    @pytest.mark.parametrize("seed", SEEDS)
    def test_limit_holds_when_all_keepers_start_again(self, seed):
        def demand(now):
            return {"low": 300.0, "up": 300.0}

        granted = Regions().play(
            random.Random(seed), demand, 25.0, restarts=(8.0, 17.0)
        )
        limit = (88.0 * 5 + 88.0) * 1.25 + 20
        for start in range(0, 200):
            begin = start / 10
            within = sum(begin <= at < begin + 5 for at in granted)
            assert within <= limit

    @pytest.mark.parametrize("seed", SEEDS)
    def test_usual_demand_is_served_when_all_keepers_start_again(self, seed):
        def demand(now):
            return {"low": 35.0, "up": 35.0}

        source = random.Random(seed)
        granted = Regions().play(source, demand, 12.0, restarts=(8.0,))
        at_once = sum(8.0 <= at < 8.5 for at in granted)
        assert at_once > 0.75 * 70 * 0.5

    def test_keeper_that_starts_again_gives_nothing_without_tolerance(self):
        pool = ratepool.RatePool(0.0, 0.0, 5.0)
        pool.learn_organisations({"growers": Regions.growers})
        pool.learn_hosts(16, 16)
        assert not pool.grant("growers", 0, 10.0).granted
        assert pool.grant("growers", 0, 10.1).granted

    def test_urgent_routes_are_served_from_a_low_bucket(self):
        pool = ratepool.RatePool(0.0, 0.0, 5.0, 60.0)
        pool.learn_organisations({"growers": Regions.growers})
        pool.learn_hosts(1, 1)
        while pool.grant("growers", 2, 1.0).granted:
            pass
        assert pool.grant("growers", 0, 1.0).granted

    def test_host_without_a_keeper_admits_a_small_part(self):
        alone = ratepool.Alone("10.1.0.1")
        now = 0.0
        taken = 0
        for _ in range(1000):
            now += 0.01
            taken += alone.take(Regions.growers, 16, now)
        assert 0 < taken <= 88.0 / 16 * 10

    def test_lapsed_host_stays_keeper_until_it_stops(self):
        hosts = ratepool.Hosts("10.1.0.99", "up")
        everyone = {f"10.1.0.{number}": "low" for number in range(8)}
        hosts.learn(everyone, {}, 0.0)
        gone = ratepool.keeper("growers", everyone)
        rest = {name: "low" for name in everyone if name != gone}
        hosts.learn(rest, {}, 5.0)
        assert ratepool.keeper("growers", hosts.regions()["low"]) == gone
        assert not hosts.refuses(gone)
        hosts.learn(rest, {gone: "low"}, 6.0)
        assert ratepool.keeper("growers", hosts.regions()["low"]) == gone
        assert hosts.stops(gone)
        assert ratepool.keeper("growers", hosts.regions()["low"]) != gone
        hosts.learn(rest, {gone: "low"}, 7.0)
        assert ratepool.keeper("growers", hosts.regions()["low"]) != gone

    def test_lapsed_host_is_forgotten_after_a_time(self):
        hosts = ratepool.Hosts("a", "low")
        hosts.learn({"a": "low", "b": "low"}, {}, 0.0)
        hosts.learn({"a": "low"}, {}, ratepool.KEEPER_STAYS_S + 1)
        assert hosts.regions() == {"low": ["a"]}

    def test_host_that_leaves_asks_the_keeper_that_the_others_ask(self):
        everyone = {f"10.1.0.{number}": "low" for number in range(8)}
        leaver = ratepool.keeper("growers", everyone)
        rest = {name: "low" for name in everyone if name != leaver}
        knowing = {own: ratepool.Hosts(own, "low") for own in everyone}
        for hosts in knowing.values():
            hosts.learn(everyone, {}, 0.0)
        # Half of the hosts have not read the change of the list.
        for own in sorted(everyone)[::2]:
            knowing[own].learn(rest, {leaver: "low"}, 1.0)
        assert self.keepers(knowing) == {leaver}
        for hosts in knowing.values():
            hosts.learn(rest, {leaver: "low"}, 6.0)
            hosts.stops(leaver)
        assert len(self.keepers(knowing)) == 1
        assert leaver not in self.keepers(knowing)

    def keepers(self, knowing):
        """Return whom the hosts ask."""
        return {
            ratepool.keeper("growers", hosts.regions()["low"])
            for hosts in knowing.values()
        }

    def test_host_that_joins_asks_one_that_drains_as_the_others_do(self):
        hosts = ratepool.Hosts("b", "low")
        hosts.learn({"b": "low"}, {"a": "low"}, 0.0)
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_draining_host_that_takes_no_connection_keeps_nothing(self):
        hosts = ratepool.Hosts("b", "low")
        hosts.learn({"b": "low"}, {"a": "low"}, 0.0)
        assert hosts.refuses("a")
        assert hosts.regions() == {"low": ["b"]}

    def test_drained_host_that_has_lapsed_and_gone_keeps_nothing(self):
        hosts = ratepool.Hosts("b", "low")
        hosts.learn({"a": "low", "b": "low"}, {}, 0.0)
        hosts.learn({"b": "low"}, {"a": "low"}, 1.0)
        hosts.learn({"b": "low"}, {}, 4.0)
        assert hosts.regions() == {"low": ["a", "b"]}
        assert hosts.refuses("a")
        assert hosts.regions() == {"low": ["b"]}
        hosts.learn({"a": "low", "b": "low"}, {}, 5.0)
        assert not hosts.refuses("a")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_host_alone_that_leaves_is_its_own_keeper(self):
        hosts = ratepool.Hosts("a", "low")
        hosts.learn({"b": "up"}, {"a": "low"}, 1.0)
        assert hosts.stops("a")
        assert hosts.regions() == {"low": ["a"], "up": ["b"]}

    def test_host_that_comes_back_under_its_address_is_a_keeper(self):
        hosts = ratepool.Hosts("a", "low")
        hosts.learn({"a": "low"}, {"b": "low"}, 0.0)
        hosts.stops("b")
        hosts.learn({"a": "low", "b": "low"}, {"b": "low"}, 1.0)
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_node_that_is_started_again_stays_a_keeper(self):
        hosts = ratepool.Hosts("a", "low")
        hosts.learn({"a": "low", "b": "low"}, {}, 0.0)
        assert not hosts.stops("b")
        assert not hosts.refuses("b")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_all_hosts_find_the_same_keeper(self):
        hosts = [f"10.1.0.{number}" for number in range(30)]
        other = list(reversed(hosts))
        for name in ("growers", "agents", "societies"):
            keeper = ratepool.keeper(name, hosts)
            assert ratepool.keeper(name, other) == keeper
            rest = [host for host in hosts if host != keeper]
            assert ratepool.keeper(name, rest) != keeper


class TestCulprits:
    def hosts(self, count=3):
        """Return hosts that hear all news at once, and what counts."""
        known = [culprits.Culprits() for _ in range(count)]

        def crash(names, now):
            for news in known[0].crashed(names, now):
                for host in known:
                    host.learn(news, now)

        return known, crash

    def test_third_crash_has_a_request_refused_by_all(self):
        known, crash = self.hosts()
        for now in (1.0, 5.0):
            crash([7, 8], now)
        assert [host.refused_s(7, 5.0) for host in known] == [0.0] * 3
        crash([7], 9.0)
        assert all(host.refused_s(7, 9.0) > 60.0 for host in known)
        assert all(host.refused_s(8, 9.0) == 0.0 for host in known)

    def test_answer_by_any_host_clears_a_suspect(self):
        known, crash = self.hosts()
        for now in (1.0, 5.0):
            crash([7], now)
        news = known[2].answered(7)
        assert news is not None
        assert all(host.learn(news, 6.0) for host in known)
        assert not any(host.learn(news, 6.0) for host in known)
        crash([7], 9.0)
        assert known[0].refused_s(7, 9.0) == 0.0

    def test_answer_to_what_is_no_suspect_is_not_told(self):
        known, crash = self.hosts()
        crash([7], 1.0)
        assert known[0].answered(7) is None

    def test_crashes_long_apart_are_not_counted_together(self):
        known, crash = self.hosts()
        apart_s = culprits.COUNTED_S + 1.0
        for number in range(5):
            crash([7], number * apart_s)
        assert not any(host.watching for host in known)

    def test_refusal_ends_after_a_time(self):
        known, crash = self.hosts()
        for now in (1.0, 2.0, 3.0):
            crash([7], now)
        assert known[1].refused_s(7, 3.0 + culprits.REFUSED_S) == 0.0

    def test_news_that_cross_on_their_way_are_not_told_for_ever(self):
        """A request is cleared while others are still told to suspect it."""
        known = [culprits.Culprits() for _ in range(6)]
        told = [
            (0.0, 0, culprits.State.SUSPECT),
            (0.0015, 1, culprits.State.CLEARED),
        ]
        heard = 0
        while told and heard < 4 * len(known) ** 2:
            heard += 1
            at, host, state = heapq.heappop(told)
            if known[host].learn(culprits.News(state, 7), at):
                for other in range(len(known)):
                    if other != host:
                        heapq.heappush(told, (at + 0.001, other, state))
        assert not told

    def test_cleared_request_is_suspected_again_after_more_crashes(self):
        known, crash = self.hosts()
        for now in (1.0, 5.0):
            crash([7], now)
        news = known[1].answered(7)
        for host in known:
            host.learn(news, 6.0)
        for now in (9.0, 12.0):
            crash([7], now)
        assert all(host.answered(7) is not None for host in known)
        crash([7], 13.0)
        assert all(host.refused_s(7, 13.0) > 60.0 for host in known)

    def test_same_request_has_the_same_fingerprint(self):
        def of(caller=b"growers", target=b"/a", body=b""):
            name = caller.decode()
            return culprits.fingerprint(name, b"GET", target, body)

        assert of() == of()
        others = {of(b"agents"), of(target=b"/b"), of(body=b"x")}
        assert len(others | {of()}) == 4


class TestLatestStarts:
    def test_another_service_at_the_address_takes_no_ones_place(self):
        listed = {
            "old": instance("old", address="a", listed_at=1),
            "new": instance("new", address="a", listed_at=2),
            "other": instance(
                "other", address="a", service="desk", listed_at=3
            ),
            "beside": instance("beside", address="a", port=2, listed_at=0),
        }
        found = catalog.latest_starts(listed)
        assert set(found) == {"new", "other", "beside"}
