"""Upstreams and stores that send endless data until they are cut off."""

import asyncio
import contextlib
import logging
import pathlib
import resource
import subprocess
import sys
import time

from fakes import endless
from fakes import mesh
from fakes import net
import hypothesis
import hypothesis.strategies as st
import pytest

from savorytally import outcomes
from savorytally import ports
from savorytally.dataplane import exchanges
from savorytally.dataplane import frames
from savorytally.dataplane import options
from savorytally.dataplane import pool
from savorytally.dataplane import store_watch
from savorytally.decisions import memory_budget
from savorytally.http import platform as http_platform
from savorytally.http import upstream as http_upstream
from savorytally.platform import documents
from savorytally.platform import store

CONNECTION_MAX_BYTES = 16 << 20
PROCESS_MAX_BYTES = 64 << 20
LATE_MAX_S = 0.02
# Time within which endless data must be detected.
NOTICED_S = 2.0
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


def resident_bytes():
    """Return the resident memory of this process."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


@contextlib.contextmanager
def upstream(kind):
    """Serve endless responses from another process; yield its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "fakes.endless", kind],
        cwd=pathlib.Path(__file__).parent,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield options.Address("127.0.0.1", int(process.stdout.readline()))
    finally:
        process.kill()
        process.wait()


async def exchange(connections, wait_s=NOTICED_S):
    """Send a request; return its result, ``None`` after a timeout."""
    opened = asyncio.get_running_loop().create_future()
    connections.acquire(False, opened.set_result)
    connection = await opened
    ended = asyncio.get_running_loop().create_future()

    def done(used, result):
        connections.release(used)
        ended.set_result(result)

    connection.request(GET, lambda reply: True, done)
    try:
        async with asyncio.timeout(wait_s):
            return await ended
    except TimeoutError:
        connection.abort()
        return None


async def watch_process(peak):
    """Record the peak memory and the largest delay of the event loop.

    Time in which other processes occupied the CPU does not count.
    """
    loop = asyncio.get_running_loop()
    while True:
        before, worked = loop.time(), time.process_time()
        await asyncio.sleep(0.002)
        late_s = loop.time() - before - 0.002
        late_s = min(late_s, time.process_time() - worked)
        peak["late_s"] = max(peak["late_s"], late_s)
        peak["bytes"] = max(peak["bytes"], resident_bytes())


def measure(kind, count):
    """Send requests to an endless upstream.

    :return: the results, the memory growth in bytes, the largest delay of the
        loop in seconds and the memory budget.
    """

    async def work(address):
        held = memory_budget.MemoryBudget(memory_budget.BUDGET_MAX_BYTES)
        connections = pool.Pool(address, held)
        before = resident_bytes()
        peak = {"bytes": before, "late_s": 0.0}
        watching = asyncio.ensure_future(watch_process(peak))
        results = await asyncio.gather(
            *(exchange(connections) for _ in range(count))
        )
        watching.cancel()
        connections.close()
        return results, peak["bytes"] - before, peak["late_s"], held

    with upstream(kind) as address:
        return asyncio.run(work(address))


class TestConnection:
    @pytest.mark.parametrize("kind", sorted(endless.KINDS))
    def test_endless_response_is_broken_off(self, kind, caplog):
        """One connection used to grow the process by up to 1.4 GB in 2 s."""
        results, grown_bytes, late_s, held = measure(kind, 1)
        assert len(results) == 1
        assert isinstance(results[0], exchanges.Broken)
        # The body, plus the pieces that are being parsed.
        assert grown_bytes < CONNECTION_MAX_BYTES * 1.25
        assert late_s < LATE_MAX_S
        assert held.total_bytes == 0
        if results[0] is exchanges.Broken.OVERSIZED:
            assert "broken off" in caplog.text

    def test_fifty_endless_responses_do_not_affect_others(self):
        """Small responses on other connections remain complete."""

        async def work(address):
            held = memory_budget.MemoryBudget(memory_budget.BUDGET_MAX_BYTES)
            endless_ones = pool.Pool(address, held)
            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            small = pool.Pool(options.Address("127.0.0.1", port), held)
            before = resident_bytes()
            peak = {"bytes": before, "late_s": 0.0}
            watching = asyncio.ensure_future(watch_process(peak))
            bad = asyncio.gather(
                *(exchange(endless_ones, 10.0) for _ in range(50))
            )
            good = []
            while not bad.done():
                good.append(await exchange(small, 5.0))
            watching.cancel()
            return await bad, good, peak["bytes"] - before

        async def answer(reader, writer):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n"
                    + bytes(1000)
                )

        with upstream("chunked body") as address:
            bad, good, grown_bytes = asyncio.run(work(address))
        assert set(bad) == {exchanges.Broken.OVERSIZED}
        assert good
        assert {reply.status for reply in good} == {200}
        assert grown_bytes < PROCESS_MAX_BYTES

    def test_large_response_of_known_length_is_complete(self):
        body = bytes(exchanges.KNOWN_BODY_MAX_BYTES)

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
                + body
            )

        async def work():
            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            connections = pool.Pool(options.Address("127.0.0.1", port))
            reply = await exchange(connections, 10.0)
            connections.close()
            return reply

        assert asyncio.run(work()).body == body

    def test_too_large_content_length_is_rejected_at_once(self):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        length = exchanges.KNOWN_BODY_MAX_BYTES + 1
        results = feed_connection(
            lambda connection: connection.parse(head % length)
        )
        assert results == [exchanges.Broken.OVERSIZED]

    def test_body_in_chunks_of_one_byte_is_complete(self):
        def feed(connection):
            connection.parse(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            )
            for _ in range(1 << 14):
                connection.parse(b"1\r\na\r\n")
            connection.parse(b"0\r\n\r\n")
            connection._deliver()

        assert feed_connection(feed)[0].body == b"a" * (1 << 14)


