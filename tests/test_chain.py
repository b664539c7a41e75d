"""Overload test of a chain of three services.

The service at the end of the chain slows down to a third of its capacity
while one organisation exceeds its rate and the callers retry.
"""

import collections
import dataclasses

from fakes import chain
from fakes import virtual_loop
import pytest

from savorytally import settings

POLICIES = settings.Policies(
    admission="adaptive", routing="balanced", quota="loans"
)
ORGANISATIONS = [f"org{number}" for number in range(8)]
OVER_RATE = "org0"
USUAL = dict.fromkeys(ORGANISATIONS, 12.0)
SURGE = {**dict.fromkeys(ORGANISATIONS, 26.0), OVER_RATE: 160.0}
RATE_PER_S = 40.0
SLOWDOWN_S = 6.0
SLOWED_CAPACITY_RATIO = 1 / 3
CAPACITY_PER_S = chain.SLOTS["checklist"] / chain.SERVICE_S["checklist"]


@dataclasses.dataclass
class RunResults:
    """The requests of a run by phase."""

    deployment: chain.Chain
    normal: list[chain.SentRequest] = dataclasses.field(default_factory=list)
    slowed: list[chain.SentRequest] = dataclasses.field(default_factory=list)
    recovering: list[chain.SentRequest] = dataclasses.field(
        default_factory=list
    )
    recovered: list[chain.SentRequest] = dataclasses.field(
        default_factory=list
    )
    executed_while_slowed: int = 0


async def run_phases(run: RunResults) -> None:
    """Apply load in phases: usual, slowed under a surge, surge, usual."""
    deployment = run.deployment
    await deployment.start()
    upstream = deployment.upstreams["checklist-0"]
    started_at = deployment.clock.now()
    await deployment.load(6.0, USUAL)
    slowed_at = deployment.clock.now()
    executed_before = upstream.executed["/pull"]
    upstream.slowdown_factor = 1 / SLOWED_CAPACITY_RATIO
    await deployment.load(SLOWDOWN_S, SURGE)
    restored_at = deployment.clock.now()
    run.executed_while_slowed = upstream.executed["/pull"] - executed_before
    upstream.slowdown_factor = 1.0
    await deployment.load(6.0, SURGE)
    calm_at = deployment.clock.now()
    await deployment.load(4.0, USUAL)
    await deployment.stop()
    run.normal = deployment.between(started_at, slowed_at)
    run.slowed = deployment.between(slowed_at, restored_at)
    run.recovering = deployment.between(restored_at, restored_at + 2.0)
    run.recovered = deployment.between(restored_at + 2.0, calm_at)


@pytest.fixture(scope="module")
def finished_run():
    run = RunResults(chain.Chain(POLICIES, RATE_PER_S))
    virtual_loop.run(run.deployment.clock, run_phases(run))
    return run


def within_rate(sent):
    return [item for item in sent if item.organisation != OVER_RATE]


def served_share(sent):
    return sum(item.served for item in sent) / len(sent)


class TestSlowedService:
    def test_all_requests_are_served_before_the_slowdown(self, finished_run):
        assert served_share(finished_run.normal) >= 0.99

    def test_capacity_is_used_under_overload(self, finished_run):
        capacity = CAPACITY_PER_S * SLOWED_CAPACITY_RATIO * SLOWDOWN_S
        assert finished_run.executed_while_slowed >= 0.95 * capacity

    def test_executed_work_is_rarely_wasted(self, finished_run):
        executed = finished_run.deployment.upstreams["checklist-0"].executed[
            "/pull"
        ]
        useful = sum(
            item.served
            for item in finished_run.deployment.sent
            if item.path != "/sightings/report"
        )
        assert executed - useful <= 0.02 * executed

    def test_critical_requests_are_served_before_browsing(self, finished_run):
        groups = collections.defaultdict(list)
        for item in within_rate(finished_run.slowed):
            groups[item.path].append(item)
        assert served_share(groups["/checklist/pull"]) >= 0.99
        assert served_share(groups["/sightings/report"]) >= 0.99
        assert served_share(groups["/browse/species"]) <= 0.5

    def test_requests_are_served_again_after_two_seconds(self, finished_run):
        assert served_share(
            within_rate(finished_run.recovered)
        ) >= 0.99 * served_share(finished_run.normal)
