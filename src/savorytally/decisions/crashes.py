"""Tells a crash of the local upstream from a single broken connection."""

import dataclasses

WINDOW_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The upstream has crashed.

    :param fingerprints: the requests that were running.
    :param alone: whether it was a single one, run while nothing else ran.
    """

    fingerprints: frozenset[int]
    alone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    fingerprint: int
    since: float
    alone: bool


class CrashDetector:
    """Watches the calls at one upstream.

    A crash breaks every call that was running. An answer to a call that
    was running when the first one broke shows that there was none.
    """

    def __init__(self) -> None:
        self._running: dict[int, _Running] = {}
        self._struck: list[_Running] = []
        self._first_at = 0.0

    def started(
        self, ticket: int, fingerprint: int, alone: bool, now: float
    ) -> None:
        """Note a call that is sent to the upstream."""
        self._running[ticket] = _Running(fingerprint, now, alone)

    def ended(self, ticket: int) -> None:
        """Note a call that ended without saying anything of a crash."""
        self._running.pop(ticket, None)

    def answered(self, ticket: int) -> None:
        """Note a whole answer."""
        call = self._running.pop(ticket, None)
        if call is not None and call.since < self._first_at:
            self._struck.clear()

    def broken(self, ticket: int, now: float) -> Crash | None:
        """Note a call whose connection broke; return a crash if it is one."""
        call = self._running.pop(ticket, None)
        if call is None:
            return None
        if not self._struck or now - self._first_at > WINDOW_S:
            self._struck.clear()
            self._first_at = now
        self._struck.append(call)
        earlier = (x for x in self._running.values())
        if any(item.since < self._first_at for item in earlier):
            return None
        return self._declare()

    def refused(self, ticket: int, now: float) -> Crash | None:
        """Note that the upstream accepts no connection."""
        self._running.pop(ticket, None)
        if not self._struck or now - self._first_at > WINDOW_S:
            return None
        return self._declare()

    def _declare(self) -> Crash:
        struck, self._struck = self._struck, []
        return Crash(
            fingerprints=frozenset(item.fingerprint for item in struck),
            alone=len(struck) == 1 and struck[0].alone,
        )
