"""Detects child calls that retry a failed call of the same parent."""

REMEMBERED_MAX = 256


class FailedCalls:
    """Fingerprints of the failed child calls of a running call.

    If the upstream itself sends a failed child call again, this is a retry
    like any other and is charged to the request's retry budget.
    """

    def __init__(self) -> None:
        self._failed: dict[int, None] = {}

    def is_retry(self, fingerprint: int) -> bool:
        """Return whether a call with the same content has failed before."""
        return fingerprint in self._failed

    def record_failure(self, fingerprint: int) -> None:
        """Record a failed child call; drop the oldest beyond the maximum."""
        self._failed[fingerprint] = None
        if len(self._failed) > REMEMBERED_MAX:
            self._failed.pop(next(iter(self._failed)))
