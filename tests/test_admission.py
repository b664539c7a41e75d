"""Admission at a gate: classes, shares, deadlines and the limit."""

import dataclasses
import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from savorytally import results
from savorytally.decisions import adaptive
from savorytally.decisions import admission
from savorytally.world import route
from savorytally.world import upstream

BROWSING = route.Priority.BROWSING
CRITICAL = route.Priority.CRITICAL
ANSWERED = admission.CallEnd.ANSWERED
SHED = results.SHED_AT_GATE


def arrival(ticket, priority=BROWSING, organisation="org0", **fields):
    given = {"route_id": "species", "deadline": 1e9, "weight": 1.0}
    return admission.Arrival(
        ticket=ticket,
        organisation_id=organisation,
        priority=priority,
        **{**given, **fields},
    )


def warm(slots=4, service_s=0.02, **options):
    """Return a policy with service time estimates and a full limit."""
    policy = adaptive.AdaptiveAdmission(
        admission.Capacity(slots, slots * 10), adaptive.Options(**options)
    )
    now = 0.0
    for ticket in range(-40 * slots, 0, slots):
        for number in range(slots):
            policy.arrive(arrival(ticket + number), now)
        policy.arrive(arrival(ticket - 10_000), now)
        now += service_s
        for number in range(slots):
            policy.finish(ticket + number, ANSWERED, now)
        now += service_s
        policy.finish(ticket - 10_000, ANSWERED, now)
    assert policy.running == 0
    assert policy.limit == slots
    return policy, now


def started(decisions):
    return [x.ticket for x in decisions if isinstance(x, admission.Start)]


def refused(decisions):
    return [x for x in decisions if isinstance(x, admission.Refuse)]


@dataclasses.dataclass
class Loop:
    """Offers a steady load to a policy whose upstream never fails."""

    policy: adaptive.AdaptiveAdmission
    now: float
    service_s: float = 0.02
    tickets: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )
    served: dict = dataclasses.field(default_factory=dict)
    ends: list = dataclasses.field(default_factory=list)
    owners: dict = dataclasses.field(default_factory=dict)

    def apply(self, decisions):
        for ticket in started(decisions):
            self.ends.append((self.now + self.service_s, ticket))

    def run(self, seconds, rates):
        """Offer ``rates[name]`` calls per second for each organisation."""
        due = {name: self.now for name in rates}
        end = self.now + seconds
        while self.now < end:
            self.now += 0.001
            while self.ends and self.ends[0][0] <= self.now:
                _, ticket = self.ends.pop(0)
                name = self.owners[ticket]
                self.served[name] = self.served.get(name, 0) + 1
                self.apply(self.policy.finish(ticket, ANSWERED, self.now))
            for name, rate in rates.items():
                while due[name] <= self.now:
                    due[name] += 1.0 / rate
                    ticket = next(self.tickets)
                    self.owners[ticket] = name
                    made = arrival(ticket, organisation=name)
                    self.apply(self.policy.arrive(made, self.now))


class TestClasses:
    def test_higher_class_evicts_lower(self):
        policy, now = warm(slots=1)
        policy.arrive(arrival(1), now)
        queued = list(range(2, 200))
        for ticket in queued:
            policy.arrive(arrival(ticket), now)
        now += 0.2
        for ticket in range(1_000, 1_100):
            made = arrival(ticket, CRITICAL)
            refusals = refused(policy.arrive(made, now))
            shed = {x.ticket for x in refusals if x.code is SHED}
            waits = policy.waiting - (ticket - 999)
            assert waits <= 0 or not any(x >= 1_000 for x in shed)

    def test_critical_is_served_before_older_browsing(self):
        policy, now = warm(slots=1)
        policy.arrive(arrival(1), now)
        policy.arrive(arrival(2), now)
        policy.arrive(arrival(3, CRITICAL), now)
        assert started(policy.finish(1, ANSWERED, now + 0.01)) == [3]


