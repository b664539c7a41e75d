"""Stand-ins for the platform, endpoints and clients, and real nodes.

All of them speak what the users' pages say: the platform's store that is
only read, endpoints that register themselves there, and clients. Nodes are
started as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_BYTES = 1 << 27
START_S = 15.0
# Time after which an endpoint notices that a connection has ended.
WORK_STEP_S = 0.02

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, event: str, **fields: t.Any) -> None:
        """Write one line with the seconds since the start."""
        passed_s = time.monotonic() - self._began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{passed_s:8.3f} {event} {text}", file=self._file, flush=True)


class Message(t.NamedTuple):
    """An HTTP request or response that was read in full."""

    first: list[str]
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a content length, ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return Message(lines[0].split(" ", 2), headers, body)


def encode(first: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Open the port."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=LIMIT_BYTES, backlog=1024
        )

    def reset(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Return the bytes of the response, ``None`` for none.

        :param reader: shows whether the connection has ended.
        """
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if self._server is None:
            # It was accepted in the moment of the reset.
            writer.transport.abort()
        try:
            while (request := await read_message(reader)) is not None:
                if self._server is None:
                    break
                response = await self.answer(request, reader)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store, which the nodes can only read."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._revision = 10
        self._items: dict[str, dict[str, t.Any]] = {}
        self._events: list[dict[str, t.Any]] = []
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: dict[str, t.Any]) -> None:
        """Write an item, as the operator and endpoints do."""
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        await self._note(item)

    async def delete(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            await self._note(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    async def _note(self, event: dict[str, t.Any]) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Answer a reading call."""
        path, _, text = request.first[1].partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        prefix = query.get("prefix", "")
        status, body = 404, {}
        if path == "/-/kv-key" and query.get("key") in self._items:
            status, body = 200, dict(self._items[query["key"]])
        elif path == "/-/kv-range":
            found = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            status, body = 200, {"items": found, "has_more": False}
        elif path == "/-/kv-watch":
            status = 200
            body = {"events": await self._watch(prefix, query)}
        body["current_rev"] = self._revision
        return encode(
            f"HTTP/1.1 {status} -",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )

    async def _watch(self, prefix: str, query: Headers) -> list[t.Any]:
        after = int(query.get("after", "0"))
        ends = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left_s = ends - time.monotonic()
            if found or left_s <= 0:
                return found
            with contextlib.suppress(TimeoutError):
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)


class Endpoint(HttpServer):
    """An application endpoint.

    :param work_s: how long it works on a request.
    :param poison: part of the path of requests that crash it.
    :param down_s: how long it is down after a crash.
    :param body_bytes: least size of its bodies.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        service: str,
        place: tuple[str, int, str],
        work_s: float = 0.02,
        poison: str = "",
        down_s: float = 2.5,
        body_bytes: int = 0,
    ) -> None:
        host, port, self.zone = place
        super().__init__(host, port)
        self.service = service
        self.work_s = work_s
        self.poison = poison
        self.down_s = down_s
        self.body_bytes = body_bytes
        self.crashes: list[float] = []
        # When each request began to run last.
        self.ran_at: dict[str, float] = {}
        self._record = record
        self._store = store
        self._tasks: set[asyncio.Task[None]] = set()
        self._boots = 0
        self._born_ms = 0
        self.running = 0
        self.instance_id = ""
        # When the store has accepted that it drains, if it has.
        self.draining_at = float("inf")

    async def boot(self) -> None:
        """Start under a new id and register."""
        self._boots += 1
        self.running = 0
        self.instance_id = f"i-{self.host.replace('.', '-')}-{self._boots}"
        self._born_ms = int(time.time() * 1000)
        await self.listen()
        await self._register("ready", 1)
        self._record("boots", endpoint=self.instance_id, at=self.host)

    async def drain(self) -> None:
        """Report that it drains, and go on serving."""
        await self._register("draining", 2)
        self.draining_at = time.monotonic()
        self._record("drains", endpoint=self.instance_id)

    async def _register(self, state: str, sequence: int) -> None:
        await self._store.put(
            f"servers/{self.instance_id}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 36,
                "state": state,
                "cold_remaining": "0ms",
                "sequence": sequence,
                "born": self._born_ms,
            },
        )

    async def answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Run a request, or crash."""
        headers = request.headers
        target = request.first[1]
        if target == "/healthz":
            named = {"X-Savorytally-Instance-Id": self.instance_id}
            drains = self.draining_at < time.monotonic()
            return encode(f"HTTP/1.1 {503 if drains else 200} -", named)
        name = headers.get("x-savorytally-attempt-id", "")
        wanted = headers.get("x-savorytally-expected-instance")
        if wanted and wanted != self.instance_id:
            named = {"X-Savorytally-Instance-Id": self.instance_id}
            return encode("HTTP/1.1 421 Misdirected Request", named)
        self.ran_at[name] = time.monotonic()
        self._record(
            "runs", id=name, at=self.instance_id, bytes=len(request.body)
        )
        if self.poison and self.poison in target:
            self._crash(name)
            return None
        self.running += 1
        whole = await self._work(reader)
        self.running -= 1
        if not whole:
            # Endpoints drop a request when its connection closes.
            self._record("drops", id=name, at=self.instance_id)
            return None
        headers = {
            "X-Savorytally-Attempt-Id": name,
            "X-Savorytally-Response-Signature": f"{self.instance_id}.{name}",
        }
        if self.draining_at < time.monotonic():
            headers["Connection"] = "close"
        return encode(
            "HTTP/1.1 200 OK",
            headers,
            f"{name} {target} {len(request.body)}".encode().ljust(
                self.body_bytes, b"."
            ),
        )

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Work on a request; return whether its connection lasted."""
        ends = time.monotonic() + self.work_s
        while (left_s := ends - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, WORK_STEP_S))
            if reader.at_eof() or reader.exception() is not None:
                return False
        return True

    def _crash(self, name: str) -> None:
        self._record(
            "crashes", id=name, at=self.instance_id, lost=self.running
        )
        self.crashes.append(time.monotonic())
        self.restart()

    def restart(self) -> None:
        """End at once, and start again later under another id."""
        self.reset()
        self._start(self._return())
        self.fall_silent()

    def fall_silent(self) -> None:
        """Let the entry in the store expire."""
        self._start(self._expire(self.instance_id))

    def _start(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _return(self) -> None:
        await asyncio.sleep(self.down_s)
        await self.boot()

    async def _expire(self, instance_id: str) -> None:
        # Three heartbeat intervals of silence.
        await asyncio.sleep(4.5)
        await self._store.delete(f"servers/{instance_id}")


class StoreView(HttpServer):
    """The store as it is seen from a place with other addresses.

    :param store: the store.
    :param addresses: address in the view for addresses of machines.
    """

    def __init__(self, store: Store, host: str, addresses: Headers) -> None:
        super().__init__(host, store.port)
        self._store = store
        self._addresses = addresses
        self._open = asyncio.Event()
        self._open.set()

    def cut(self) -> None:
        """Answer nothing from now on."""
        self._open.clear()

    async def answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Answer a reading call."""
        await self._open.wait()
        response = await self._store.answer(request, reader)
        await self._open.wait()
        _, _, text = t.cast(bytes, response).partition(b"\r\n\r\n")
        body = json.loads(text)
        for item in (*body.get("items", ()), *body.get("events", ())):
            if item["key"].startswith("servers/") and "value" in item:
                value = json.loads(base64.b64decode(item["value"]))
                host, _, port = value["address"].partition(":")
                host = self._addresses.get(host, host)
                value["address"] = f"{host}:{port}"
                encoded = base64.b64encode(json.dumps(value).encode())
                item["value"] = encoded.decode()
        return encode(
            "HTTP/1.1 200 -",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )


class Link:
    """A path between machines that can be cut without a word.

    :param host: address at which the other side of the link is seen.
    :param target: address of the machine there.
    :param ports: the ports that are passed on.
    """

    def __init__(self, host: str, target: str, ports: t.Sequence[int]) -> None:
        self._host = host
        self._target = target
        self._ports = ports
        self._open = asyncio.Event()
        self._open.set()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Open the ports."""
        for port in self._ports:

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                port: int = port,
            ) -> None:
                await self._serve(reader, writer, port)

            self._servers.append(
                await asyncio.start_server(serve, self._host, port)
            )

    def cut(self) -> None:
        """Pass nothing on from now on."""
        self._open.clear()

    def close(self) -> None:
        """Close the ports and reset all connections."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        self._writers.add(writer)
        await self._open.wait()
        try:
            far_reader, far = await asyncio.open_connection(self._target, port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far)
        await asyncio.gather(
            self._pass_on(reader, far), self._pass_on(far_reader, writer)
        )

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class Place(t.NamedTuple):
    """A machine: its address, zone and the service of its endpoint."""

    host: str
    zone: str
    service: str


class Ports(t.NamedTuple):
    """Ports that are the same on all machines."""

    app: int
    inbound: int
    outbound: int
    ready: int
    internal: int
    store: int


def free_ports(hosts: t.Sequence[str]) -> Ports:
    """Return ports that are free on all addresses."""
    source = random.Random()
    while True:
        base = source.randrange(20_000, 30_000)
        numbers = [base + step for step in range(7)]
        try:
            for host in hosts:
                for number in numbers:
                    with socket.socket() as probe:
                        probe.bind((host, number))
        except OSError:
            continue
        return Ports(*numbers[:4], numbers[4], numbers[6])


class Node:
    """A node process, started with the command of the deploy file."""

    def __init__(
        self,
        record: Record,
        place: Place,
        ports: Ports,
        zones: Headers,
        store: str,
        folder: pathlib.Path,
        memory_mb: int = 300,
    ) -> None:
        self.place = place
        self.entry = (place.host, ports.outbound)
        self.ready = (place.host, ports.ready)
        self.memory_mb = memory_mb
        self._record = record
        self._ports = ports
        self._zones = zones
        # Address of the platform's store.
        self.store = store
        self._path = folder / f"{place.host}.conf"
        self._log = folder / f"{place.host}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0

    def start(self, first: bool = True) -> None:
        """Write the settings file and start the process."""
        place, ports = self.place, self._ports
        internal = f"{ports.internal},{ports.internal + 1}"
        zones = "".join(
            f"network.zones.{zone}={region}\n"
            for zone, region in self._zones.items()
        )
        self._path.write_text(
            f"""local_node.node_name=sidecar-{place.host}
