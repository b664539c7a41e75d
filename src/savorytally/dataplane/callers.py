"""Callers' connections: requests run concurrently, responses keep order."""

import asyncio
import collections
import http
import typing as t

import httptools

from ..world import catalog
from . import read_turns
from . import sockets

_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_STATUS_LINES = {
    status: f"HTTP/1.1 {status} {phrase}\r\n".encode()
    for status, phrase in _PHRASES.items()
}
# Pipelined requests of one connection that may be in progress. Reading is
# paused beyond that.
PIPELINE_MAX = 64
# Time that a caller has to close its connection after the last response.
LINGER_S = 0.5
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Headers = list[tuple[bytes, bytes]]


def status_line(status: int) -> bytes:
    """Return the status line of a response."""
    return _STATUS_LINES.get(status) or f"HTTP/1.1 {status} -\r\n".encode()


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without those that are limited to one hop."""
    kept = [pair for pair in headers if pair[0] not in _HOP_HEADERS]
    if len(kept) == len(headers):
        return kept
    per_hop: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            per_hop.update(part.strip().lower() for part in value.split(b","))
    return [pair for pair in kept if pair[0] not in per_hop]


class Request:
    """A caller's request and its response.

    :param connection: the connection that it was read from.
    """

    __slots__ = (
        "_body",
        "_connection",
        "_received",
        "body",
        "closes",
        "headers",
        "method",
        "on_disconnect",
        "response_head",
        "target",
    )

    def __init__(self, connection: "CallerConnection") -> None:
        self._connection = connection
        self._received: read_turns.Body | None = None
        self._body = b""
        self.method = b""
        self.target = b""
        self.headers: Headers = []
        self.body = b""
        # Status line and headers of the response, without the blank line that
        # ends them.
        self.response_head: bytes | None = None
        self.closes = False
        # Called without arguments if the caller disconnects before it gets the
        # response.
        self.on_disconnect: t.Callable[[], None] | None = None

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""

    def respond(
        self, status: int, headers: Headers, body: bytes, close: bool = False
    ) -> None:
        """Respond to the request; does nothing after the caller has left.

        :param close: whether the connection ends with this response.
        """
        if self.response_head is not None:
            return
        self.closes = self.closes or close
        parts = [status_line(status)]
        for name, value in headers:
            parts += (name, b": ", value, b"\r\n")
        if status >= 200 and status != 204:
            parts.append(b"content-length: %d\r\n" % len(body))
        self.response_head = b"".join(parts)
        self._body = b"" if self.method == b"HEAD" else body
        self._connection.flush()

    def encode(self) -> bytes:
        """Return the bytes of the response.

        It contains ``connection: close`` if the connection ends with it.
        """
        end = b"connection: close\r\n\r\n" if self.closes else b"\r\n"
        return t.cast(bytes, self.response_head) + end + self._body


class RequestHandler(t.Protocol):
    """Handles the requests that connections have read."""

    @property
    def limits(self) -> catalog.RequestLimits:
        """The limits of callers' requests that are in force."""

    @property
    def closing(self) -> bool:
        """Whether each response should end its connection."""

    def handle(self, request: Request) -> None:
        """Handle a complete request; respond with :meth:`Request.respond`."""

    def refuse(self, request: Request, status: int, why: str) -> None:
        """Respond with an error to a malformed or oversized request."""

    def reject_unread(self, request: Request) -> None:
        """Reject a request that is still being read when the node stops."""

    def note_cut(self, requests: t.Iterable[Request]) -> None:
        """Note requests whose connection ends before they got a response."""

    def note_unread(self, size: int) -> None:
        """Note that a connection is closed although it has unread bytes."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param handler: handles the requests.
    :param open_connections: the set of open connections.
    :param turns: shares the time for parsing with other connections.
    """

    def __init__(
        self,
        handler: RequestHandler,
        open_connections: set["CallerConnection"],
        turns: read_turns.ReadTurns | None = None,
    ) -> None:
        self._turns = turns or read_turns.ReadTurns()
        self._handler = handler
        self._open_connections = open_connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: collections.deque[Request] = collections.deque()
        self._current: Request | None = None
        self._header_bytes = 0
        self._body_bytes = 0
        self._reading_ended = False
        self._half_closed = False
        # Whether reading is paused by the caller's pace, and by others' turns.
        self._paused = False
        self._held = False
        self._loop = asyncio.get_running_loop()
        # Loop time of the first byte of an incomplete request head, or of the
        # last activity.
        self.active_since = self._loop.time()
        self.reading = False

    @property
    def idle(self) -> bool:
        """Whether no request is being read or is waiting for its response."""
        return not self._requests and self._current is None

    @property
    def flushed(self) -> bool:
        """Whether all written bytes were passed to the operating system."""
        transport = self._transport
        return transport is None or not transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._turns.drop(self)
        self._open_connections.discard(self)
        self._transport = None
        waiting, self._requests = self._requests, collections.deque()
        for request in waiting:
            if request.response_head is None:
                request.response_head = b""
                if request.on_disconnect is not None:
                    request.on_disconnect()

    def eof_received(self) -> bool:
        # A caller that half-closes its connection counts as disconnected.
        return False

    def pause_writing(self) -> None:
        if self._reading_ended or self._paused:
            return
        if self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and self._paused:
            self._paused = False
            self._resume_reading(self._transport)

    def data_received(self, data: bytes) -> None:
        if not self._reading_ended:
            self._turns.feed(self, data)

    def parse(self, data: bytes | memoryview) -> bool:
        """Parse a piece; return whether more should be parsed."""
        if self._reading_ended:
            return False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_current(501, "upgrades are not supported")
        except httptools.HttpParserError as error:
            self._refuse_current(400, f"the request can't be parsed: {error}")
        return not self._reading_ended

    def parsed(self) -> None:
        """Do nothing: requests are handled as they are complete."""

    def hold_reading(self, held: bool) -> None:
        """Stop reading from the caller, or read on."""
        self._held = held
        if self._transport is None or self._transport.is_closing():
            return
        if held:
            self._transport.pause_reading()
        elif not self._paused:
            self._resume_reading(self._transport)

    def _resume_reading(self, transport: asyncio.Transport) -> None:
        if not self._held:
            transport.resume_reading()

    def on_message_begin(self) -> None:
        self._current = Request(self)
        self._header_bytes = 0
        self._body_bytes = 0
        self.active_since = self._loop.time()
        self.reading = True

    def on_url(self, url: bytes) -> None:
        self._turns.count()
        if self._current is not None:
            self._current.target += url
            self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._turns.count()
        if self._current is not None:
            self._current.headers.append((name.lower(), value))
            self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        if self._current is None:
            return
        self.reading = False
        self._current.method = self._parser.get_method()
        if self._current.header(b"expect").lower() == b"100-continue":
            if self._transport is not None and not self._requests:
                self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        self._turns.count()
        if self._current is None or self._reading_ended:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits.body_bytes:
            self._refuse_current(413, "the body is larger than allowed")
            return
        if self._current._received is None:
            self._current._received = read_turns.Body()
        self._current._received.add(body)

    def on_message_complete(self) -> None:
        request, self._current = self._current, None
        self.reading = False
        self.active_since = self._loop.time()
        if request is None or self._reading_ended:
            return
        if request._received is not None:
            request.body = request._received.whole()
            request._received = None
        request.closes = not self._parser.should_keep_alive()
        self._requests.append(request)
        if len(self._requests) > PIPELINE_MAX and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._handler.handle(request)

    def flush(self) -> None:
        """Send the responses that are due, in the order of the requests."""
        transport = self._transport
        ready: list[bytes] = []
        while self._requests and self._requests[0].response_head is not None:
            request = self._requests.popleft()
            if self._handler.closing and not self._requests:
                request.closes = True
            ready.append(request.encode())
            if request.closes:
                self._finish(ready)
                return
        if ready and transport is not None:
            transport.write(b"".join(ready))
            self.active_since = self._loop.time()
            if self._paused and len(self._requests) < PIPELINE_MAX:
                self._paused = False
                self._resume_reading(transport)

    def close(self) -> None:
        """Close the connection after the written bytes have been sent."""
        if self._transport is not None and not self._half_closed:
            self._handler.note_cut(self._requests)
            unread = sockets.unread_bytes(self._transport)
            if unread and not self._transport.is_closing():
                self._handler.note_unread(unread)
            self._transport.close()

    def end(self) -> None:
        """Close the connection; reject a request whose body is incomplete."""
        self._turns.finish(self)
        if self._current is None or self.reading:
            self.close()
            return
        self._respond_and_finish(self._handler.reject_unread)

    def time_out(self) -> None:
        """Respond to a request whose head came too slowly, then close."""
        self._refuse_current(408, "the request's head came too slowly")

    def _finish(self, ready: list[bytes]) -> None:
        """Send the last responses and half-close the connection."""
        self._reading_ended = True
        if self._transport is not None:
            self._handler.note_cut(self._requests)
            self._transport.write(b"".join(ready))
            self._half_close(self._transport)

    def _half_close(self, transport: asyncio.Transport) -> None:
        """Half-close and wait for the caller to close the connection.

        If the connection were closed while received bytes are unread, the
        operating system would reset it and drop the part of the response that
        the caller has not received yet.
        """
        self._half_closed = True
        if transport.is_closing():
            return
        transport.write_eof()
        if self._paused:
            self._paused = False
            self._resume_reading(transport)
        self._loop.call_later(LINGER_S, self._close_lingering)

    def _close_lingering(self) -> None:
        """Close a connection that the caller has not closed."""
        if self._transport is None:
            return
        if self.flushed:
            self._transport.close()
        else:
            self._loop.call_later(LINGER_S, self._close_lingering)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits.header_bytes:
            self._refuse_current(431, "the headers are larger than allowed")

    def _refuse_current(self, status: int, why: str) -> None:
        """Refuse the request that is being read, then end the connection."""
        self._respond_and_finish(
            lambda request: self._handler.refuse(request, status, why)
        )

    def _respond_and_finish(
        self, respond: t.Callable[[Request], None]
    ) -> None:
        """Respond to the request being read, then end the connection."""
        if self._reading_ended:
            return
        self._reading_ended = True
        request = self._current or Request(self)
        self._current = None
        request.closes = True
        self._requests.append(request)
        respond(request)
