"""HTTP servers for requests: the entry's and the egress's."""

import json
import ssl
import typing as t

from aiohttp import web

from .. import defaults
from .. import outcomes
from .. import results
from ..parts import context
from ..parts import headers

Handle = t.Callable[[context.Request], t.Awaitable[outcomes.Outcome]]


class RequestServer:
    """Serves requests on one port.

    :param handle: returns the outcome of a request.
    """

    def __init__(self, handle: Handle) -> None:
        self._handle = handle
        self._runner: web.ServerRunner | None = None

    async def start(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen for requests.

        :raises OSError: if the port is taken.
        """
        server = web.Server(
            self._serve, access_log=None, handler_cancellation=True
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, address, port, ssl_context=tls, backlog=1024
        )
        await site.start()

    async def stop(self) -> None:
        """Finish the requests in progress and stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, incoming: web.BaseRequest) -> web.Response:
        body = await read_body(incoming)
        if body is None:
            return respond(outcomes.Failure(results.BODY_TOO_LARGE))
        request = context.Request(
            method=incoming.method,
            path=incoming.path,
            query=incoming.rel_url.raw_query_string,
            headers=tuple(incoming.headers.items()),
            body=body,
        )
        return respond(await self._handle(request))


async def read_body(incoming: web.BaseRequest) -> bytes | None:
    """Return the whole body, ``None`` if it exceeds the limit."""
    if not incoming.body_exists:
        return b""
    if (incoming.content_length or 0) > defaults.BODY_MAX_BYTES:
        return None
    pieces = bytearray()
    async for piece in incoming.content.iter_any():
        pieces += piece
        if len(pieces) > defaults.BODY_MAX_BYTES:
            return None
    return bytes(pieces)


def respond(outcome: outcomes.Outcome) -> web.Response:
    """Turn an outcome into a response."""
    code = str(outcome.code.number)
    if isinstance(outcome, outcomes.Answer):
        response = web.Response(status=outcome.status, body=outcome.body)
        for name, value in headers.end_to_end(outcome.headers):
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)
        response.headers[headers.RESULT_CODE] = code
        if outcome.repeated:
            response.headers[headers.REPEATED] = "true"
        return response
    return _respond_failure(outcome)


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
