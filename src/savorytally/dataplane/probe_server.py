"""A small HTTP server for readiness probes and metrics."""

import asyncio
import typing as t

import httptools

from . import callers

Handler = t.Callable[[], tuple[int, bytes]]


class ProbeServer(asyncio.Protocol):
    """One connection of a client.

    :param handlers: return status and body of the response, by path.
    """

    def __init__(self, handlers: t.Mapping[str, Handler]) -> None:
        self._handlers = handlers
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()

    def on_message_begin(self) -> None:
        self._target = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        path = self._target.decode("latin-1").partition("?")[0]
        handler = self._handlers.get(path)
        status, body = handler() if handler is not None else (404, b"")
        if self._transport is None:
            return
        self._transport.write(
            callers.status_line(status)
            + b"content-length: %d\r\n\r\n" % len(body)
            + body
        )
        if not self._parser.should_keep_alive():
            self._transport.close()
