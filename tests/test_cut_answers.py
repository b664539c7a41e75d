"""Answers that an upstream or a stream between nodes cuts at any byte.

A part of an answer must never reach the caller as a whole one, and a request
that ran must not be reported as not run.
"""

import asyncio
import contextlib
import dataclasses
import http.client
import io
import itertools
import random
import socket
import struct

from fakes import mesh
from fakes import net
import hypothesis
from hypothesis import strategies as st
import pytest

from savorytally import outcomes
from savorytally import ports
from savorytally import results
from savorytally.dataplane import exchanges
from savorytally.dataplane import frames
from savorytally.dataplane import health
from savorytally.dataplane import pool
from savorytally.dataplane import store_watch
from savorytally.http import platform
from savorytally.http import upstream
from savorytally.platform import headers
from savorytally.platform import store

# Answers that are larger are cut at some places only.
LARGE_BYTES = 1000
NOT_RUN_STATUSES = {408, 421, 429, 503}
TEXT = b"answer of 23 bytes, ok."
# The headers that make an answer deliverable come first, so that a cut in the
# rest of the head leaves them complete.
IDENTITY = (
    b"x-savorytally-attempt-id: NAME\r\n"
    b"x-savorytally-response-signature: sig-NAME\r\n"
)
LENGTH = b"content-length: 23\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
CHUNKS = b"6\r\nanswer\r\n11;a=b\r\n of 23 bytes, ok.\r\n0\r\n"


@dataclasses.dataclass(frozen=True)
class Shape:
    """An answer as it is sent.

    :param head: the bytes up to the blank line, with the request's identifier
        as ``NAME``.
    :param rest: the bytes after that.
    :param body: the body that they carry.
    :param unframed: whether the body ends with the connection.
    :param valid: whether the whole answer must be delivered; ``None`` if that
        is optional.
    :param refusal: whether it states that the request has not run.
    """

    head: bytes
    rest: bytes = TEXT
    body: bytes = TEXT
    unframed: bool = False
    valid: bool | None = True
    refusal: bool = False

    @property
    def status(self) -> int:
        """The status of the final response."""
        return int(self.head.rpartition(b"HTTP/1.")[2].split()[1])

    def encode(self, name: str) -> bytes:
        """Return the bytes of the answer to a request."""
        return self.head.replace(b"NAME", name.encode()) + self.rest

    def delivered(self, sent: bytes, name: str, reset: bool) -> bytes | None:
        """Return the body that ``sent`` carries if it is a whole answer."""
        whole = self.encode(name)
        rest_bytes = len(sent) - len(whole) + len(self.rest)
        if self.unframed:
            whole_now = rest_bytes >= 0 and not reset
            return self.rest[:rest_bytes] if whole_now else None
        return self.body if sent == whole else None


