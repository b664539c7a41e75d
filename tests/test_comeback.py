"""When refused callers are told to come back."""

import random

import pytest

from savorytally.decisions import comeback


class TestComeBack:
    def test_callers_refused_together_do_not_return_together(self):
        source = random.Random(1)
        back = [
            comeback.after_s(6.0, 1.5, 0.8, source.random())
            for _ in range(1000)
        ]
        for start in (0.4, 0.6, 0.8, 1.0):
            within = sum(start <= at < start + 0.2 for at in back)
            assert within == pytest.approx(250, abs=60)

    def test_later_where_the_wait_is_longer(self):
        short = comeback.after_s(6.0, 1.5, 0.5, 0.5)
        assert comeback.after_s(6.0, 1.5, 1.5, 0.5) == pytest.approx(3 * short)

    @pytest.mark.parametrize("left_s", [0.0, 0.9, 3.0])
    def test_never_later_than_callers_wait(self, left_s):
        part = left_s * comeback.HONOURED_FRACTION
        assert comeback.after_s(left_s, 2.0, 30.0, 1.0) == part
        assert comeback.after_restart_s(left_s, 30.0, 1.0) == part

    def test_not_before_the_next_process_is_likely_to_serve(self):
        for draw in (0.0, 0.5, 1.0):
            assert 1.2 <= comeback.after_restart_s(6.0, 1.2, draw) <= 1.8
