"""Requests run at most once under generated fault schedules.

A request must not run twice, and a request that ran must not be reported as
not run.
"""

import random
import typing as t

from fakes import schedules
from fakes import simulated_gates
from fakes import simulated_nodes
from fakes import transport
import hypothesis
from hypothesis import strategies

from savorytally import outcomes
from savorytally.decisions import key_timestamps


def run_schedule(
    events: t.Sequence[schedules.Event],
    conditions: transport.NetworkConditions = simulated_nodes.CALM,
    seed: int = 1,
    lag_s: float = 10.0,
) -> simulated_nodes.SimulatedFleet:
    """Run one schedule of faults with callers that resend requests."""
    world = simulated_nodes.SimulatedFleet(
        schedules.contract(),
        schedules.PLACES,
        seed,
        conditions,
        lag_s=lag_s,
        make=simulated_gates.Executor,
    )
    schedule = schedules.Schedule(world)
    callers = simulated_gates.Callers(world, random.Random(seed))
    for step in range(schedules.STEPS):
        schedule.step(events, step)
        callers.step()
        world.net.run(schedules.STEP_S)
    return world


def falsely_reported_not_run(
    world: simulated_nodes.SimulatedFleet,
) -> list[int]:
    """Return the attempts that ran although their reply says "not run"."""
    ran = {
        attempt for attempts in world.executed.values() for attempt in attempts
    }
    return [
        attempt
        for attempt, outcome in world.replies
        if attempt in ran
        and isinstance(outcome, outcomes.Failure)
        and outcome.code.not_run
    ]


class TestAtMostOnce:
    @hypothesis.given(
        events=schedules.EVENTS,
        conditions=schedules.CONDITIONS,
        seed=strategies.integers(0, 1 << 16),
    )
    def test_never_runs_twice_and_never_reports_a_run_as_not_run(
        self, events, conditions, seed
    ):
        world = run_schedule(events, conditions, seed)
        doubled = {
            key: attempts
            for key, attempts in world.executed.items()
            if len(attempts) > 1
        }
        assert doubled == {}
        assert falsely_reported_not_run(world) == []

    def test_fleet_without_faults_runs_requests(self):
        world = run_schedule([])
        assert len(world.executed) >= schedules.STEPS // 2

    def test_new_owner_runs_keys_created_after_the_crash(self):
        crash = schedules.Event(step=40, kind="crash", host=0, span=4)
        world = run_schedule([crash], lag_s=1.0)
        assert len(world.executed) >= schedules.STEPS // 2


class TestKeyTimestamps:
    def test_uuid_version_7(self):
        made_at = key_timestamps.created_at(
            "018bcfe5-6800-7000-8000-000000000000"
        )
        assert made_at == 1_700_000_000.0

    def test_ulid(self):
        assert key_timestamps.created_at("01HF7YAT00AAAAAAAAAAAAAAAA") == (
            1_700_000_000.0
        )

    def test_other_keys_have_no_timestamp(self):
        assert key_timestamps.created_at("order-17") is None
        assert (
            key_timestamps.created_at("6f1c1a52-7f3a-4f0e-9f9c-1b2b3c4d5e6f")
            is None
        )
