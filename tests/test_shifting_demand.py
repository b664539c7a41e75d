"""Demand that moves between data centres and regions, replayed.

Guards against calls that cross data centres or regions although there is
local capacity, against requests that are refused although another data centre
has capacity, and against load that is sent back and forth.
"""

import functools
import random

from fakes import regional_load
import pytest

from savorytally.decisions import placement
from savorytally.world import catalog

SEEDS = range(2)
# Time until the entries have results of all routes.
STARTED_S = 2.0
# Targets: of what one pool could serve; of all requests, beyond what local
# capacity lacks; until the flow has returned.
SERVED_MIN = 0.95
CROSSING_SLACK = 0.03
REGION_SLACK = 0.01
RETURN_S = 2.0


def wave(centre, kind, now):
    return regional_load.wave(centre, now)


def even(centre, kind, now):
    return 1.0


def burst(centre, kind, now):
    burst_here = centre == "low-a" and kind.child and 3.0 <= now < 6.0
    return 2.3 if burst_here else 1.0


def lost(group, second):
    """Return whether a region or data centre has no capacity."""
    return group.startswith("mid") and 3 <= second < 7


@functools.cache
def replay(name, seed):
    """Return the replay of a load; the tests of one load share it."""
    if name == "wave":
        return regional_load.Replay(seed, wave, 19.0)
    if name == "burst":
        return regional_load.Replay(seed, burst, 9.0)
    down = (3.0, lambda load: load.take_down("mid", 7.0))
    return regional_load.Replay(seed, even, 10.0, faults=[down])


def served_share(load, capacity=lambda now: 1.0):
    pool = regional_load.pool_served(load, capacity, STARTED_S)
    return load.served(STARTED_S) / pool


def crossing_excess(load, gone=lambda group, second: False):
    """Return the shares that cross data centres and regions without need."""
    total = len(load.requests)
    centres, _ = load.sent_beyond(0)
    regions, _ = load.sent_beyond(1)
    centres -= load.lacking(lambda centre: centre, 1, gone)
    regions -= load.lacking(regional_load.REGIONS.get, 2, gone)
    return centres / total, regions / total


def remaining_capacity(now):
    return 2 / 3 if 3.0 <= now < 7.0 else 1.0


@pytest.mark.parametrize("seed", SEEDS)
class TestLoads:
    @pytest.mark.parametrize("name", ["wave", "burst"])
    def test_serves_what_one_pool_could(self, name, seed):
        assert served_share(replay(name, seed)) >= SERVED_MIN

    def test_serves_without_a_region_what_the_others_could(self, seed):
        load = replay("loss", seed)
        assert served_share(load, remaining_capacity) >= SERVED_MIN

    @pytest.mark.parametrize("name", ["wave", "burst"])
    def test_crosses_only_for_lack_of_local_capacity(self, name, seed):
        centres, regions = crossing_excess(replay(name, seed))
        assert centres <= CROSSING_SLACK
        assert regions <= REGION_SLACK

    def test_loss_of_a_region_crosses_only_for_lack_of_capacity(self, seed):
        centres, regions = crossing_excess(replay("loss", seed), lost)
        assert centres <= CROSSING_SLACK
        assert regions <= REGION_SLACK

    @pytest.mark.parametrize("name", ["wave", "burst", "loss"])
    def test_no_data_centre_alternates(self, name, seed):
        assert replay(name, seed).alternations(STARTED_S) == []

    @pytest.mark.parametrize(("name", "ends"), [("burst", 6.0), ("loss", 7.0)])
    def test_flow_returns(self, name, ends, seed):
        start = ends + RETURN_S
        centres, total = replay(name, seed).sent_beyond(0, start, start + 1.0)
        regions, _ = replay(name, seed).sent_beyond(1, start, start + 1.0)
        assert centres <= CROSSING_SLACK * total
        assert regions <= REGION_SLACK * total


class TestChoice:
    """Single choices between a local upstream and one in another region."""

    def make(self):
        known = placement.Placement(
            "low-a", regional_load.REGIONS, random.Random(1)
        )
        known.learn_instances(
            {
                name: catalog.Instance(
                    instance_id=name,
                    service="almanac",
                    address=name,
                    port=1,
                    data_centre=centre,
                    slots=10,
                    ready=True,
                    cold_s=0.0,
                )
                for name, centre in (("near", "low-a"), ("far", "up-a"))
            },
            0.0,
        )
        return known

    def choose(self, known, **given):
        return known.choose("almanac", "r", (), 0.5, 1.0, **given).instance_id

    def test_run_time_spread_is_no_reason_to_cross(self):
        known = self.make()
        known.record_load("near", "r", 0.2, 8, 9, 1.0)
        known.record_load("far", "r", 0.02, 0, 9, 1.0)
        assert {self.choose(known) for _ in range(200)} == {"near"}

    def test_local_upstream_too_slow_for_the_objective_is_not_used(self):
        known = self.make()
        known.record_load("near", "r", 0.6, 0, 9, 1.0)
        known.record_load("far", "r", 0.02, 0, 9, 1.0)
        assert {self.choose(known) for _ in range(200)} == {"far"}

    def test_one_report_of_a_short_queue_is_no_reason_to_cross(self):
        known = self.make()
        known.record_load("near", "r", 0.1, 16, 9, 1.0)
        assert {self.choose(known) for _ in range(200)} == {"near"}

    def test_confined_request_goes_far_although_there_is_local_room(self):
        known = self.make()
        up = frozenset(("up",))
        assert self.choose(known, regions=up) == "far"

    def test_reports_distance(self):
        known = self.make()
        assert known.distance("near") == "data_centre"
        assert known.distance("far") == "other_region"
        assert known.distance("gone") == "unknown"


@pytest.mark.parametrize("seed", SEEDS)
class TestFailures:
    def test_upstreams_that_report_room_and_reject(self, seed):
        def lie(load):
            load.upstreams["low-a2"].lies = True

        load = regional_load.Replay(seed, even, 6.0, 0.6, [(2.0, lie)])
        assert served_share(load) >= SERVED_MIN

    def test_upstream_that_reported_room_dies(self, seed):
        def die(load):
            load.kill(load.upstreams["low-a2"], 1e9)

        load = regional_load.Replay(seed, even, 6.0, 0.6, [(2.0, die)])
        assert served_share(load) >= SERVED_MIN

    def test_reports_are_late_and_out_of_order(self, seed):
        load = regional_load.Replay(seed, wave, 10.0, report_jitter_s=0.15)
        # The fake delays results on their way, also for the caller.
        late_s = 0.15
        in_time = sum(
            took_s <= request.kind.objective_s + late_s
            for request, took_s in load.response_s.items()
        )
        assert in_time >= SERVED_MIN * regional_load.pool_served(load)

    def test_regions_lose_each_other_in_a_wave(self, seed):
        def cut(load):
            load.cut = True

        def heal(load):
            load.cut = False

        faults = [(5.0, cut), (8.0, heal)]
        load = regional_load.Replay(seed, wave, 12.0, faults=faults)
        assert served_share(load) >= SERVED_MIN

    def test_entries_with_few_requests_each(self, seed):
        load = regional_load.Replay(seed, wave, 10.0, entries=60)
        assert served_share(load) >= SERVED_MIN
