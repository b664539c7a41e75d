"""Bodies in tiny chunks cost little memory, and no others their time.

An endpoint that answered in chunks of two bytes made a node hold 480 MB, its
loop 0.5 s late; a caller's body of 31 MB in such chunks made it hold 1.3 GB.
"""

import asyncio
import pathlib
import resource
import subprocess
import sys
import textwrap

from fakes import live_stops
import pytest
import test_endless
import uvloop

from savorytally.dataplane import callers
from savorytally.dataplane import exchanges
from savorytally.dataplane import options
from savorytally.dataplane import pool
from savorytally.dataplane import read_turns
from savorytally.decisions import memory_budget
from savorytally.world import catalog

BODY_BYTES = 2 << 20
SENDERS = 10
# Times the bodies that are received at once.
MEMORY_FACTOR = 3
# Sends bodies in tiny chunks on some connections; prints each status.
SENDER = textwrap.dedent("""
    import socket, sys, threading
    port, count, size = map(int, sys.argv[1:])
    piece = b"2\\r\\nab\\r\\n" * 4096

    def send():
        connection = socket.create_connection(("127.0.0.1", port))
        connection.sendall(
            b"POST /a HTTP/1.1\\r\\nhost: a\\r\\n"
            b"transfer-encoding: chunked\\r\\n\\r\\n"
        )
        for _ in range(size // 8192):
            connection.sendall(piece)
        connection.sendall(b"0\\r\\n\\r\\n")
        print(connection.recv(1000)[9:12].decode(), flush=True)

    threads = [threading.Thread(target=send) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
""")


class Handler:
    """Answers each request with the size of its body."""

    limits = catalog.RequestLimits()
    closing = False

    def __init__(self):
        self.bodies = []

    def handle(self, request):
        self.bodies.append(request.body)
        request.respond(200, [], b"%d" % len(request.body))

    def refuse(self, request, status, why):
        request.respond(status, [], why.encode(), close=True)

    def note_cut(self, requests):
        pass

    def note_unread(self, size):
        pass


async def serve(handler):
    """Serve callers on a port; return the server and the port."""
    turns, connections = read_turns.ReadTurns(), set()
    server = await asyncio.get_running_loop().create_server(
        lambda: callers.CallerConnection(handler, connections, turns),
        "127.0.0.1",
        0,
    )
    return server, server.sockets[0].getsockname()[1]


