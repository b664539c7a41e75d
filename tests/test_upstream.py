"""Tests of HTTP exchanges with an upstream whose connections fail.

The result code must show whether the request may have run.
"""

import asyncio

from fakes import upstream as stand_ins
import pytest

from savorytally import defaults
from savorytally import outcomes
from savorytally import ports
from savorytally import results
from savorytally.decisions import advertised_state
from savorytally.http import upstream
from savorytally.parts import headers

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


class ScriptedUpstream:
    """An upstream that answers each request with the next step of a script.

    A step is the bytes to send and what becomes of the connection then:
    ``open``, ``close`` or ``reset``.
    """

    def __init__(self, *steps):
        self.received = 0
        self.connections = 0
        self._steps = list(steps)
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _accept(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return
            self.received += 1
            data, then = self._steps.pop(0)
            writer.write(data)
            if then == "reset":
                writer.transport.abort()
                return
            if then == "close":
                writer.close()
                return


def request(method="GET", **fields):
    default_fields = {
        "path": "/species",
        "query": "",
        "headers": (),
        "body": b"",
    }
    return ports.UpstreamRequest(method, **{**default_fields, **fields})


async def exchanges(script, count=1, timeout_s=5.0, **fields):
    """Return the outcomes of successive exchanges with an upstream."""
    client = upstream.HttpUpstream(await script.start())
    received = [
        await client.exchange(request(**fields), timeout_s)
        for _ in range(count)
    ]
    await client.close()
    await script.stop()
    return received


class TestSingleExchange:
    @pytest.mark.parametrize(
        ("data", "then", "code"),
        [
            (b"", "close", results.UPSTREAM_BROKEN),
            (b"", "reset", results.UPSTREAM_BROKEN),
            (b"HTTP/1.1 200", "close", results.UPSTREAM_BROKEN),
            (b"no protocol\r\n\r\n", "close", results.UPSTREAM_BROKEN),
            (ANSWER[:-1], "close", results.ANSWER_TRUNCATED),
            (ANSWER[:-1], "reset", results.ANSWER_TRUNCATED),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"5\r\nwhole\r\n",
                "close",
                results.ANSWER_TRUNCATED,
            ),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                % (defaults.RESPONSE_MAX_BYTES + 1),
                "open",
                results.ANSWER_TOO_LARGE,
            ),
        ],
    )
    def test_result_code_shows_how_far_the_exchange_got(
        self, run, data, then, code
    ):
        script = ScriptedUpstream((data, then))
        (outcome,) = run(exchanges(script))
        assert outcome.code is code
        assert script.received == 1

    def test_refused_connection_counts_as_not_run(self, run, free_port):
        async def work():
            url = f"http://127.0.0.1:{free_port()}"
            client = upstream.HttpUpstream(url)
            outcome = await client.exchange(request(), 5.0)
            await client.close()
            return outcome

        assert run(work()).code is results.NOT_DISPATCHED

    def test_passed_deadline_counts_as_run(self, run):
        script = ScriptedUpstream((b"", "open"))
        (outcome,) = run(exchanges(script, timeout_s=0.1))
        assert outcome.code is results.DEADLINE_PASSED

    def test_deadline_without_a_connection_counts_as_not_run(self, run):
        async def work():
            script = ScriptedUpstream((b"", "open"))
            client = upstream.HttpUpstream(await script.start(), 1)
            first = asyncio.ensure_future(client.exchange(request(), 0.3))
            await asyncio.sleep(0.05)
            second = await client.exchange(request(), 0.1)
            await first
            await client.close()
            await script.stop()
            return second, script.received

        outcome, received = run(work())
        assert outcome.code is results.DEADLINE_TOO_SHORT
        assert received == 1


class TestReusedConnection:
    @pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
    @pytest.mark.parametrize("then", ["close", "reset"])
    def test_request_on_a_broken_connection_is_not_retried(
        self, run, method, then
    ):
        script = ScriptedUpstream(
            (ANSWER, "open"), (b"", then), (ANSWER, "open")
        )
        received = run(exchanges(script, count=2, method=method))
        assert isinstance(received[0], outcomes.Answer)
        assert received[1].code is results.UPSTREAM_BROKEN
        assert script.received == 2
        assert script.connections == 1

    def test_closed_connection_is_replaced(self, run):
        script = ScriptedUpstream((ANSWER, "close"), (ANSWER, "open"))

        async def work():
            client = upstream.HttpUpstream(await script.start())
            first = await client.exchange(request(), 5.0)
            await asyncio.sleep(0.05)
            second = await client.exchange(request(), 5.0)
            await client.close()
            await script.stop()
            return first, second

        first, second = run(work())
        assert first.body == second.body == b"whole"
        assert script.connections == 2

    def test_duplicate_answer_is_not_used_for_the_next_request(self, run):
        other = ANSWER.replace(b"whole", b"other")
        script = ScriptedUpstream((ANSWER, "open"), (other, "open"))

        async def work():
            client = upstream.HttpUpstream(await script.start())
            first = await client.exchange(request(), 5.0)
            script._writers[0].write(ANSWER)
            await asyncio.sleep(0.05)
            second = await client.exchange(request(), 5.0)
            await client.close()
            await script.stop()
            return first.body, second.body

        assert run(work()) == (b"whole", b"other")
        assert (script.received, script.connections) == (2, 2)


class TestCancelled:
    def test_cancelled_exchange_closes_its_connection(self, run):
        async def work():
            script = ScriptedUpstream((b"", "open"))
            client = upstream.HttpUpstream(await script.start())
            task = asyncio.ensure_future(client.exchange(request(), 5.0))
            while not script.received:
                await asyncio.sleep(0.01)
            (writer,) = script._writers
            task.cancel()
            await asyncio.wait([task])
            while not writer.is_closing():
                await asyncio.sleep(0.01)
                writer.write(b" ")
            await client.close()
            await script.stop()
            return task.cancelled()

        assert run(work())


def test_advertisement_headers_are_part_of_the_answer(run, free_port):
    async def scenario():
        port = free_port()
        stand_in = stand_ins.Upstream()
        stand_in.advertised_headers = {
            "Server-Limit": "2.6",
            "Server-Leaving": "1",
        }
        await stand_in.start("127.0.0.1", port)
        client = upstream.HttpUpstream(f"http://127.0.0.1:{port}")
        answer = await client.exchange(request(), 1.0)
        await client.close()
        await stand_in.stop()
        return headers.advertised(answer.headers)

    assert run(scenario()) == advertised_state.Advertisement(2.6, True)
