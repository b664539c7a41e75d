"""Requests of a soak, and connections kept until the node closes them."""

import asyncio
import dataclasses
import enum
import socket
import time
import typing as t

from fakes import advertised
from fakes import mesh
import httptools

from tools import soak_record

# Names the start of the upstream that gives an answer.
START = "x-soak-start"
ENTRY_PORT = 8548
CONNECT_TIMEOUT_S = 1.0
# Prefixes of routes whose requests run once at most.
ONCE = ("/desk/", "/ledger/")
# Time in which a node's kernel tells that a request came after its close.
RESET_WAIT_S = 0.03


class End(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The node had closed the connection before it read the request.
    UNREAD = "not read"
    CUT = "cut"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"


class Reply(t.NamedTuple):
    """What a caller got.

    :param end: how the attempt ended.
    :param status: 0 without an answer.
    :param known_s: how long its end was known before it was told.
    """

    end: End
    status: int = 0
    headers: t.Mapping[str, str] = {}
    body: bytes = b""
    known_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a caller or of a run.

    :param name: its identifier.
    :param target: what it asks for.
    :param left_s: how long its sender waits.
    :param key: the key that it carries, empty for calls.
    :param parent: number of the arrival whose run makes it.
    """

    name: str
    target: str
    left_s: float
    key: str = ""
    parent: int | None = None
    at: float = dataclasses.field(default_factory=time.time)

    @property
    def idempotent(self) -> bool:
        """Whether it may run twice."""
        return not self.target.startswith(ONCE)

    def encoded(self) -> bytes:
        """Return its bytes."""
        return mesh.request(
            self.target,
            "GET" if self.idempotent else "POST",
            self.name,
            int(self.left_s * 1000),
            self.key or None,
            b"" if self.idempotent else b"lot",
            {},
        )

    def ended(self, host: str, reply: Reply) -> soak_record.Sent:
        """Return what is noted of it at its end."""
        return soak_record.Sent(
            name=self.name,
            at=self.at,
            host=host,
            service=self.target.split("/")[1],
            idempotent=self.idempotent,
            key=self.key,
            status=reply.status,
            body=reply.body,
            signature=reply.headers.get(mesh.SIGNATURE, ""),
            ended=time.time() - reply.known_s,
            left_s=self.left_s,
            end=reply.end.value,
            parent=self.parent,
            start=reply.headers.get(START, ""),
            limited=advertised.LIMIT in reply.headers,
            leaving=advertised.LEAVING in reply.headers,
        )


class Wire(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: t.Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiting: asyncio.Future[Reply] | None = None
        self._headers: dict[str, str] = {}
        self._body = b""
        self._began = False
        self.reusable = True

    @classmethod
    async def open(cls, host: str) -> "Wire | None":
        """Return a new connection, ``None`` if there is none."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, wire = await loop.create_connection(cls, host, ENTRY_PORT)
        except (OSError, TimeoutError):
            return None
        return wire

    async def send(self, request: Request) -> Reply:
        """Send a request and return its end."""
        if not self.reusable:
            return Reply(End.UNREAD)
        self._waiting = self._loop.create_future()
        self._began = False
        self._transport.write(request.encoded())
        try:
            async with asyncio.timeout(request.left_s):
                return await self._waiting
        except TimeoutError:
            return Reply(End.TIMEOUT)
        finally:
            if not self._waiting.done() or self._waiting.cancelled():
                self.close()
            self._waiting = None

    def close(self) -> None:
        """End the connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: t.Any) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        reset = isinstance(exc, OSError)
        self._end(Reply(End.UNREAD if reset and not self._began else End.CUT))

    def eof_received(self) -> bool:
        self.reusable = False
        if self._waiting is None or self._began:
            return False
        self._loop.call_later(RESET_WAIT_S, self._closed)
        return True

    def data_received(self, data: bytes) -> None:
        if self._waiting is None:
            self.close()
            return
        self._began = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()
            self._end(Reply(End.CUT))

    def on_message_begin(self) -> None:
        self._headers = {}
        self._body = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.reusable = False
            self._transport.close()
        status = self._parser.get_status_code()
        self._end(Reply(End.ANSWERED, status, self._headers, self._body))

    def _closed(self) -> None:
        """Tell a close before the request was read from one after it."""
        if self._waiting is None or self._waiting.done():
            return
        unread = False
        told = self._transport.get_extra_info("socket")
        if told is not None and told.fileno() >= 0:
            unread = bool(told.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        self._transport.abort()
        end = End.UNREAD if unread else End.CUT
        self._end(Reply(end, known_s=RESET_WAIT_S))

    def _end(self, reply: Reply) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(reply)
