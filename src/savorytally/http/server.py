"""HTTP servers for requests: the entry's and the egress's."""

import asyncio
import json
import ssl
import typing as t
import urllib.parse

from absl import logging
import aiohttp
from aiohttp import http_exceptions
from aiohttp import web

from .. import defaults
from .. import logs
from .. import outcomes
from .. import results
from ..parts import context
from ..parts import headers

Handle = t.Callable[[context.Request], t.Awaitable[outcomes.Outcome]]

_POLL_S = 0.01

_BODY_FAULTS = (
    web.RequestPayloadError,
    http_exceptions.PayloadEncodingError,
    aiohttp.ClientPayloadError,
)


class _Lingering:
    """A transport that closes once the caller has read its last answer.

    If it were closed with bytes unread, the system would reset the
    connection and drop what the caller has not received of the answer.

    :param transport: the transport.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._closed_at: float | None = None

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether nothing more may be written."""
        closed = self._closed_at is not None
        return closed or self._transport.is_closing()

    def close(self) -> None:
        """Send no more, and wait for the caller to end the connection."""
        if self.is_closing():
            return
        self._closed_at = self._loop.time()
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        self._transport.resume_reading()
        self._loop.call_later(defaults.LINGER_S, self._let_go)

    def _let_go(self) -> None:
        """Close, unless the caller still reads."""
        closed_s = self._loop.time() - t.cast(float, self._closed_at)
        if not self._transport.get_write_buffer_size():
            self._transport.close()
        elif closed_s < defaults.UNREAD_MAX_S:
            self._loop.call_later(defaults.LINGER_S, self._let_go)
        else:
            logging.warning("closed on a caller that did not read its answer")
            self._transport.abort()


