"""Random days of upstreams, nodes and callers: promises are kept.

``PROMISE_DAYS`` sets how many days are played.
"""

import os

from fakes import promises
import pytest

DAYS = int(os.environ.get("PROMISE_DAYS", "8"))


@pytest.mark.parametrize("seed", range(DAYS))
def test_what_was_refused_never_runs_and_nothing_runs_twice(seed):
    judge = promises.play(seed)
    assert judge.verdict() == []
    # The day was not a quiet one.
    assert len(judge.sent) > 400
    assert sum(judge.runs.values()) > 200
