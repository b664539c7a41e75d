"""Checks whether the local upstream serves."""

import asyncio
import typing as t

from . import callers
from . import dialect
from . import exchanges
from . import pool

# How long the result of a health check is reused.
HOLDS_S = 1.0
# The same while the upstream advertises a rate limit, since health checks may
# count towards it.
HOLDS_LIMITED_S = 2.0
_OK = 200

Judged = t.Callable[[bool], None]
# Receives the instance that responded, its headers and the loop time when the
# check was sent.
Heard = t.Callable[[str, callers.Headers, float], None]


class Health:
    """Health checks of the local upstream.

    :param spoken: the header names.
    :param connections: connections to the upstream.
    :param heard: receives the headers of the responses.
    """

    def __init__(
        self,
        spoken: dialect.Dialect,
        connections: pool.Pool,
        heard: Heard,
    ) -> None:
        self._heard = heard
        self._dialect = spoken
        self._pool = connections
        self._loop = asyncio.get_running_loop()
        self._path = b""
        self._instance = ""
        self._asked = -HOLDS_LIMITED_S
        self._holds_s = HOLDS_S
        self._waiting: list[tuple[str, Judged]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = 0.0

    def learn_path(self, path: str) -> None:
        """Apply the path of the health check; it is empty if there is none."""
        self._path = path.encode()

    def learn_limited(self, limited: bool) -> None:
        """Apply whether the upstream advertises a rate limit."""
        self._holds_s = HOLDS_LIMITED_S if limited else HOLDS_S

    def ask(self, instance_id: str, judged: Judged) -> None:
        """Check whether an upstream instance serves and is not draining.

        :param judged: called once with the result, at once if a recent one
            exists.
        """
        if not self._path:
            judged(False)
        elif self._loop.time() - self._asked < self._holds_s:
            judged(self._instance == instance_id)
        else:
            self._waiting.append((instance_id, judged))
            if len(self._waiting) == 1:
                self._pool.take(True, self._opened)

    def _opened(self, connection: exchanges.Connection | None) -> None:
        if connection is None:
            self._answered("")
            return
        self._timer = self._loop.call_later(HOLDS_S, self._silent, connection)
        self._sent_at = self._loop.time()
        # The response does not contain a request identifier.
        connection.ambiguous = True
        host = self._pool.address.host.encode()
        connection.request(
            b"GET %s HTTP/1.1\r\nhost: %s\r\n\r\n" % (self._path, host),
            lambda reply: not reply.header(self._dialect.request_id),
            self._ended,
        )

    def _silent(self, connection: exchanges.Connection) -> None:
        connection.abort()
        self._answered("")

    def _ended(
        self,
        connection: exchanges.Connection,
        result: exchanges.Reply | exchanges.Broken,
    ) -> None:
        if self._timer is not None:
            # When the timer fires, the connection may carry another request.
            self._timer.cancel()
        self._pool.give(connection)
        instance = ""
        if isinstance(result, exchanges.Reply):
            name = result.header(self._dialect.answered_by).decode("latin-1")
            self._heard(name, result.headers, self._sent_at)
            if result.status == _OK:
                instance = name
        self._answered(instance)

    def _answered(self, instance_id: str) -> None:
        self._instance = instance_id
        self._asked = self._loop.time()
        waiting, self._waiting = self._waiting, []
        for meant, judged in waiting:
            judged(bool(instance_id) and meant == instance_id)
