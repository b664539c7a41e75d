"""A small HTTP server for readiness probes, metrics and questions."""

import asyncio
import typing as t
import urllib.parse

import httptools

from . import callers

# Longer queries are not parsed.
PARAMETERS_MAX = 16
# Parameters of the query; the last one counts if a name is repeated.
Query = t.Mapping[str, str]
Handler = t.Callable[[Query], tuple[int, bytes]]


class ProbeServer(asyncio.Protocol):
    """One connection of a client.

    :param handlers: return status and body of the response to a query, by
        path.
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
        path, _, text = self._target.decode("latin-1").partition("?")
        handler = self._handlers.get(path)
        status, body = 404, b""
        if handler is not None:
            status, body = handler(_parse_query(text))
        if self._transport is None:
            return
        self._transport.write(
            callers.status_line(status)
            + b"content-length: %d\r\n\r\n" % len(body)
            + body
        )
        if not self._parser.should_keep_alive():
            self._transport.close()


def _parse_query(text: str) -> Query:
    """Return the parameters of a query.

    Those beyond ``PARAMETERS_MAX`` make all of them count as absent.
    """
    try:
        return dict(
            urllib.parse.parse_qsl(
                text, keep_blank_values=True, max_num_fields=PARAMETERS_MAX
            )
        )
    except ValueError:
        return {}
