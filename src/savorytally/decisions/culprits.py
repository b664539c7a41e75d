"""Requests that crash each upstream that runs them.

Answers a request that comes again, at any host, after it has crashed an
upstream. All requests that ran when an upstream crashed are counted by one
host for each of them, found by rendezvous hashing. One that was in two
crashes becomes a suspect, which all hosts are told; an answer to it anywhere
clears it. One that was in three, and was not cleared between, is refused
everywhere for a time.
"""

import dataclasses
import enum
import zlib

# Crashes after which a request is watched, and refused.
SUSPECT_CRASHES = 2
CONVICT_CRASHES = 3
# Time in which crashes are counted together.
COUNTED_S = 60.0
# How long a request is refused.
REFUSED_S = 120.0
# Time in which news that a request is suspected may be older than those that
# it is cleared.
CLEARED_S = 1.0
# Requests that are remembered at most.
REMEMBERED_MAX = 10_000


class State(enum.IntEnum):
    """What hosts tell each other of a request."""

    SUSPECT = 1
    CLEARED = 2
    CONVICTED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What is to be told of a request.

    :param state: what is known now.
    :param fingerprint: the request, see :func:`fingerprint`.
    """

    state: State
    fingerprint: int


@dataclasses.dataclass(slots=True)
class _Count:
    crashes: int
    since: float


def fingerprint(caller: str, method: bytes, target: bytes, body: bytes) -> int:
    """Return a number that a request has again when it comes again.

    :param caller: who sent it.
    """
    value = zlib.crc32(caller.encode())
    value = zlib.crc32(method, value)
    value = zlib.crc32(target, value)
    return zlib.crc32(body, value)


class Culprits:
    """What one host knows of such requests."""

    def __init__(self) -> None:
        self._counts: dict[int, _Count] = {}
        self._suspects: dict[int, float] = {}
        self._refused: dict[int, float] = {}
        self._cleared: dict[int, float] = {}

    @property
    def watching(self) -> bool:
        """Whether any request is suspected or refused."""
        return bool(self._suspects or self._refused)

    def crashed(self, fingerprints: list[int], now: float) -> list[News]:
        """Count a crash in which requests ran that this host counts."""
        news: list[News] = []
        self._forget(now)
        for name in fingerprints:
            if name in self._cleared:
                # It was answered just now, and suspecting it is not heard.
                continue
            count = self._counts.get(name)
            if count is None:
                if len(self._counts) < REMEMBERED_MAX:
                    self._counts[name] = _Count(1, now)
                continue
            count.crashes += 1
            if count.crashes >= CONVICT_CRASHES:
                news.append(News(State.CONVICTED, name))
            elif count.crashes >= SUSPECT_CRASHES:
                news.append(News(State.SUSPECT, name))
        return news

    def learn(self, news: News, now: float) -> bool:
        """Take in news; return whether they were new and go on to others."""
        name = news.fingerprint
        if news.state is State.CONVICTED:
            new = name not in self._refused
            self._refused.setdefault(name, now + REFUSED_S)
            self._suspects.pop(name, None)
            return new
        if news.state is State.SUSPECT:
            known = name in self._suspects or name in self._refused
            new = not known and self._cleared.get(name, 0.0) <= now
            if new:
                self._suspects[name] = now + COUNTED_S
            return new
        self._counts.pop(name, None)
        self._forget(now)
        if len(self._cleared) < REMEMBERED_MAX:
            self._cleared[name] = now + CLEARED_S
        return self._suspects.pop(name, None) is not None

    def answered(self, name: int) -> News | None:
        """Note a request's answer; return what that tells of it."""
        if name not in self._suspects:
            return None
        return News(State.CLEARED, name)

    def refused_s(self, name: int, now: float) -> float:
        """Return for how long a request is refused, 0 if it is not."""
        return max(0.0, self._refused.get(name, now) - now)

    def _forget(self, now: float) -> None:
        for known in (self._suspects, self._refused, self._cleared):
            for name, until in list(known.items()):
                if until <= now:
                    del known[name]
        for name, count in list(self._counts.items()):
            if now - count.since > COUNTED_S:
                del self._counts[name]
