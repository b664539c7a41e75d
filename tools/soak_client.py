"""Client connections of a soak run, reused until the node closes them."""

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

# Response header that holds the incarnation of the upstream.
INCARNATION_HEADER = "x-soak-start"
ENTRY_PORT = 8548
CONNECT_TIMEOUT_S = 1.0
# Path prefixes of routes that are not idempotent.
NON_IDEMPOTENT_PREFIXES = (
    *("/desk/", "/ledger/"),
    *(f"/desk{soak_record.LONG}/", f"/ledger{soak_record.LONG}/"),
)
# Longest wait for the TCP reset that follows a request to a connection that
# the node has already closed.
RESET_TIMEOUT_S = 0.03


class End(enum.Enum):
    """Outcome of an attempt."""

    ANSWERED = "answered"
    # The node closed the connection before it read the request.
    UNREAD = "not read"
    CUT = "cut"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"


class Response(t.NamedTuple):
    """Result of an attempt.

    :param end: outcome of the attempt.
    :param status: HTTP status, 0 without a response.
    :param headers: response headers, with names in lower case.
    :param body: body of the response.
    :param detection_delay_s: time from the end of the connection until its
        cause was determined, in seconds.
    """

    end: End
    status: int = 0
    headers: t.Mapping[str, str] = {}
    body: bytes = b""
    detection_delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a caller, or a call of an upstream.

    :param name: identifier of the request.
    :param target: path of the request.
    :param timeout_s: timeout of the sender, in seconds.
    :param key: API key that it carries, empty for calls of upstreams.
    :param parent: index of the arrival whose run makes the call.
    :param at: Unix time at which it is sent, in seconds.
    """

    name: str
    target: str
    timeout_s: float
    key: str = ""
    parent: int | None = None
    at: float = dataclasses.field(default_factory=time.time)

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return not self.target.startswith(NON_IDEMPOTENT_PREFIXES)

    def encoded(self) -> bytes:
        """Return the request as HTTP/1.1 bytes."""
        return mesh.request(
            self.target,
            "GET" if self.idempotent else "POST",
            self.name,
            int(self.timeout_s * 1000),
            self.key or None,
            b"" if self.idempotent else b"lot",
            {},
        )

    def to_record(self, host: str, response: Response) -> soak_record.Sent:
        """Return the record of the finished request.

        :param host: address of the node that it was sent to.
        :param response: its result.
        """
        return soak_record.Sent(
            name=self.name,
            at=self.at,
            host=host,
            service=self.target.split("/")[1],
            idempotent=self.idempotent,
            key=self.key,
            status=response.status,
            body=response.body,
            signature=response.headers.get(mesh.SIGNATURE, ""),
            ended=time.time() - response.detection_delay_s,
            left_s=self.timeout_s,
            end=response.end.value,
            parent=self.parent,
            start=response.headers.get(INCARNATION_HEADER, ""),
            limited=advertised.LIMIT in response.headers,
            leaving=advertised.LEAVING in response.headers,
        )


class ClientConnection(asyncio.Protocol):
    """A client connection that carries one request at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: t.Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: asyncio.Future[Response] | None = None
        self._headers: dict[str, str] = {}
        self._body = b""
        self._response_started = False
        self.reusable = True

    @classmethod
    async def open(cls, host: str) -> "ClientConnection | None":
        """Open a connection to a node, ``None`` if that fails."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    cls, host, ENTRY_PORT
                )
        except (OSError, TimeoutError):
            return None
        return connection

    async def send(self, request: Request) -> Response:
        """Send a request and return its result."""
        if not self.reusable:
            return Response(End.UNREAD)
        self._pending = self._loop.create_future()
        self._response_started = False
        self._transport.write(request.encoded())
        try:
            async with asyncio.timeout(request.timeout_s):
                return await self._pending
        except TimeoutError:
            return Response(End.TIMEOUT)
        finally:
            if not self._pending.done() or self._pending.cancelled():
                self.close()
            self._pending = None

    def close(self) -> None:
        """Abort the connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: t.Any) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        reset = isinstance(exc, OSError)
        self._complete(
            Response(
                End.UNREAD if reset and not self._response_started else End.CUT
            )
        )

    def eof_received(self) -> bool:
        self.reusable = False
        if self._pending is None or self._response_started:
            return False
        self._loop.call_later(RESET_TIMEOUT_S, self._classify_close)
        return True

    def data_received(self, data: bytes) -> None:
        if self._pending is None:
            self.close()
            return
        self._response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()
            self._complete(Response(End.CUT))

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
        self._complete(
            Response(End.ANSWERED, status, self._headers, self._body)
        )

    def _classify_close(self) -> None:
        """Determine whether the node closed before it read the request.

        A reset means that the request arrived after the close and was
        not read.
        """
        if self._pending is None or self._pending.done():
            return
        unread = False
        connected = self._transport.get_extra_info("socket")
        if connected is not None and connected.fileno() >= 0:
            unread = bool(
                connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            )
        self._transport.abort()
        end = End.UNREAD if unread else End.CUT
        self._complete(Response(end, detection_delay_s=RESET_TIMEOUT_S))

    def _complete(self, response: Response) -> None:
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(response)