class Transport:
    """A transport that records whether the connection was closed."""

    def __init__(self):
        self.ended = False

    def get_extra_info(self, name):
        return ("10.1.0.1", 80) if name == "peername" else None

    def write(self, data):
        pass

    def is_closing(self):
        return self.ended

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def abort(self):
        self.ended = True

    close = abort


def feed_connection(feed):
    """Feed a connection that waits for a response; return the results."""

    async def work():
        results = []
        connection = exchanges.Connection(lambda used: None)
        connection.connection_made(Transport())
        connection.request(
            GET,
            lambda reply: True,
            lambda used, result: results.append(result),
        )
        feed(connection)
        return results

    return asyncio.run(work())


class TestMemoryBudget:
    class Holder:
        def __init__(self, held):
            self.held = held
            self.given_up = False

        def give_up(self):
            self.given_up = True
            self.held.release(self)

    def test_largest_holder_is_dropped_first(self):
        held = memory_budget.MemoryBudget(100)
        small, large = self.Holder(held), self.Holder(held)
        held.grow(small, 30)
        held.grow(large, 60)
        held.grow(small, 20)
        assert (small.given_up, large.given_up) == (False, True)
        assert held.total_bytes == 50

    def test_limit_depends_on_the_process_memory(self):
        held = memory_budget.MemoryBudget.within(40 << 20)
        held.grow(self.Holder(held), 10 << 20)
        assert held.total_bytes == 10 << 20
        held.grow(self.Holder(held), 1)
        assert held.total_bytes <= 10 << 20


class TestNode:
    """A request to an endless upstream gets a truthful result in time."""

    def outcome(self, first, more):
        """Return the statuses of two requests, log lines and metrics."""

        async def scenario(cluster):
            host = cluster.hosts[0]
            lines = []
            host.node.log.event = lambda name, **fields: lines.append(
                (name, fields)
            )

            def arrive(connection):
                connection.transport.write(first)
                for _ in range(400):
                    connection.transport.write(more)

            host.upstream._arrive = arrive
            upstream = host.upstream
            cluster.net.servers[upstream.address, mesh.UPSTREAM_PORT] = (
                lambda: mesh.HttpServer(arrive)
            )
            reply = await cluster.send(host, method="POST", target="/desk/1")
            served = await cluster.send(cluster.hosts[1])
            metrics = host.node.counts.render()
            return reply.status, served.status, lines, metrics

        async def work():
            cluster = mesh.Mesh()
            await cluster.start({"desk": ["low-a"], "drawers": ["low-a"]})
            return await scenario(cluster)

        return net.run(work)

    @pytest.mark.parametrize("kind", ["chunked body", "many headers"])
    def test_endless_response_does_not_count_as_not_run(self, kind):
        status, served, lines, metrics = self.outcome(*endless.KINDS[kind])
        assert (status, served) == (502, 200)
        gate_lines = [fields for name, fields in lines if name == "gate"]
        assert gate_lines[0]["broken"] == exchanges.Broken.OVERSIZED.value
        assert b'savorytally_answers_broken_total{how="oversized"} 1' in (
            metrics
        )