class TestFairness:
    def test_small_organisation_is_served_up_to_its_share(self):
        policy, now = warm(slots=4)
        loop = Loop(policy, now)
        loop.run(1.0, {"big": 1_200.0, "small": 40.0})
        loop.served.clear()
        loop.run(4.0, {"big": 1_200.0, "small": 40.0})
        assert loop.served["small"] >= 0.95 * 4 * 40

    def test_weights_divide_the_capacity(self):
        policy, now = warm(slots=4)
        loop = Loop(policy, now)

        def run(seconds):
            due = {"one": now, "three": now}
            weights = {"one": 1.0, "three": 3.0}
            end = loop.now + seconds
            while loop.now < end:
                loop.now += 0.001
                while loop.ends and loop.ends[0][0] <= loop.now:
                    _, ticket = loop.ends.pop(0)
                    name = loop.owners[ticket]
                    loop.served[name] = loop.served.get(name, 0) + 1
                    loop.apply(policy.finish(ticket, ANSWERED, loop.now))
                for name, weight in weights.items():
                    while due[name] <= loop.now:
                        due[name] += 1.0 / 400.0
                        ticket = next(loop.tickets)
                        loop.owners[ticket] = name
                        made = arrival(
                            ticket, organisation=name, weight=weight
                        )
                        loop.apply(policy.arrive(made, loop.now))

        run(4.0)
        ratio = loop.served["three"] / loop.served["one"]
        assert ratio == pytest.approx(3.0, rel=0.1)


class TestDeadlines:
    def test_call_that_misses_its_deadline_is_refused_on_arrival(self):
        policy, now = warm(slots=1, service_s=0.1)
        policy.arrive(arrival(1), now)
        decisions = policy.arrive(arrival(2, deadline=now + 0.05), now)
        assert [x.code for x in decisions] == [results.DEADLINE_TOO_SHORT]
        assert decisions[0].retry_after_ms > 0

    def test_waiting_call_is_refused_when_its_deadline_passes(self):
        policy, now = warm(slots=1, service_s=0.1)
        policy.arrive(arrival(1), now)
        assert policy.arrive(arrival(2, deadline=now + 0.3), now) == []
        refusals = policy.tick(now + 0.31)
        assert [x.ticket for x in refused(refusals)] == [2]

    def test_route_is_served_again_after_a_slow_period(self):
        policy, now = warm(slots=2, service_s=5.0)
        policy.arrive(arrival(1), now)
        late = policy.arrive(arrival(2, deadline=now + 1.0), now)
        assert refused(late)
        now += 1.0
        assert started(policy.arrive(arrival(3, deadline=now + 1.0), now))


class TestNewestFirst:
    def test_oldest_are_refused_under_overload(self):
        policy, now = warm(slots=1, service_s=0.1)
        policy.arrive(arrival(1), now)
        refusals = []
        for ticket in range(2, 20):
            now += 0.02
            refusals += refused(policy.arrive(arrival(ticket), now))
        tickets = [item.ticket for item in refusals]
        assert tickets == list(range(2, 2 + len(tickets)))
        assert 0 < policy.waiting < 10
        assert started(policy.finish(1, ANSWERED, now)) == [19]

    def test_a_short_queue_is_served_in_order(self):
        policy, now = warm(slots=1, service_s=0.1)
        for ticket in (1, 2, 3):
            policy.arrive(arrival(ticket), now)
        assert started(policy.finish(1, ANSWERED, now + 0.2)) == [2]


class TestIsolatedCalls:
    def test_isolated_call_runs_while_no_other_call_runs(self):
        policy, now = warm(slots=4)
        now += 10.0
        policy.arrive(arrival(1), now)
        policy.arrive(arrival(2), now)
        assert policy.arrive(arrival(3, isolated=True), now) == []
        assert policy.arrive(arrival(4), now) == []
        assert started(policy.finish(1, ANSWERED, now)) == []
        assert started(policy.finish(2, ANSWERED, now)) == [3]
        assert started(policy.arrive(arrival(5), now)) == []
        assert started(policy.finish(3, ANSWERED, now)) == [4, 5]

    def test_critical_call_precedes_an_isolated_browsing_call(self):
        policy, now = warm(slots=1)
        now += 10.0
        policy.arrive(arrival(1), now)
        policy.arrive(arrival(2, isolated=True), now)
        policy.arrive(arrival(3, CRITICAL), now)
        assert started(policy.finish(1, ANSWERED, now)) == [3]


