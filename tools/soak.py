"""Soaks real nodes in faults and judges what callers and upstreams saw.

The nodes are processes of their own; store, upstreams, callers and a proxy
before every node's peer port and before the store run in this process. A
seed gives the schedule of faults. Every process is ended by its identifier.

    python -m tools.soak --seeds 1-50 --hosts 6 --seconds 12
"""

import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import typing as t

from fakes import mesh
import uvloop

from savorytally.dataplane import exchanges
from savorytally.dataplane import options
from savorytally.dataplane import pool
from tools import soak_checks as checks

ROOT = pathlib.Path(__file__).parent.parent
SERVICES = ("drawers", "desk")
PLACES = ("low-a", "low-b", "up-a")
KEYS = {"key-of-the-growers-1": "growers", "key-of-the-agents-22": "agents"}
REQUESTS_PER_S = 60.0
START_TIMEOUT_S = 20.0
QUIET_AT_END_S = 2.5

SETTINGS = """\
local_node.node_name={name}
local_node.service={service}
local_node.ip={node}
local_node.zone={place}
local_node.first_start={first}
local_node.app_addr={upstream}:8547
network.listen.outbound={node}:8548
network.listen.ready={node}:8546
network.internal_ports=7000,7015
network.zones.low-a=low
network.zones.low-b=low
network.zones.up-a=up
platform.platform.address={store}:8545
terms.bounds.drain=2000ms
terms.bounds.grace=6s
"""


class Proxy:
    """Carries connections to another address, harmed on demand."""

    def __init__(self, near: str, far: str, port: int) -> None:
        self._near, self._far, self._port = near, far, port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.delay_s = 0.0
        # Directions that carry nothing: towards the target, and back.
        self.mute = [False, False]

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, self._near, self._port
        )

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far = await asyncio.open_connection(self._far, self._port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far[1]}
        self._writers |= pair
        await asyncio.gather(
            self._carry(reader, far[1], 0), self._carry(far[0], writer, 1)
        )
        self._writers -= pair

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: int,
    ) -> None:
        # What a muted direction has lost leaves a gap, so that the
        # connection stays mute for good, as behind a lost track.
        lost = False
        try:
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                lost = lost or self.mute[direction]
                if not lost:
                    writer.write(data)
            writer.close()
        except OSError:
            writer.transport.abort()


