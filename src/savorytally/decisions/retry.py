"""Bounds on repeated attempts over the whole call tree of a request.

The root request receives a budget of retries. A child call takes part of
what is left to its parent and returns what it does not use, so that the sum
over the tree never exceeds the root's budget, whatever its depth or fan-out.
"""

import dataclasses

from .. import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What the decision to retry depends on.

    :param idempotent: whether a repetition is harmless.
    :param remaining_s: time left until the deadline.
    :param other_host: whether a host is left that was not tried.
    """

    idempotent: bool
    remaining_s: float
    other_host: bool


class RetryBudget:
    """Retries left to one call and its children.

    :param retries: retries that the call and its children may use.
    """

    def __init__(self, retries: int) -> None:
        self._left = max(retries, 0)

    @property
    def left(self) -> int:
        """Retries not used and not lent to a child call."""
        return self._left

    def lend(self) -> int:
        """Take a child call's part out of the budget and return it."""
        part = (self._left + 1) // 2
        self._left -= part
        return part

    def give_back(self, unused: int, lent: int) -> None:
        """Add what a child call returns, at most what it was lent."""
        self._left += min(max(unused, 0), lent)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._left == 0:
            return False
        self._left -= 1
        return True


def worthwhile(failure: outcomes.Failure, attempt: Attempt) -> bool:
    """Return whether another attempt is safe and likely to do better.

    Safe is an attempt after a proof that the request did not run, or any
    attempt at an idempotent request.
    """
    if attempt.remaining_s <= 0 or not attempt.other_host:
        return False
    if failure.code.http_status in (400, 401, 403, 404, 413, 422, 429, 499):
        return False
    return failure.code.not_run or attempt.idempotent
