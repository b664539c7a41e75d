"""A route that is not idempotent, through entry, owner and gate."""

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
    listed = {
        host_id: documents.host("sightings", number, 1 + number)
        for number, host_id in enumerate(HOSTS)
    }
    return nodes.Fleet(himali, hosts.read(1, listed))


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


class Sightings:
    """An upstream that counts, and answers when it is let go."""

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
    upstream = Sightings()
    made = [fleet.add(host_id, upstream.serve) for host_id in HOSTS]
    return upstream, made


class TestOnce:
    def test_resend_through_any_entry_gets_the_same_answer(self, run, fleet):
        async def work():
            upstream, made = start(fleet)
            upstream.released.set()
            first = [
                await made[0].entry.handle(report(f"key{number}"))
                for number in range(KEYS)
            ]
            again = [
                await made[1 + number % 2].entry.handle(report(f"key{number}"))
                for number in range(KEYS)
            ]
            return upstream.count, first, again

        count, first, again = run(work())
        assert count == KEYS
        assert [item.body for item in again] == [item.body for item in first]
        assert all(item.repeated for item in again)

    def test_resend_while_running_is_told_so(self, run, fleet):
        async def work():
            upstream, made = start(fleet)
            first = asyncio.ensure_future(made[0].entry.handle(report("a")))
            await upstream.started.wait()
            second = await made[1].entry.handle(report("a"))
            upstream.released.set()
            await first
            return upstream.count, second

        count, second = run(work())
        assert second.code is results.STILL_RUNNING
        assert count == 1

    def test_started_request_outlives_its_caller(self, run, fleet):
        async def work():
            upstream, made = start(fleet)
            first = asyncio.ensure_future(made[0].entry.handle(report("a")))
            await upstream.started.wait()
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            upstream.released.set()
            await asyncio.sleep(0.01)
            second = await made[1].entry.handle(report("a"))
            return upstream.count, second

        count, second = run(work())
        assert count == 1
        assert second.body == b"1"
        assert second.repeated

    def test_request_that_admission_refused_may_run_later(self, run, fleet):
        async def work():
            upstream, made = start(fleet)
            for item in made:
                item.gate.policy.learn_capacity(admission.Capacity(1, 1))
            busy = [
                asyncio.ensure_future(made[0].entry.handle(report(f"k{n}")))
                for n in range(200)
            ]
            while sum(item.done() for item in busy) == 0:
                await asyncio.sleep(0.01)
            upstream.released.set()
            ended = await asyncio.gather(*busy)
            refused = [
                number
                for number, item in enumerate(ended)
                if isinstance(item, outcomes.Failure)
                and item.code is results.SHED_AT_GATE
            ]
            later = await made[1].entry.handle(report(f"k{refused[0]}"))
            return later

        later = run(work())
        assert isinstance(later, outcomes.Answer)
        assert not later.repeated
