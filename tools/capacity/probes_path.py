"""Probes of a call's whole way through the parts, without any port."""

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
    """Return a calling and a called node on a virtual clock."""
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
    """Measure entry, dispatch and gate, both nodes together."""
    fleet = _pair()
    entry = fleet.peers.nodes["calling"].entry
    request = _request()

    async def work() -> None:
        for _ in range(count):
            outcome = await entry.handle(request)
            if isinstance(outcome, outcomes.Failure):
                raise ValueError(outcome)
            fleet.clock.advance(0.01)

    fleet.peers.calls = _Forgetful()
    return meter.cpu_us(lambda: asyncio.run(work()))


class _Forgetful(list):
    """Keeps nothing of what is appended."""

    def append(self, item: object) -> None:
        """Do nothing."""


@slopes.probe("outstanding call memory", "B", "call", OUTSTANDING_COUNTS)
def outstanding_call_memory(count: int) -> float:
    """Measure calls that wait at the upstream, both nodes together."""
    return asyncio.run(_hold(count))


async def _hold(count: int) -> float:
    held = asyncio.Event()

    async def wait(
        request: ports.UpstreamRequest, timeout_s: float
    ) -> outcomes.Outcome:
        await held.wait()
        return ANSWER

    fleet = _pair()
    fleet.peers.nodes["called"].environment.upstream.serve = wait
    fleet.peers.calls = _Forgetful()
    entry = fleet.peers.nodes["calling"].entry
    meter.begin_held()
    tasks = [
        asyncio.ensure_future(entry.handle(_request())) for _ in range(count)
    ]
    await asyncio.sleep(0.05)
    used = meter.end_held()
    held.set()
    await asyncio.gather(*tasks)
    return used
