"""A planned stop under load cuts off no request."""

import asyncio
import collections
import socket

import aiohttp
from fakes import documents
from fakes import meshes
from fakes import peers

from savorytally import outcomes
from savorytally import results
from savorytally.http import server

ANSWERED = results.ANSWERED.number
LEAVING = results.HOST_LEAVING.number
RATE_S = 0.004


class Load:
    """Sends one report after the other and records the results.

    :param url: an entry's URL.
    """

    def __init__(self, url):
        self.codes = collections.Counter()
        self.answered = []
        self.refused = []
        self.cut = []
        self._url = url
        self._tasks = set()
        self._stopped = False

    async def run(self):
        """Send until stopped, then wait for the last results."""
        number = 0
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            while not self._stopped:
                number += 1
                task = asyncio.ensure_future(self._send(session, number))
                self._tasks.add(task)
                await asyncio.sleep(RATE_S)
            await asyncio.gather(*self._tasks)

    def stop(self):
        """Send no more requests."""
        self._stopped = True

    async def _send(self, session, number):
        organisation = f"org{number % 8}"
        sent = {
            "Authorization": f"Bearer {documents.key_of(organisation)}",
            "Idempotency-Key": f"k{number}",
        }
        url = f"{self._url}/sightings/report/{number}"
        try:
            async with session.post(url, headers=sent) as response:
                code = int(response.headers["Savorytally-Result-Code"])
                whole = await response.text()
        except aiohttp.ClientConnectorError:
            return
        except aiohttp.ClientError:
            self.cut.append(number)
            return
        self.codes[code] += 1
        if code == ANSWERED:
            assert whole.startswith(f"POST /report/{number} ")
            self.answered.append(number)
        elif code // 1000 == 1:
            self.refused.append(number)
        else:
            self.cut.append(number)


def executions(mesh):
    """Return how often each report reached an upstream."""
    return collections.Counter(
        int(request.path.rsplit("/", 1)[1])
        for item in mesh.upstreams.values()
        for request in item.seen
    )


def only_answered_or_not_run(codes):
    """Return whether each result is a response or excludes a run.

    Which refusals occur depends on the admission policy in use.
    """
    return all(
        code == ANSWERED or results.by_number(code).not_run for code in codes
    )


async def stop_under_load(free_port, stopped, entry):
    """Stop a host under load; return the load and the executions."""
    mesh = await meshes.start(
        free_port, ["browse", "sightings", "sightings"], upstream_slots=100
    )
    for item in mesh.upstreams.values():
        item.service_s = 0.4
    load = Load(mesh.entry_urls[entry])
    running = asyncio.ensure_future(load.run())
    gate_policy = mesh.nodes["sightings-2"].node.gate.policy
    async with asyncio.timeout(20):
        await peers.until(lambda: load.answered and gate_policy.waiting > 5)
    await mesh.nodes.pop(stopped).stop()
    load.stop()
    await running
    ran = executions(mesh)
    await mesh.stop()
    return load, ran


class TestStop:
    def test_gate_finishes_running_and_refuses_waiting_requests(
        self, run, free_port
    ):
        load, ran = run(stop_under_load(free_port, "sightings-2", "browse-0"))
        assert load.cut == []
        assert set(load.answered) == set(ran)
        assert max(ran.values()) == 1
        assert not set(load.refused) & set(ran)
        assert load.codes[LEAVING] > 0

    def test_entry_responds_to_all_accepted_requests(self, run, free_port):
        load, ran = run(stop_under_load(free_port, "browse-0", "browse-0"))
        assert load.cut == []
        assert set(load.answered) == set(ran)
        assert max(ran.values()) == 1
        assert load.codes[LEAVING] > 0
        assert only_answered_or_not_run(load.codes)

    def test_response_during_a_stop_closes_its_connection(
        self, run, free_port
    ):
        """Callers used to send further requests on it until it was closed."""

        async def scenario():
            release = asyncio.Event()

            async def handle(request):
                await release.wait()
                return outcomes.Answer(200, (), b"whole")

            entry = server.RequestServer(handle)
            port = free_port()
            await entry.start("127.0.0.1", port)
            url = f"http://127.0.0.1:{port}/sightings"
            async with aiohttp.ClientSession() as session:
                sending = asyncio.ensure_future(session.get(url))
                async with asyncio.timeout(5):
                    await peers.until(lambda: entry.active)
                entry.leave()
                release.set()
                async with await sending as response:
                    connection_header = response.headers.get("Connection")
            await entry.stop()
            return connection_header

        assert run(scenario()) == "close"

    def test_response_during_a_stop_reaches_a_slow_reader(
        self, run, free_port
    ):
        size = 1 << 20

        async def scenario():
            release = asyncio.Event()

            async def handle(request):
                await release.wait()
                return outcomes.Answer(200, (), bytes(size))

            entry = server.RequestServer(handle)
            port = free_port()
            await entry.start("127.0.0.1", port)
            loop = asyncio.get_running_loop()
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
                caller.setblocking(False)
                await loop.sock_connect(caller, ("127.0.0.1", port))
                request = b"GET /sightings HTTP/1.1\r\nHost: a\r\n\r\n"
                await loop.sock_sendall(caller, request)
                async with asyncio.timeout(5):
                    await peers.until(lambda: entry.active)
                entry.leave()
                release.set()
                await asyncio.sleep(0.1)
                await loop.sock_sendall(caller, request)
                await asyncio.sleep(0.1)
                read = 0
                while piece := await loop.sock_recv(caller, 1 << 16):
                    read += len(piece)
            await entry.stop()
            return read

        assert run(scenario()) > size

    def test_stop_waits_for_a_caller_that_reads_its_response(
        self, run, free_port
    ):
        size = 8 << 20

        async def scenario():
            async def handle(request):
                return outcomes.Answer(200, (), bytes(size))

            entry = server.RequestServer(handle)
            port = free_port()
            await entry.start("127.0.0.1", port)
            loop = asyncio.get_running_loop()
            with socket.socket() as caller:
                caller.setblocking(False)
                await loop.sock_connect(caller, ("127.0.0.1", port))
                request = b"GET /sightings HTTP/1.1\r\nHost: a\r\n\r\n"
                await loop.sock_sendall(caller, request)
                read = len(await loop.sock_recv(caller, 1 << 16))
                entry.leave()
                ending = asyncio.ensure_future(entry.stop())
                await asyncio.sleep(1.0)
                ended_before = ending.done()
                while piece := await loop.sock_recv(caller, 1 << 16):
                    read += len(piece)
            await ending
            return ended_before, read

        ended_before, read = run(scenario())
        assert not ended_before
        assert read > size