OK = b"HTTP/1.1 200 OK\r\n" + IDENTITY
SHAPES = {
    "length": Shape(OK + LENGTH + b"\r\n"),
    "length, closing": Shape(OK + b"connection: close\r\n" + LENGTH + b"\r\n"),
    "empty": Shape(OK + b"content-length: 0\r\n\r\n", b"", b""),
    "chunked": Shape(OK + CHUNKED + b"\r\n", CHUNKS + b"\r\n"),
    "trailers": Shape(
        OK + CHUNKED + b"\r\n", CHUNKS + b"a: b\r\nc: d\r\n\r\n"
    ),
    "unframed": Shape(OK + b"a: b\r\n\r\n", unframed=True),
    "unframed, HTTP/1.0": Shape(
        b"HTTP/1.0 200 OK\r\n" + IDENTITY + b"\r\n", unframed=True
    ),
    "no content": Shape(
        b"HTTP/1.1 204 No Content\r\n" + IDENTITY + b"a: b\r\n\r\n", b"", b""
    ),
    "not modified": Shape(
        b"HTTP/1.1 304 Not Modified\r\n" + IDENTITY + LENGTH + b"\r\n",
        b"",
        b"",
    ),
    "interim first": Shape(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
        + (IDENTITY + b"\r\n" + OK + LENGTH + b"\r\n")
    ),
    "long head": Shape(
        OK + b"".join(b"a%d: b\r\n" % n for n in range(20)) + LENGTH + b"\r\n"
    ),
    "large": Shape(
        OK + b"content-length: 300000\r\n\r\n", bytes(300000), bytes(300000)
    ),
    "large, unframed": Shape(
        OK + b"\r\n", bytes(300000), bytes(300000), unframed=True
    ),
    "error": Shape(
        b"HTTP/1.1 500 Any\r\n" + IDENTITY + LENGTH + b"\r\n", valid=None
    ),
    "bare line feeds": Shape(
        (OK + LENGTH + b"\r\n").replace(b"\r\n", b"\n"), valid=None
    ),
    "status line": Shape(b"HTTP/1.1 200 OK\r\n", b"", valid=False),
    "no headers": Shape(
        b"HTTP/1.1 200 OK\r\n\r\n", unframed=True, valid=False
    ),
    "two lengths": Shape(
        OK + LENGTH + b"content-length: 9\r\n\r\n", valid=False
    ),
    "length and chunks": Shape(
        OK + LENGTH + CHUNKED + b"\r\n", CHUNKS + b"\r\n", valid=False
    ),
    "refusal": Shape(
        b"HTTP/1.1 503 Any\r\nx-savorytally-not-executed: 1\r\n"
        + (LENGTH + b"\r\n"),
        refusal=True,
    ),
}


class Caller(asyncio.Protocol):
    """A caller's connection; ``ended`` is all that it received."""

    def __init__(self):
        self.ended = asyncio.get_running_loop().create_future()
        self._received = []

    def data_received(self, data):
        self._received.append(data)

    def connection_lost(self, exc):
        self.ended.set_result(b"".join(self._received))


class Wire(io.BytesIO):
    """Received bytes, readable as a socket and after the reply has ended."""

    def makefile(self, mode):
        return self

    def close(self):
        pass


class Mesh:
    """A host for callers and two whose upstreams cut their answers."""

    async def start(self):
        self.cluster = mesh.Mesh()
        safe = mesh.route("desk", prefix="/safe/")
        routes = mesh.configuration(1)["routes"] | {"r-safe": safe}
        await self.cluster.start(
            {"drawers": ["low-a"], "desk": ["low-a", "low-a"]},
            config=mesh.configuration(1, routes=routes),
        )
        self.entry, *self.hosts = self.cluster.hosts
        for host in self.hosts:
            host.upstream.write = self._write
        # Connections that have carried a whole answer, and the number of cut
        # answers on such connections.
        self.kept = set()
        self.cut_on_kept = 0
        # What cut answers consist of, and the bytes of the last one.
        self.shape = None
        self.size = 0
        self.reset = False
        self.piece_bytes = 1 << 20
        self.sent = b""
        self._count = 0

    def _write(self, connection, answer):
        transport = connection.transport
        if self.shape is None:
            self.kept.add(connection)
            transport.write(answer)
            return
        self.cut_on_kept += connection in self.kept
        name = connection.headers["x-savorytally-attempt-id"]
        self.sent = self.shape.encode(name)[: self.size]
        for start in range(0, len(self.sent), self.piece_bytes):
            transport.write(self.sent[start : start + self.piece_bytes])
        transport.abort() if self.reset else transport.close()

    async def send(self, run_once):
        """Send a request; return its name, the reply and the reply's body."""
        self._count += 1
        name = f"n{self._count:05d}"
        kind, method = ("desk", "POST") if run_once else ("safe", "GET")
        data = mesh.request(
            # A path of its own, so that no request counts as a crashing one.
            *(f"/{kind}/{name}", method, name, 2000, mesh.KEY, b""),
            {"connection": "close"},
        )
        loop = asyncio.get_running_loop()
        transport, caller = await loop.create_connection(
            Caller, self.entry.address, mesh.ENTRY_PORT
        )
        transport.write(data)
        received = Wire(await caller.ended)
        reply = http.client.HTTPResponse(received)
        reply.begin()
        framed = reply.status in (204, 304) or reply.length is not None
        assert framed, "the end of the connection ends the body"
        body = reply.read()
        assert not received.read(), "bytes follow the reply"
        if run_once:
            runs = [host.upstream.ran.count(name) for host in self.hosts]
            assert sum(runs) <= 1
            assert not (sum(runs) and reply.status in NOT_RUN_STATUSES)
        if reply.status < 400:
            assert reply.getheader("x-savorytally-attempt-id") == name
            assert reply.getheader(mesh.SIGNATURE) == f"sig-{name}"
        if reply.status < 400 and self.shape is None:
            assert body == b"answer to " + name.encode()
        return name, reply, body

    async def exchange(self, shape, size, reset, run_once):
        """Cut an answer after ``size`` bytes and check what callers get."""
        for host in self.hosts:
            host.upstream.rejects = lambda: shape.refusal
        self.shape, self.size, self.reset = shape, size, reset
        name, reply, body = await self.send(run_once)
        self.shape = None
        for host in self.hosts:
            host.upstream.rejects = lambda: False
        assert any(name in host.upstream.arrived for host in self.hosts)
        whole = shape.delivered(self.sent, name, reset)
        if reply.status < 400 or reply.getheader(mesh.SIGNATURE) is not None:
            assert shape.valid is not False and whole is not None
            assert (reply.status, body) == (shape.status, whole)
        elif whole is not None and shape.valid:
            assert reply.status == shape.status

    async def keep_connections(self, run_once):
        """Send requests until both hosts hold a connection that was used."""
        await self.send_whole(run_once)
        for _ in range(20):
            if all(host.node._upstream.has_idle for host in self.hosts):
                return
            await self.send_whole(run_once)

    async def send_whole(self, run_once):
        """Send a request whose answer is not cut."""
        _, reply, _ = await self.send(run_once)
        assert reply.status == 200


