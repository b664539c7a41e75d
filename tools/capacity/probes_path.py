"""Probes of a call's complete path through two nodes, without I/O."""

import asyncio

from fakes import documents
from fakes import nodes

from savorytally import outcomes
from savorytally import ports
from savorytally.parts import context
from savorytally.parts import headers
from savorytally.world import document
from savorytally.world import hosts

from . import meter
from . import slopes

CALL_COUNTS = (100, 200, 400, 800)
OUTSTANDING_COUNTS = (50, 100, 200, 400)
ANSWER = outcomes.Answer(200, (("Content-Type", "text/plain"),), b"ok")


async def _answer(
    request: ports.UpstreamRequest, timeout_s: float
) -> outcomes.Outcome:
    return ANSWER


def _pair() -> nodes.Fleet:
    """Return a fleet of a calling and a called node on a virtual clock."""
    value = documents.himali()
    for organisation in value["organisations"].values():
        organisation["rate_per_s"] = organisation["burst"] = 1_000_000
    listed = {
        "calling": documents.host("browse", 0, 1),
        "called": documents.host("maps", 0, 2),
    }
    fleet = nodes.Fleet(document.read(value), hosts.read(1, listed))
    fleet.add("calling", _answer, policies=nodes.LOCAL)
    fleet.add("called", _answer, policies=nodes.LOCAL)
    return fleet


def _request() -> context.Request:
    key = documents.key_of("org1")
    return context.Request(
        method="GET",
        path="/maps/range/valley",
        query="",
        headers=((headers.AUTHORIZATION, f"Bearer {key}"),),
        body=b"",
    )


@slopes.probe("call decisions", "us", "call", CALL_COUNTS)
def call_decisions(count: int) -> float:
    """Measure the decisions of entry, dispatch and gate of both nodes."""
    fleet = _pair()
    entry = fleet.peers.nodes["calling"].entry
    request = _request()

    async def work() -> None:
        for _ in range(count):
            outcome = await entry.handle(request)
            if isinstance(outcome, outcomes.Failure):
                raise ValueError(outcome)
            fleet.clock.advance(0.01)

    fleet.peers.calls = _NullList()
    return meter.cpu_us(lambda: asyncio.run(work()))


class _NullList(list):
    """A list that discards what is appended."""

    def append(self, item: object) -> None:
        """Do nothing."""


@slopes.probe("outstanding call memory", "B", "call", OUTSTANDING_COUNTS)
def outstanding_call_memory(count: int) -> float:
    """Measure the memory of calls pending at the upstream, both nodes."""
    return asyncio.run(_outstanding_bytes(count))


async def _outstanding_bytes(count: int) -> float:
    """Return the memory held by pending calls, in bytes."""
    released = asyncio.Event()

    async def wait(
        request: ports.UpstreamRequest, timeout_s: float
    ) -> outcomes.Outcome:
        await released.wait()
        return ANSWER

    fleet = _pair()
    fleet.peers.nodes["called"].environment.upstream.serve = wait
    fleet.peers.calls = _NullList()
    entry = fleet.peers.nodes["calling"].entry
    meter.start_tracing()
    tasks = [
        asyncio.ensure_future(entry.handle(_request())) for _ in range(count)
    ]
    await asyncio.sleep(0.05)
    held_bytes = meter.stop_tracing()
    released.set()
    await asyncio.gather(*tasks)
    return held_bytes
