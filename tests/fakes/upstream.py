"""A simulated upstream with slots, used in-process or as a program."""

import argparse
import asyncio
import random

import aiohttp
from aiohttp import web

CALL_TOKEN = "Savorytally-Call-Token"


class Upstream:
    """Serves requests of any path with a limited number of slots.

    :param slots: number of requests that run at once; others wait.
    :param service_s: mean time in seconds that a request occupies a slot.
    :param child: egress URL that each request calls before it is answered,
        may be empty.
    :param seed: seed of the random service times.
    """

    def __init__(
        self,
        slots: int = 8,
        service_s: float = 0.005,
        child: str = "",
        seed: int = 1,
    ) -> None:
        self.service_s = service_s
        self.seen: list[web.BaseRequest] = []
        self.executed = 0
        # Headers added to all answers.
        self.advertised_headers: dict[str, str] = {}
        self._child = child
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(slots)
        self._runner: web.ServerRunner | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen for requests."""
        self._session = aiohttp.ClientSession()
        self._runner = web.ServerRunner(
            web.Server(
                self._serve, access_log=None, handler_cancellation=True
            ),
            shutdown_timeout=1.0,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.seen.append(request)
        body = await request.read()
        async with self._slots:
            await asyncio.sleep(
                self._random.uniform(0.5, 1.5) * self.service_s
            )
        self.executed += 1
        if self._child:
            status, child_body = await self._call_child(request)
            if status >= 300:
                return web.Response(
                    status=502,
                    body=child_body,
                    headers=self.advertised_headers,
                )
        text = f"{request.method} {request.path} {len(body)}\n"
        return web.Response(text=text, headers=self.advertised_headers)

    async def _call_child(self, request: web.BaseRequest) -> tuple[int, bytes]:
        token = request.headers.get(CALL_TOKEN, "")
        async with self._session.get(
            self._child, headers={CALL_TOKEN: token}
        ) as response:
            return response.status, await response.read()


async def serve(options: argparse.Namespace) -> None:
    """Serve for the given number of seconds."""
    upstream = Upstream(
        options.slots, options.service_ms / 1000, options.child
    )
    await upstream.start(options.address, options.port)
    await asyncio.sleep(options.seconds)
    await upstream.stop()


def main() -> None:
    """Run the simulated upstream as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--service-ms", type=float, default=5.0)
    parser.add_argument("--child", default="")
    parser.add_argument("--seconds", type=float, default=300.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
