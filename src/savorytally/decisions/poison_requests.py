"""Detects poison requests: requests that crash every upstream they run on.

Protects against a poison request that is retried at other hosts after it has
crashed an upstream. Each request that was running when an upstream crashed is
counted by a few hosts, see :mod:`.crash_reports`. A request that was running
in two crashes becomes a suspect, and all hosts are notified; a response to it
from any upstream clears it. A request that was running in three crashes
without being cleared in between is refused by all hosts for a time.
"""

import dataclasses
import enum
import zlib

# Crashes after which a request is suspected, and refused.
SUSPECT_CRASHES = 2
CONVICT_CRASHES = 3
# Time after the first crash in which further ones are counted, and for which
# a request stays suspected.
COUNTED_S = 60.0
# How long a request is refused.
REFUSED_S = 120.0
# Time after a request was cleared in which notices of suspicion are ignored,
# since they may have been sent before the request was cleared.
SUSPICION_IGNORED_S = 1.0
# Maximum number of tracked requests.
TRACKED_MAX = 10_000


class State(enum.IntEnum):
    """State of a request in the updates between hosts."""

    SUSPECT = 1
    CLEARED = 2
    CONVICTED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A change of a request's state that is sent to other hosts.

    :param state: the new state.
    :param fingerprint: the request, see :func:`fingerprint`.
    """

    state: State
    fingerprint: int


@dataclasses.dataclass(slots=True)
class _Count:
    crashes: int
    since: float


def fingerprint(caller: str, method: bytes, target: bytes, body: bytes) -> int:
    """Return a number that stays the same when a request is retried.

    :param caller: the sender of the request.
    :param method: its HTTP method.
    :param target: its request target.
    :param body: its body.
    """
    value = zlib.crc32(caller.encode())
    value = zlib.crc32(method, value)
    value = zlib.crc32(target, value)
    return zlib.crc32(body, value)


class PoisonRequests:
    """Crash counts and request states at one host."""

    def __init__(self) -> None:
        self._counts: dict[int, _Count] = {}
        self._suspects: dict[int, float] = {}
        self._refused: dict[int, float] = {}
        self._cleared: dict[int, float] = {}

    @property
    def watching(self) -> bool:
        """Whether any request is currently suspected or refused."""
        return bool(self._suspects or self._refused)

    def record_crash(
        self, fingerprints: list[int], now: float
    ) -> list[Update]:
        """Count a crash for requests that this host is responsible for.

        :param fingerprints: the requests that were running in the crash.
        :return: the state changes to send to all hosts.
        """
        updates: list[Update] = []
        self._drop_expired(now)
        for key in fingerprints:
            if key in self._cleared:
                # It was answered a moment ago; all hosts ignore a suspicion.
                continue
            count = self._counts.get(key)
            if count is None:
                if len(self._counts) < TRACKED_MAX:
                    self._counts[key] = _Count(1, now)
                continue
            count.crashes += 1
            if count.crashes >= CONVICT_CRASHES:
                updates.append(Update(State.CONVICTED, key))
            elif count.crashes >= SUSPECT_CRASHES:
                updates.append(Update(State.SUSPECT, key))
        return updates

    def apply_update(self, update: Update, now: float) -> bool:
        """Apply an update; return whether to forward it to other hosts."""
        key = update.fingerprint
        self._drop_expired(now)
        if update.state is State.CONVICTED:
            new = key not in self._refused
            self._refused.setdefault(key, now + REFUSED_S)
            self._suspects.pop(key, None)
            return new
        if update.state is State.SUSPECT:
            known = key in self._suspects or key in self._refused
            new = not known and self._cleared.get(key, 0.0) <= now
            if new:
                self._suspects[key] = now + COUNTED_S
            return new
        self._counts.pop(key, None)
        if len(self._cleared) < TRACKED_MAX:
            self._cleared[key] = now + SUSPICION_IGNORED_S
        return self._suspects.pop(key, None) is not None

    def refusals(self, now: float) -> list[tuple[int, float]]:
        """Return the refused requests, each with the remaining time."""
        return [
            (key, until - now)
            for key, until in self._refused.items()
            if until > now
        ]

    def adopt_refusal(self, key: int, remaining_s: float, now: float) -> bool:
        """Apply a refusal that another host knows; return whether it is new.

        :param remaining_s: how long the request is still refused, in seconds.
        """
        new = self.refused_s(key, now) <= 0.0
        if new:
            self._refused[key] = now + min(remaining_s, REFUSED_S)
            self._suspects.pop(key, None)
        return new

    def answered(self, key: int) -> Update | None:
        """Record a response; return the update that clears the request."""
        if key not in self._suspects:
            return None
        return Update(State.CLEARED, key)

    def refused_s(self, key: int, now: float) -> float:
        """Return for how many more seconds a request is refused, or 0."""
        return max(0.0, self._refused.get(key, now) - now)

    def _drop_expired(self, now: float) -> None:
        for table in (self._suspects, self._refused, self._cleared):
            for key, until in list(table.items()):
                if until <= now:
                    del table[key]
        for key, count in list(self._counts.items()):
            if now - count.since > COUNTED_S:
                del self._counts[key]
