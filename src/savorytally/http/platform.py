"""The HTTP reader of the platform's service.

A value is read with ``GET /values/NAME?after=VERSION&wait_ms=MS``. The
service answers 200 with the value as soon as one exists whose version is
greater than ``after``, with the version in the ``Value-Version`` header, and
304 if there is none within ``wait_ms``.
"""

import asyncio

import aiohttp

from .. import defaults
from .. import ports
from . import bounded

VERSION_HEADER = "Value-Version"
_MARGIN_S = 2.0


class HttpPlatform:
    """Reads the platform's values.

    :param base_url: where the service listens.
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

        :raises OSError: if the platform can't be read.
        """
        try:
            async with asyncio.timeout(wait_s + _MARGIN_S):
                return await self._read(name, after, wait_s)
        except (aiohttp.ClientError, ValueError) as error:
            raise OSError(f"platform: {error}") from error

    async def _read(
        self, name: str, after: int, wait_s: float
    ) -> ports.Value | None:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=bounded.Connector()
            )
        query = {"after": str(after), "wait_ms": str(int(wait_s * 1000))}
        url = f"{self._base}/values/{name}"
        async with self._session.get(url, params=query) as response:
            if response.status == 304:
                return None
            if response.status != 200:
                raise OSError(f"platform: status {response.status}")
            body = await bounded.read(response, defaults.VALUE_MAX_BYTES)
            version = int(response.headers[VERSION_HEADER])
            return ports.Value(name, version, body)
