"""Bounds the retries over the whole call tree of a request.

The root request receives a budget of retries. A child call borrows a part of
its parent's remaining budget and returns what it does not use, so that the
sum over the tree never exceeds the root's budget, whatever the depth or
fan-out. A node-wide ratio of retries to first attempts is a further bound
when many requests fail at once.
"""

import dataclasses

from .. import outcomes
from .. import results

UPSTREAM_BUSY_STATUS = 503

# The request did not run, and an attempt at another host may succeed.
_OTHER_HOST_MAY_RUN = frozenset(
    {
        results.SHED_AT_GATE,
        results.HOST_LEAVING,
        results.NOT_DISPATCHED,
        results.RESOLVED_NOT_RUN,
        results.NOT_CONFIGURED,
        results.STALE_VIEW,
        results.RECORD_FULL,
        results.DATA_CENTRE_EVACUATED,
        results.NOT_AT_HOME,
    }
)

# The request may have run; if it is idempotent, a retry may succeed.
_RETRY_MAY_SUCCEED = frozenset(
    {
        results.ANSWER_TRUNCATED,
        results.ANSWER_LOST,
        results.OUTCOME_UNKNOWN,
        results.UPSTREAM_BROKEN,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """The properties of a request that the decision to retry depends on.

    :param idempotent: whether it is harmless to run the request twice.
    :param remaining_s: time until the deadline.
    :param needed_s: usual duration of an attempt.
    """

    idempotent: bool
    remaining_s: float
    needed_s: float = 0.0


class RetryBudget:
    """Remaining retries of one call and its children.

    :param retries: retries that the call and its children may use in total.
    """

    def __init__(self, retries: int) -> None:
        self._left = max(retries, 0)

    @property
    def left(self) -> int:
        """Retries that are neither used nor lent to a child call."""
        return self._left

    def lend(self) -> int:
        """Take a child call's share out of the budget and return it."""
        share = (self._left + 1) // 2
        self._left -= share
        return share

    def return_unused(self, unused: int, lent: int) -> None:
        """Add the retries that a child call did not use.

        :param unused: retries that the child call returns.
        :param lent: retries that it was lent, the most that is added.
        """
        self._left += min(max(unused, 0), lent)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._left == 0:
            return False
        self._left -= 1
        return True


class RetryRatio:
    """Limits a node's retries to a fraction of its first attempts.

    :param ratio: retries earned by each first attempt.
    :param reserve: retries that may be saved up.
    """

    def __init__(self, ratio: float, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._saved = reserve

    def learn_ratio(self, ratio: float) -> None:
        """Apply the ratio of a newer configuration."""
        self._ratio = ratio

    def first_attempt(self) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        self._saved = min(self._reserve, self._saved + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def combined_outcome(
    earlier: outcomes.Outcome | None, latest: outcomes.Outcome
) -> outcomes.Outcome:
    """Return the outcome of a request after one more attempt.

    An earlier attempt that ran, or may have run, determines the outcome even
    if the latest one did not run.

    :param earlier: the outcome of all attempts before, ``None`` for the
        first attempt.
    :param latest: the outcome of the latest attempt.
    """
    if earlier is None or isinstance(latest, outcomes.Answer):
        return latest
    if latest.code.not_run and not earlier.code.not_run:
        return earlier
    return latest


def should_retry(outcome: outcomes.Outcome, attempt: Attempt) -> bool:
    """Return whether another attempt is safe and likely to succeed.

    An attempt is safe if the request is idempotent or is proven not to have
    run.
    """
    if attempt.remaining_s <= attempt.needed_s:
        return False
    if isinstance(outcome, outcomes.Answer):
        return attempt.idempotent and outcome.status == UPSTREAM_BUSY_STATUS
    if outcome.code in _OTHER_HOST_MAY_RUN:
        return True
    return attempt.idempotent and outcome.code in _RETRY_MAY_SUCCEED
