"""HTTP client of the platform's service.

A value is read with ``GET /values/NAME?after=VERSION&wait_ms=MS``. The
service responds with status 200 and the value as soon as its version is
greater than ``after``, with the version in the ``Value-Version`` header. It
responds with 304 if no such version appears within ``wait_ms``.

A service that is restored from a copy assigns versions again. It states in the
``Value-Era`` header of each response how often that has happened; without the
header, it never has. A node combines era and version into one number, so that
every version of a later era is newer.
"""

import asyncio

import aiohttp

from .. import defaults
from .. import ports
from ..world import store_position
from . import limited_client

VERSION_HEADER = "Value-Version"
ERA_HEADER = "Value-Era"


class HttpPlatform:
    """Reads values of the platform over HTTP.

    :param base_url: base URL of the platform's service.
    """

    def __init__(self, base_url: str) -> None:
        self._base = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def read(
        self, name: str, after: int, wait_s: float
    ) -> ports.Value | None:
        """Return a value that is newer than version ``after``.

        A read without a response in time closes all connections, so that
        later reads do not use one that may be silent too.

        :param name: name of the value.
        :param after: the last version that is known, 0 for none.
        :param wait_s: time to wait for a newer version, in seconds.
        :return: ``None`` if there is no newer version in that time. Its
            version includes the era.
        :raises OSError: if the platform can't be read.
        """
        known = store_position.from_version(after)
        try:
            era, value = await self._read(name, known, wait_s)
            if value is None and era > known.era:
                # The known version may not exist in this era.
                first = store_position.Position(era, 0)
                era, value = await self._read(name, first, 0.0)
        except (aiohttp.ClientError, ValueError) as error:
            raise OSError(f"platform: {error}") from error
        except KeyError as error:
            raise OSError(f"platform: no header {error}") from error
        if era < known.era:
            raise OSError(f"platform: era {era} after era {known.era}")
        return value

    async def _read(
        self, name: str, known: store_position.Position, wait_s: float
    ) -> tuple[int, ports.Value | None]:
        """Return the platform's era and a version newer than the known."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=limited_client.LimitedConnector()
            )
        session = self._session
        timeout_s = max(
            wait_s + defaults.PLATFORM_RESPONSE_S,
            defaults.PLATFORM_READ_TIMEOUT_S,
        )
        try:
            async with asyncio.timeout(timeout_s) as limit:
                return await self._exchange(
                    session, name, known, wait_s, limit
                )
        except TimeoutError as error:
            if self._session is session:
                await self.close()
            raise TimeoutError("platform: no response in time") from error

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        name: str,
        known: store_position.Position,
        wait_s: float,
        limit: asyncio.Timeout,
    ) -> tuple[int, ports.Value | None]:
        """Send a read and return its era and value.

        :param limit: limits the time until the headers; extended for the body.
        """
        query = {
            "after": str(known.revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        url = f"{self._base}/values/{name}"
        async with session.get(url, params=query) as response:
            now = asyncio.get_running_loop().time()
            limit.reschedule(now + defaults.PLATFORM_BODY_TIMEOUT_S)
            era = int(response.headers.get(ERA_HEADER, known.era))
            if response.status == 304:
                return era, None
            if response.status != 200:
                raise OSError(f"platform: status {response.status}")
            body = await limited_client.read(
                response, defaults.PLATFORM_VALUE_MAX_BYTES
            )
            revision = int(response.headers[VERSION_HEADER])
            at = store_position.Position(era, revision)
            return era, ports.Value(name, at.to_version(), body)
