"""No schedule of faults lets the fleet admit more than rate and burst."""

import typing as t

from fakes import lenders
from fakes import schedules
from fakes import transport
import hypothesis
from hypothesis import strategies

TOLERANCE = 1e-6


class Demand(schedules.Schedule):
    """Applies faults while callers send as much as they can.

    :param world: the nodes.
    """

    def __init__(self, world: lenders.World) -> None:
        super().__init__(world)
        self.most_stored = 0.0

    def demand(self, step: int) -> None:
        """Send nothing, to all hosts, or to one host for a time."""
        phase = (step // 16) % 4
        if phase == 0:
            return
        for number, host_id in enumerate(list(self.world.members)):
            if phase == 3 and number:
                return
            self.world.request(host_id, schedules.ORGANISATION, 4)

    def check(self) -> None:
        """Note the greatest sum of stored and unspent tokens."""
        stored = sum(
            member.quota.unspent(schedules.ORGANISATION, member.now())
            for member in self.world.members.values()
        )
        self.most_stored = max(self.most_stored, stored)


def play(
    events: t.Sequence[schedules.Event],
    weather: transport.Weather = lenders.CALM,
    seed: int = 1,
    fresh: bool = True,
    lag_s: float = 10.0,
) -> Demand:
    """Run one schedule."""
    world = lenders.World(
        schedules.contract(), schedules.PLACES, seed, weather, fresh, lag_s
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
    """Return the tokens admitted above rate and burst."""
    times = schedule.world.admitted.get(schedules.ORGANISATION, [])
    return lenders.excess(times, schedules.RATE_PER_S, schedules.BURST)


class TestConservation:
    @hypothesis.given(
        events=schedules.EVENTS,
        weather=schedules.WEATHER,
        seed=strategies.integers(0, 1 << 16),
        fresh=strategies.booleans(),
    )
    def test_never_over_rate_and_burst(self, events, weather, seed, fresh):
        schedule = play(events, weather, seed, fresh)
        assert overshoot(schedule) <= TOLERANCE
        assert schedule.most_stored <= schedules.BURST + TOLERANCE

    def test_calm_fleet_admits_its_rate(self):
        schedule = play([])
        admitted = len(schedule.world.admitted[schedules.ORGANISATION])
        assert (
            admitted
            >= 0.5 * schedules.RATE_PER_S * schedules.STEPS * schedules.STEP_S
        )