class _Connection(web.RequestHandler):
    """Answers what the library refuses with a numbered result."""

    # The library's class has slots.
    __slots__ = ("_sends_to",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._sends_to = _Lingering(t.cast(asyncio.Transport, transport))
        super().connection_made(t.cast(asyncio.Transport, self._sends_to))

    @property
    def unread(self) -> bool:
        """Whether the caller has not received all that was written."""
        return self._sends_to.get_write_buffer_size() > 0

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has been begun")
        if status < 500:
            # The message may quote a header, and so the caller's key.
            name = type(exc).__name__
            failure = outcomes.Failure(results.MALFORMED_REQUEST, name)
        else:
            logging.error(
                "handler failed",
                exc_info=exc,
                extra=logs.fields(code=results.OUTCOME_UNKNOWN.number),
            )
            failure = outcomes.Failure(results.OUTCOME_UNKNOWN, "internal")
        response = respond(failure)
        response.force_close()
        return response


class _Server(web.Server):
    """Makes connections of this module's kind."""

    def __call__(self) -> web.RequestHandler:
        loop = asyncio.get_running_loop()
        return _Connection(self, loop=loop, access_log=None)


class RequestServer:
    """Serves requests on one port.

    :param handle: returns the outcome of a request.
    """

    def __init__(self, handle: Handle) -> None:
        self._handle = handle
        self._server: _Server | None = None
        self._runner: web.ServerRunner | None = None
        self._active = 0
        self._notice_ends_at: float | None = None

    @property
    def active(self) -> int:
        """Requests in progress."""
        return self._active

    @property
    def dismissed(self) -> bool:
        """Whether callers have had time to learn that the host leaves."""
        if self._server is None or not self._server.connections:
            return True
        now = asyncio.get_running_loop().time()
        ends_at = self._notice_ends_at
        return ends_at is not None and now >= ends_at

    def leave(self) -> None:
        """Refuse all later requests."""
        now = asyncio.get_running_loop().time()
        self._notice_ends_at = now + defaults.LEAVE_NOTICE_S

    async def start(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen for requests.

        :raises OSError: if the port is taken.
        """
        self._server = _Server(self._serve, handler_cancellation=True)
        self._runner = web.ServerRunner(self._server)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, address, port, ssl_context=tls, backlog=1024
        )
        await site.start()

    async def stop(self) -> None:
        """Finish the requests in progress and stop listening."""
        if self._runner is None or self._server is None:
            return
        # Whoever has connected is still answered, then all are closed.
        for site in list(self._runner.sites):
            await site.stop()
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self._server.connections:
            waited_s = loop.time() - began
            if waited_s >= defaults.UNREAD_MAX_S:
                break
            if waited_s >= defaults.LINGER_S and not self._unread():
                break
            await asyncio.sleep(_POLL_S)
        await self._runner.cleanup()

    def _unread(self) -> bool:
        """Return whether a caller has not received all of its answer."""
        connections = t.cast(_Server, self._server).connections
        return any(
            t.cast(_Connection, connection).unread
            for connection in connections
        )

    async def _serve(self, incoming: web.BaseRequest) -> web.Response:
        if self._notice_ends_at is not None:
            return _close(outcomes.Failure(results.HOST_LEAVING))
        self._active += 1
        try:
            response = await self._respond(incoming)
        finally:
            self._active -= 1
        if self._notice_ends_at is not None:
            response.force_close()
        return response

    async def _respond(self, incoming: web.BaseRequest) -> web.Response:
        path = incoming.rel_url.raw_path
        if not is_plain_path(path):
            return _close(outcomes.Failure(results.MALFORMED_REQUEST, "path"))
        body = await read_body(incoming)
        if isinstance(body, outcomes.Failure):
            return _close(body)
        request = context.Request(
            method=incoming.method,
            path=path,
            query=incoming.rel_url.raw_query_string,
            headers=tuple(incoming.headers.items()),
            body=body,
        )
        return respond(await self._handle(request))


def is_plain_path(path: str) -> bool:
    """Return whether a path stays below the route that it names.

    :param path: as received, with percent-encoding.
    """
    if path.isascii() and "." not in path and "%" not in path:
        return True
    decoded = urllib.parse.unquote(path).replace("\\", "/")
    if not decoded.isprintable():
        return False
    return not {".", ".."} & set(decoded.split("/"))


async def read_body(incoming: web.BaseRequest) -> bytes | outcomes.Failure:
    """Return the whole body, or why it can't be taken."""
    if not incoming.body_exists:
        return b""
    if (incoming.content_length or 0) > defaults.BODY_MAX_BYTES:
        return outcomes.Failure(results.BODY_TOO_LARGE)
    pieces = bytearray()
    try:
        async with asyncio.timeout(defaults.BODY_TIMEOUT_S):
            async for piece in incoming.content.iter_any():
                pieces += piece
                if len(pieces) > defaults.BODY_MAX_BYTES:
                    return outcomes.Failure(results.BODY_TOO_LARGE)
    except (TimeoutError, *_BODY_FAULTS):
        return outcomes.Failure(results.MALFORMED_REQUEST, "body")
    return bytes(pieces)


def respond(outcome: outcomes.Outcome) -> web.Response:
    """Turn an outcome into a response."""
    if isinstance(outcome, outcomes.Failure):
        return _respond_failure(outcome)
    response = web.Response(status=outcome.status, body=outcome.body)
    for name, value in headers.end_to_end(outcome.headers):
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
    response.headers[headers.RESULT_CODE] = str(outcome.code.number)
    if outcome.repeated:
        response.headers[headers.REPEATED] = "true"
    return response


def _close(failure: outcomes.Failure) -> web.Response:
    """Refuse a request whose rest is not read."""
    response = _respond_failure(failure)
    response.force_close()
    return response


def _respond_failure(failure: outcomes.Failure) -> web.Response:
    code = failure.code
    document = {
        "code": code.number,
        "name": code.name,
        "ran": code.knowledge.name.lower(),
        "summary": code.summary,
        "detail": failure.detail,
        "advice": code.advice,
    }
    response = web.Response(
        status=code.http_status,
        text=json.dumps(document),
        content_type="application/json",
    )
    response.headers[headers.RESULT_CODE] = str(code.number)
    if failure.retry_after_ms:
        seconds = -(-failure.retry_after_ms // 1000)
        response.headers[headers.RETRY_AFTER] = str(seconds)
        response.headers[headers.RETRY_AFTER_MS] = str(failure.retry_after_ms)
    return response
