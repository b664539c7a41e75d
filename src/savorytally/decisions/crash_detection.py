"""Distinguishes a crash of the local upstream from one broken connection."""

import dataclasses

# Time after the first broken call within which others belong to one crash.
WINDOW_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of the upstream.

    :param fingerprints: fingerprints of the requests that were running.
    :param isolated: whether this was a single request run in isolation.
    """

    fingerprints: frozenset[int]
    isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    fingerprint: int
    started_at: float
    isolated: bool


class CrashDetector:
    """Detects crashes from the ends of the calls at one upstream.

    A crash breaks every call that is running. If a call that was running
    when the first one broke is answered, there was no crash.
    """

    def __init__(self) -> None:
        self._running: dict[int, _Running] = {}
        self._broken_calls: list[_Running] = []
        self._first_at = 0.0

    def started(
        self, ticket: int, fingerprint: int, isolated: bool, now: float
    ) -> None:
        """Record a call that is sent to the upstream."""
        self._running[ticket] = _Running(fingerprint, now, isolated)

    def ended(self, ticket: int) -> None:
        """Record the end of a call that says nothing about a crash."""
        self._running.pop(ticket, None)

    def answered(self, ticket: int) -> None:
        """Record a complete response."""
        call = self._running.pop(ticket, None)
        if call is not None and call.started_at < self._first_at:
            self._broken_calls.clear()

    def broken(self, ticket: int, now: float) -> Crash | None:
        """Record a call whose connection broke; return a detected crash."""
        call = self._running.pop(ticket, None)
        if call is None:
            return None
        if not self._broken_calls or now - self._first_at > WINDOW_S:
            self._broken_calls.clear()
            self._first_at = now
        self._broken_calls.append(call)
        earlier = (x for x in self._running.values())
        if any(item.started_at < self._first_at for item in earlier):
            return None
        return self._take_crash()

    def refused(self, ticket: int, now: float) -> Crash | None:
        """Record a refused connection; return a detected crash.

        A refused connection shortly after a broken call confirms a crash.
        """
        self._running.pop(ticket, None)
        if not self._broken_calls or now - self._first_at > WINDOW_S:
            return None
        return self._take_crash()

    def _take_crash(self) -> Crash:
        broken, self._broken_calls = self._broken_calls, []
        return Crash(
            fingerprints=frozenset(item.fingerprint for item in broken),
            isolated=len(broken) == 1 and broken[0].isolated,
        )
