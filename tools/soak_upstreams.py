"""Upstreams of a soak: they make calls, crash, leave and are replaced."""

import asyncio
import itertools
import random
import time
import typing as t

from fakes import advertised
from fakes import mesh

from tools import soak_record
from tools import soak_wire

UPSTREAM_PORT = 8547
SLOTS = 8
QUEUE = 6
# Time after which an answer is sent a second time.
LATE_S = 0.03
# What is written on before the other end has read it.
UNREAD_MAX_BYTES = 1 << 18
# Services whose routes callers use, and those that are called below them.
TOP = ("drawers", "index", "desk")
BELOW = ("shelf", "ledger", "vault")
# Calls that a run of a route makes, one after the other.
CALLS = {
    "drawers": ("/shelf/1", "/shelf/2", "/shelf/3"),
    "index": ("/shelf/4", "/shelf/5", "/shelf/6"),
    "desk": ("/shelf/7", "/ledger/1"),
    "shelf": ("/vault/1", "/vault/2", "/vault/3"),
    "ledger": ("/vault/4", "/vault/5"),
}
_serials = itertools.count()


class Calls:
    """Calls of an upstream through the node beside it.

    :param host: the node's address.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._idle: list[soak_wire.Wire] = []

    async def send(self, call: soak_wire.Request) -> soak_wire.Reply:
        """Send a call; one that was not read is sent once more."""
        reply = soak_wire.Reply(soak_wire.End.NO_CONNECTION)
        for _ in range(2):
            wire = self._idle.pop() if self._idle else None
            if wire is None or not wire.reusable:
                wire = await soak_wire.Wire.open(self._host)
            if wire is None:
                return reply
            reply = await wire.send(call)
            if wire.reusable:
                self._idle.append(wire)
            if reply.end is not soak_wire.End.UNREAD:
                return reply
        return reply


class Connection(mesh.HttpServer):
    """A connection to an upstream; its request ends with it."""

    def __init__(self, answer: t.Callable[[t.Any], t.Any]) -> None:
        super().__init__(answer)
        self.task: asyncio.Task[None] | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.task is not None:
            self.task.cancel()

    def answer(self, answer: bytes) -> None:
        """Answer the request, if the connection is up."""
        self.task = None
        if not self.lost:
            self.transport.write(answer)

    def answer_later(self, answer: bytes, after_s: float) -> None:
        """Send an answer that belongs to an earlier request."""
        loop = asyncio.get_running_loop()
        loop.call_later(after_s, self._answer_again, answer)

    def _answer_again(self, answer: bytes) -> None:
        if not self.lost:
            self.transport.write(answer)


def _cut(transport: t.Any, answer: bytes) -> None:
    transport.write(answer[: len(answer) // 2])
    transport.close()


def _go_on(transport: t.Any, piece: bytes, pause_s: float) -> None:
    """Send a piece again and again, until the caller closes."""
    if transport.is_closing():
        return
    if transport.get_write_buffer_size() < UNREAD_MAX_BYTES:
        transport.write(piece)
    loop = asyncio.get_running_loop()
    loop.call_later(pause_s, _go_on, transport, piece, pause_s)


def _endless(transport: t.Any, answer: bytes) -> None:
    transport.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    _go_on(transport, b"10000\r\n" + bytes(1 << 16) + b"\r\n", 0.001)


def _trickle(transport: t.Any, answer: bytes) -> None:
    # Interim answers, so that something comes all the time.
    _go_on(transport, b"HTTP/1.1 102 Processing\r\n\r\n", 0.3)


_NOT_EXECUTED = mesh.response(503, b"", {"x-savorytally-not-executed": "1"})
# Refusals without need, and after what time they come a second time.
_REFUSALS: dict[str, float | None] = {
    "reject": None,
    "reject_twice": 0.0,
    "reject_late": LATE_S,
}
# What is done to an answer that is harmed.
_SPOILS: dict[str, t.Callable[[t.Any, bytes], None]] = {
    "lose": lambda transport, answer: transport.abort(),
    "cut": _cut,
    "garble": lambda transport, answer: transport.write(
        b"no answer at all\r\n\r\n"
    ),
    "endless": _endless,
    "trickle": _trickle,
}


class Upstream:
    """One start of an upstream, on an address that others use later.

    :param address: its address.
    :param instance_id: its identifier.
    :param service: what it serves.
    :param node: address of the node beside it.
    :param record: takes what it sees.
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
        self.work_s = 0.01
        self.leaving = False
        # Requests a second that it names in its answers, if it does.
        self.limit_per_s: float | None = None
        self.up = False
        self.node = node
        self.record = record
        self.random = random.Random(instance_id)
        # Part of the answers that is harmed, by what is done to them.
        self.harm: dict[str, float] = {}
        self._calls = Calls(node)
        self._room = asyncio.Semaphore(SLOTS)
        self._held = 0
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen; nothing is known of before."""
        self.leaving = False
        self.limit_per_s = None
        self.up = True
        self.born = int(time.time() * 1000)
        self._room = asyncio.Semaphore(SLOTS)
        self._held = 0
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connected, self.address, UPSTREAM_PORT, reuse_address=True
        )

    def end(self) -> None:
        """End at once, as in a crash."""
        self.up = False
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.drop_connections()

    def drop_connections(self, idle_only: bool = False) -> None:
        """End connections without notice."""
        for connection in list(self._connections):
            if connection.lost:
                self._connections.discard(connection)
            elif not (idle_only and connection.task is not None):
                connection.transport.abort()

    def _connected(self) -> Connection:
        connection = Connection(self._arrive)
        self._connections = {c for c in self._connections if not c.lost}
        self._connections.add(connection)
        return connection

    def _arrive(self, connection: t.Any) -> None:
        if connection.target == b"/healthz":
            told = {"x-savorytally-instance-id": self.instance_id}
            status = 503 if self.leaving else 200
            answer = mesh.response(status, b"", told)
            connection.transport.write(self._stating(answer))
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

    def _harmed(self, kind: str) -> bool:
        part = self.harm.get(kind, 0.0)
        return part > 0.0 and self.random.random() < part

    async def _handle(
        self, connection: Connection, target: str, given: dict[str, str]
    ) -> None:
        left_s = int(given.get("x-savorytally-deadline-ms", "3000")) / 1000
        end = asyncio.get_running_loop().time() + left_s
        meant = given.get("x-savorytally-expected-instance")
        if meant and meant != self.instance_id:
            told = {"x-savorytally-instance-id": self.instance_id}
            self._refuse(connection, given, mesh.response(421, b"", told))
            return
        harms = [kind for kind in _REFUSALS if self._harmed(kind)]
        if harms or self._held >= SLOTS + QUEUE:
            self._refuse(connection, given, _NOT_EXECUTED, *harms)
            return
        self._held += 1
        try:
            async with asyncio.timeout_at(end):
                await self._room.acquire()
            try:
                await self._run(connection, target, given, end)
            finally:
                self._room.release()
        except TimeoutError:
            self._refuse(connection, given, _NOT_EXECUTED)
        finally:
            self._held -= 1
            connection.task = None

    def _refuse(
        self,
        connection: Connection,
        given: dict[str, str],
        answer: bytes,
        *harms: str,
    ) -> None:
        """Answer without a run, and without the request's identifier."""
        self._note(given, ran=False)
        answer = self._stating(answer)
        connection.answer(answer)
        for kind, after_s in _REFUSALS.items():
            if kind in harms and after_s is not None:
                connection.answer_later(answer, after_s)

    async def _run(
        self,
        connection: Connection,
        target: str,
        given: dict[str, str],
        end: float,
    ) -> None:
        name = given.get("x-savorytally-attempt-id", "")
        arrival = self._note(given, ran=True)
        status = 0
        try:
            await asyncio.sleep(self.work_s * (0.5 + self.random.random()))
            status = await self._call_all(target, name, arrival, end)
        finally:
            self._ended(arrival, status, broke=not self.up)
        if self._harmed("fail"):
            status = 500
        echo = {
            "x-savorytally-attempt-id": name,
            mesh.SIGNATURE: f"sig-{name}",
        }
        closes = self.leaving or self._harmed("close")
        if closes:
            echo["connection"] = "close"
        answer = mesh.response(status, b"answer to " + name.encode(), echo)
        answer = self._stating(answer)
        for kind, spoil in _SPOILS.items():
            if self._harmed(kind):
                self._ended(arrival, 0, broke=True)
                spoil(connection.transport, answer)
                return
        self._ended(arrival, status, broke=False)
        connection.answer(answer)
        if self._harmed("twice"):
            connection.answer(answer)
        if self._harmed("late"):
            connection.answer_later(answer, LATE_S)
        if closes:
            connection.transport.close()

    async def _call_all(
        self, target: str, name: str, arrival: int, end: float
    ) -> int:
        """Make the calls of a run; return the run's status."""
        loop = asyncio.get_running_loop()
        for called in CALLS.get(target.split("/")[1], ()):
            left_s = end - loop.time()
            if left_s < 0.001:
                return 504
            child = f"{name}.{next(_serials) & 0xFFFF:04x}"
            call = soak_wire.Request(child, called, left_s, "", arrival)
            reply = soak_wire.Reply(soak_wire.End.TIMEOUT)
            try:
                reply = await self._calls.send(call)
            finally:
                self.record.sent.append(call.ended(self.node, reply))
            if reply.end is soak_wire.End.TIMEOUT:
                return 504
            if reply.status != 200:
                return 500
        return 200

    @property
    def start_id(self) -> str:
        """Names this start; identifiers may come again."""
        return f"{self.instance_id}@{self.born}"

    def _stating(self, answer: bytes) -> bytes:
        """Return an answer with what the upstream says of itself."""
        says = f"{soak_wire.START}: {self.start_id}\r\n"
        if self.limit_per_s is not None:
            says += f"{advertised.LIMIT}: {self.limit_per_s}\r\n"
        if self.leaving:
            says += f"{advertised.LEAVING}: 1\r\n"
        return answer.replace(b"\r\n", b"\r\n" + says.encode(), 1)

    def _note(self, given: dict[str, str], ran: bool) -> int:
        """Note an arrival and return its number."""
        meant = given.get("x-savorytally-expected-instance")
        self.record.arrivals.append(
            soak_record.Arrival(
                name=given.get("x-savorytally-attempt-id", ""),
                at=time.time(),
                service=self.service,
                host=self.node,
                instance=self.instance_id,
                ran=ran,
                headers=given,
                start=self.start_id if meant == self.instance_id else "",
            )
        )
        return len(self.record.arrivals) - 1

    def _ended(self, arrival: int, status: int, broke: bool) -> None:
        """Note how and when a run ended."""
        ended = soak_record.Ended(time.time(), status, broke)
        self.record.ends[arrival] = ended