class TestLimit:
    def test_cold_upstream_ramps_up_to_its_slots(self):
        policy = adaptive.AdaptiveAdmission(admission.Capacity(40, 400))
        assert policy.limit < 40
        loop = Loop(policy, 0.0)
        loop.run(2.0, {"org0": 4_000.0})
        assert policy.limit == 40

    def test_connections_bound_the_limit(self):
        policy = adaptive.AdaptiveAdmission(admission.Capacity(40, 10))
        loop = Loop(policy, 0.0)
        loop.run(2.0, {"org0": 4_000.0})
        assert policy.limit == 10

    def test_limit_falls_for_a_broken_upstream_and_recovers(self):
        policy, now = warm(slots=16)
        for ticket in range(1, 200):
            now += 0.05
            policy.arrive(arrival(ticket), now)
            policy.finish(ticket, admission.CallEnd.BROKEN, now)
        assert policy.limit <= 2
        loop = Loop(policy, now, tickets=itertools.count(1_000))
        loop.run(2.0, {"org0": 1_600.0})
        assert policy.limit == 16

    def test_cancelled_calls_do_not_lower_the_limit(self):
        policy, now = warm(slots=16)
        for ticket in range(1, 500):
            now += 0.001
            policy.arrive(arrival(ticket), now)
            policy.finish(ticket, admission.CallEnd.WITHDRAWN, now)
        assert policy.limit == 16

    def test_false_report_of_overload_costs_no_throughput(self):
        policy, now = warm(slots=16)
        loop = Loop(policy, now)
        for _ in range(100):
            report = upstream.LoadReport(999, False, loop.now)
            policy.learn_report(report, loop.now)
            loop.run(0.1, {"org0": 1_600.0})
        served = sum(loop.served.values())
        assert served >= 0.95 * 10.0 * 16 / loop.service_s

    def test_limit_falls_below_slots_that_do_not_exist(self):
        policy, now = warm(slots=16)
        busy = []
        loop = Loop(policy, now)
        for _ in range(400):
            loop.service_s = 0.02 * max(1.0, policy.running / 4)
            loop.run(0.05, {"org0": 1_600.0})
            loop.ends.sort()
            busy.append(policy.limit)
        assert min(busy) < 16
        assert policy.limit >= 4


class Gate(stateful.RuleBasedStateMachine):
    """The invariants of the queue hold for any order of events."""

    def __init__(self):
        super().__init__()
        self.policy = adaptive.AdaptiveAdmission(admission.Capacity(3, 30))
        self.now = 0.0
        self.tickets = itertools.count(1)
        self.waiting = {}
        self.running = {}

    def apply(self, decisions):
        for decision in decisions:
            call = self.waiting.pop(decision.ticket)
            if isinstance(decision, admission.Start):
                best = max(
                    (
                        item.priority
                        for item in self.waiting.values()
                        if not item.isolated
                    ),
                    default=0,
                )
                assert call.priority >= best
                assert not any(x.isolated for x in self.running.values())
                assert not (call.isolated and self.running)
                self.running[decision.ticket] = call
            elif decision.code is SHED:
                lowest = min(
                    (
                        item.priority
                        for item in self.waiting.values()
                        if not item.isolated
                    ),
                    default=call.priority,
                )
                assert call.isolated or call.priority <= lowest

    @stateful.rule(
        priority=st.sampled_from(route.Priority),
        organisation=st.sampled_from(["org0", "org1", "org2"]),
        remaining_s=st.floats(0.01, 3.0),
        isolated=st.booleans() | st.just(False),
    )
    def arrive(self, priority, organisation, remaining_s, isolated):
        ticket = next(self.tickets)
        made = arrival(
            ticket,
            priority,
            organisation,
            deadline=self.now + remaining_s,
            isolated=isolated,
        )
        self.waiting[ticket] = made
        self.apply(self.policy.arrive(made, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        choice=st.randoms(use_true_random=False),
        end=st.sampled_from(admission.CallEnd),
    )
    def finish(self, choice: random.Random, end):
        ticket = choice.choice(sorted(self.running))
        del self.running[ticket]
        self.apply(self.policy.finish(ticket, end, self.now))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(choice=st.randoms(use_true_random=False))
    def cancel(self, choice: random.Random):
        ticket = choice.choice(sorted(self.waiting))
        del self.waiting[ticket]
        self.apply(self.policy.cancel(ticket, self.now))

    @stateful.rule(seconds=st.floats(0.0, 0.5))
    def wait(self, seconds):
        self.now += seconds
        self.apply(self.policy.tick(self.now))

    @stateful.invariant()
    def counts_agree(self):
        assert self.policy.running == len(self.running)
        assert self.policy.waiting == len(self.waiting)
        assert self.policy.running <= 3

    @stateful.invariant()
    def no_slot_is_idle_while_calls_wait(self):
        if any(x.isolated for x in self.waiting.values()):
            return
        if any(x.isolated for x in self.running.values()):
            return
        if self.waiting:
            assert self.policy.running >= self.policy.limit


TestGate = Gate.TestCase
TestGate.settings = hypothesis.settings(stateful_step_count=40)
