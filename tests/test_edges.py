"""Tests of a node's HTTP interfaces to callers and upstreams."""

import asyncio
import json

import aiohttp
from fakes import documents
from fakes import meshes
import pytest

from savorytally import defaults
from savorytally import results
from savorytally.http import server
from savorytally.parts import headers
from savorytally.peer import codec

KEY = documents.key_of("org1")
AUTHORISED = {"Authorization": f"Bearer {KEY}"}


async def send_raw(port, data):
    """Send bytes to a port; return status line and JSON document."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    body = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), json.loads(body)


def with_mesh(work, services=("browse", "checklist")):
    """Return a coroutine function that runs ``work`` on a started mesh."""

    async def wrapped(free_port):
        mesh = await meshes.start(free_port, list(services))
        try:
            return await work(mesh)
        finally:
            await mesh.stop()

    return wrapped


class TestMalformedRequests:
    @pytest.mark.parametrize(
        "data",
        [
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET /checklist/pull HTTP/9.9.9\r\n\r\n",
            b"GET /checklist/pull HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
            b"GET /checklist/pull HTTP/1.1\r\nHost: a\r\nA: %s\r\n\r\n"
            % (b"x" * 70000),
            b"GET /a/b HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
            b"POST /sightings/report HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nnot a size\r\n",
            b"GET /checklist/pull/../report HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET /checklist/pull/%2e%2e/report HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET /checklist/pull/..%5creport HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET /checklist/pull/a%0d%0ab HTTP/1.1\r\nHost: a\r\n\r\n",
        ],
    )
    def test_error_has_a_result_code(self, run, free_port, data):
        async def work(mesh):
            port = int(mesh.entry_urls["browse-0"].rsplit(":", 1)[1])
            return await send_raw(port, data)

        status, document = run(with_mesh(work, ["browse"])(free_port))
        assert status == 400
        assert document["code"] == results.MALFORMED_REQUEST.number
        assert document["detail"]

    def test_oversized_body_is_rejected(self, run, free_port):
        async def work(mesh):
            port = int(mesh.entry_urls["browse-0"].rsplit(":", 1)[1])
            head = b"POST /a/b HTTP/1.1\r\nHost: a\r\nContent-Length: %d"
            length = defaults.BODY_MAX_BYTES + 1
            return await send_raw(port, head % length + b"\r\n\r\n")

        status, document = run(with_mesh(work, ["browse"])(free_port))
        assert status == 413, document
        assert document["code"] == results.BODY_TOO_LARGE.number

    def test_exception_in_the_handler_is_answered(self, run, free_port):
        async def fail(request):
            raise ValueError("broken")

        async def work():
            port = free_port()
            served = server.RequestServer(fail)
            await served.start("127.0.0.1", port)
            received = await send_raw(
                port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            await served.stop()
            return received

        status, document = run(work())
        assert status == results.OUTCOME_UNKNOWN.http_status
        assert document["code"] == results.OUTCOME_UNKNOWN.number


class TestHeaders:
    def test_key_reaches_no_upstream_in_any_header(self, run, free_port):
        async def work(mesh):
            url = mesh.entry_urls["browse-0"] + "/checklist/pull/valley"
            sent = {
                **AUTHORISED,
                "X-Api-Key": KEY,
                "Cookie": f"session={KEY}",
                "X-Copy": f"a{KEY}b",
                f"X-{KEY}": "1",
                "Proxy-Authorization": KEY,
                "X-Kept": "yes",
            }
            async with aiohttp.ClientSession() as session:
                async with session.get(url, headers=sent) as response:
                    assert response.status == 200
            return mesh.upstreams["checklist-1"].seen[0]

        seen = run(with_mesh(work)(free_port))
        text = f"{seen.raw_headers} {seen.path_qs}".lower()
        assert KEY not in text
        assert seen.headers["X-Kept"] == "yes"

    def test_key_is_in_no_frame_and_no_log_line(
        self, run, free_port, monkeypatch, capfd
    ):
        frames = []
        encode = codec.encode

        def record_frame(message, version):
            frames.append(encode(message, version))
            return frames[-1]

        async def work(mesh):
            url = mesh.entry_urls["browse-0"]
            sent = {**AUTHORISED, "Cookie": KEY, "X-Copy": KEY}
            async with aiohttp.ClientSession() as session:
                for path in ("/checklist/pull", f"/checklist/pull/{KEY}"):
                    async with session.get(url + path, headers=sent):
                        pass
                basic_authorization = {"Authorization": f"Basic {KEY}"}
                async with session.get(
                    url + "/x/y", headers=basic_authorization
                ):
                    pass

        monkeypatch.setattr(codec, "encode", record_frame)
        run(with_mesh(work)(free_port))
        assert any(b"pull" in frame for frame in frames)
        assert not any(KEY.encode() in frame for frame in frames)
        captured = capfd.readouterr()
        assert KEY not in captured.err + captured.out

    def test_key_in_the_path_is_rejected(self, run, free_port):
        async def work(mesh):
            url = mesh.entry_urls["browse-0"] + "/checklist/pull/"
            percent_encoded = KEY.replace("-", "%2d")
            codes = []
            async with aiohttp.ClientSession() as session:
                for suffix in (
                    KEY,
                    percent_encoded,
                    f"a?k={KEY}",
                    f"a?k={percent_encoded}",
                ):
                    async with session.get(
                        url + suffix, headers=AUTHORISED
                    ) as response:
                        codes.append((await response.json())["code"])
            return codes, mesh.upstreams["checklist-1"].seen

        codes, seen = run(with_mesh(work)(free_port))
        assert set(codes) == {results.KEY_MISPLACED.number}
        assert not seen

    def test_percent_encoding_is_preserved(self, run, free_port):
        async def work(mesh):
            port = int(mesh.entry_urls["browse-0"].rsplit(":", 1)[1])
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"GET /checklist/pull/a%20b%2Fc?q=%26x HTTP/1.1\r\nHost: a\r\n"
                b"Authorization: Bearer " + KEY.encode()
            )
            writer.write(b"\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return mesh.upstreams["checklist-1"].seen[0].raw_path

        path = run(with_mesh(work)(free_port))
        assert path == "/pull/a%20b%2Fc?q=%26x"

    def test_hop_by_hop_headers_are_not_forwarded(self):
        received = (
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Upgrade", "x"),
            ("Via", "1.1 a"),
        )
        assert headers.end_to_end(received) == (("Via", "1.1 a"),)


class TestCallerDisconnect:
    def test_whole_call_tree_is_cancelled(self, run, free_port):
        async def work():
            mesh = await meshes.start(
                free_port,
                ["browse", "checklist"],
                children={"browse": "/checklist/pull"},
            )
            upstream = mesh.upstreams["checklist-1"]
            upstream.service_s = 60.0
            url = mesh.entry_urls["checklist-1"] + "/browse/species"
            async with aiohttp.ClientSession() as session:
                task = asyncio.ensure_future(
                    session.get(url, headers=AUTHORISED)
                )
                while not upstream.seen:
                    await asyncio.sleep(0.01)
                task.cancel()
                await asyncio.wait([task])
            gates = [item.node.gate for item in mesh.nodes.values()]
            while any(gate.policy.running for gate in gates):
                await asyncio.sleep(0.01)
            running = [len(item.node.tokens) for item in mesh.nodes.values()]
            slots = upstream._slots
            while slots._value < 8:
                await asyncio.sleep(0.01)
            await mesh.stop()
            return running, upstream.executed

        assert run(work()) == ([0, 0], 0)
