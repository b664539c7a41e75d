"""A fake of the platform's service, in process or as a program."""

import argparse
import asyncio
import dataclasses
import pathlib

from aiohttp import web

VERSION_HEADER = "Value-Version"
ERA_HEADER = "Value-Era"


@dataclasses.dataclass(frozen=True)
class Stored:
    """One published value."""

    version: int
    body: bytes


class Platform:
    """Serves values; ``calls`` counts reads, a long poll as one.

    While it is ``silent``, it takes reads, never answers them, and lets the
    reads that wait already wait for ever.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.era = 0
        self.silent = False
        self._connections: dict[asyncio.BaseTransport, str] = {}
        self._silent_connections: set[asyncio.BaseTransport] = set()
        self._values: dict[str, Stored] = {}
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def publish(self, name: str, version: int, body: bytes) -> None:
        """Publish a value and wake the reads that wait for it."""
        async with self._changed:
            self._values[name] = Stored(version, body)
            self._changed.notify_all()

    def copy(self) -> dict[str, Stored]:
        """Return a copy of all values."""
        return dict(self._values)

    def restore(self, copied: dict[str, Stored]) -> None:
        """Go back to a copy; later versions are lost and assigned again."""
        self._values = dict(copied)
        self.era += 1

    def silence_connections(self, name: str = "") -> None:
        """Answer nothing any more on the connections that are open now.

        :param name: only on those on which this value is read, empty for all.
        """
        self._silent_connections |= {
            item
            for item, read in self._connections.items()
            if name in ("", read)
        }

    async def start(self, address: str, port: int) -> None:
        """Listen for reads, and for ``PUT`` requests that publish values."""
        app = web.Application(client_max_size=4 << 20)
        app.router.add_get("/values/{name:.+}", self._read)
        app.router.add_put("/values/{name:.+}", self._publish)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=1.0
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _publish(self, request: web.Request) -> web.Response:
        version = int(request.query["version"])
        body = await request.read()
        await self.publish(request.match_info["name"], version, body)
        return web.Response(status=204)

    async def _read(self, request: web.Request) -> web.Response:
        self.calls += 1
        name = request.match_info["name"]
        self._connections[request.transport] = name
        lost = self.silent
        response = await self._find(request, name)
        if (
            lost
            or self.silent
            or request.transport in self._silent_connections
        ):
            await asyncio.Event().wait()
        return response

    async def _find(self, request: web.Request, name: str) -> web.Response:
        after = int(request.query.get("after", "0"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000

        def newer() -> bool:
            value = self._values.get(name)
            return value is not None and value.version > after

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(newer)
            except TimeoutError:
                pass
        era = {ERA_HEADER: str(self.era)}
        if not newer():
            return web.Response(status=304, headers=era)
        value = self._values[name]
        return web.Response(
            body=value.body,
            content_type="application/json",
            headers={**era, VERSION_HEADER: str(value.version)},
        )


async def serve(given: argparse.Namespace) -> None:
    """Serve the given files for a number of seconds."""
    platform = Platform()
    for item in given.value:
        name, _, path = item.partition("=")
        body = pathlib.Path(path).read_bytes()
        await platform.publish(name, given.version, body)
    await platform.start(given.address, given.port)
    await asyncio.sleep(given.seconds)
    await platform.stop()


def main() -> None:
    """Run the fake as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--value", action="append", default=[])
    parser.add_argument("--seconds", type=float, default=300.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
