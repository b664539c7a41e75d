"""The HTTP client of the local upstream."""

import asyncio

import aiohttp
import yarl

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from ..parts import headers


class HttpUpstream:
    """Sends requests to the local upstream over lasting connections.

    :param base_url: where the upstream listens.
    :param connections: how many connections it accepts.
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
        """Send a request and return its whole answer or a failure."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(request)
        except aiohttp.ClientConnectorError as error:
            return outcomes.Failure(
                results.NOT_DISPATCHED, type(error).__name__
            )
        except TimeoutError:
            return outcomes.Failure(results.DEADLINE_PASSED)
        except aiohttp.ClientPayloadError:
            return outcomes.Failure(results.ANSWER_TRUNCATED)
        except (aiohttp.ClientError, OSError) as error:
            return outcomes.Failure(
                results.UPSTREAM_BROKEN, type(error).__name__
            )

    async def _exchange(
        self, request: ports.UpstreamRequest
    ) -> outcomes.Outcome:
        session = self._open_session()
        async with session.request(
            request.method,
            self._url(request),
            headers=request.headers,
            data=request.body or None,
            allow_redirects=False,
        ) as response:
            if (response.content_length or 0) > defaults.ANSWER_MAX_BYTES:
                response.close()
                return outcomes.Failure(results.ANSWER_TOO_LARGE)
            pieces = bytearray()
            async for piece in response.content.iter_any():
                pieces += piece
                if len(pieces) > defaults.ANSWER_MAX_BYTES:
                    response.close()
                    return outcomes.Failure(results.ANSWER_TOO_LARGE)
            return outcomes.Answer(
                status=response.status,
                headers=headers.end_to_end(tuple(response.headers.items())),
                body=bytes(pieces),
            )

    def _url(self, request: ports.UpstreamRequest) -> yarl.URL:
        query = f"?{request.query}" if request.query else ""
        return yarl.URL(f"{self._base}{request.path}{query}", encoded=True)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=self._connections)
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._session
