"""An aiohttp client connector that limits what a server may send.

aiohttp bounds neither the number of interim (1xx) responses nor the size of
a body, and takes any end of a connection for the end of a body without length.
"""

import asyncio
import functools
import typing as t

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions

from .. import defaults
from .. import http_rules

# Headers are parsed in chunks of this size, so that a server that sends many
# interim responses at once does not block the event loop.
_CHUNK_BYTES = 1 << 12


class _LimitedProtocol(client_proto.ResponseHandler):
    """Closes a connection that receives too many interim responses.

    A body that the connection leaves incomplete fails with
    :class:`aiohttp.ClientPayloadError`. One without length is complete only
    if the server closes the connection, not if it is reset or closed here.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._interim_count = 0
        self._closed_by_server = False
        # The first bytes since the latest request was sent.
        self._start = b""

    def set_response_params(self, *args: t.Any, **options: t.Any) -> None:
        self._start = b""
        super().set_response_params(*args, **options)

    def eof_received(self) -> None:
        self._closed_by_server = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None or not self._closed_by_server:
            self._fail_body()
        super().connection_lost(exc)

    def close(self) -> None:
        self._fail_body()
        super().close()

    def abort(self) -> None:
        self._fail_body()
        super().abort()

    def data_received(self, data: bytes) -> None:
        if self._payload is not None and not self._payload.is_eof():
            super().data_received(data)
            return
        lacking = len(http_rules.START) - len(self._start)
        if lacking > 0:
            self._start += data[:lacking]
            if not http_rules.is_start(self._start):
                self._abort("no response of HTTP/1")
                return
        # aiohttp passes empty data to resume parsing its buffered bytes.
        for start in range(0, max(1, len(data)), _CHUNK_BYTES):
            super().data_received(data[start : start + _CHUNK_BYTES])
            if self._interim_count > defaults.INTERIM_RESPONSES_MAX:
                self._abort(
                    f"more than {defaults.INTERIM_RESPONSES_MAX} interim"
                    " responses"
                )
                return

    def feed_data(self, data: t.Any, size: int = 0) -> None:
        head = data[0]
        version = f"{head.version.major}.{head.version.minor}"
        if not http_rules.is_response(head.code, version):
            self._abort(f"status {head.code} of HTTP/{version}")
            return
        final = http_rules.is_final(head.code)
        self._interim_count = 0 if final else self._interim_count + 1
        super().feed_data(data, size)

    def _fail_body(self) -> None:
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(
                aiohttp.ClientPayloadError("the body is incomplete")
            )

    def _abort(self, text: str) -> None:
        """Close the connection, whose request fails with a reason."""
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(http_exceptions.BadHttpMessage(text))


class LimitedConnector(aiohttp.TCPConnector):
    """Opens connections that limit the number of interim responses."""

    def __init__(self, **options: t.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(_LimitedProtocol, loop=self._loop)


class TooLarge(ValueError):
    """The body of a response exceeds its maximum size."""


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    :param response: the response, whose headers have been received.
    :param max_bytes: maximum size of the body.
    :raises TooLarge: if the body exceeds the maximum; the connection is
        closed.
    """
    body = bytearray()
    declared = response.content_length or 0
    if declared <= max_bytes:
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                break
        else:
            return bytes(body)
    response.close()
    size = max(declared, len(body))
    raise TooLarge(f"a body of {size} bytes, {max_bytes} are allowed")
