"""A chain three deep whose deepest service slows while callers resend."""

import collections
import dataclasses

from fakes import chain
from fakes import virtualloop
import pytest

from savorytally import settings

POLICIES = settings.Policies(
    admission="adaptive", routing="balanced", quota="loans"
)
ORGANISATIONS = [f"org{number}" for number in range(8)]
GREEDY = "org0"
USUAL = dict.fromkeys(ORGANISATIONS, 12.0)
SURGE = {**dict.fromkeys(ORGANISATIONS, 26.0), GREEDY: 160.0}
RATE_PER_S = 40.0
TRIGGER_S = 6.0
SLOWED_TO = 1 / 3
CAPACITY_PER_S = chain.SLOTS["checklist"] / chain.SERVICE_S["checklist"]


@dataclasses.dataclass
class Run:
    """What one run showed."""

    made: chain.Chain
    normal: list[chain.Sent] = dataclasses.field(default_factory=list)
    trigger: list[chain.Sent] = dataclasses.field(default_factory=list)
    settling: list[chain.Sent] = dataclasses.field(default_factory=list)
    after: list[chain.Sent] = dataclasses.field(default_factory=list)
    executed_in_trigger: int = 0


async def drive(run: Run) -> None:
    """Load the chain: usual, slowed under a surge, surge, usual."""
    made = run.made
    await made.start()
    upstream = made.upstreams["checklist-0"]
    start = made.clock.now()
    await made.load(6.0, USUAL)
    slowed = made.clock.now()
    before = upstream.executed["/pull"]
    upstream.factor = 1 / SLOWED_TO
    await made.load(TRIGGER_S, SURGE)
    restored = made.clock.now()
    run.executed_in_trigger = upstream.executed["/pull"] - before
    upstream.factor = 1.0
    await made.load(6.0, SURGE)
    calm = made.clock.now()
    await made.load(4.0, USUAL)
    await made.stop()
    run.normal = made.between(start, slowed)
    run.trigger = made.between(slowed, restored)
    run.settling = made.between(restored, restored + 2.0)
    run.after = made.between(restored + 2.0, calm)


@pytest.fixture(scope="module")
def ran():
    run = Run(chain.Chain(POLICIES, RATE_PER_S))
    virtualloop.run(run.made.clock, drive(run))
    return run


def within_rate(sent):
    return [item for item in sent if item.organisation != GREEDY]


def share(sent):
    return sum(item.served for item in sent) / len(sent)


class TestSlowedService:
    def test_all_are_served_before(self, ran):
        assert share(ran.normal) >= 0.99

    def test_capacity_is_used_under_overload(self, ran):
        capacity = CAPACITY_PER_S * SLOWED_TO * TRIGGER_S
        assert ran.executed_in_trigger >= 0.95 * capacity

    def test_work_is_not_thrown_away(self, ran):
        executed = ran.made.upstreams["checklist-0"].executed["/pull"]
        useful = sum(
            item.served
            for item in ran.made.sent
            if item.path != "/sightings/report"
        )
        assert executed - useful <= 0.02 * executed

    def test_critical_calls_go_before_browsing(self, ran):
        groups = collections.defaultdict(list)
        for item in within_rate(ran.trigger):
            groups[item.path].append(item)
        assert share(groups["/checklist/pull"]) >= 0.99
        assert share(groups["/sightings/report"]) >= 0.99
        assert share(groups["/browse/species"]) <= 0.5

    def test_served_again_two_seconds_after(self, ran):
        assert share(within_rate(ran.after)) >= 0.99 * share(ran.normal)
