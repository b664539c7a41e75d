"""HTTP server of the entry and the egress."""

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

_POLL_PERIOD_S = 0.01

_BODY_FAULTS = (
    web.RequestPayloadError,
    http_exceptions.PayloadEncodingError,
    aiohttp.ClientPayloadError,
)


class _LingeringTransport:
    """A transport that closes only after the peer has read the response.

    If a socket is closed while received bytes are unread, the operating
    system resets the connection, and the peer loses the part of the response
    that it has not received yet.

    :param transport: the wrapped transport.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._closed_at: float | None = None

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether no more data may be written."""
        closed = self._closed_at is not None
        return closed or self._transport.is_closing()

    def close(self) -> None:
        """Half-close the connection and wait for the peer to close it."""
        if self.is_closing():
            return
        self._closed_at = self._loop.time()
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        self._transport.resume_reading()
        self._loop.call_later(defaults.LINGER_S, self._finish_close)

    def _finish_close(self) -> None:
        """Close, unless the peer is still reading the response.

        A peer that does not read the response within
        :data:`~savorytally.defaults.UNREAD_RESPONSE_MAX_S` is disconnected.
        """
        closed_s = self._loop.time() - t.cast(float, self._closed_at)
        if not self._transport.get_write_buffer_size():
            self._transport.close()
        elif closed_s < defaults.UNREAD_RESPONSE_MAX_S:
            self._loop.call_later(defaults.LINGER_S, self._finish_close)
        else:
            logging.warning("caller did not read its response in time")
            self._transport.abort()


class _Connection(web.RequestHandler):
    """Responds with a result code to requests that aiohttp rejects."""

    # web.RequestHandler defines __slots__.
    __slots__ = ("_lingering",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._lingering = _LingeringTransport(
            t.cast(asyncio.Transport, transport)
        )
        super().connection_made(t.cast(asyncio.Transport, self._lingering))

    @property
    def has_unsent(self) -> bool:
        """Whether written data has not been sent to the caller yet."""
        return self._lingering.get_write_buffer_size() > 0

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        if status < 500:
            # The message may quote a header, and thereby the caller's key.
            name = type(exc).__name__
            failure = outcomes.Failure(results.MALFORMED_REQUEST, name)
        else:
            logging.error(
                "request handler raised an exception",
                exc_info=exc,
                extra=logs.fields(code=results.OUTCOME_UNKNOWN.number),
            )
            failure = outcomes.Failure(results.OUTCOME_UNKNOWN, "internal")
        response = respond(failure)
        response.force_close()
        return response


class _Server(web.Server):
    """Creates a :class:`_Connection` for each accepted socket."""

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
        self._notice_end: float | None = None

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._active

    @property
    def notice_over(self) -> bool:
        """Whether the notice period of a leaving host is over.

        During the period requests on open connections are refused, so that
        callers use another host.
        """
        if self._server is None or not self._server.connections:
            return True
        now = asyncio.get_running_loop().time()
        end = self._notice_end
        return end is not None and now >= end

    def leave(self) -> None:
        """Refuse all later requests and start the notice period."""
        now = asyncio.get_running_loop().time()
        self._notice_end = now + defaults.DRAIN_NOTICE_S

    async def start(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen for requests.

        :raises OSError: if the port is in use.
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
        # Connected callers are still answered before their connections close.
        for site in list(self._runner.sites):
            await site.stop()
        loop = asyncio.get_running_loop()
        started = loop.time()
        while self._server.connections:
            waited_s = loop.time() - started
            if waited_s >= defaults.UNREAD_RESPONSE_MAX_S:
                break
            if waited_s >= defaults.LINGER_S and not self._any_unsent():
                break
            await asyncio.sleep(_POLL_PERIOD_S)
        await self._runner.cleanup()

    def _any_unsent(self) -> bool:
        """Return whether part of a response has not been sent yet."""
        connections = t.cast(_Server, self._server).connections
        return any(
            t.cast(_Connection, connection).has_unsent
            for connection in connections
        )

    async def _serve(self, incoming: web.BaseRequest) -> web.Response:
        if self._notice_end is not None:
            return _respond_and_close(outcomes.Failure(results.HOST_LEAVING))
        self._active += 1
        try:
            response = await self._respond(incoming)
        finally:
            self._active -= 1
        if self._notice_end is not None:
            response.force_close()
        return response

    async def _respond(self, incoming: web.BaseRequest) -> web.Response:
        path = incoming.rel_url.raw_path
        if not is_plain_path(path):
            return _respond_and_close(
                outcomes.Failure(results.MALFORMED_REQUEST, "path")
            )
        body = await read_body(incoming)
        if isinstance(body, outcomes.Failure):
            return _respond_and_close(body)
        request = context.Request(
            method=incoming.method,
            path=path,
            query=incoming.rel_url.raw_query_string,
            headers=tuple(incoming.headers.items()),
            body=body,
        )
        return respond(await self._handle(request))


def is_plain_path(path: str) -> bool:
    """Return whether a path has no dot segments or unprintable characters.

    Dot segments could lead outside the route that the path matches.

    :param path: the path as received, percent-encoded.
    """
    if path.isascii() and "." not in path and "%" not in path:
        return True
    decoded = urllib.parse.unquote(path).replace("\\", "/")
    if not decoded.isprintable():
        return False
    return not {".", ".."} & set(decoded.split("/"))


async def read_body(incoming: web.BaseRequest) -> bytes | outcomes.Failure:
    """Return the whole body, or the failure to respond with."""
    if not incoming.body_exists:
        return b""
    if (incoming.content_length or 0) > defaults.BODY_MAX_BYTES:
        return outcomes.Failure(results.BODY_TOO_LARGE)
    body = bytearray()
    try:
        async with asyncio.timeout(defaults.BODY_TIMEOUT_S):
            async for chunk in incoming.content.iter_any():
                body += chunk
                if len(body) > defaults.BODY_MAX_BYTES:
                    return outcomes.Failure(results.BODY_TOO_LARGE)
    except (TimeoutError, *_BODY_FAULTS):
        return outcomes.Failure(results.MALFORMED_REQUEST, "body")
    return bytes(body)


def respond(outcome: outcomes.Outcome) -> web.Response:
    """Convert an outcome into a response."""
    if isinstance(outcome, outcomes.Failure):
        return _respond_failure(outcome)
    response = web.Response(status=outcome.status, body=outcome.body)
    for name, value in headers.end_to_end(outcome.headers):
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
    response.headers[headers.RESULT_CODE] = str(outcome.code.number)
    if outcome.replayed:
        response.headers[headers.REPEATED] = "true"
    return response


def _respond_and_close(failure: outcomes.Failure) -> web.Response:
    """Return a failure's response that closes the connection.

    It is used for requests whose body is not read to the end.
    """
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
