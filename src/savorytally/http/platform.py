"""HTTP client of the platform's service.

A value is read with ``GET /values/NAME?after=VERSION&wait_ms=MS``. The
service responds with status 200 and the value as soon as its version is
greater than ``after``, with the version in the ``Value-Version`` header. It
responds with 304 if no such version appears within ``wait_ms``.
"""

import asyncio

import aiohttp

from .. import defaults
from .. import ports
from . import limited_client

VERSION_HEADER = "Value-Version"
_TIMEOUT_MARGIN_S = 2.0


class HttpPlatform:
    """Reads values of the platform over HTTP.

    :param base_url: base URL of the platform's service.
    """

    def __init__(self, base_url: str) -> None:
        self._base = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self, name: str, after: int, wait_s: float
    ) -> ports.Value | None:
        """Return a value that is newer than version ``after``.

        :param name: name of the value.
        :param after: the last version that is known, 0 for none.
        :param wait_s: time to wait for a newer version, in seconds.
        :return: ``None`` if there is no newer version in that time.
        :raises OSError: if the platform can't be read.
        """
        try:
            async with asyncio.timeout(wait_s + _TIMEOUT_MARGIN_S):
                return await self._read(name, after, wait_s)
        except (aiohttp.ClientError, ValueError) as error:
            raise OSError(f"platform: {error}") from error

    async def _read(
        self, name: str, after: int, wait_s: float
    ) -> ports.Value | None:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=limited_client.LimitedConnector()
            )
        query = {"after": str(after), "wait_ms": str(int(wait_s * 1000))}
        url = f"{self._base}/values/{name}"
        async with self._session.get(url, params=query) as response:
            if response.status == 304:
                return None
            if response.status != 200:
                raise OSError(f"platform: status {response.status}")
            body = await limited_client.read(
                response, defaults.PLATFORM_VALUE_MAX_BYTES
            )
            version = int(response.headers[VERSION_HEADER])
            return ports.Value(name, version, body)
