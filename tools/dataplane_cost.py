"""Measures what two nodes of the data plane add to a request.

Caller, two nodes and upstream run on one loop over loopback. The same
requests go straight to the upstream, through the two nodes, and through two
forwarders that have aiohttp on both sides, in turns, so that the figures of
a round are taken on the same machine at the same time. Prints a JSON line a
round and the medians: latency and processor time added to a request.
"""

import argparse
import asyncio
import json
import statistics
import time
import typing as t

import aiohttp
from aiohttp import web
from fakes import mesh
import uvloop

from savorytally.dataplane import exchanges
from savorytally.dataplane import options
from savorytally.dataplane import pool

BODY = b"x" * 1500
NEAR, FAR, STORE = "127.0.0.2", "127.0.0.3", "127.0.0.9"
FORWARDERS = ((NEAR, 9001), (FAR, 9002))
# Requests in progress at once while processor time is measured.
SIDE_BY_SIDE = 20


def parse() -> argparse.Namespace:
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=2000)
    return parser.parse_args()


async def forward(
    there: str, session: aiohttp.ClientSession, request: web.Request
) -> web.Response:
    """Pass a request on and its answer back."""
    kept = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in ("host", "content-length")
    }
    async with session.request(
        request.method, f"{there}{request.path_qs}", headers=kept
    ) as answer:
        return web.Response(
            status=answer.status,
            body=await answer.read(),
            headers={"x-savorytally-attempt-id": "r"},
        )


async def start_forwarders() -> None:
    """Start two forwarders, one behind the other."""
    nexts = (
        f"http://{FAR}:{FORWARDERS[1][1]}",
        f"http://{FAR}:{mesh.UPSTREAM_PORT}",
    )
    for (host, port), there in zip(FORWARDERS, nexts, strict=True):
        session = aiohttp.ClientSession()

        async def handle(
            request: web.Request,
            there: str = there,
            session: aiohttp.ClientSession = session,
        ) -> web.Response:
            return await forward(there, session, request)

        server = web.Server(handle)
        await asyncio.get_running_loop().create_server(server, host, port)


class Upstream(asyncio.Protocol):
    """Answers at once."""

    def __init__(self) -> None:
        self._server = mesh.HttpServer(self._answer)

    def connection_made(self, transport: t.Any) -> None:
        self._server.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        self._server.data_received(data)

    @staticmethod
    def _answer(server: mesh.HttpServer) -> None:
        name = server.headers.get("x-savorytally-attempt-id", "r")
        told = {"x-savorytally-attempt-id": name, mesh.SIGNATURE: "s"}
        server.transport.write(mesh.response(200, BODY, told))


class Path:
    """A way to the upstream.

    :param host: where requests are sent.
    :param port: its port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._pool = pool.Pool(options.Address(host, port))

    async def send(self) -> float:
        """Send a request and return the seconds until its answer."""
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[t.Any] = loop.create_future()
        opened: asyncio.Future[t.Any] = loop.create_future()
        self._pool.acquire(False, opened.set_result)
        connection = await opened
        data = mesh.request("/drawers/1", "GET", "r", 2000, mesh.KEY, b"", {})
        began = time.perf_counter()

        def done(used: exchanges.Connection, result: t.Any) -> None:
            self._pool.release(used)
            ended.set_result(result)

        connection.request(data, lambda reply: True, done)
        result = await ended
        if not isinstance(result, exchanges.Response) or result.status != 200:
            raise RuntimeError(f"no answer: {result}")
        return time.perf_counter() - began

    async def latencies_ms(self, count: int) -> list[float]:
        """Return the times of requests that are sent one by one."""
        return [await self.send() * 1000 for _ in range(count)]

    async def processor_us(self, count: int) -> float:
        """Return the processor time a request, with some side by side."""

        async def some() -> None:
            for _ in range(count // SIDE_BY_SIDE):
                await self.send()

        began = time.process_time()
        await asyncio.gather(*(some() for _ in range(SIDE_BY_SIDE)))
        return (time.process_time() - began) / count * 1e6


async def start_mesh() -> None:
    """Start the store, the upstream and two nodes."""
    mesh.STORE = options.Address(STORE, 8545)
    store = mesh.Store()
    await store.start(STORE)
    near, far = mesh.Host(1, "desk", "low-a"), mesh.Host(2, "drawers", "low-a")
    near.address, far.address = NEAR, FAR
    loop = asyncio.get_running_loop()
    await loop.create_server(Upstream, FAR, mesh.UPSTREAM_PORT)
    store.put("servers/i-2", far.entry(slots=100))
    store.put("op/config", mesh.configuration(1))
    for host in (near, far):
        await host.start_node()
    await asyncio.sleep(1.0)


def quantile(values: list[float], part: float) -> float:
    """Return a quantile of some values."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


async def measure(given: argparse.Namespace) -> None:
    """Measure in rounds and print what was found."""
    await start_mesh()
    await start_forwarders()
    straight = Path(FAR, mesh.UPSTREAM_PORT)
    nodes = Path(NEAR, mesh.ENTRY_PORT)
    forwarders = Path(*FORWARDERS[0])
    rounds: list[dict[str, float]] = []
    for path in (straight, nodes, forwarders):
        await path.processor_us(200)
    for _ in range(given.rounds):
        plain = await straight.latencies_ms(given.requests)
        through = await nodes.latencies_ms(given.requests)
        base_us = await straight.processor_us(given.requests)
        nodes_us = await nodes.processor_us(given.requests) - base_us
        naive_us = await forwarders.processor_us(given.requests) - base_us
        found = {
            "added_p50_ms": quantile(through, 0.5) - quantile(plain, 0.5),
            "added_p99_ms": quantile(through, 0.99) - quantile(plain, 0.99),
            "nodes_us": nodes_us,
            "forwarders_us": naive_us,
            "ratio": nodes_us / naive_us,
        }
        rounds.append(found)
        print(json.dumps({name: round(v, 3) for name, v in found.items()}))
    print(
        "median",
        json.dumps(
            {
                name: round(statistics.median(r[name] for r in rounds), 3)
                for name in rounds[0]
            }
        ),
    )


if __name__ == "__main__":
    uvloop.run(measure(parse()))