def run_scenario(scenario):
    """Run a scenario on a started mesh."""

    async def work():
        started = Mesh()
        await started.start()
        return await scenario(started)

    return net.run(work)


@st.composite
def shapes(draw):
    """Return a strategy of valid answers."""
    body = draw(st.binary(max_size=60))
    framing = draw(st.sampled_from(["length", "chunked", "unframed"]))
    head = [b"HTTP/1.1 103 Any\r\na: b\r\n\r\n"] * draw(st.integers(0, 2))
    lines = draw(st.lists(st.sampled_from([b"a: b\r\n", b"c:\r\n"])))
    rest = body
    if framing == "length":
        lines.append(b"content-length: %d\r\n" % len(body))
    elif framing == "chunked":
        lines.append(CHUNKED)
        step = draw(st.integers(1, 60))
        pieces = [body[i : i + step] for i in range(0, len(body), step)]
        rest = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)
        rest += b"0\r\n" + draw(st.sampled_from([b"", b"a: b\r\n"])) + b"\r\n"
    lines = draw(st.permutations([*lines, IDENTITY]))
    head += [b"HTTP/1.1 200 OK\r\n", *lines, b"\r\n"]
    return Shape(b"".join(head), rest, body, framing == "unframed")


class TestCutByTheUpstream:
    @pytest.mark.parametrize("kept", [False, True])
    @pytest.mark.parametrize("reset", [False, True])
    @pytest.mark.parametrize("kind", SHAPES)
    def test_part_of_an_answer_is_never_delivered_as_whole(
        self, kind, reset, kept
    ):
        shape = SHAPES[kind]
        whole_bytes = len(shape.encode("n00000"))
        sizes = range(whole_bytes + 1)
        if whole_bytes > LARGE_BYTES:
            chosen = random.Random(kind).sample(sizes, 60)
            sizes = [*chosen, whole_bytes - 1, whole_bytes]

        async def scenario(started):
            for size in sizes:
                run_once = (size + reset + kept) % 2 == 0
                if kept:
                    await started.keep_connections(run_once)
                await started.exchange(shape, size, reset, run_once)
            return started.cut_on_kept

        cut_on_kept = run_scenario(scenario)
        assert cut_on_kept > len(sizes) / 2 if kept else not cut_on_kept

    @hypothesis.given(
        shape=shapes(),
        part=st.floats(0, 1),
        piece_bytes=st.integers(1, 400),
        reset=st.booleans(),
        run_once=st.booleans(),
    )
    def test_part_of_a_generated_answer_is_never_delivered_as_whole(
        self, shape, part, piece_bytes, reset, run_once
    ):
        async def scenario(started):
            started.piece_bytes = piece_bytes
            whole_bytes = len(shape.encode("n00000"))
            for size in {int(whole_bytes * part), whole_bytes}:
                await started.send_whole(run_once)
                await started.exchange(shape, size, reset, run_once)

        run_scenario(scenario)


