"""Notices crashes of the local upstream, and what its requests had to do."""

import asyncio
import functools
import itertools
import typing as t

from ..decisions import crashes
from ..decisions import culprits
from ..decisions import ratepool
from . import exchanges
from . import frames
from . import journal
from . import pool


class Carrier(t.Protocol):
    """Sends control frames to other hosts."""

    def send(self, address: str, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a frame; return whether there was a way to do so."""

    def broadcast(self, kind: frames.Kind, *fields: t.Any) -> None:
        """Send a frame to all hosts that are connected."""


class CrashWatch:
    """What this host knows and tells of requests that crash upstreams.

    An upstream that breaks off all that it runs has crashed if it then takes
    no new connection. That is asked, since answers are lost and connections
    are forgotten more often than upstreams crash.

    :param own: this host.
    :param connections: connections to the upstream.
    :param log: takes a line for each crash and each request refused.
    """

    def __init__(
        self, own: str, connections: pool.Pool, log: journal.Journal
    ) -> None:
        self._own = own
        self._pool = connections
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._carrier: Carrier | None = None
        self._hosts = [own]
        self._detector = crashes.CrashDetector()
        self._tickets = itertools.count(1)
        self._culprits = culprits.Culprits()

    def attach(self, carrier: Carrier) -> None:
        """Tell other hosts by this carrier from now on."""
        self._carrier = carrier

    def learn_hosts(self, addresses: t.Iterable[str]) -> None:
        """Apply which hosts there are."""
        self._hosts = sorted({self._own, *addresses})

    def refused_s(self, call: frames.Call) -> float:
        """Return for how long a call is refused, 0 if it may run."""
        if not self._culprits.watching:
            return 0.0
        now = self._loop.time()
        return self._culprits.refused_s(_fingerprint(call), now)

    def started(self, call: frames.Call) -> int:
        """Note a call that is sent to the upstream; return its ticket."""
        ticket = next(self._tickets)
        now = self._loop.time()
        self._detector.started(ticket, _fingerprint(call), False, now)
        return ticket

    def answered(self, ticket: int, call: frames.Call) -> None:
        """Note a whole answer."""
        self._detector.answered(ticket)
        if self._culprits.watching:
            news = self._culprits.answered(_fingerprint(call))
            if news is not None:
                self._spread(news)

    def ended(self, ticket: int) -> None:
        """Note an end that says nothing of a crash."""
        self._detector.ended(ticket)

    def broken(self, ticket: int) -> None:
        """Note that the upstream broke off a call."""
        crash = self._detector.broken(ticket, self._loop.time())
        if crash is not None:
            self._pool.open(functools.partial(self._opened, crash))

    def counted(self, fingerprints: list[int]) -> None:
        """Count a crash for the requests that are counted here."""
        now = self._loop.time()
        for news in self._culprits.crashed(fingerprints, now):
            self._spread(news)

    def told(self, state: int, fingerprint: int) -> None:
        """Take in what another host tells, and pass it on once."""
        self._spread(culprits.News(culprits.State(state), fingerprint))

    def _opened(
        self, crash: crashes.Crash, connection: exchanges.Connection | None
    ) -> None:
        if connection is not None:
            self._pool.give(connection)
            return
        self._log.event("upstream_crashed", running=len(crash.fingerprints))
        by_host: dict[str, list[int]] = {}
        for name in crash.fingerprints:
            host = ratepool.keeper(str(name), self._hosts)
            by_host.setdefault(host, []).append(name)
        for host, names in by_host.items():
            if host == self._own:
                self.counted(names)
            elif self._carrier is not None:
                self._carrier.send(host, frames.Kind.CRASHED, names)

    def _spread(self, news: culprits.News) -> None:
        if not self._culprits.learn(news, self._loop.time()):
            return
        state, name = news.state, news.fingerprint
        self._log.event("culprit", state=state.name, fingerprint=name)
        if self._carrier is not None:
            self._carrier.broadcast(frames.Kind.CULPRIT, int(state), name)


def _fingerprint(call: frames.Call) -> int:
    # Callers may send it to any host, so that its service says nothing.
    caller = call.organisation or call.caller_service
    return culprits.fingerprint(caller, call.method, call.target, call.body)
