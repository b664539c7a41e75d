"""Checks whether the local upstream serves."""

import asyncio
import typing as t

from . import callers
from . import exchanges
from . import header_names
from . import pool

# How long the result of a health check is reused.
RESULT_TTL_S = 1.0
# The same while the upstream advertises a rate limit, since health checks may
# count towards it.
LIMITED_RESULT_TTL_S = 2.0
_OK = 200

OnChecked = t.Callable[[bool], None]
# Receives the instance that responded, its headers and the loop time when the
# check was sent.
OnHeaders = t.Callable[[str, callers.Headers, float], None]
# Called when a check got no response.
OnSilent = t.Callable[[], None]


class Health:
    """Health checks of the local upstream.

    :param names: the header names.
    :param connections: connections to the upstream.
    :param on_headers: receives the headers of the responses.
    :param on_silent: called when a check got no response.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        connections: pool.Pool,
        on_headers: OnHeaders,
        on_silent: OnSilent = lambda: None,
    ) -> None:
        self._on_headers = on_headers
        self._on_silent = on_silent
        self._names = names
        self._pool = connections
        self._loop = asyncio.get_running_loop()
        self._path = b""
        self._serving_instance = ""
        self._checked_at = -LIMITED_RESULT_TTL_S
        self._result_ttl_s = RESULT_TTL_S
        self._waiting: list[tuple[str, OnChecked]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = 0.0

    @property
    def available(self) -> bool:
        """Whether the upstream has a health check."""
        return bool(self._path)

    def learn_path(self, path: str) -> None:
        """Apply the path of the health check; it is empty if there is none."""
        self._path = path.encode()

    def learn_limited(self, limited: bool) -> None:
        """Apply whether the upstream advertises a rate limit."""
        self._result_ttl_s = LIMITED_RESULT_TTL_S if limited else RESULT_TTL_S

    def check(self, instance_id: str, on_checked: OnChecked) -> None:
        """Check whether an upstream instance serves and is not draining.

        :param on_checked: called once with the result, at once if a recent one
            exists.
        """
        if not self._path:
            on_checked(False)
        elif self._loop.time() - self._checked_at < self._result_ttl_s:
            on_checked(self._serving_instance == instance_id)
        else:
            self._waiting.append((instance_id, on_checked))
            if len(self._waiting) == 1:
                self._pool.acquire(True, self._opened)

    def probe(self) -> None:
        """Send a check, even if a recent result exists."""
        if self._path and not self._waiting:
            self._waiting.append(("", lambda good: None))
            self._pool.acquire(True, self._opened)

    def _opened(self, connection: exchanges.Connection | None) -> None:
        if connection is None:
            self._on_silent()
            self._set_result("")
            return
        self._timer = self._loop.call_later(
            RESULT_TTL_S, self._timed_out, connection
        )
        self._sent_at = self._loop.time()
        # The response does not contain a request identifier.
        connection.ambiguous = True
        host = self._pool.address.host.encode()
        connection.request(
            b"GET %s HTTP/1.1\r\nhost: %s\r\n\r\n" % (self._path, host),
            lambda reply: not reply.header(self._names.request_id),
            self._ended,
        )

    def _timed_out(self, connection: exchanges.Connection) -> None:
        connection.abort()
        self._on_silent()
        self._set_result("")

    def _ended(
        self,
        connection: exchanges.Connection,
        result: exchanges.Response | exchanges.Broken,
    ) -> None:
        if self._timer is not None:
            # When the timer fires, the connection may carry another request.
            self._timer.cancel()
        if isinstance(result, exchanges.Response) and result.status != _OK:
            connection.has_refused = True
        self._pool.release(connection)
        instance = ""
        if isinstance(result, exchanges.Response):
            name = result.header(self._names.responding_instance).decode(
                "latin-1"
            )
            self._on_headers(name, result.headers, self._sent_at)
            if result.status == _OK:
                instance = name
        else:
            self._on_silent()
        self._set_result(instance)

    def _set_result(self, instance_id: str) -> None:
        self._serving_instance = instance_id
        self._checked_at = self._loop.time()
        waiting, self._waiting = self._waiting, []
        for expected, on_checked in waiting:
            on_checked(bool(instance_id) and expected == instance_id)
