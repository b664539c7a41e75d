"""Retry-After delays of refused requests."""

import random

import pytest

from savorytally.decisions import retry_after


class TestRetryAfter:
    def test_callers_refused_together_do_not_retry_together(self):
        source = random.Random(1)
        delays = [
            retry_after.after_refusal_s(6.0, 1.5, 0.8, source.random())
            for _ in range(1000)
        ]
        for start in (0.4, 0.6, 0.8, 1.0):
            within = sum(start <= at < start + 0.2 for at in delays)
            assert within == pytest.approx(250, abs=60)

    def test_delay_grows_with_the_wait(self):
        short = retry_after.after_refusal_s(6.0, 1.5, 0.5, 0.5)
        assert retry_after.after_refusal_s(
            6.0, 1.5, 1.5, 0.5
        ) == pytest.approx(3 * short)

    @pytest.mark.parametrize("left_s", [0.0, 0.9, 3.0])
    def test_delay_is_bounded_by_the_remaining_time(self, left_s):
        part = left_s * retry_after.HONOURED_FRACTION
        assert retry_after.after_refusal_s(left_s, 2.0, 30.0, 1.0) == part
        assert retry_after.after_restart_s(left_s, 30.0, 1.0) == part

    def test_no_retry_before_the_next_process_is_likely_to_serve(self):
        for draw in (0.0, 0.5, 1.0):
            assert 1.2 <= retry_after.after_restart_s(6.0, 1.2, draw) <= 1.8
