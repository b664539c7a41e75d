"""HTTP client connections that carry one request at a time."""

import asyncio
import dataclasses
import enum
import logging
import typing as t

import httptools

from .. import http_rules
from ..decisions import memory_budget
from . import callers
from . import read_turns
from . import sockets

_NO_BODY = frozenset((204, 304))

# Limits of one response; a response that exceeds one is not usable.
HEAD_MAX_BYTES = 1 << 16
# Bytes of framing allowed for each byte of the body, besides the head.
FRAMING_MAX = 16
HEADERS_MAX = 256
INTERIM_MAX = 16
BODY_MAX_BYTES = 16 << 20
# Limit of a body whose length is given in advance, so that its end is known.
KNOWN_BODY_MAX_BYTES = 32 << 20
# Number of pieces in which a body of any size may arrive, and the mean size of
# pieces beyond it.
PIECES_MAX = 1 << 16
PIECE_MEAN_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    :param status: the HTTP status.
    :param headers: all headers, with names in lower case.
    :param body: the complete body.
    """

    status: int
    headers: callers.Headers
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


class Broken(enum.Enum):
    """How an exchange ended without a complete response."""

    NOT_SENT = "no connection"
    RESET = "the connection ended before an answer"
    TRUNCATED = "the connection ended within the answer"
    GARBLED = "the bytes are no answer"
    OVERSIZED = "the answer is larger than allowed"


class _Oversized(Exception):
    """A response exceeds a limit, which the message names."""


class _NoResponse(Exception):
    """The parser accepts a status line that is none of HTTP/1."""


Done = t.Callable[["Connection", Response | Broken], None]
Matches = t.Callable[[Response], bool]


def _never(reply: Response) -> bool:
    return False


class Connection(asyncio.Protocol):
    """A connection to an HTTP server.

    A response that does not belong to the request in progress, such as a late
    response to an earlier request, is dropped, and the connection is not used
    again. A response that may be a duplicate is replaced by one that follows
    it in the same bytes.

    A response that exceeds a limit ends the connection at once.

    :param lost: called once when the connection has ended.
    :param held: the memory budget of response bodies that are being read.
    :param turns: shares the time for parsing with other connections.
    """

    def __init__(
        self,
        lost: t.Callable[["Connection"], None],
        held: memory_budget.MemoryBudget | None = None,
        turns: read_turns.ReadTurns | None = None,
    ) -> None:
        self._lost = lost
        self._turns = turns or read_turns.ReadTurns()
        self._held = held or memory_budget.MemoryBudget()
        # Bytes received since the request in progress was sent.
        self._read_bytes = 0
        # The first bytes of them.
        self._start = b""
        self._interim = 0
        self._body_bytes = 0
        self._body_max_bytes = BODY_MAX_BYTES
        self._aborted = False
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._done: Done | None = None
        self._matches: Matches | None = None
        self._may_be_duplicate: Matches = _never
        self._replaceable = False
        self._headers: callers.Headers = []
        self._body = read_turns.Body()
        self._pieces = 0
        self._in_message = False
        self._head_read = False
        # Loop time when the head of the latest response was read.
        self.head_at = 0.0
        self._reads_to_close = False
        self._closed_by_server = False
        self._response: Response | None = None
        self._loop = asyncio.get_running_loop()
        self.reusable = True
        # Whether a duplicate of an earlier response could be mistaken for the
        # response to a later request.
        self.ambiguous = False
        # Whether the server has stated on it that it did not run a request.
        self.has_refused = False
        self.keep_alive_s = 0.0
        self.last_used = self._loop.time()
        self.uses = 0
        # Whether the server has ended it while it was idle.
        self.lost_idle = False

    @property
    def open(self) -> bool:
        """Whether the connection is up."""
        return self._transport is not None

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._done is not None

    @property
    def head(self) -> Response | None:
        """Status and headers of an incomplete response, if they were read."""
        if not self._head_read or self._parser is None:
            return None
        return Response(self._status(), self._headers, b"")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        sockets.enable_keepalive(transport)
        self._parser = httptools.HttpResponseParser(self)

    def eof_received(self) -> None:
        self._closed_by_server = True

    def connection_lost(self, exc: Exception | None) -> None:
        was_reusable, self.reusable = self.reusable, False
        self._turns.finish(self)
        self._transport = None
        self.lost_idle = was_reusable and self._done is None
        whole = self._reads_to_close and self._closed_by_server and exc is None
        if self._done is not None:
            if self._in_message and whole:
                self._complete()
                self._deliver()
            elif self._in_message:
                self._end(Broken.TRUNCATED)
            else:
                self._end(Broken.RESET)
        self._parser = None
        self._lost(self)

    def request(
        self,
        data: bytes,
        wanted: Matches,
        done: Done,
        may_be_duplicate: Matches = _never,
    ) -> None:
        """Send a request.

        :param wanted: returns whether a response belongs to the request.
        :param done: called once with the response or the reason why there is
            none.
        :param may_be_duplicate: returns whether a response that may belong to
            the request may be a duplicate of an earlier one.
        """
        self._done = done
        self._matches = wanted
        self._may_be_duplicate = may_be_duplicate
        self._replaceable = False
        self._read_bytes = self._interim = 0
        self._start = b""
        self._head_read = False
        self.uses += 1
        if self._transport is None:
            self._end(Broken.NOT_SENT)
            return
        self._transport.write(data)

    def abort(self) -> None:
        """End the connection at once, without calling ``done``."""
        self._done = None
        self.reusable = False
        self._turns.drop(self)
        self._release_body()
        if self._transport is not None:
            self._transport.abort()

    def give_up(self) -> None:
        """Break off the response to free memory that the process needs."""
        self._break_off_response(
            f"memory is short, and its {self._body_bytes} bytes are the most"
        )

    def close(self) -> None:
        """Close the connection; a response that is being read is truncated."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        if self._done is None:
            # Bytes that belong to no request.
            self.abort()
            return
        self._turns.feed(self, data)

    def parsed(self) -> None:
        """Report the response, if there is one.

        That comes last, so that a request that ``done`` sends does not get the
        bytes that follow this response.
        """
        self._deliver()

    def hold_reading(self, held: bool) -> None:
        """Stop reading from the server, or read on."""
        if self._transport is None or self._transport.is_closing():
            return
        if held:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def parse(self, data: bytes | memoryview) -> bool:
        """Parse a piece; return whether the connection remains usable."""
        if self._parser is None or self._aborted:
            return False
        lacking = len(http_rules.START) - len(self._start)
        if lacking > 0:
            self._start += bytes(data[:lacking])
            if not http_rules.is_start(self._start):
                self._fail_garbled()
                return False
        try:
            t.cast(httptools.HttpResponseParser, self._parser).feed_data(data)
            self._read_bytes += len(data)
            framing_bytes = self._read_bytes - self._body_bytes
            if framing_bytes > HEAD_MAX_BYTES + FRAMING_MAX * self._body_bytes:
                raise _Oversized(f"{framing_bytes} bytes of head and framing")
        except _Oversized as error:
            self._break_off_response(str(error))
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if isinstance(error.__context__, _Oversized):
                self._break_off_response(str(error.__context__))
            else:
                self._fail_garbled()
        return self.open and not self._aborted

    def _fail_garbled(self) -> None:
        """End the connection: the received bytes are not an HTTP response."""
        self.reusable = False
        if self._response is None:
            self._end(Broken.GARBLED)
        if self._transport is not None:
            self._transport.abort()

    def _break_off_response(self, what: str) -> None:
        """End the connection: its response exceeds a limit."""
        logging.warning("response from %s broken off: %s", self._peer(), what)
        self._aborted = True
        self.reusable = False
        self._turns.drop(self)
        if self._response is None:
            self._end(Broken.OVERSIZED)
        self._release_body()
        if self._transport is not None:
            self._transport.abort()

    def _peer(self) -> str:
        """Return address and port of the server, empty if disconnected."""
        if self._transport is None:
            return ""
        host, port = self._transport.get_extra_info("peername")[:2]
        return f"{host}:{port}"

    def _release_body(self) -> None:
        """Release the memory of a partly read response."""
        self._held.release(self)
        self._headers = []
        self._body = read_turns.Body()
        self._body_bytes = self._pieces = 0

    def on_message_begin(self) -> None:
        if self._response is not None:
            # Bytes that belong to no request.
            self.reusable = False
        self._release_body()
        self._in_message = True
        self._head_read = False
        self._reads_to_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._turns.count()
        if len(self._headers) >= HEADERS_MAX:
            raise _Oversized(f"more than {HEADERS_MAX} headers")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        status = self._status()
        parser = t.cast(httptools.HttpResponseParser, self._parser)
        if not http_rules.is_response(status, parser.get_http_version()):
            raise _NoResponse(f"status {status}")
        if not http_rules.is_final(status):
            self._interim += 1
            if self._interim > INTERIM_MAX:
                raise _Oversized(f"more than {INTERIM_MAX} interim responses")
            return
        self._head_read = True
        self.head_at = self._loop.time()
        if status in _NO_BODY:
            return
        headers = dict(self._headers)
        content_length = headers.get(b"content-length")
        self._reads_to_close = (
            content_length is None and b"transfer-encoding" not in headers
        )
        self._body_max_bytes = BODY_MAX_BYTES
        if content_length is not None:
            self._body_max_bytes = KNOWN_BODY_MAX_BYTES
            if int(content_length) > KNOWN_BODY_MAX_BYTES:
                raise _Oversized(f"a body of {int(content_length)} bytes")

    def on_body(self, body: bytes) -> None:
        if self._aborted:
            return
        self._turns.count()
        self._body.add(body)
        self._body_bytes += len(body)
        self._pieces += 1
        if self._body_bytes > self._body_max_bytes:
            raise _Oversized(f"{self._body_bytes} bytes of a body")
        if self._pieces > PIECES_MAX + self._body_bytes // PIECE_MEAN_BYTES:
            raise _Oversized(f"a body in {self._pieces} pieces")
        self._held.grow(self, len(body))

    def on_message_complete(self) -> None:
        if not http_rules.is_final(self._status()):
            self._in_message = False
            return
        self._complete()

    def _status(self) -> int:
        parser = t.cast(httptools.HttpResponseParser, self._parser)
        return parser.get_status_code()

    def _complete(self) -> None:
        self._in_message = False
        parser = t.cast(httptools.HttpResponseParser, self._parser)
        reply = Response(
            parser.get_status_code(), self._headers, self._body.whole()
        )
        if not parser.should_keep_alive():
            self.reusable = False
        known = self._response is not None and not self._replaceable
        if self._done is None or known:
            self.reusable = False
            return
        if self._matches is not None and not self._matches(reply):
            self.reusable = False
            return
        self.keep_alive_s = _keep_alive_s(reply)
        self._replaceable = self._may_be_duplicate(reply)
        self._response = reply

    def _deliver(self) -> None:
        """Report the complete response, if there is one."""
        answer, self._response = self._response, None
        if answer is not None:
            self._end(answer)

    def _end(self, result: Response | Broken) -> None:
        """Report the result of the exchange."""
        done, self._done = self._done, None
        self._matches = None
        self._held.release(self)
        self.last_used = self._loop.time()
        if done is not None:
            done(self, result)


def _keep_alive_s(reply: Response) -> float:
    """Return the server's keep-alive timeout in seconds, 0 if not given."""
    for part in reply.header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return float(value)
    return 0.0
