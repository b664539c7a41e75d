"""Shed levels, their control, and fair shares of organisations."""

import math
import random
import statistics

from hypothesis import given
from hypothesis import strategies as st
import pytest

from savorytally.decisions import fair_shares
from savorytally.decisions import shed_control
from savorytally.decisions import shedding
from savorytally.world import route

BROWSING = route.Priority.BROWSING
CRITICAL = route.Priority.CRITICAL


class TestWaterFill:
    @given(
        st.lists(
            st.tuples(st.floats(0.1, 1e3), st.floats(0.1, 10)), min_size=1
        ),
        st.floats(0.1, 1e3),
    )
    def test_allots_the_demand_or_the_whole_capacity(self, demands, capacity):
        unit = fair_shares.water_fill(demands, capacity)
        given_out = sum(min(demand, unit * w) for demand, w in demands)
        demanded = sum(demand for demand, _ in demands)
        assert given_out == pytest.approx(min(demanded, capacity))


class TestFairShares:
    def test_only_organisations_above_their_share_are_cut(self):
        measured = fair_shares.FairShares()
        now = 0.0
        for _ in range(20):
            now += fair_shares.INTERVAL_S
            for _ in range(60):
                measured.note(BROWSING, "big", 1.0, now)
            for _ in range(10):
                measured.note(BROWSING, "small", 1.0, now)
        half = shedding.level_for(BROWSING, 0.5)
        assert measured.share(half, BROWSING, "small") == 1.0
        big = measured.share(half, BROWSING, "big")
        assert big == pytest.approx(25 / 60, rel=0.05)

    @given(st.integers(0, shedding.LEVEL_MAX), st.integers(0, 1 << 32))
    def test_higher_class_is_not_refused_before_a_lower(self, at, root_hash):
        measured = fair_shares.FairShares()
        admitted = [
            measured.admits(at, item, "org0", root_hash)
            for item in sorted(route.Priority)
        ]
        assert admitted == sorted(admitted)
        assert admitted == [
            shedding.admits(at, item, root_hash)
            for item in sorted(route.Priority)
        ]


class TestRootNumbers:
    @given(st.integers(1, 200), st.floats(0.0, 1.0))
    def test_consecutive_requests_are_refused_evenly(self, count, fraction):
        numbers = shedding.RootNumbers()
        level_at = shedding.level_for(BROWSING, fraction)
        admitted = sum(
            shedding.admits(level_at, BROWSING, numbers.next(BROWSING, "a"))
            for _ in range(count)
        )
        assert abs(admitted - fraction * count) <= 2 + math.log(count)

    def test_identifier_contains_the_number(self):
        source = random.Random(1)
        for number in (0, 1, shedding.STEPS - 1):
            identifier = shedding.root_id(source, number)
            assert shedding.root_number(identifier) == number


class TestShedControl:
    @staticmethod
    def converge(demand, limit=10, seconds=5.0, control=None, now=0.0):
        """Offer calls for ``demand`` slots; callers apply the shed level."""
        control = control or shed_control.ShedControl()
        numbers = shedding.RootNumbers()
        history = []
        waiting = 0.0
        used_s = 0.0
        for _ in range(int(seconds / shed_control.INTERVAL_S)):
            now += shed_control.INTERVAL_S
            admitted = 0
            for _ in range(int(demand * 10)):
                number = numbers.next(BROWSING, "org0")
                if shedding.admits(control.level, BROWSING, number):
                    admitted += 1
                    control.record_offered(
                        BROWSING, shed_control.INTERVAL_S / 10
                    )
            busy = admitted > limit * 10
            used_s += min(admitted / 10, limit) * shed_control.INTERVAL_S
            waiting += max(admitted / 10 - limit, -waiting)
            wait_s = waiting * shed_control.INTERVAL_S / limit
            seen = shed_control.Observation(limit, used_s, wait_s, 0.05, busy)
            control.update(seen, now)
            history.append(admitted / 10)
        return control, statistics.mean(history[-10:])

    def test_twofold_demand_is_cut_to_the_capacity(self):
        _, admitted = self.converge(demand=20)
        assert 9.8 <= admitted <= 11.0

    def test_no_overload_means_no_level(self):
        control, _ = self.converge(demand=8)
        assert control.level == 0

    def test_level_falls_soon_after_the_overload(self):
        control, _ = self.converge(demand=60)
        assert control.level > 0
        self.converge(demand=8, seconds=2.0, control=control, now=5.0)
        assert control.level == 0

    def test_lower_classes_are_refused_first(self):
        control = shed_control.ShedControl()
        for tick in range(50):
            control.record_offered(CRITICAL, 0.5)
            control.record_offered(BROWSING, 2.0)
            seen = shed_control.Observation(10, tick * 1.0, 0.1, 0.05, True)
            control.update(seen, tick * 0.1)
        assert shedding.admitted(control.level, CRITICAL) == 1.0
        assert shedding.admitted(control.level, BROWSING) < 0.5
