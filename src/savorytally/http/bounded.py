"""Connections of the library's client that bound what it leaves unbounded."""

import asyncio
import functools
import typing as t

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions

from .. import defaults

# Parsed at once before the body, so that the loop is not late.
_PIECE_BYTES = 1 << 12


class _Protocol(client_proto.ResponseHandler):
    """Ends a connection on which interim answers come without end."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._interim = 0

    def data_received(self, data: bytes) -> None:
        if self._payload is not None and not self._payload.is_eof():
            super().data_received(data)
            return
        # The library calls with no data to go on with what it has kept.
        for start in range(0, max(1, len(data)), _PIECE_BYTES):
            super().data_received(data[start : start + _PIECE_BYTES])
            if self._interim > defaults.INTERIM_ANSWERS_MAX:
                self._give_up()
                return

    def feed_data(self, data: t.Any, size: int = 0) -> None:
        self._interim = self._interim + 1 if data[0].code < 200 else 0
        super().feed_data(data, size)

    def _give_up(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        text = f"more than {defaults.INTERIM_ANSWERS_MAX} interim answers"
        self.set_exception(http_exceptions.BadHttpMessage(text))


class Connector(aiohttp.TCPConnector):
    """Opens such connections."""

    def __init__(self, **options: t.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(_Protocol, loop=self._loop)


class TooLarge(ValueError):
    """A body is larger than allowed."""


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    :raises TooLarge: if it is larger; the connection is then closed.
    """
    pieces = bytearray()
    stated = response.content_length or 0
    if stated <= max_bytes:
        async for piece in response.content.iter_any():
            pieces += piece
            if len(pieces) > max_bytes:
                break
        else:
            return bytes(pieces)
    response.close()
    size = max(stated, len(pieces))
    raise TooLarge(f"a body of {size} bytes, {max_bytes} are allowed")