def cut_writes(transport, size, reset):
    """End a connection after ``size`` more bytes that this end sends.

    :return: a list that contains one item when that has happened.
    """
    write, passed, ended = transport.write, [], []

    def write_part(data):
        left = size - sum(passed)
        passed.append(len(data))
        write(bytes(data)[:left])
        if len(data) > left:
            transport.write = lambda data: None
            ended.append(transport)
            transport.abort() if reset else transport.close()

    transport.write = write_part
    return ended


class TestCutBetweenNodes:
    @pytest.mark.parametrize("answers", [False, True])
    @pytest.mark.parametrize("reset", [False, True])
    def test_part_of_a_frame_is_never_used(self, reset, answers):
        async def cut(started, size, run_once):
            """Return whether a stream was cut while it carried a request."""
            for host in started.hosts:
                started.entry.node.peers.send(host.address, frames.Kind.PING)
            # The hosts of the last cut stream are avoided for a time.
            await asyncio.sleep(1)
            ends = [
                end.other if answers else end
                for host in started.hosts
                for end in started.cluster.net.open[
                    host.address, mesh.PEER_PORT
                ]
                if not end.closed
            ]
            ended = [cut_writes(end, size, reset) for end in ends]
            _, reply, _ = await started.send(run_once)
            for end in ends:
                vars(end).pop("write", None)
            was_cut = any(ended)
            # A repeat at the other host may fit into the bytes that are left.
            if run_once or not was_cut:
                assert reply.status == (502 if was_cut else 200)
            return was_cut

        async def scenario(started):
            for size in itertools.count():
                cuts = [await cut(started, size, once) for once in (0, 1)]
                if not any(cuts):
                    return size

        assert run_scenario(scenario) > 90


class CuttingServer(asyncio.Protocol):
    """A server connection that sends part of an answer and ends."""

    def __init__(self, data, reset):
        self._data = data
        self._reset = reset

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._transport.write(self._data)
        end = self._transport.abort if self._reset else self._transport.close
        end()


class TestCutForTheNode:
    """Answers to requests that a node sends for itself."""

    @pytest.mark.parametrize("reset", [False, True])
    @pytest.mark.parametrize("framing", [LENGTH, CHUNKED, b"a: b\r\n"])
    def test_part_is_neither_a_health_answer_nor_a_read_of_the_store(
        self, framing, reset
    ):
        address = mesh.STORE
        page = b'{"items": [], "has_more": false, "current_rev": 7}'
        head = b"HTTP/1.1 200 OK\r\nx-savorytally-instance-id: i-1\r\n"
        if framing == LENGTH:
            framing = b"content-length: %d\r\n" % len(page)
        rest = page
        if framing == CHUNKED:
            rest = b"%x\r\n%s\r\n0\r\n\r\n" % (len(page), page)
        shape = Shape(
            head + framing + b"\r\n", rest, page, framing == b"a: b\r\n"
        )
        whole = shape.encode("")

        async def read(data):
            """Return whether a health check and a read have an answer."""
            loop = asyncio.get_running_loop()
            await loop.create_server(
                lambda: CuttingServer(data, reset), address.host, address.port
            )
            told = []
            checks = health.Health(
                headers.HEADER_NAMES,
                pool.Pool(address),
                lambda *advertised: told.append(advertised),
            )
            checks.learn_path("/healthz")
            good = loop.create_future()
            checks.check("i-1", good.set_result)
            serves = await good
            assert serves == bool(told)
            try:
                await store.Store(address).snapshot(1)
            except store_watch.Unavailable:
                return serves, False
            return serves, True

        for size in range(len(whole) + 1):
            data = whole[:size]
            body = shape.delivered(data, "", reset)
            seen = net.run(lambda data=data: read(data))
            assert seen == (body is not None, body == page)


