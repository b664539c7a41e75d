"""Tests that requests to a non-idempotent route run at most once."""

import asyncio

from fakes import documents
from fakes import nodes
import pytest

from savorytally import outcomes
from savorytally import results
from savorytally.decisions import admission
from savorytally.parts import context
from savorytally.parts import headers
from savorytally.world import hosts

HOSTS = ("sightings-0", "sightings-1", "sightings-2")
KEYS = 24


@pytest.fixture
def fleet(himali):
    host_entries = {
        host_id: documents.host("sightings", number, 1 + number)
        for number, host_id in enumerate(HOSTS)
    }
    return nodes.Fleet(himali, hosts.read(1, host_entries))


def report(key):
    return context.Request(
        "POST",
        "/sightings/report",
        "",
        (
            (headers.AUTHORIZATION, f"Bearer {documents.key_of('org1')}"),
            (headers.IDEMPOTENCY_KEY, key),
        ),
        b"seen",
    )


class BlockingUpstream:
    """An upstream that counts its requests and answers once released."""

    def __init__(self):
        self.count = 0
        self.started = asyncio.Event()
        self.released = asyncio.Event()

    async def serve(self, request, timeout_s):
        self.count += 1
        self.started.set()
        await self.released.wait()
        return outcomes.Answer(201, (), b"%d" % self.count)


def start(fleet):
    upstream = BlockingUpstream()
    started_nodes = [fleet.add(host_id, upstream.serve) for host_id in HOSTS]
    return upstream, started_nodes


class TestSingleExecution:
    def test_retry_through_any_entry_gets_the_same_answer(self, run, fleet):
        async def work():
            upstream, started_nodes = start(fleet)
            upstream.released.set()
            first = [
                await started_nodes[0].entry.handle(report(f"key{number}"))
                for number in range(KEYS)
            ]
            retried = [
                await started_nodes[1 + number % 2].entry.handle(
                    report(f"key{number}")
                )
                for number in range(KEYS)
            ]
            return upstream.count, first, retried

        count, first, retried = run(work())
        assert count == KEYS
        assert [item.body for item in retried] == [item.body for item in first]
        assert all(item.replayed for item in retried)

    def test_retry_of_a_running_request_is_rejected(self, run, fleet):
        async def work():
            upstream, started_nodes = start(fleet)
            first = asyncio.ensure_future(
                started_nodes[0].entry.handle(report("a"))
            )
            await upstream.started.wait()
            second = await started_nodes[1].entry.handle(report("a"))
            upstream.released.set()
            await first
            return upstream.count, second

        count, second = run(work())
        assert second.code is results.STILL_RUNNING
        assert count == 1

    def test_started_request_completes_after_its_caller_cancels(
        self, run, fleet
    ):
        async def work():
            upstream, started_nodes = start(fleet)
            first = asyncio.ensure_future(
                started_nodes[0].entry.handle(report("a"))
            )
            await upstream.started.wait()
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            upstream.released.set()
            await asyncio.sleep(0.01)
            second = await started_nodes[1].entry.handle(report("a"))
            return upstream.count, second

        count, second = run(work())
        assert count == 1
        assert second.body == b"1"
        assert second.replayed

    def test_request_rejected_by_admission_may_run_later(self, run, fleet):
        async def work():
            upstream, started_nodes = start(fleet)
            for item in started_nodes:
                item.gate.policy.learn_capacity(admission.Capacity(1, 1))
            pending = [
                asyncio.ensure_future(
                    started_nodes[0].entry.handle(report(f"k{n}"))
                )
                for n in range(200)
            ]
            while sum(item.done() for item in pending) == 0:
                await asyncio.sleep(0.01)
            upstream.released.set()
            finished = await asyncio.gather(*pending)
            rejected = [
                number
                for number, item in enumerate(finished)
                if isinstance(item, outcomes.Failure)
                and item.code is results.SHED_AT_GATE
            ]
            retried_later = await started_nodes[1].entry.handle(
                report(f"k{rejected[0]}")
            )
            return retried_later

        retried_later = run(work())
        assert isinstance(retried_later, outcomes.Answer)
        assert not retried_later.replayed
