"""Unforeseen failures of this process: they are logged, and work goes on."""

import collections
import logging
import time
import traceback

# Repeated failures of one kind of work are logged at this interval.
LOG_INTERVAL_S = 1.0
TEXT_CHARACTERS_MAX = 200

# Number of failures by the kind of work.
counts: collections.Counter[str] = collections.Counter()
_logged_at: dict[str, float] = {}


def note(work: str, cause: str | Exception) -> None:
    """Count a failure, and log it unless that was done a moment ago.

    :param work: the kind of work that failed, a value of the metric.
    :param cause: what was seen, or the exception.
    """
    counts[work] += 1
    now = time.monotonic()
    if now - _logged_at.get(work, float("-inf")) < LOG_INTERVAL_S:
        return
    _logged_at[work] = now
    place = ""
    if isinstance(cause, Exception):
        frames = traceback.extract_tb(cause.__traceback__)
        place = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    text = f"{cause!r:.{TEXT_CHARACTERS_MAX}}"
    logging.error("%s failed%s: %s", work, place, text)
