"""Simulated upstreams of a soak run, which make calls and inject faults."""

import asyncio
import itertools
import random
import socket
import struct
import time
import typing as t

from fakes import advertised
from fakes import mesh

from tools import soak_client
from tools import soak_record

UPSTREAM_PORT = 8547
SLOTS = 8
QUEUE_MAX = 6
# Delay of a duplicate response.
DUPLICATE_DELAY_S = 0.03
# Unsent bytes above which no more is written.
WRITE_BUFFER_MAX_BYTES = 1 << 18
# Statuses that no answer in the protocol has.
ODD_STATUSES = (b"000", b"001", b"099", b"600", b"999")
# Services that callers request, and services that those call.
ENTRY_SERVICES = ("drawers", "index", "desk")
CALLED_SERVICES = ("shelf", "ledger", "vault")
# Calls that one run of a service makes, one after another.
CALLS_BY_SERVICE = {
    "drawers": ("/shelf/1", "/shelf/2", "/shelf/3"),
    "index": ("/shelf/4", "/shelf/5", "/shelf/6"),
    "desk": ("/shelf/7", "/ledger/1"),
    "shelf": ("/vault/1", "/vault/2", "/vault/3"),
    "ledger": ("/vault/4", "/vault/5"),
}
# The calls of long work are long work too.
CALLS_BY_SERVICE |= {
    f"{service}{soak_record.LONG}": tuple(
        "{}{}/{}".format(call[: call.rindex("/")], soak_record.LONG, call[-1])
        for call in calls
    )
    for service, calls in CALLS_BY_SERVICE.items()
}
# Length of slow work, up to and beyond the grace period of a stop, and how
# much of the work is slow in a spell of it. Little of the short work is, so
# that the slots of the upstream suffice for the rest.
SLOW_WORK_S = (0.5, 8.0)
SLOW_FRACTION = 0.002
SLOW_ENTRY_FRACTION = 0.6
# Few calls of long work are slow, so that nodes expect them to be short.
SLOW_CALL_FRACTION = 0.25
_serials = itertools.count()


