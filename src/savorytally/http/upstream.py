"""HTTP client of the local upstream."""

import asyncio
import contextvars
import dataclasses
import typing as t

from absl import logging
import aiohttp
import yarl

from .. import defaults
from .. import logs
from .. import outcomes
from .. import ports
from .. import results
from ..parts import headers
from . import limited_client

# Upstreams commonly close idle connections after five seconds or more. A
# request sent on a connection while the upstream closes it has an unknown
# outcome, so the client closes idle connections first.
_KEEP_ALIVE_S = 4.0

_HEADERS_NOT_ADDED = frozenset({"Accept", "Accept-Encoding", "User-Agent"})


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of an exchange with the upstream.

    :param connected: whether request bytes may have been sent.
    :param answered: whether the response headers have been received.
    """

    connected: bool = False
    answered: bool = False


_progress: contextvars.ContextVar[_Progress] = contextvars.ContextVar(
    "progress"
)


class _Connector(limited_client.LimitedConnector):
    """Records in the exchange's progress when it gets a connection."""

    async def connect(self, *args: t.Any, **kwargs: t.Any) -> t.Any:
        connection = await super().connect(*args, **kwargs)
        # aiohttp would parse bytes received while a connection was idle as
        # the response to the next request.
        while connection.protocol.should_close:
            connection.close()
            connection = await super().connect(*args, **kwargs)
        _progress.get().connected = True
        return connection


class _ConnectionFailed(aiohttp.ClientError):
    """A connection failed; replaces errors that aiohttp would retry."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: t.Any
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from retrying a request on a new connection.

    aiohttp retries idempotent methods when a kept-alive connection breaks,
    although the upstream may have run the request.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionFailed(type(error).__name__) from error


class HttpUpstream:
    """Sends requests to the local upstream over persistent connections.

    :param base_url: base URL of the upstream.
    :param connections: maximum number of connections, 0 for no limit.
    """

    def __init__(self, base_url: str, connections: int = 0) -> None:
        self._base = base_url.rstrip("/")
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def exchange(
        self, request: ports.UpstreamRequest, timeout_s: float
    ) -> outcomes.Outcome:
        """Send a request and return the whole response or a failure.

        The failure's code means *not run* only if no byte of the request can
        have been sent.

        :param request: the request.
        :param timeout_s: time until the whole response, in seconds.
        """
        progress = _Progress()
        _progress.set(progress)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(request, progress)
        except TimeoutError:
            if not progress.connected:
                return outcomes.Failure(results.DEADLINE_TOO_SHORT)
            return outcomes.Failure(results.DEADLINE_PASSED)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _failure_of(error, progress)

    async def _exchange(
        self, request: ports.UpstreamRequest, progress: _Progress
    ) -> outcomes.Outcome:
        session = self._open_session()
        async with session.request(
            request.method,
            self._url(request),
            headers=request.headers,
            data=request.body or None,
            allow_redirects=False,
        ) as response:
            progress.answered = True
            try:
                body = await limited_client.read(
                    response, defaults.RESPONSE_MAX_BYTES
                )
            except limited_client.TooLarge as error:
                return outcomes.Failure(results.ANSWER_TOO_LARGE, str(error))
            return outcomes.Answer(
                status=response.status,
                headers=headers.end_to_end(tuple(response.headers.items())),
                body=body,
            )

    def _url(self, request: ports.UpstreamRequest) -> yarl.URL:
        query = f"?{request.query}" if request.query else ""
        return yarl.URL(f"{self._base}{request.path}{query}", encoded=True)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = _Connector(
                limit=self._connections, keepalive_timeout=_KEEP_ALIVE_S
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(_send_once,),
                skip_auto_headers=_HEADERS_NOT_ADDED,
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._session


def _failure_of(error: Exception, progress: _Progress) -> outcomes.Failure:
    """Return the failure of a broken exchange, according to its progress."""
    text = (
        str(error)
        if isinstance(error, _ConnectionFailed)
        else type(error).__name__
    )
    if not progress.connected:
        return outcomes.Failure(results.NOT_DISPATCHED, text)
    if progress.answered:
        return outcomes.Failure(results.ANSWER_TRUNCATED, text)
    logging.info(
        "connection to the upstream failed after sending the request: %s",
        text,
        extra=logs.fields(code=results.UPSTREAM_BROKEN.number),
    )
    return outcomes.Failure(results.UPSTREAM_BROKEN, text)
