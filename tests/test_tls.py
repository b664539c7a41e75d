"""Tests of mutual TLS between nodes and of TLS for callers."""

import ssl

import aiohttp
from fakes import certificates
from fakes import peers
import pytest

from savorytally import outcomes
from savorytally import results
from savorytally import settings
from savorytally import tls
from savorytally.http import server


@pytest.fixture
def fleet(tmp_path):
    """The fleet's certificate authority."""
    return certificates.Authority(tmp_path)


@pytest.fixture
def stranger(tmp_path, fleet):
    """TLS settings with a certificate of an authority outside the fleet."""
    other_tls = certificates.Authority(tmp_path, "outside").issue("stranger")
    trusted = fleet.issue("unused").authority
    return settings.Tls(other_tls.certificate, other_tls.key, trusted)


async def one_call(pair):
    result = await pair.call(1)
    await pair.stop()
    return result.outcome, pair.gate.ran


class TestPeers:
    def test_nodes_of_the_fleet_connect(self, run, free_port, fleet):
        async def work():
            pair = await peers.start(
                free_port(),
                serving_tls=fleet.issue("right"),
                calling_tls=fleet.issue("left"),
            )
            return await one_call(pair)

        outcome, ran = run(work())
        assert outcome.body == b"call-1-"
        assert ran == [1]

    def test_caller_of_another_authority_is_refused(
        self, run, free_port, fleet, stranger
    ):
        async def work():
            pair = await peers.start(
                free_port(),
                serving_tls=fleet.issue("right"),
                calling_tls=stranger,
            )
            return await one_call(pair)

        outcome, ran = run(work())
        assert outcome.code is results.NOT_DISPATCHED
        assert ran == []

    def test_caller_without_tls_is_refused(self, run, free_port, fleet):
        async def work():
            pair = await peers.start(
                free_port(), serving_tls=fleet.issue("right")
            )
            return await one_call(pair)

        outcome, ran = run(work())
        assert outcome.code is results.NOT_DISPATCHED
        assert ran == []

    def test_server_of_another_authority_is_refused(
        self, run, free_port, fleet, stranger
    ):
        async def work():
            pair = await peers.start(
                free_port(),
                serving_tls=stranger,
                calling_tls=fleet.issue("left"),
            )
            return await one_call(pair)

        outcome, ran = run(work())
        assert outcome.code is results.NOT_DISPATCHED
        assert ran == []


class TestEntry:
    def test_callers_need_no_certificate(self, run, free_port, fleet):
        async def handle(request):
            return outcomes.Answer(200, (), b"safe")

        async def work():
            port = free_port()
            tls_files = fleet.issue("entry")
            entry = server.RequestServer(handle)
            await entry.start("127.0.0.1", port, tls.entry(tls_files))
            trust = ssl.create_default_context(cafile=tls_files.authority)
            url = f"https://localhost:{port}/browse/species"
            async with aiohttp.ClientSession() as session:
                async with session.get(url, ssl=trust) as response:
                    body = await response.read()
            await entry.stop()
            return body

        assert run(work()) == b"safe"
