"""Planned stops break no rule beside random traffic and changes.

``STOP_RUNS`` sets the number of runs.
"""

import os

from fakes import stop_run
import pytest

from savorytally.dataplane import node

RUNS = int(os.environ.get("STOP_RUNS", "10"))


@pytest.mark.parametrize("seed", range(1, RUNS + 1))
def test_stops_beside_random_traffic_break_no_rule(seed):
    """Requests were cut, run again or failed although they had not run."""
    run = stop_run.play(seed)
    assert run.breaches() == []
    # The run was long enough to be meaningful.
    assert len(run.sent) > 20
    assert all(stop.ended < float("inf") for stop in run.stops)
    assert run.stops and run.runs


@pytest.mark.parametrize("seed", range(1, RUNS + 1))
def test_processes_suspended_at_the_signal_end_before_the_kill(seed):
    """Stops were counted from the end of a suspension, and outlasted it."""
    run = stop_run.play(seed, suspends=True)
    assert run.breaches() == []
    assert run.stops


def test_runs_notice_stops_counted_from_the_end_of_a_suspension(monkeypatch):
    stop = node.Node.stop
    monkeypatch.setattr(node.Node, "stop", lambda self, late_s: stop(self))
    found = [
        kind
        for seed in range(1, 11)
        for kind, _ in stop_run.play(seed, suspends=True).breaches()
    ]
    assert "stop_too_long" in found
