"""Measures the latency and processor time that two nodes add to a request.

The caller, two nodes and the upstream run on one event loop over loopback.
The same requests go directly to the upstream, through the two nodes, and
through two plain aiohttp forwarders for comparison. All three are measured
in every round, so that a round's figures share the same conditions. Prints a
JSON line for each round, then the medians.
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
# Concurrent requests while processor time is measured.
CONCURRENT_REQUESTS = 20


def parse_arguments() -> argparse.Namespace:
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=2000)
    return parser.parse_args()


async def forward(
    target_url: str, session: aiohttp.ClientSession, request: web.Request
) -> web.Response:
    """Forward a request and return the response.

    :param target_url: base URL to forward to.
    """
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in ("host", "content-length")
    }
    async with session.request(
        request.method, f"{target_url}{request.path_qs}", headers=headers
    ) as answer:
        return web.Response(
            status=answer.status,
            body=await answer.read(),
            headers={"x-savorytally-attempt-id": "r"},
        )


async def start_forwarders() -> None:
    """Start two forwarders in series."""
    target_urls = (
        f"http://{FAR}:{FORWARDERS[1][1]}",
        f"http://{FAR}:{mesh.UPSTREAM_PORT}",
    )
    for (host, port), target_url in zip(FORWARDERS, target_urls, strict=True):
        session = aiohttp.ClientSession()

        async def handle(
            request: web.Request,
            target_url: str = target_url,
            session: aiohttp.ClientSession = session,
        ) -> web.Response:
            return await forward(target_url, session, request)

        server = web.Server(handle)
        await asyncio.get_running_loop().create_server(server, host, port)


class Upstream(asyncio.Protocol):
    """An upstream that responds at once."""

    def __init__(self) -> None:
        self._server = mesh.HttpServer(self._answer)

    def connection_made(self, transport: t.Any) -> None:
        self._server.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        self._server.data_received(data)

    @staticmethod
    def _answer(server: mesh.HttpServer) -> None:
        name = server.headers.get("x-savorytally-attempt-id", "r")
        headers = {"x-savorytally-attempt-id": name, mesh.SIGNATURE: "s"}
        server.transport.write(mesh.response(200, BODY, headers))


class Target:
    """An address that requests to the upstream are sent to.

    :param host: IP address.
    :param port: TCP port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._pool = pool.Pool(options.Address(host, port))

    async def send(self) -> float:
        """Send a request and return the time to its response, in seconds."""
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
            raise RuntimeError(f"the request failed: {result}")
        return time.perf_counter() - began

    async def latencies_ms(self, count: int) -> list[float]:
        """Return the latencies of sequential requests, in milliseconds."""
        return [await self.send() * 1000 for _ in range(count)]

    async def processor_us(self, count: int) -> float:
        """Return processor time per concurrent request, in microseconds."""

        async def send_sequentially() -> None:
            for _ in range(count // CONCURRENT_REQUESTS):
                await self.send()

        began = time.process_time()
        await asyncio.gather(
            *(send_sequentially() for _ in range(CONCURRENT_REQUESTS))
        )
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
    """Return a quantile.

    :param values: the values, in any order.
    :param part: the quantile, from 0 to 1.
    """
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


async def measure(arguments: argparse.Namespace) -> None:
    """Measure in rounds and print the results."""
    await start_mesh()
    await start_forwarders()
    straight = Target(FAR, mesh.UPSTREAM_PORT)
    nodes = Target(NEAR, mesh.ENTRY_PORT)
    forwarders = Target(*FORWARDERS[0])
    rounds: list[dict[str, float]] = []
    for path in (straight, nodes, forwarders):
        await path.processor_us(200)
    for _ in range(arguments.rounds):
        plain = await straight.latencies_ms(arguments.requests)
        through = await nodes.latencies_ms(arguments.requests)
        base_us = await straight.processor_us(arguments.requests)
        nodes_us = await nodes.processor_us(arguments.requests) - base_us
        forwarders_us = (
            await forwarders.processor_us(arguments.requests) - base_us
        )
        found = {
            "added_p50_ms": quantile(through, 0.5) - quantile(plain, 0.5),
            "added_p99_ms": quantile(through, 0.99) - quantile(plain, 0.99),
            "nodes_us": nodes_us,
            "forwarders_us": forwarders_us,
            "ratio": nodes_us / forwarders_us,
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
    uvloop.run(measure(parse_arguments()))