class TestStore:
    """A store that sends an endless page or endlessly many pages."""

    def read(self, answer):
        async def work():
            class Once(mesh.Store):
                def _arrive(self, connection):
                    answer(self, connection)

            cluster = Once()
            await cluster.start()
            source = store.Store(mesh.STORE)
            return await source.snapshot(0)

        return net.run(work)

    def test_endless_page_is_rejected(self):
        def answer(cluster, connection):
            first, more = endless.KINDS["chunked body"]
            connection.transport.write(first)
            for _ in range(400):
                connection.transport.write(more)

        with pytest.raises(
            store_watch.Unavailable, match="larger than allowed"
        ):
            self.read(answer)

    @pytest.mark.parametrize("key", ["k", "after"])
    def test_endless_paging_is_rejected(self, key):
        pages = iter(range(10**9))

        def answer(cluster, connection):
            name = key if key == "k" else f"{key}-{next(pages):09}"
            page = {"items": [{"key": name}], "has_more": True}
            cluster._send(connection, page)

        with pytest.raises(store_watch.Unavailable, match="page"):
            self.read(answer)


anything = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(1 << 63), (1 << 64) - 1),
        st.floats(),
        st.text(max_size=4),
        st.binary(max_size=4),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=4), inner, max_size=4),
    ),
    max_leaves=8,
)


class TestParsers:
    """Arbitrary data from other processes raises only expected errors."""

    @hypothesis.given(st.lists(st.binary(max_size=200), max_size=5))
    def test_any_bytes_end_an_exchange_at_most_once(self, pieces):
        def feed(connection):
            for piece in pieces:
                connection.data_received(piece)
            connection.connection_lost(None)

        assert len(feed_connection(feed)) == 1

    @hypothesis.given(
        st.sampled_from(
            [first + again for first, again in endless.KINDS.values()]
        ),
        st.integers(0, 200),
        st.binary(max_size=20),
    )
    def test_damaged_responses_end_an_exchange_at_most_once(
        self, answer, at, damage
    ):
        def feed(connection):
            connection.data_received(answer[:at] + damage + answer[at:])
            connection.connection_lost(None)

        logging.disable()
        try:
            assert len(feed_connection(feed)) == 1
        finally:
            logging.disable(logging.NOTSET)

    @hypothesis.given(st.binary(max_size=200))
    def test_any_bytes_are_frames_or_malformed(self, data):
        with contextlib.suppress(frames.MalformedFrame):
            frames.Decoder().feed(data)

    @hypothesis.given(st.sampled_from(frames.Kind), st.lists(anything))
    def test_frames_of_any_fields_are_valid_or_malformed(self, kind, fields):
        data = frames.encode(kind, *fields)
        with contextlib.suppress(frames.MalformedFrame):
            (frame,) = frames.Decoder().feed(data)
            assert len(frame) == 1 + len(frames._FIELD_TYPES[kind])

    @hypothesis.given(st.binary(max_size=100))
    def test_any_bytes_are_documents_or_malformed(self, body):
        with contextlib.suppress(documents.Malformed):
            documents.configuration(body)
        with contextlib.suppress(documents.Malformed):
            documents.instance("servers/i", body)

    def test_deeply_nested_documents_are_malformed(self):
        for body in (b"[" * 200_000, b'{"a":' * 200_000):
            with pytest.raises(documents.Malformed):
                documents.configuration(body)
            with pytest.raises(documents.Malformed):
                documents.instance("servers/i", body)


class TestProduct:
    """The HTTP clients of upstreams and of the platform in the other node."""

    def measure(self, kind, work):
        """Return the result of some work and the memory growth."""

        async def run(url):
            before = resident_bytes()
            peak = {"bytes": before, "late_s": 0.0}
            watching = asyncio.ensure_future(watch_process(peak))
            found = await work(url)
            watching.cancel()
            return found, peak["bytes"] - before, peak["late_s"]

        with upstream(kind) as address:
            return asyncio.run(run(f"http://127.0.0.1:{address.port}"))

    @pytest.mark.parametrize("kind", sorted(endless.KINDS))
    def test_endless_upstream_response_is_broken_off(self, kind):
        async def work(url):
            client = http_upstream.HttpUpstream(url)
            sent = ports.UpstreamRequest("GET", "/drawers", "", (), b"")
            found = await client.exchange(sent, NOTICED_S)
            await client.close()
            return found

        found, grown_bytes, late_s = self.measure(kind, work)
        assert isinstance(found, outcomes.Failure)
        assert not found.code.not_run
        assert grown_bytes < CONNECTION_MAX_BYTES * 1.25
        assert late_s < LATE_MAX_S

    @pytest.mark.parametrize("kind", sorted(endless.KINDS))
    def test_endless_platform_response_is_broken_off(self, kind):
        async def work(url):
            reader = http_platform.HttpPlatform(url)
            try:
                await reader.read("configuration", 0, 0.0)
            except OSError as error:
                return error
            finally:
                await reader.close()

        found, grown_bytes, late_s = self.measure(kind, work)
        assert isinstance(found, OSError)
        assert grown_bytes < CONNECTION_MAX_BYTES * 1.25
        assert late_s < LATE_MAX_S
