"""What is no answer in the protocol never becomes one.

An endpoint in trouble sent status 000. It was read as an interim response: the
request got no answer, or the next one that followed on the connection.
"""

import asyncio

from fakes import mesh
from fakes import net
import pytest

from savorytally import outcomes
from savorytally import ports
from savorytally.dataplane import exchanges
from savorytally.dataplane import options
from savorytally.dataplane import pool
from savorytally.http import upstream

ADDRESS = "10.3.0.1"
PROTOCOLS = ("HTTP/1.1", "HTTP/1.0")
OTHER_PROTOCOLS = (
    *("HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/3.0", "HTTP/9.9"),
    *("RTSP/1.0", "RTSP/1.1", "RTSP/2.0", "ICE/1.0", "ICY/1.0", "http/1.1"),
)
SOUND = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound"
# All statuses of three digits, and some that have others.
STATUSES = [f"{number:03}" for number in range(1000)]
OTHER_STATUSES = ["0", "20", "2000", "-20", "+200", "2 0", "20x", "", "0200"]


def may_be_answer(protocol, status):
    """Return whether the status line is one of a final response."""
    return protocol in PROTOCOLS and status in STATUSES[200:600]


def is_interim(protocol, status):
    """Return whether a final response may follow; 101 ends the protocol."""
    return (
        protocol in PROTOCOLS and "100" <= status <= "199" and status != "101"
    )


async def exchange(answer, pieces=1):
    """Return what a client makes of the bytes that a server sends."""
    loop = asyncio.get_running_loop()

    def send(connection):
        size = len(answer) // pieces + 1
        for start in range(0, len(answer), size):
            connection.transport.write(answer[start : start + size])

    await loop.create_server(
        lambda: mesh.HttpServer(send), ADDRESS, mesh.UPSTREAM_PORT
    )
    opened = loop.create_future()
    address = options.Address(ADDRESS, mesh.UPSTREAM_PORT)
    connections = pool.Pool(address)
    connections.acquire(False, opened.set_result)
    ended = loop.create_future()
    (await opened).request(
        b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
        lambda reply: True,
        lambda used, result: ended.set_result((used.reusable, result)),
    )
    try:
        async with asyncio.timeout(1.0):
            return await ended
    except TimeoutError:
        return False, None
    finally:
        connections.close()


def heads():
    """Return status lines of all kinds."""
    for protocol in PROTOCOLS:
        for status in STATUSES + OTHER_STATUSES:
            yield protocol, status
    for protocol in OTHER_PROTOCOLS:
        for status in ("000", "100", "200", "404", "503"):
            yield protocol, status


@pytest.mark.parametrize("framing", ["content-length: 0\r\n", ""])
@pytest.mark.parametrize("follows", [b"", SOUND])
def test_no_other_status_line_is_an_answer(framing, follows):
    for protocol, status in heads():
        head = f"{protocol} {status} Any\r\n{framing}\r\n".encode()
        reusable, result = net.run(lambda sent=head + follows: exchange(sent))
        line = (protocol, status, result)
        if may_be_answer(protocol, status):
            if framing or status in ("204", "304"):
                assert getattr(result, "status", 0) == int(status), line
        elif is_interim(protocol, status):
            # Without a final response, the request waits. HTTP/1.0 knows no
            # interim ones, and what follows there is not read.
            expected = 200 if follows and protocol == "HTTP/1.1" else None
            assert getattr(result, "status", None) == expected, line
        else:
            assert result is exchanges.Broken.GARBLED, line
            assert not reusable, line


@pytest.mark.parametrize("pieces", [2, 3, 7, 40])
def test_status_lines_in_pieces_are_the_same(pieces):
    for status, expected in (("000", None), ("200", 200), ("600", None)):
        sent = f"HTTP/1.1 {status} Any\r\ncontent-length: 0\r\n\r\n".encode()
        _, result = net.run(lambda sent=sent: exchange(sent, pieces))
        assert getattr(result, "status", None) == expected
    for text in (b"RTSP/1.0 200 OK", b"ICY 200 OK", b"\r\nHTTP/1.1 200 OK"):
        sent = text + b"\r\ncontent-length: 0\r\n\r\n"
        _, result = net.run(lambda sent=sent: exchange(sent, pieces))
        assert result is exchanges.Broken.GARBLED


def play(status, kind="safe", odd_gate=False):
    """Return the statuses and times of requests beside one odd upstream."""

    async def scenario():
        config = mesh.configuration(1)
        config["routes"]["r-lookup"]["kind"] = kind
        cluster = mesh.Mesh()
        await cluster.start(
            {"drawers": ["low-a"] * 3, "desk": ["low-a"]}, config=config
        )
        odd = cluster.hosts[0]

        def fault(connection, name, answer):
            connection.transport.write(
                answer.replace(b"HTTP/1.1 200", b"HTTP/1.1 " + status)
            )

        if odd_gate:
            run = odd.node.gate.run

            def run_odd(call, on_result, sender=None):
                def change(result):
                    on_result(result._replace(status=int(status)))

                return run(call, change, sender)

            odd.node.gate.run = run_odd
        else:
            odd.upstream.fault = fault
        loop = asyncio.get_running_loop()
        found = []
        for _ in range(30):
            began = loop.time()
            reply = await cluster.send(cluster.hosts[3])
            found.append((reply.status, loop.time() - began))
        return found

    return net.run(scenario)


@pytest.mark.parametrize("odd_gate", [False, True])
@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
def test_request_with_such_an_answer_is_retried_or_fails_at_once(
    status, odd_gate
):
    """Callers waited until their time was over, or got the status."""
    safe = play(status, odd_gate=odd_gate)
    assert {code for code, _ in safe} == {200}
    assert max(took_s for _, took_s in safe) < 0.5
    unsafe = play(status, "unsafe", odd_gate)
    assert {code for code, _ in unsafe} == {200, 502}
    assert max(took_s for _, took_s in unsafe) < 0.5


@pytest.mark.parametrize(
    "line", ["HTTP/1.1 000", "HTTP/1.1 600", "HTTP/2.0 200", "RTSP/1.0 200"]
)
def test_client_of_the_product_takes_none_for_an_answer(line):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"{line} Any\r\ncontent-length: 0\r\n\r\n".encode())
        writer.write(SOUND)
        await reader.read()
        writer.close()

    async def work():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = upstream.HttpUpstream(f"http://127.0.0.1:{port}")
        request = ports.UpstreamRequest("GET", "/a", "", (), b"")
        found = await client.exchange(request, 2.0)
        await client.close()
        server.close()
        return found

    found = asyncio.run(work())
    assert isinstance(found, outcomes.Failure)
    assert not found.code.not_run