class OutgoingCalls:
    """Makes the calls of an upstream through the node on its host.

    :param host: address of the node.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._idle: list[soak_client.ClientConnection] = []

    async def send(self, call: soak_client.Request) -> soak_client.Response:
        """Send a call, once more if the node did not read it."""
        result = soak_client.Response(soak_client.End.NO_CONNECTION)
        for _ in range(2):
            connection = self._idle.pop() if self._idle else None
            if connection is None or not connection.reusable:
                connection = await soak_client.ClientConnection.open(
                    self._host
                )
            if connection is None:
                return result
            result = await connection.send(call)
            if connection.reusable:
                self._idle.append(connection)
            if result.end is not soak_client.End.UNREAD:
                return result
        return result


class Connection(mesh.HttpServer):
    """A connection to an upstream; its loss cancels the running request."""

    def __init__(self, handle: t.Callable[[t.Any], t.Any]) -> None:
        super().__init__(handle)
        self.task: asyncio.Task[None] | None = None
        self._aborted = False

    def connection_made(self, transport: t.Any) -> None:
        super().connection_made(transport)
        if self._aborted:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.task is not None:
            self.task.cancel()

    def abort(self) -> None:
        """Abort the connection, at once or when it is established."""
        self._aborted = True
        if self.transport is not None:
            self.transport.abort()

    def respond(self, response: bytes) -> None:
        """Respond to the request, if the connection is open."""
        self.task = None
        if not self.lost:
            self.transport.write(response)

    def respond_later(self, response: bytes, after_s: float) -> None:
        """Send a duplicate response, which may follow a later request."""
        loop = asyncio.get_running_loop()
        loop.call_later(after_s, self._write_if_open, response)

    def _write_if_open(self, response: bytes) -> None:
        if not self.lost:
            self.transport.write(response)


def _truncate(transport: t.Any, response: bytes) -> None:
    """End at any byte of the head or the body, by FIN or by RST."""
    drawn = random.Random(response)
    transport.write(response[: drawn.randrange(len(response))])
    if drawn.random() < 0.5:
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    transport.close()


def _write_repeatedly(transport: t.Any, piece: bytes, pause_s: float) -> None:
    """Send the same bytes repeatedly until the node closes."""
    if transport.is_closing():
        return
    if transport.get_write_buffer_size() < WRITE_BUFFER_MAX_BYTES:
        transport.write(piece)
    loop = asyncio.get_running_loop()
    loop.call_later(pause_s, _write_repeatedly, transport, piece, pause_s)


def _endless(transport: t.Any, response: bytes) -> None:
    transport.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    _write_repeatedly(
        transport, b"10000\r\n" + bytes(1 << 16) + b"\r\n", 0.001
    )


def _tiny_chunks(transport: t.Any, response: bytes) -> None:
    transport.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    _write_repeatedly(transport, b"2\r\nab\r\n" * (1 << 12), 0.001)


def _odd_status(transport: t.Any, response: bytes) -> None:
    """Send a status that is none, and perhaps the sound response after it."""
    drawn = random.Random(response)
    version, _, rest = response.split(b" ", 2)
    status = drawn.choice(ODD_STATUSES)
    transport.write(b" ".join((version, status, rest)))
    if drawn.random() < 0.5:
        transport.write(response)


def _trickle(transport: t.Any, response: bytes) -> None:
    # Interim responses keep data arriving without an end.
    _write_repeatedly(transport, b"HTTP/1.1 102 Processing\r\n\r\n", 0.3)


_NOT_EXECUTED = mesh.response(503, b"", {"x-savorytally-not-executed": "1"})
# Injected rejections, with the delay of a duplicate response in seconds or
# None without one.
_REJECTION_DELAYS_S: dict[str, float | None] = {
    "reject": None,
    "reject_twice": 0.0,
    "reject_late": DUPLICATE_DELAY_S,
}
# Faults injected into a response.
_RESPONSE_FAULTS: dict[str, t.Callable[[t.Any, bytes], None]] = {
    "lose": lambda transport, response: transport.abort(),
    "cut": _truncate,
    "garble": lambda transport, response: transport.write(
        b"no answer at all\r\n\r\n"
    ),
    "endless": _endless,
    "tiny_chunks": _tiny_chunks,
    "odd_status": _odd_status,
    "trickle": _trickle,
}


class Upstream:
    """A simulated upstream, whose address others may reuse later.

    :param address: address to listen on.
    :param instance_id: instance identifier.
    :param service: service that it serves.
    :param node: address of the node on its host.
    :param record: where arrivals and calls are recorded.
    """

    def __init__(
        self,
        address: str,
        instance_id: str,
        service: str,
        node: str,
        record: soak_record.Record,
    ) -> None:
        self.address = address
        self.instance_id = instance_id
        self.service = service
        self.slots = SLOTS
        self.born = int(time.time() * 1000)
        # Number of the heartbeat that wrote the entry in the store.
        self.sequence = 0
        self.work_s = 0.01
        self.draining = False
        # Unix times until which some work is slow, by route.
        self.slow_until: dict[str, float] = {}
        # Rate limit that its responses advertise, None for no limit.
        self.limit_per_s: float | None = None
        self.up = False
        # Unix time until which it tolerates few requests only.
        self.cold_until = 0.0
        self.node = node
        self.record = record
        self.random = random.Random(instance_id)
        # Probability of each kind of fault.
        self.fault_probability: dict[str, float] = {}
        self._calls = OutgoingCalls(node)
        self._slots = asyncio.Semaphore(SLOTS)
        self._admitted = 0
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def cold_ms(self) -> int:
        """How much longer it is cold, in milliseconds."""
        return max(0, int((self.cold_until - time.time()) * 1000))

    async def start(self, cold: bool = False) -> None:
        """Start a new incarnation, without any state of the last one.

        :param cold: whether it starts during traffic.
        """
        if cold:
            now = time.time()
            self.cold_until = now + soak_record.COLD_START_S
        self.draining = False
        self.limit_per_s = None
        self.up = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._admitted = 0
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, self.address, UPSTREAM_PORT, reuse_address=True
        )
        if cold:
            self.record.cold_spells.append(
                soak_record.ColdSpell(self.incarnation_id, self.cold_until)
            )

    def end(self) -> None:
        """Stop at once, as in a crash."""
        self.up = False
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.drop_connections()

    def drop_connections(self, idle_only: bool = False) -> None:
        """Abort connections.

        :param idle_only: whether connections with a request are kept.
        """
        for connection in list(self._connections):
            if connection.lost:
                self._connections.discard(connection)
            elif not (idle_only and connection.task is not None):
                connection.abort()

    def _accept(self) -> Connection:
        connection = Connection(self._receive)
        self._connections = {c for c in self._connections if not c.lost}
        self._connections.add(connection)
        return connection

    def _receive(self, connection: t.Any) -> None:
        if connection.target == b"/healthz":
            identity = {"x-savorytally-instance-id": self.instance_id}
            if self.cold_ms:
                identity["x-savorytally-cold-ms"] = str(self.cold_ms)
            status = 503 if self.draining else 200
            response = mesh.response(status, b"", identity)
            connection.transport.write(self._with_advertisements(response))
            return
        task = asyncio.ensure_future(
            self._handle(
                connection,
                connection.target.decode(),
                dict(connection.headers),
            )
        )
        connection.task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _draw_fault(self, kind: str) -> bool:
        probability = self.fault_probability.get(kind, 0.0)
        return probability > 0.0 and self.random.random() < probability

    async def _handle(
        self, connection: Connection, target: str, headers: dict[str, str]
    ) -> None:
        left_s = int(headers.get("x-savorytally-deadline-ms", "3000")) / 1000
        end = asyncio.get_running_loop().time() + left_s
        expected = headers.get("x-savorytally-expected-instance")
        if expected and expected != self.instance_id:
            identity = {"x-savorytally-instance-id": self.instance_id}
            self._reject(
                connection, headers, mesh.response(421, b"", identity)
            )
            return
        faults = [
            kind for kind in _REJECTION_DELAYS_S if self._draw_fault(kind)
        ]
        if faults or self._admitted >= SLOTS + QUEUE_MAX:
            self._reject(connection, headers, _NOT_EXECUTED, *faults)
            return
        self._admitted += 1
        try:
            async with asyncio.timeout_at(end):
                await self._slots.acquire()
            try:
                await self._run(connection, target, headers, end)
            finally:
                self._slots.release()
        except TimeoutError:
            self._reject(connection, headers, _NOT_EXECUTED)
        finally:
            self._admitted -= 1
            connection.task = None

    def _reject(
        self,
        connection: Connection,
        headers: dict[str, str],
        response: bytes,
        *faults: str,
    ) -> None:
        """Respond without a run and without the attempt's identifier."""
        self._record_arrival(headers, ran=False)
        response = self._with_advertisements(response)
        connection.respond(response)
        for kind, after_s in _REJECTION_DELAYS_S.items():
            if kind in faults and after_s is not None:
                connection.respond_later(response, after_s)

    async def _run(
        self,
        connection: Connection,
        target: str,
        headers: dict[str, str],
        end: float,
    ) -> None:
        name = headers.get("x-savorytally-attempt-id", "")
        arrival = self._record_arrival(headers, ran=True)
        status = 0
        try:
            async with asyncio.timeout_at(end):
                await self._work(target.split("/")[1])
            status = await self._call_all(target, name, arrival, end)
        except TimeoutError:
            status = 504
        finally:
            self._record_end(arrival, status, broke=not self.up)
        if self._draw_fault("fail"):
            status = 500
        echo = {
            "x-savorytally-attempt-id": name,
            mesh.SIGNATURE: f"sig-{name}",
        }
        closes = self.draining or self._draw_fault("close")
        if closes:
            echo["connection"] = "close"
        response = mesh.response(status, b"answer to " + name.encode(), echo)
        response = self._with_advertisements(response)
        if connection.transport.is_closing():
            return
        for kind, inject in _RESPONSE_FAULTS.items():
            if self._draw_fault(kind):
                self._record_end(arrival, 0, broke=True)
                inject(connection.transport, response)
                return
        self._record_end(arrival, status, broke=False)
        connection.respond(response)
        if self._draw_fault("twice"):
            connection.respond(response)
        if self._draw_fault("late"):
            connection.respond_later(response, DUPLICATE_DELAY_S)
        if closes:
            connection.transport.close()

    async def _work(self, route: str) -> None:
        """Work for a while, of a length that depends on route and time."""
        fraction = SLOW_FRACTION
        if route.endswith(soak_record.LONG):
            entered = self.service in ENTRY_SERVICES
            fraction = SLOW_ENTRY_FRACTION if entered else SLOW_CALL_FRACTION
        work_s = self.work_s * (0.5 + self.random.random())
        if (
            time.time() < self.slow_until.get(route, 0.0)
            and self.random.random() < fraction
        ):
            shortest_s, longest_s = SLOW_WORK_S
            ratio = longest_s / shortest_s
            work_s = shortest_s * ratio ** self.random.random()
        await asyncio.sleep(work_s)

    async def _call_all(
        self, target: str, name: str, arrival: int, end: float
    ) -> int:
        """Make the calls of a run and return the status of the run."""
        loop = asyncio.get_running_loop()
        route = target.split("/")[1]
        for number, called in enumerate(CALLS_BY_SERVICE.get(route, ())):
            if number and route.endswith(soak_record.LONG):
                # Calls of long work are made at any time of a stop.
                async with asyncio.timeout_at(end):
                    await self._work(route)
            left_s = end - loop.time()
            if left_s < 0.001:
                return 504
            child = f"{name}.{next(_serials) & 0xFFFF:04x}"
            call = soak_client.Request(child, called, left_s, "", arrival)
            result = soak_client.Response(soak_client.End.TIMEOUT)
            try:
                result = await self._calls.send(call)
            finally:
                self.record.sent.append(call.to_record(self.node, result))
            if result.end is soak_client.End.TIMEOUT:
                return 504
            if result.status != 200:
                return 500
        return 200

    @property
    def incarnation_id(self) -> str:
        """Identifier of this run of the process.

        A restarted upstream keeps its instance identifier.
        """
        return f"{self.instance_id}@{self.born}"

    def _with_advertisements(self, response: bytes) -> bytes:
        """Return a response with the headers that the upstream advertises."""
        headers = (
            f"{soak_client.INCARNATION_HEADER}: {self.incarnation_id}\r\n"
        )
        if self.limit_per_s is not None:
            headers += f"{advertised.LIMIT}: {self.limit_per_s}\r\n"
        if self.draining:
            headers += f"{advertised.LEAVING}: 1\r\n"
        # After the others, so that a head that is cut within them is signed.
        end = f"\r\n{headers}\r\n".encode()
        return response.replace(b"\r\n\r\n", end, 1)

    def _record_arrival(self, headers: dict[str, str], ran: bool) -> int:
        """Record an arrival and return its index."""
        expected = headers.get("x-savorytally-expected-instance")
        self.record.arrivals.append(
            soak_record.Arrival(
                name=headers.get("x-savorytally-attempt-id", ""),
                at=time.time(),
                service=self.service,
                host=self.node,
                instance=self.instance_id,
                ran=ran,
                headers=headers,
                start=self.incarnation_id
                if expected == self.instance_id
                else "",
            )
        )
        return len(self.record.arrivals) - 1

    def _record_end(self, arrival: int, status: int, broke: bool) -> None:
        """Record the end of a run."""
        ended = soak_record.RunEnd(time.time(), status, broke)
        self.record.run_ends[arrival] = ended
