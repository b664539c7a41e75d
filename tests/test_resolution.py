"""Resolution of calls whose answers may be lost, and stream liveness."""

import random

import hypothesis
from hypothesis import strategies

from savorytally import defaults
from savorytally import outcomes
from savorytally.decisions import call_resolution
from savorytally.decisions import liveness

LEFT = call_resolution.Sender("left", 1)
LIMITS = call_resolution.Limits(
    outcome_retention_s=5.0,
    record_retention_s=60.0,
    max_bytes=4_000,
    max_records=20,
)

LONGEST_S = defaults.CALL_TIMEOUT_MAX_MS / 1000

Arrival = call_resolution.Arrival
State = call_resolution.State


def answer(body: bytes = b"whole") -> outcomes.Answer:
    return outcomes.Answer(200, (), body)


class TestServedCalls:
    def test_unknown_call_never_runs_after_a_query(self):
        served = call_resolution.ServedCalls(LIMITS)
        assert served.resolve(LEFT, 7, 0.0).state is State.NEVER_RUN
        assert served.arrive(LEFT, 7, 0.1) is Arrival.NEVER_RUN

    def test_duplicate_call_runs_once(self):
        served = call_resolution.ServedCalls(LIMITS)
        assert served.arrive(LEFT, 7, 0.0) is Arrival.RUN
        assert served.arrive(LEFT, 7, 0.0) is Arrival.DUPLICATE

    def test_answer_is_retained_until_settled(self):
        served = call_resolution.ServedCalls(LIMITS)
        served.arrive(LEFT, 7, 0.0)
        assert served.resolve(LEFT, 7, 0.0).state is State.RUNNING
        served.finish(LEFT, 7, answer(), 0.1)
        assert served.resolve(LEFT, 7, 0.2).outcome == answer()
        served.settle(LEFT, 8, 0.3)
        assert served.retained_bytes == 0
        assert served.resolve(LEFT, 7, 0.4).state is State.FORGOTTEN
        assert served.arrive(LEFT, 7, 0.4) is Arrival.FORGOTTEN

    def test_call_with_a_dropped_outcome_counts_as_run(self):
        served = call_resolution.ServedCalls(LIMITS)
        served.arrive(LEFT, 7, 0.0)
        served.finish(LEFT, 7, answer(), 0.0)
        served.expire(6.0)
        assert served.resolve(LEFT, 7, 6.0).state is State.OUTCOME_DROPPED

    def test_other_incarnation_is_another_sender(self):
        served = call_resolution.ServedCalls(LIMITS)
        served.arrive(LEFT, 7, 0.0)
        later = call_resolution.Sender("left", 2)
        assert served.arrive(later, 7, 0.0) is Arrival.RUN


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["arrive", "finish", "resolve", "settle", "wait"]
        ),
        strategies.integers(1, 30),
    ),
    max_size=80,
)


class TestAnyHistory:
    @hypothesis.given(STEPS)
    def test_never_reports_a_run_call_as_not_run(self, steps):
        served = call_resolution.ServedCalls(LIMITS)
        now = 0.0
        ran: set[int] = set()
        denied: set[int] = set()
        first_at: dict[int, float] = {}
        for step, number in steps:
            # A caller neither sends nor queries a call after its deadline.
            age_s = now - first_at.setdefault(number, now)
            if step in ("arrive", "resolve") and age_s > LONGEST_S:
                continue
            if step == "arrive":
                if served.arrive(LEFT, number, now) is Arrival.RUN:
                    assert number not in ran | denied
                    ran.add(number)
            elif step == "finish":
                served.finish(LEFT, number, answer(b"x" * 500), now)
            elif step == "resolve":
                result = served.resolve(LEFT, number, now)
                if result.state is State.NEVER_RUN:
                    assert number not in ran
                    denied.add(number)
            elif step == "settle":
                served.settle(LEFT, number, now)
            else:
                now += number * 3.0
                served.expire(now)
            assert served.retained_bytes <= LIMITS.max_bytes


class TestStreamHealth:
    def test_unresponsive_stream_is_pinged_then_closed(self):
        health = liveness.StreamHealth(0.0)
        checks = [
            health.check(True, 0.0, step * defaults.CONTROL_TICK_S)
            for step in range(1, 9)
        ]
        assert liveness.Check.PING in checks
        assert checks[-1] is liveness.Check.UNRESPONSIVE

    def test_stream_that_receives_data_is_kept(self):
        health = liveness.StreamHealth(0.0)
        for step in range(1, 100):
            now = step * defaults.CONTROL_TICK_S
            received_at = now - defaults.HEARTBEAT_PERIOD_S
            check = health.check(True, received_at, now)
            assert check is not liveness.Check.UNRESPONSIVE

    def test_idle_stream_is_not_checked(self):
        health = liveness.StreamHealth(0.0)
        assert health.check(False, 0.0, 100.0) is liveness.Check.NOTHING

    def test_pause_of_this_process_does_not_count(self):
        health = liveness.StreamHealth(0.0)
        assert health.check(True, 0.0, 0.3) is liveness.Check.PING
        assert health.check(True, 0.0, 9.0) is liveness.Check.NOTHING


class TestBackoff:
    def test_delay_grows_up_to_the_maximum(self):
        backoff = liveness.Backoff(random.Random(1))
        waits = []
        for _ in range(20):
            backoff.failed(0.0)
            waits.append(backoff.ready_at)
        assert waits[0] <= defaults.RECONNECT_MIN_S
        assert waits[-1] >= defaults.RECONNECT_MAX_S / 2
        assert max(waits) <= defaults.RECONNECT_MAX_S
        backoff.succeeded()
        assert backoff.ready(0.0)
