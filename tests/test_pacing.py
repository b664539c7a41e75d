"""Pacing to an advertised rate limit, and reading of advertisements."""

import bisect
import math

import hypothesis
from hypothesis import strategies
import pytest

from savorytally.decisions import advertised_state
from savorytally.decisions import gate_queue
from savorytally.decisions import pacing
from savorytally.decisions import placement

WINDOW_S = 4.0
LIMITS = strategies.one_of(
    strategies.just(0.0),
    strategies.floats(0.0, 100.0, allow_subnormal=False),
)


def most_in_a_window(times):
    """Return the largest number of times that lie within one window."""
    return max(
        (
            bisect.bisect_left(times, at + WINDOW_S) - first
            for first, at in enumerate(times)
        ),
        default=0,
    )


class TestPacer:
    @hypothesis.given(
        limit_per_s=LIMITS,
        pauses=strategies.lists(
            strategies.floats(0.0, 1.0), min_size=50, max_size=200
        ),
        restarts=strategies.sets(strategies.integers(0, 199), max_size=3),
    )
    def test_no_window_exceeds_the_limit(self, limit_per_s, pauses, restarts):
        """The bound includes up to three restarts of the gate."""
        now, passed = 0.0, []
        pacer = pacing.Pacer()
        pacer.set_limit(limit_per_s, now)
        for number, pause_s in enumerate(pauses):
            now += pause_s
            if number in restarts:
                pacer = pacing.Pacer()
                pacer.set_limit(limit_per_s, now)
            while pacer.try_acquire(now):
                passed.append(now)
        allowed = 1.5 * limit_per_s * WINDOW_S + 5
        assert most_in_a_window(passed) <= allowed

    @pytest.mark.parametrize("limit_per_s", [0.2, 2.6, 60.0])
    def test_waiting_work_uses_the_whole_limit(self, limit_per_s):
        pacer = pacing.Pacer()
        pacer.set_limit(limit_per_s, 0.0)
        now, passed = 0.0, 0
        while now < 100.0:
            now += max(1e-4, pacer.wait_s(0, now))
            passed += pacer.try_acquire(now)
        assert passed >= 0.99 * 100 * limit_per_s

    def test_token_of_an_unsent_request_is_returned(self):
        pacer = pacing.Pacer()
        pacer.set_limit(1.0, 0.0)
        assert pacer.try_acquire(0.0)
        pacer.refund()
        assert pacer.try_acquire(0.0)
        assert not pacer.try_acquire(0.0)

    def test_lower_limit_removes_saved_tokens(self):
        pacer = pacing.Pacer()
        pacer.set_limit(100.0, 0.0)
        assert pacer.wait_s(0, 10.0) == 0.0
        pacer.set_limit(2.0, 10.0)
        assert [pacer.try_acquire(10.0) for _ in range(2)] == [True, False]


class TestQueue:
    def job(self, rank, child=False):
        return gate_queue.Job(rank, child, "r", 100.0, 20.0)

    def test_paced_requests_start_by_rank_with_child_calls_first(self):
        queue = gate_queue.GateQueue()
        queue.learn_rate_limit(1.0, 0.0)
        first = self.job(5)
        assert queue.offer(first, 0.0) is gate_queue.Decision.START
        low, high, child = self.job(5), self.job(0), self.job(0, True)
        for job in (low, high, child):
            assert queue.offer(job, 0.1) is gate_queue.Decision.WAIT
        order = []
        for second in range(1, 5):
            order += queue.advance(second + 0.01).started
        assert order == [child, high, low]

    def test_request_that_would_wait_too_long_is_refused_on_arrival(self):
        queue = gate_queue.GateQueue()
        queue.learn_rate_limit(0.2, 0.0)
        assert queue.offer(self.job(0), 0.0) is gate_queue.Decision.START
        job = gate_queue.Job(0, False, "r", 3.0, 1.0)
        assert queue.offer(job, 0.0) is gate_queue.Decision.REFUSE
        assert queue.wait_s(0, False, 0.0) == pytest.approx(5.0, abs=0.01)

    def test_all_waiting_requests_start_when_the_limit_ends(self):
        queue = gate_queue.GateQueue()
        queue.learn_rate_limit(1.0, 0.0)
        for _ in range(4):
            queue.offer(self.job(0), 0.0)
        change = queue.learn_rate_limit(advertised_state.NO_LIMIT, 0.1)
        assert len(change.started) == 3


class TestAdvertisedState:
    def advertisement(self, limit_per_s):
        return advertised_state.Advertisement(limit_per_s)

    def test_higher_limit_applies_to_later_requests_only(self):
        known = advertised_state.AdvertisedState()
        known.apply(self.advertisement(2.0), 0.0, 1.0)
        known.apply(self.advertisement(8.0), 0.9, 1.1)
        assert known.limit_per_s == 2.0
        known.apply(self.advertisement(8.0), 1.0, 1.2)
        assert known.limit_per_s == 8.0

    def test_limit_from_the_upstream_overrides_that_of_other_hosts(self):
        known = advertised_state.AdvertisedState()
        assert known.adopt_limit(3.0)
        assert known.limit_per_s == 3.0
        known.apply(self.advertisement(advertised_state.NO_LIMIT), 0.0, 1.0)
        assert known.limit_per_s == advertised_state.NO_LIMIT
        assert not known.adopt_limit(3.0)

    @hypothesis.given(strategies.lists(strategies.text(max_size=400)))
    def test_any_header_is_a_limit_or_none(self, values):
        limit_per_s = advertised_state.parse(values, values).limit_per_s
        assert limit_per_s is None or limit_per_s >= 0.0

    @pytest.mark.parametrize(
        ("text", "limit_per_s"),
        [("0", 0.0), ("2.6", 2.6), (" 7 ", 7.0), ("5.", 5.0), (".5", 0.5)],
    )
    def test_decimal_numbers_are_limits(self, text, limit_per_s):
        assert advertised_state.parse([text], []).limit_per_s == limit_per_s


class TestPlacement:
    @pytest.mark.parametrize("share", [0.0, -1.0, math.nan, math.inf])
    def test_invalid_share_from_a_peer_is_harmless(self, share):
        known = placement.Placement("dc", {}, None)
        known.learn_advertised("i", 2.0, share, False, 0.0)
        known.sent("i", 1.0)
        assert known.limit_per_s("i") == 2.0