local_node.role=node
local_node.machine_class=sidecar
local_node.serves=sidecar
local_node.ip={place.host}
local_node.zone={place.zone}
local_node.region={self._zones[place.zone]}
local_node.counts_as_loss=false
local_node.first_start={str(first).lower()}
local_node.limits.cpu_share=0.86
local_node.limits.cores=2
local_node.limits.memory_mb={self.memory_mb}
local_node.limits.max_fds=4100
local_node.limits.link_mbps=1000.0
local_node.limits.disk_mb=0
local_node.app_addr={place.host}:{ports.app}
local_node.service={place.service}
network.listen.inbound={place.host}:{ports.inbound}
network.listen.outbound={place.host}:{ports.outbound}
network.listen.ready={place.host}:{ports.ready}
network.internal_ports={internal}
network.seeds=
{zones}platform.discovery=platform
platform.entry=static
platform.heartbeat=1500ms
platform.platform.address={self.store}
platform.platform.form=read
platform.platform.writes_per_s=400
platform.platform.reads_per_s=2000
platform.platform.history=20s
platform.platform.value_bytes=1048576
platform.platform.min_ttl=1000ms
terms.contracts=base,drain,config,cost,retry,recover,pressure,tenants,quota,platform
terms.fault_tolerance.machines=2
terms.fault_tolerance.zones=0
terms.fault_tolerance.regions=0
terms.bounds.seed_lag=3s
terms.bounds.addr_reuse=2s
terms.bounds.touch=3000ms
terms.bounds.ack=4000ms
terms.bounds.catch_up=4s
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.lost_time=200ms
terms.bounds.config=2000ms
terms.bounds.rollback_slack=250ms
terms.bounds.outer=5000ms
terms.bounds.strict_revoke=false
terms.bounds.revoke=5000ms
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window=10s
terms.bounds.budget_slack=50
terms.bounds.quota_window=5s
terms.bounds.quota_overage=0.25
terms.bounds.quota_slack=20
terms.bounds.recovery=15s
"""
        )
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["SAVORYTALLY_SETTINGS"] = str(self._path)
        env["PYTHONPATH"] = "target/deps"
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/serve.py"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()
        self._record("node_starts", at=place.host)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._record("signal", at=self.place.host, number=number.name)
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def until_ready(self) -> None:
        """Wait until the node says that it is ready."""
        ends = time.monotonic() + START_S
        while time.monotonic() < ends:
            answer = await ask(self.ready, "GET", "/-/readyz", {}, b"", 1.0)
            if isinstance(answer, Message) and answer.status == 200:
                self._record("ready", at=self.place.host)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the node at {self.place.host} isn't ready")

    def memory_bytes(self) -> int:
        """Return the resident memory of the process, 0 without one."""
        if self.process is None or self.process.poll() is not None:
            return 0
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0


class Deployment:
    """A small deployment: store, endpoints and nodes."""

    def __init__(
        self, record: Record, places: t.Sequence[Place], zones: Headers
    ) -> None:
        self.record = record
        self.places = places
        self._folder = tempfile.TemporaryDirectory()
        hosts = ["127.0.0.1", *(place.host for place in places)]
        self.ports = free_ports(hosts)
        self.store = Store("127.0.0.1", self.ports.store)
        self.nodes = [
            Node(
                record,
                place,
                self.ports,
                zones,
                f"127.0.0.1:{self.ports.store}",
                pathlib.Path(self._folder.name),
            )
            for place in places
        ]
        self.endpoints: list[Endpoint] = []

    async def start(
        self, config: dict[str, t.Any], **fields: dict[str, t.Any]
    ) -> None:
        """Start everything and wait until all nodes are ready.

        :param fields: arguments of endpoints by service.
        """
        await self.store.listen()
        await self.store.put("op/config", config)
        for place in self.places:
            endpoint = Endpoint(
                self.record,
                self.store,
                place.service,
                (place.host, self.ports.app, place.zone),
                **fields.get(place.service, {}),
            )
            self.endpoints.append(endpoint)
            await endpoint.boot()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.until_ready()

    def end(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        for endpoint in self.endpoints:
            endpoint.reset()
        self.store.reset()
        self._folder.cleanup()


class Connection:
    """A client's kept connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> Message | str:
        """Send a request; return the whole answer, or why there is none."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._address, limit=LIMIT_BYTES
                    )
                first = f"{method} {path} HTTP/1.1"
                self._writer.write(encode(first, headers, body))
                answer = await read_message(
                    t.cast(asyncio.StreamReader, self._reader)
                )
        except TimeoutError:
            self.close()
            return "no answer in time"
        except ConnectionRefusedError:
            self.close()
            return "no connection"
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return "cut"
        if answer is None:
            self.close()
            return "cut"
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


def status_of(answer: Message | str) -> str:
    """Return the status of an answer, or why there is none."""
    if isinstance(answer, str):
        return answer.replace(" ", "_")
    return str(answer.status)


async def ask(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
    timeout_s: float,
) -> Message | str:
    """Send a request on a new connection."""
    connection = Connection(address)
    headers = {"Host": "a.example", **headers}
    answer = await connection.ask(method, path, headers, body, timeout_s)
    connection.close()
    return answer


def route(
    service: str, prefix: str, kind: str, **fields: t.Any
) -> dict[str, t.Any]:
    """Return a route of a configuration."""
    return {
        "host": "a.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": "3000ms",
        "target_latency": "1500ms",
        "priority": 1,
        "service": service,
        "retry_attempts": 2,
        "auth_exempt": False,
        **fields,
    }


def configuration(
    routes: dict[str, t.Any], services: t.Sequence[str], **fields: t.Any
) -> dict[str, t.Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": "r7",
        "routes": routes,
        "services": {
            name: {
                "health_path": "/healthz",
                "max_connections": 316,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        **fields,
    }


def run(case: t.Callable[[Record], t.Awaitable[bool]], file: str) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if not, else 2."""
    # So that all processes are ended in this case too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(pathlib.Path(file).resolve().parent)
    status = NOT_RUN
    try:
        status = BROKEN if asyncio.run(case(record)) else HELD
    except Exception:
        traceback.print_exc()
    record("ends", status=status, trouble=int(TROUBLE))
    sys.exit(status)