@contextlib.asynccontextmanager
async def server_of(answer):
    """Run a server that passes each request to ``answer``; yield its URL."""

    async def accept(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await answer(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()


SENT = ports.UpstreamRequest("GET", "/", "", (), b"")


async def cut_on_sockets(shape, sizes, reset):
    """Return the sizes at which a client took a part for a whole answer."""
    taken = []

    async def send_part(writer):
        writer.write(part)
        await writer.drain()
        if reset:
            # The client reads all that was sent before the reset.
            await asyncio.sleep(0.002)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.close()

    async with server_of(send_part) as url:
        for size in sizes:
            part = shape.encode("")[:size]
            whole = shape.delivered(part, "", reset)
            client = upstream.HttpUpstream(url)
            answer = await client.exchange(SENT, 5.0)
            await client.close()
            reader = platform.HttpPlatform(url)
            try:
                value = await reader.read("name", 0, 1.0)
            except OSError:
                value = None
            await reader.close()
            if isinstance(answer, outcomes.Answer) and answer.body != whole:
                taken.append((size, answer))
            if value is not None and value.body != whole:
                taken.append((size, value))
            if shape.valid and whole is not None:
                assert isinstance(answer, outcomes.Answer)
                assert (value is not None) == (answer.status == 200)
    return taken


class TestCutOnSockets:
    """Answers that the clients of :mod:`savorytally.http` read."""

    @pytest.mark.parametrize("reset", [False, True])
    @pytest.mark.parametrize("kind", SHAPES)
    def test_part_is_neither_an_answer_nor_a_value_of_the_platform(
        self, run, kind, reset
    ):
        shape = SHAPES[kind]
        version = b"-signature: sig-NAME\r\nvalue-version: 7"
        head = shape.head.replace(b"-signature: sig-NAME", version)
        shape = dataclasses.replace(shape, head=head)
        whole_bytes = len(shape.encode(""))
        step = 1 + whole_bytes // 20
        sizes = [*range(0, whole_bytes, step), whole_bytes - 1, whole_bytes]
        assert not run(cut_on_sockets(shape, sizes, reset))

    def test_closed_client_does_not_complete_a_body_without_length(self, run):
        async def send_half(writer):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")

        async def work():
            async with server_of(send_half) as url:
                client = upstream.HttpUpstream(url)
                task = asyncio.ensure_future(client.exchange(SENT, 5.0))
                await asyncio.sleep(0.1)
                await client.close()
                return await task

        assert run(work()).code is results.ANSWER_TRUNCATED

    def test_value_without_version_is_a_failed_read(self, run):
        async def send_unversioned(writer):
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        async def work():
            async with server_of(send_unversioned) as url:
                reader = platform.HttpPlatform(url)
                try:
                    await reader.read("name", 0, 1.0)
                finally:
                    await reader.close()

        with pytest.raises(OSError, match="no header 'Value-Version'"):
            run(work())


def test_closed_pool_does_not_complete_a_body_without_length():
    async def scenario():
        loop = asyncio.get_running_loop()
        address = mesh.STORE
        await loop.create_server(
            lambda: mesh.HttpServer(
                lambda connection: connection.transport.write(
                    b"HTTP/1.1 200 OK\r\n\r\nhalf"
                )
            ),
            address.host,
            address.port,
        )
        connections, ended = pool.Pool(address), loop.create_future()
        connections.acquire(
            False,
            lambda connection: connection.request(
                b"GET / HTTP/1.1\r\n\r\n",
                lambda reply: True,
                lambda used, result: ended.set_result(result),
            ),
        )
        await asyncio.sleep(0.1)
        connections.close()
        return await ended

    assert net.run(scenario) is exchanges.Broken.TRUNCATED
