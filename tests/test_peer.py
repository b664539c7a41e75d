"""Tests of calls over peer streams that fail in different ways."""

import asyncio
import dataclasses
import random

from fakes import peers
import pytest

from savorytally import defaults
from savorytally import outcomes
from savorytally import ports
from savorytally import results
from savorytally.peer import codec
from savorytally.peer import identity
from savorytally.peer import messages
from savorytally.peer import server


async def complete_first_call(pair):
    """Open the stream by a first call."""
    assert (await pair.call(1)).outcome.body == b"call-1-"


class TestLostStream:
    def test_retained_answer_arrives_after_an_unresponsive_stream(
        self, run, free_port
    ):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.gate.release.clear()
            waiting = pair.call(2)
            await peers.until(lambda: 2 in pair.gate.ran)
            pair.proxy.silence()
            pair.gate.release.set()
            result = await waiting
            await pair.stop()
            return result, pair.gate.ran

        result, ran = run(work())
        assert result.outcome.body == b"call-2-"
        assert ran == [1, 2]

    def test_call_lost_in_transit_is_reported_as_not_run(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.proxy.silence()
            first = pair.proxy.connections[0]
            result = await pair.call(2)
            first.release()
            await asyncio.sleep(0.05)
            await pair.stop()
            return result, pair.gate.ran

        result, ran = run(work())
        assert result.outcome.code is results.RESOLVED_NOT_RUN
        assert ran == [1]

    def test_running_call_is_answered_on_the_current_stream(
        self, run, free_port
    ):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.gate.release.clear()
            waiting = [pair.call(number) for number in range(2, 12)]
            await peers.until(lambda: len(pair.gate.ran) == 11)
            pair.proxy.cut()
            await peers.until(lambda: len(pair.proxy.connections) == 1)
            await asyncio.sleep(0.05)
            pair.gate.release.set()
            received = await asyncio.gather(*waiting)
            await pair.stop()
            return received, pair.gate.ran

        received, ran = run(work())
        bodies = [item.outcome.body for item in received]
        assert bodies == [b"call-%d-" % number for number in range(2, 12)]
        assert ran == list(range(1, 12))

    def test_cancellation_lost_with_its_stream_is_resent(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.gate.release.clear()
            waiting = pair.call(2)
            await peers.until(lambda: 2 in pair.gate.ran)
            pair.proxy.silence()
            waiting.cancel()
            async with asyncio.timeout(10):
                await peers.until(lambda: pair.server.outstanding == 0)
            connections = len(pair.proxy.connections)
            await pair.stop()
            return connections

        assert run(work()) == 2

    def test_restarted_host_makes_the_outcome_unknown(self, run, free_port):
        async def work():
            port = free_port()
            pair = await peers.start(port)
            await complete_first_call(pair)
            pair.gate.release.clear()
            waiting = pair.call(2)
            await peers.until(lambda: 2 in pair.gate.ran)
            await pair.server.stop()
            successor = server.PeerServer(
                identity.Identity("right", 2),
                peers.handlers(pair.gate.run, pair.inbox),
            )
            await successor.listen("127.0.0.1", port)
            result = await waiting
            await pair.stop()
            await successor.stop()
            return result, pair.gate.ran

        result, ran = run(work())
        assert result.outcome.code is results.OUTCOME_UNKNOWN
        assert ran == [1, 2]

    def test_unresponsive_host_makes_the_outcome_unknown(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.proxy.silence()
            pair.proxy.silent_on_accept = True
            waiting = pair.call(2)
            result = await waiting
            refused = await pair.call(3)
            await pair.stop()
            return result, refused

        result, refused = run(work())
        assert result.outcome.code is results.OUTCOME_UNKNOWN
        assert refused.outcome.code is results.NOT_DISPATCHED

    @pytest.mark.parametrize(
        "odd", [{"peer_port": 70_000}, {"address": "\ud800"}]
    )
    def test_call_to_an_odd_address_fails_at_once(self, run, free_port, odd):
        """The first attempt to connect was never known to have ended."""

        async def work():
            pair = await peers.start(free_port())
            target = dataclasses.replace(pair.target, **odd)
            async with asyncio.timeout(defaults.CONNECT_TIMEOUT_S + 0.5):
                result = await pair.links.call(target, peers.call(1))
            await pair.stop()
            return result

        assert run(work()).outcome.code is results.NOT_DISPATCHED

    def test_call_to_an_unreachable_host_fails_at_once(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            await pair.proxy.stop()
            received = [(await pair.call(number)) for number in (1, 2)]
            await pair.stop()
            return received

        received = run(work())
        codes = {item.outcome.code for item in received}
        assert codes == {results.NOT_DISPATCHED}


class TestDamagedFrames:
    def test_duplicated_and_reordered_answers_are_reassembled(
        self, run, free_port
    ):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.gate.body_bytes = 3 * defaults.RESPONSE_CHUNK_BYTES + 5
            pair.proxy.copies = 2
            pair.proxy.shuffle = random.Random(7)
            waiting = [pair.call(number) for number in range(2, 8)]
            received = await asyncio.gather(*waiting)
            await pair.stop()
            return received, pair.gate

        received, gate = run(work())
        for number, item in enumerate(received, 2):
            expected = b"call-%d-" % number
            assert item.outcome.body == expected.ljust(gate.body_bytes, b".")
        assert sorted(gate.ran) == list(range(1, 8))

    def test_duplicated_call_frame_runs_once(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            raw = await RawPeer.open(pair.proxy.port)
            raw.send(peers.call(5))
            raw.send(peers.call(5))
            await raw.receive(messages.AnswerHead)
            raw.send(messages.Heartbeat(1, False))
            await raw.receive(messages.Heartbeat)
            await pair.stop()
            return pair.gate.ran

        assert run(work()) == [5]

    def test_call_received_after_its_resolve_query_never_runs(
        self, run, free_port
    ):
        async def work():
            pair = await peers.start(free_port())
            raw = await RawPeer.open(pair.proxy.port)
            raw.send(messages.Resolve(5, 1))
            answered = await raw.receive(messages.CallFailed)
            raw.send(peers.call(5))
            answered_again = await raw.receive(messages.CallFailed)
            await pair.stop()
            return answered.code, answered_again.code, pair.gate.ran

        expected = results.RESOLVED_NOT_RUN.number
        assert run(work()) == (expected, expected, [])

    def test_malformed_frame_closes_its_stream_only(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.gate.release.clear()
            waiting = pair.call(2)
            raw = await RawPeer.open(pair.proxy.port)
            raw.writer.write(b"\x00\x00\x00\x03abc")
            ended = await raw.reader.read()
            pair.gate.release.set()
            result = await waiting
            await pair.stop()
            return ended, result, len(pair.proxy.connections)

        ended, result, _ = run(work())
        assert ended == b""
        assert result.outcome.body == b"call-2-"

    def test_call_without_a_hello_is_not_run(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", pair.proxy.port
            )
            writer.write(codec.encode(peers.call(5), 1))
            ended = await reader.read()
            await pair.stop()
            return ended, pair.gate.ran

        assert run(work()) == (b"", [])


class TestEndedCalls:
    def test_exception_in_the_gate_is_answered(self, run, free_port):
        async def fail(call):
            raise ValueError("broken")

        async def work():
            pair = await peers.start(free_port(), fail)
            result = await pair.call(1)
            await pair.stop()
            return result

        assert run(work()).outcome.code is results.OUTCOME_UNKNOWN

    def test_cancelled_call_returns_its_unused_retries(self, run, free_port):
        started = asyncio.Event()

        async def withdrawn(call):
            started.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError as error:
                failure = outcomes.Failure(
                    results.CANCELLED_AFTER_START, retries_unused=2
                )
                raise ports.CallCancelled(failure) from error

        async def work():
            pair = await peers.start(free_port(), withdrawn)
            late = asyncio.get_running_loop().create_future()
            call = asyncio.ensure_future(
                pair.links.call(pair.target, peers.call(1), late.set_result)
            )
            await started.wait()
            call.cancel()
            result = await late
            await pair.stop()
            return result.outcome, call.cancelled()

        outcome, cancelled = run(work())
        assert cancelled
        assert outcome.code is results.CANCELLED_AFTER_START
        assert outcome.retries_unused == 2

    def test_call_cancelled_before_its_task_starts_is_answered(
        self, run, free_port
    ):
        async def work():
            pair = await peers.start(free_port())
            raw = await RawPeer.open(pair.proxy.port)
            raw.writer.write(
                codec.encode(peers.call(5), 1)
                + codec.encode(messages.Cancel(5), 1)
            )
            failed = await raw.receive(messages.CallFailed)
            await pair.stop()
            return failed, pair.gate.ran

        failed, ran = run(work())
        assert failed.code == results.CANCELLED_BEFORE_START.number
        assert failed.retries_unused == 3
        assert ran == []

    def test_calls_of_a_sender_that_left_are_cancelled(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.gate.release.clear()
            waiting = pair.call(2)
            await peers.until(lambda: 2 in pair.gate.ran)
            pair.links.close()
            await peers.until(lambda: pair.server.outstanding == 0)
            await pair.stop()
            return (await waiting).outcome.code

        assert run(work()) is results.OUTCOME_UNKNOWN


class TestBounds:
    def test_calls_on_a_congested_stream_fail_at_once(self, run, free_port):
        async def work():
            pair = await peers.start(free_port())
            await complete_first_call(pair)
            pair.proxy.connections[0].writers[0].transport.pause_reading()
            body = b"x" * (1 << 20)
            waiting = []
            for number in range(2, 40):
                waiting.append(pair.call(number, body=body))
                await asyncio.sleep(0.01)
            refused = [task for task in waiting if task.done()]
            codes = {task.result().outcome.code for task in refused}
            for task in waiting:
                task.cancel()
            await pair.stop()
            return codes

        assert run(work()) == {results.NOT_DISPATCHED}

    def test_answers_to_a_slow_reader_are_buffered_within_bounds(
        self, run, free_port
    ):
        async def work():
            pair = await peers.start(free_port())
            pair.gate.body_bytes = defaults.RESPONSE_MAX_BYTES
            raw = await RawPeer.open(pair.proxy.port)
            pair.proxy.connections[0].writers[1].transport.pause_reading()
            for number in range(1, 6):
                raw.send(peers.call(number))
            await peers.until(lambda: len(pair.gate.ran) == 5)
            await asyncio.sleep(0.1)
            (session,) = pair.server._sessions
            buffered_bytes = session._stream._transport.get_write_buffer_size()
            await pair.stop()
            return buffered_bytes

        bound = defaults.STREAM_BUFFER_BYTES + 2 * defaults.FRAME_MAX_BYTES
        assert run(work()) <= bound


class RawPeer:
    """A peer whose frames the test sends and receives one by one."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self._splitter = codec.FrameSplitter()
        self._frames = []

    @classmethod
    async def open(cls, port, incarnation=9):
        raw = cls(*await asyncio.open_connection("127.0.0.1", port))
        raw.send(identity.Identity("raw", incarnation).hello())
        await raw.receive(messages.Hello)
        return raw

    def send(self, message):
        self.writer.write(codec.encode(message, 1))

    async def receive(self, kind):
        while True:
            while self._frames:
                message = self._frames.pop(0).message
                if isinstance(message, kind):
                    return message
            data = await self.reader.read(1 << 16)
            assert data, "stream ended"
            self._frames += self._splitter.feed(data)
