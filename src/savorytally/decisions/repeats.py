"""Recognises child calls that repeat a failed one of the same parent."""

REMEMBERED_MAX = 256


class FailedChildren:
    """Fingerprints of a running call's child calls that have failed.

    An upstream that repeats a failed child call by itself makes a retry
    like any other, and it is charged to the request's budget.
    """

    def __init__(self) -> None:
        self._failed: dict[int, None] = {}

    def repeats(self, fingerprint: int) -> bool:
        """Return whether a call of that content has failed before."""
        return fingerprint in self._failed

    def failed(self, fingerprint: int) -> None:
        """Note a failed child call; the oldest are forgotten."""
        self._failed[fingerprint] = None
        if len(self._failed) > REMEMBERED_MAX:
            self._failed.pop(next(iter(self._failed)))