def run(work):
    """Run a coroutine on uvloop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work())


@pytest.mark.parametrize("senders", [1, SENDERS])
def test_bodies_of_callers_in_tiny_chunks(senders):
    """They are received whole, and others are answered meanwhile."""

    async def work():
        handler = Handler()
        server, port = await serve(handler)
        before = test_endless.resident_bytes()
        peak = {"bytes": before, "late_s": 0.0}
        watching = asyncio.ensure_future(test_endless.watch_process(peak))
        command = [sys.executable, "-c", SENDER]
        process = await asyncio.create_subprocess_exec(
            *command,
            *(str(port), str(senders), str(BODY_BYTES)),
            stdout=subprocess.PIPE,
        )
        others = pool.Pool(options.Address("127.0.0.1", port))
        statuses = []
        while len(handler.bodies) - len(statuses) < senders:
            reply = await test_endless.exchange(others, 5.0)
            statuses.append(reply.status)
        printed, _ = await process.communicate()
        watching.cancel()
        others.close()
        server.close()
        sizes = sorted(len(body) for body in handler.bodies)[-senders:]
        return statuses, printed.split(), sizes, peak, before

    statuses, printed, sizes, peak, before = run(work)
    assert printed == [b"200"] * senders
    assert sizes == [BODY_BYTES] * senders
    assert set(statuses) == {200}
    grown_bytes = peak["bytes"] - before
    assert grown_bytes < MEMORY_FACTOR * senders * BODY_BYTES + (16 << 20)
    assert peak["late_s"] < test_endless.LATE_MAX_S


def test_thirty_answers_in_tiny_chunks_delay_no_others():
    """The loop was 1.5 s late, and all others as long without an answer."""

    async def work(address):
        held = memory_budget.MemoryBudget(memory_budget.BUDGET_MAX_BYTES)
        turns = read_turns.ReadTurns()
        endless_ones = pool.Pool(address, held, turns)
        server, port = await serve(Handler())
        small = pool.Pool(options.Address("127.0.0.1", port), held, turns)
        before = test_endless.resident_bytes()
        peak = {"bytes": before, "late_s": 0.0}
        watching = asyncio.ensure_future(test_endless.watch_process(peak))
        bad = asyncio.gather(
            *(test_endless.exchange(endless_ones, 20.0) for _ in range(30))
        )
        good = []
        while not bad.done():
            good.append(await test_endless.exchange(small, 5.0))
        watching.cancel()
        server.close()
        return await bad, good, peak, before

    with test_endless.upstream("chunks of two bytes") as address:
        bad, good, peak, before = run(lambda: work(address))
    assert set(bad) == {exchanges.Broken.OVERSIZED}
    assert len(good) > 10
    assert {reply.status for reply in good} == {200}
    assert peak["bytes"] - before < test_endless.PROCESS_MAX_BYTES
    assert peak["late_s"] < test_endless.LATE_MAX_S


class Reader:
    """Counts a part for each byte."""

    def __init__(self, turns):
        self.turns = turns
        self.received = b""
        self.ended = 0
        self.held = False

    def parse(self, data):
        for _ in data:
            self.turns.count()
        self.received += bytes(data)
        return True

    def parsed(self):
        self.ended += 1

    def hold_reading(self, held):
        self.held = held


class TestReadTurns:
    def test_no_turn_parses_much_more_than_its_share(self):
        async def work():
            turns = read_turns.ReadTurns()
            readers = [Reader(turns) for _ in range(20)]
            data = bytes(range(250)) * 400
            most, before = 0, 0
            for reader in readers:
                turns.feed(reader, data)
            while any(reader.held for reader in readers):
                done = sum(len(reader.received) for reader in readers)
                most, before = max(most, done - before), done
                await asyncio.sleep(0)
            return readers, data, most

        readers, data, most = run(work)
        assert all(reader.received == data for reader in readers)
        assert [reader.ended for reader in readers] == [1] * 20
        assert most <= read_turns.TURN_PARTS + read_turns.PIECE_BYTES

    def test_short_message_waits_for_a_piece_of_each_at_most(self):
        async def work():
            turns = read_turns.ReadTurns()
            long, short = Reader(turns), Reader(turns)
            turns.feed(long, bytes(1 << 18))
            turns.feed(short, b"abc")
            rounds = 0
            while not short.ended:
                await asyncio.sleep(0)
                rounds += 1
            return rounds, len(long.received)

        rounds, received = run(work)
        assert rounds <= 3
        assert received <= 4 * read_turns.PIECE_BYTES

    @pytest.mark.parametrize("then", ["feed", "drop"])
    def test_reader_that_is_fed_or_dropped_while_it_parses(self, then):
        """A transport that is resumed may pass on data at once."""

        class Nested(Reader):
            def parse(self, data):
                first = not self.received
                super().parse(data)
                if first and then == "feed":
                    self.turns.feed(self, b"end")
                elif first:
                    self.turns.drop(self)
                return True

        async def work():
            turns = read_turns.ReadTurns()
            reader = Nested(turns)
            turns.feed(reader, b"a" * (3 * read_turns.PIECE_BYTES))
            for _ in range(10):
                await asyncio.sleep(0)
            return reader

        reader = run(work)
        whole = b"a" * (3 * read_turns.PIECE_BYTES) + b"end"
        if then == "drop":
            whole = b"a" * read_turns.PIECE_BYTES
        assert reader.received == whole
        assert not reader.held

    def test_end_of_a_connection_parses_what_waits(self):
        async def work():
            turns = read_turns.ReadTurns()
            reader, dropped = Reader(turns), Reader(turns)
            for one in (reader, dropped):
                turns.feed(one, bytes(1 << 16))
            turns.finish(reader)
            turns.drop(dropped)
            await asyncio.sleep(0)
            return len(reader.received), len(dropped.received)

        received, dropped = run(work)
        assert received == 1 << 16
        assert dropped < 1 << 16


@pytest.mark.live
def test_node_beside_an_endpoint_that_sends_tiny_chunks(tmp_path):
    """The process held 480 MB within the time of a route of 4 s."""

    async def work():
        config = live_stops.configuration(4.0)
        nodes = live_stops.LiveNodes(
            tmp_path, ("drawers", "desk", "cellar"), config
        )
        odd = nodes.upstreams[0]

        def fault(connection, name, answer):
            head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            connection.transport.write(head)
            write_tiny_chunks(connection.transport)

        async with nodes.running():
            record = live_stops.StopRecord(
                nodes, 4.0, lambda since_stop_s: 0.01
            )
            await record.warm_up()
            odd.fault = fault
            peak_bytes = 0
            began = asyncio.get_running_loop().time()
            sending = [
                asyncio.ensure_future(
                    record.send(f"odd-{number}", "drawers", 4.0)
                )
                for number in range(20)
            ]
            others = []
            while not all(one.done() for one in sending):
                others.append(await record.send("other", "desk", 4.0))
                peak_bytes = max(peak_bytes, resident_bytes(nodes.hosts[0]))
            took_s = asyncio.get_running_loop().time() - began
        statuses = {one.result().status for one in sending}
        return statuses, others, peak_bytes, took_s

    statuses, others, peak_bytes, took_s = run(work)
    assert statuses <= {502, 503}
    assert {sent.status for sent in others} == {200}
    assert max(sent.ended.result() - sent.at for sent in others) < 0.5
    assert peak_bytes < 150 << 20
    assert took_s < 4.0


def write_tiny_chunks(transport):
    """Send chunks of two bytes until the node closes the connection."""
    if transport.is_closing():
        return
    if transport.get_write_buffer_size() < 1 << 18:
        transport.write(b"2\r\nab\r\n" * 4096)
    asyncio.get_running_loop().call_later(0.001, write_tiny_chunks, transport)


def resident_bytes(host):
    """Return the resident memory of a host's node process."""
    path = pathlib.Path(f"/proc/{host.process.pid}/statm")
    return int(path.read_text().split()[1]) * resource.getpagesize()