class Node:
    """A host: its upstream here, its node as a process."""

    def __init__(self, soak: "Soak", number: int) -> None:
        self.soak = soak
        self.service = SERVICES[number % len(SERVICES)]
        self.place = PLACES[number % len(PLACES)]
        self.node = f"{soak.net}.1.{number + 1}"
        self.upstream = mesh.Upstream(f"{soak.net}.2.{number + 1}", "")
        self.upstream.instance_id = f"i-{number}"
        self.proxy = Proxy(self.upstream.address, self.node, 7000)
        self.process: subprocess.Popen[bytes] | None = None
        self.first = True
        self.settings = soak.folder / f"{number}.conf"

    def start(self) -> None:
        """Start the node's process."""
        self.write_settings()
        self.first = False
        log = (self.settings.with_suffix(".log")).open("ab")
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "serve.py")],
            env={**os.environ, "SAVORYTALLY_SETTINGS": str(self.settings)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def write_settings(self, more: str = "") -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=f"host-{self.node}",
            service=self.service,
            node=self.node,
            place=self.place,
            first=str(self.first).lower(),
            upstream=self.upstream.address,
            store=f"{self.soak.net}.4.1",
        )
        self.settings.write_text(text + more)

    def entry(self) -> dict[str, t.Any]:
        """Return the upstream's entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.upstream.address}:8547",
            "zone": self.place,
            "slots": 8,
            "state": "ready",
            "cold_remaining": "0ms",
            "sequence": 1,
        }

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Soak:
    """One run."""

    def __init__(self, seed: int, hosts: int, seconds: float) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.net = f"127.{20 + seed % 200}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.store = mesh.Store()
        self.store_proxy = Proxy(f"{self.net}.4.1", f"{self.net}.3.1", 8545)
        self.nodes = [Node(self, number) for number in range(hosts)]
        self.record = checks.Record([], [], [], dict(KEYS), {})
        self.version = 1
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._names = 0

    async def run(self) -> list[str]:
        """Play the run and return its breaches."""
        await self.store.start(f"{self.net}.3.1")
        await self.store_proxy.start()
        for node in self.nodes:
            self._observe(node)
            await node.upstream.start()
            await node.proxy.start()
            self.store.put(
                f"servers/{node.upstream.instance_id}", node.entry()
            )
        self.put_configuration()
        try:
            for node in self.nodes:
                node.start()
            await self._until_ready()
            await asyncio.gather(self._callers(), self._faults())
            await asyncio.gather(*self._tasks)
            await asyncio.sleep(1.0)
        finally:
            self._end_processes()
            for proxy in (self.store_proxy, *(n.proxy for n in self.nodes)):
                proxy.reset()
            await asyncio.sleep(0.2)
        return checks.judge(self.record)

    def put_configuration(self) -> None:
        """Publish the next configuration."""
        keys = [key for key in KEYS if key not in self.record.revoked]
        tenants = {
            name: {
                "api_keys": [key for key in keys if KEYS[key] == name],
                "priority": 1,
                "rate_per_s": 0,
            }
            for name in KEYS.values()
        }
        config = mesh.configuration(self.version, tenants=tenants)
        self.store.put("op/config", config)
        self.version += self.random.randint(1, 4)

    def _observe(self, node: Node) -> None:
        """Record what arrives at an upstream."""

        def seen(name: str, ran: bool, headers: dict[str, str]) -> None:
            self.record.arrivals.append(
                checks.Arrival(name, time.time(), node.service, ran, headers)
            )

        node.upstream.observed = seen
        node.upstream.work_s = 0.03

    async def _until_ready(self) -> None:
        end = time.time() + START_TIMEOUT_S
        for node in self.nodes:
            while not await self._ready(node):
                if time.time() > end:
                    raise RuntimeError(f"{node.node} did not start")
                await asyncio.sleep(0.1)

    @staticmethod
    async def _ready(node: Node) -> bool:
        try:
            reader, writer = await asyncio.open_connection(node.node, 8546)
        except OSError:
            return False
        writer.write(b"GET /-/readyz HTTP/1.1\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def _callers(self) -> None:
        end = time.time() + self.seconds
        pools = {
            node.node: pool.Pool(options.Address(node.node, 8548))
            for node in self.nodes
        }
        while time.time() < end:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            node = self.random.choice(self.nodes)
            task = asyncio.ensure_future(self._send(node, pools[node.node]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, node: Node, connections: pool.Pool) -> None:
        """Send a request on a connection that is kept for the next one."""
        loop = asyncio.get_running_loop()
        self._names += 1
        name = f"r{self.seed}-{self._names}"
        idempotent = self.random.random() < 0.5
        key = self.random.choice(list(KEYS))
        began = time.time()
        opened: asyncio.Future[t.Any] = loop.create_future()
        connections.take(False, opened.set_result)
        connection = await opened
        if connection is None:
            return
        data = mesh.request(
            "/drawers/1" if idempotent else "/desk/1",
            "GET" if idempotent else "POST",
            name,
            1500,
            key,
            b"" if idempotent else b"lot",
            {},
        )
        ended: asyncio.Future[t.Any] = loop.create_future()

        def done(used: exchanges.Connection, result: t.Any) -> None:
            connections.give(used)
            ended.set_result(result)

        connection.request(data, lambda reply: True, done)
        result = await ended
        status, body, signature = 0, b"", ""
        if isinstance(result, exchanges.Reply):
            status, body = result.status, result.body
            signature = result.header(mesh.SIGNATURE.encode()).decode()
        self.record.sent.append(
            checks.Sent(
                name,
                began,
                node.node,
                idempotent,
                key,
                status,
                body,
                signature,
                time.time(),
            )
        )

    async def _faults(self) -> None:
        """Inject faults one after the other, some at the same time."""
        end = time.time() + self.seconds - QUIET_AT_END_S
        kinds = sorted(_FAULTS)
        while time.time() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            kind = self.random.choice(kinds)
            node = self.random.choice(self.nodes)
            for_s = self.random.uniform(0.2, 2.0)
            task = asyncio.ensure_future(self._fault(kind, node, for_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fault(self, kind: str, node: Node, for_s: float) -> None:
        began = time.time()
        # Noted before its end, since what it breaks is judged by it.
        until = began + for_s + (7.0 if kind == "term" else 0.0)
        self.record.faults.append(checks.Fault(kind, node.node, began, until))
        await _FAULTS[kind](self, node, for_s)

    def _end_processes(self) -> None:
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()


Injected = t.Callable[[Soak, Node, float], t.Coroutine[t.Any, t.Any, None]]
_FAULTS: dict[str, Injected] = {}


def _fault(function: Injected) -> Injected:
    _FAULTS[function.__name__] = function
    return function


@_fault
async def kill(soak: Soak, node: Node, for_s: float) -> None:
    node.signal(signal.SIGKILL)
    await asyncio.sleep(for_s)
    _restart(node)


@_fault
async def term(soak: Soak, node: Node, for_s: float) -> None:
    process = node.process
    node.signal(signal.SIGTERM)
    for _ in range(70):
        await asyncio.sleep(0.1)
        if process is None or process.poll() is not None:
            break
    _restart(node)


def _restart(node: Node) -> None:
    """Start a node again unless another fault has done so."""
    if node.process is None or node.process.poll() is not None:
        node.start()


@_fault
async def pause(soak: Soak, node: Node, for_s: float) -> None:
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    node.signal(signal.SIGCONT)


@_fault
async def reload(soak: Soak, node: Node, for_s: float) -> None:
    node.write_settings(f"terms.bounds.budget_slack={soak.random.random()}\n")
    node.signal(signal.SIGHUP)


@_fault
async def reset_streams(soak: Soak, node: Node, for_s: float) -> None:
    node.proxy.reset()


@_fault
async def silence_streams(soak: Soak, node: Node, for_s: float) -> None:
    node.proxy.mute = [True, True]
    await asyncio.sleep(for_s)
    node.proxy.mute = [False, False]


@_fault
async def cut_one_way(soak: Soak, node: Node, for_s: float) -> None:
    way = soak.random.randrange(2)
    node.proxy.mute[way] = True
    await asyncio.sleep(for_s)
    node.proxy.mute[way] = False


@_fault
async def delay_streams(soak: Soak, node: Node, for_s: float) -> None:
    node.proxy.delay_s = 0.1
    await asyncio.sleep(for_s)
    node.proxy.delay_s = 0.0


@_fault
async def store_down(soak: Soak, node: Node, for_s: float) -> None:
    soak.store.status = soak.random.choice((429, 503))
    soak.store_proxy.reset()
    await asyncio.sleep(for_s)
    soak.store.status = 0


@_fault
async def store_silent(soak: Soak, node: Node, for_s: float) -> None:
    soak.store_proxy.mute = [True, True]
    await asyncio.sleep(for_s)
    soak.store_proxy.mute = [False, False]


@_fault
async def history_lost(soak: Soak, node: Node, for_s: float) -> None:
    soak.store.forget()
    soak.store_proxy.reset()


@_fault
async def change(soak: Soak, node: Node, for_s: float) -> None:
    soak.put_configuration()


@_fault
async def revoke(soak: Soak, node: Node, for_s: float) -> None:
    left = [key for key in KEYS if key not in soak.record.revoked]
    if len(left) > 1:
        soak.record.revoked[soak.random.choice(left)] = time.time()
        soak.put_configuration()


@_fault
async def lose_answers(soak: Soak, node: Node, for_s: float) -> None:
    node.upstream.fault = lambda connection, name, answer: (
        connection.transport.abort()
    )
    await asyncio.sleep(for_s)
    node.upstream.fault = None


@_fault
async def spoil_answers(soak: Soak, node: Node, for_s: float) -> None:
    def spoil(connection: t.Any, name: str, answer: bytes) -> None:
        kind = soak.random.randrange(3)
        if kind == 0:
            connection.transport.write(answer[: len(answer) // 2])
            connection.transport.close()
        elif kind == 1:
            connection.transport.write(answer + answer)
        else:
            connection.transport.write(b"no answer at all\r\n\r\n")

    node.upstream.fault = spoil
    await asyncio.sleep(for_s)
    node.upstream.fault = None


@_fault
async def reject(soak: Soak, node: Node, for_s: float) -> None:
    node.upstream.rejects = lambda: soak.random.random() < 0.5
    await asyncio.sleep(for_s)
    node.upstream.rejects = lambda: False


def seeds(text: str) -> range:
    """Return the seeds of ``A-B`` or of one number."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main(arguments: list[str] | None = None) -> int:
    """Play the seeds and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=seeds, required=True)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=12.0)
    given = parser.parse_args(arguments)
    failed = 0
    for seed in given.seeds:
        soak = Soak(seed, given.hosts, given.seconds)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            breaches = runner.run(soak.run())
        failed += bool(breaches)
        print(json.dumps(_summary(soak, breaches)), flush=True)
    return 1 if failed else 0


def _summary(soak: Soak, breaches: list[str]) -> dict[str, t.Any]:
    record = soak.record
    statuses = collections.Counter(sent.status for sent in record.sent)
    kinds = collections.Counter(fault.kind for fault in record.faults)
    return {
        "seed": soak.seed,
        "requests": len(record.sent),
        "statuses": dict(sorted(statuses.items())),
        "faults": dict(sorted(kinds.items())),
        "breaches": breaches,
        "logs": str(soak.folder) if breaches else "",
    }


if __name__ == "__main__":
    sys.exit(main())
