"""A fake upstream that counts the requests it runs, as a program.

Every request has a ``mark`` in its query. The fake counts the requests for
each mark and idempotency key and responds with the mark. ``GET /counts`` on
the second port returns the counts; ``PUT /slowdown?factor=F`` multiplies the
service time.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import typing as t

import aiohttp
from aiohttp import web

CALL_TOKEN = "Savorytally-Call-Token"
IDEMPOTENCY_KEY = "Idempotency-Key"


class Service:
    """Serves requests in a limited number of slots and counts them.

    :param options: see ``tools.mesh.stand_in``.
    :param seed: seed of the random service times.
    """

    def __init__(self, options: dict[str, t.Any], seed: int = 1) -> None:
        self._options = options
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(options["slots"])
        self._factor = 1.0
        self._runs: collections.Counter[str] = collections.Counter()
        self._keyed: collections.Counter[str] = collections.Counter()
        self._key_seen = 0
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self._runners: list[web.ServerRunner | web.AppRunner] = []

    async def start(self) -> None:
        """Listen for requests on one port and for control on the other."""
        server = web.Server(
            self._serve, access_log=None, handler_cancellation=True
        )
        app = web.Application()
        app.router.add_get("/counts", self._counts)
        app.router.add_put("/slowdown", self._slow_down)
        runners = [
            web.ServerRunner(server, shutdown_timeout=1.0),
            web.AppRunner(app, access_log=None, shutdown_timeout=1.0),
        ]
        ports = (self._options["port"], self._options["counts_port"])
        for runner, port in zip(runners, ports, strict=True):
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
        self._runners = runners

    async def stop(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()
        await self._session.close()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        mark = request.query.get("mark", "")
        self._count(request, mark, body)
        async with self._slots:
            spread = self._random.uniform(0.5, 1.5)
            service_s = self._options["service_ms"] / 1000
            await asyncio.sleep(spread * service_s * self._factor)
        child = self._options["children"].get(request.path)
        if child is not None:
            url = f"{self._options['egress_url']}{child}?mark={mark}"
            token = request.headers.get(CALL_TOKEN, "")
            async with self._session.get(
                url, headers={CALL_TOKEN: token}
            ) as response:
                child_body = await response.read()
                if response.status != 200 or not child_body.startswith(
                    mark.encode()
                ):
                    return web.Response(status=502, body=child_body)
        return web.Response(text=f"{mark} {request.method} {request.path}\n")

    def _count(self, request: web.BaseRequest, mark: str, body: bytes) -> None:
        self._runs[f"{request.path} {mark}"] += 1
        key = request.headers.get(IDEMPOTENCY_KEY)
        if key:
            self._keyed[key] += 1
        whole = f"{request.raw_headers} {request.path_qs} {body!r}"
        if any(secret in whole for secret in self._options["secrets"]):
            self._key_seen += 1

    async def _counts(self, request: web.Request) -> web.Response:
        counts = {
            "runs": self._runs,
            "keyed": self._keyed,
            "key_seen": self._key_seen,
        }
        return web.json_response(counts)

    async def _slow_down(self, request: web.Request) -> web.Response:
        self._factor = float(request.query["factor"])
        return web.Response(status=204)


async def serve(path: pathlib.Path, seconds: float) -> None:
    """Serve for a number of seconds."""
    service = Service(json.loads(path.read_text("utf-8")))
    await service.start()
    await asyncio.sleep(seconds)
    await service.stop()


def main() -> None:
    """Run the fake as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--options", type=pathlib.Path, required=True)
    parser.add_argument("--seconds", type=float, default=150.0)
    given = parser.parse_args()
    asyncio.run(serve(given.options, given.seconds))


if __name__ == "__main__":
    main()
