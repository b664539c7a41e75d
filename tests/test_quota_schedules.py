"""The fleet stays within rate and burst under generated fault schedules."""

import typing as t

from fakes import schedules
from fakes import simulated_nodes
from fakes import transport
import hypothesis
from hypothesis import strategies

TOLERANCE = 1e-6


class Demand(schedules.Schedule):
    """Applies faults while callers send as many requests as they can.

    :param world: the simulated fleet.
    """

    def __init__(self, world: simulated_nodes.SimulatedFleet) -> None:
        super().__init__(world)
        self.most_stored = 0.0

    def demand(self, step: int) -> None:
        """Send requests to no host, to all hosts or to one, in turns."""
        phase = (step // 16) % 4
        if phase == 0:
            return
        for number, host_id in enumerate(list(self.world.members)):
            if phase == 3 and number:
                return
            self.world.request(host_id, schedules.ORGANISATION, 4)

    def check(self) -> None:
        """Record the maximum of stored and unspent tokens over all nodes."""
        stored = sum(
            member.quota.unspent(schedules.ORGANISATION, member.now())
            for member in self.world.members.values()
        )
        self.most_stored = max(self.most_stored, stored)


def run_schedule(
    events: t.Sequence[schedules.Event],
    conditions: transport.NetworkConditions = simulated_nodes.CALM,
    seed: int = 1,
    fresh: bool = True,
    lag_s: float = 10.0,
) -> Demand:
    """Run one schedule of faults with maximum demand."""
    world = simulated_nodes.SimulatedFleet(
        schedules.contract(), schedules.PLACES, seed, conditions, fresh, lag_s
    )
    world.patience_s = 0.0
    schedule = Demand(world)
    for step in range(schedules.STEPS):
        schedule.step(events, step)
        schedule.demand(step)
        schedule.check()
        world.net.run(schedules.STEP_S)
    return schedule


def overshoot(schedule: Demand) -> float:
    """Return the number of requests admitted above rate and burst."""
    times = schedule.world.admitted.get(schedules.ORGANISATION, [])
    return simulated_nodes.excess(times, schedules.RATE_PER_S, schedules.BURST)


class TestConservation:
    @hypothesis.given(
        events=schedules.EVENTS,
        conditions=schedules.CONDITIONS,
        seed=strategies.integers(0, 1 << 16),
        fresh=strategies.booleans(),
    )
    def test_never_over_rate_and_burst(self, events, conditions, seed, fresh):
        schedule = run_schedule(events, conditions, seed, fresh)
        assert overshoot(schedule) <= TOLERANCE
        assert schedule.most_stored <= schedules.BURST + TOLERANCE

    def test_fleet_without_faults_admits_half_the_rate(self):
        schedule = run_schedule([])
        admitted = len(schedule.world.admitted[schedules.ORGANISATION])
        assert (
            admitted
            >= 0.5 * schedules.RATE_PER_S * schedules.STEPS * schedules.STEP_S
        )
