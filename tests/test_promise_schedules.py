"""Outcomes reported to callers hold under random faults of a running fleet.

``PROMISE_DAYS`` sets the number of simulated runs.
"""

import os

from fakes import fault_run
import pytest

RUNS = int(os.environ.get("PROMISE_DAYS", "8"))


@pytest.mark.parametrize("seed", range(RUNS))
def test_rejected_requests_never_run_and_none_runs_twice(seed):
    checker = fault_run.play(seed)
    assert checker.violations() == []
    # The run generated enough load to be meaningful.
    assert len(checker.sent) > 400
    assert sum(checker.runs.values()) > 200
