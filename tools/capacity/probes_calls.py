"""Probes of the cost of calls, without the work of the upstream."""

import asyncio
import math
import random
import time

from savorytally import defaults
from savorytally import outcomes
from savorytally import ports
from savorytally.decisions import balanced
from savorytally.decisions import retry
from savorytally.decisions import routing
from savorytally.parts import call_tokens
from savorytally.peer import answers
from savorytally.peer import codec
from savorytally.peer import identity
from savorytally.peer import links
from savorytally.peer import messages
from savorytally.peer import server
from savorytally.world import host
from savorytally.world import region
from savorytally.world import route

from . import meter
from . import slopes

BODY_BYTES = (0, 1_000, 4_000, 16_000, 64_000)
CALL_COUNTS = (200, 400, 800, 1_600)
SERVICE_HOSTS = (4, 8, 17, 34, 68)
STREAM_COUNTS = (8, 16, 32, 64)
HEARTBEAT_COUNTS = (100, 200, 400, 800)
ROUNDS = 200


def sample_call(number: int = 1, body: bytes = b"") -> messages.Call:
    """Return a typical call of a peer stream."""
    return messages.Call(
        call_id=number,
        root_id="0123456789abcdef",
        route_id="service-1.route-1",
        organisation_id="organisation-1",
        key_id="0123456789abcdef",
        priority=int(route.Priority.NORMAL),
        path_suffix="valley/7",
        query="page=2",
        headers=(("Accept", "application/json"), ("User-Agent", "probe")),
        body=body,
        remaining_ms=2_000,
        retries=2,
        depth=1,
        attempt=0,
        idempotency_key="",
        fingerprint=1 << 62,
        suspect=False,
        traceparent="00-" + "0" * 32 + "-" + "0" * 16 + "-00",
        limit_per_s=math.inf,
    )


def _code_hop(call: messages.Call, answer: outcomes.Answer) -> None:
    """Encode and decode a call and its response, as two nodes do."""
    splitter = codec.FrameSplitter()
    splitter.feed(codec.encode(call, 7))
    assembly = answers.Assembly()
    for message in answers.to_messages(call.call_id, answer, 0):
        (frame,) = splitter.feed(codec.encode(message, 7))
        if isinstance(frame.message, messages.AnswerHead):
            assembly.add_head(frame.message)
        else:
            assembly.add_piece(frame.message)
    assembly.outcome()


@slopes.probe("peer hop coding", "us", "body byte", BODY_BYTES)
def peer_hop_coding(size: int) -> float:
    """Measure encoding and decoding a call and its response."""
    call = sample_call()
    answer = outcomes.Answer(
        200, (("Content-Type", "application/json"),), bytes(size)
    )
    return meter.cpu_us(lambda: _code_hop(call, answer), ROUNDS)


@slopes.probe("peer hop base", "us", "call", HEARTBEAT_COUNTS)
def peer_hop_base(count: int) -> float:
    """Measure encoding and decoding calls with short responses."""
    call = sample_call()
    answer = outcomes.Answer(200, (("Content-Type", "text/plain"),), b"ok")

    def hops() -> None:
        for _ in range(count):
            _code_hop(call, answer)

    return meter.cpu_us(hops)


@slopes.probe("call frame size", "B", "body byte", BODY_BYTES)
def call_frame_size(size: int) -> float:
    """Measure the size of a call's frame."""
    return len(codec.encode(sample_call(body=bytes(size)), 7))


@slopes.probe("routing choice", "us", "host of the service", SERVICE_HOSTS)
def routing_choice(count: int) -> float:
    """Measure the choice of a host and the updates that follow it."""
    place = region.Place("region-0", "centre-0")
    hosts = {
        f"h{number}": host.Host(f"h{number}", "s", place, "127.0.0.1", 1)
        for number in range(count)
    }
    balancer = balanced.BalancedRouting(place, random.Random(1))
    balancer.learn_hosts(hosts, 0.0)
    request = routing.RoutingRequest("s", "r", route.Priority.NORMAL)

    def choose() -> None:
        chosen = balancer.choose(request, 1.0).host.host_id
        balancer.sent(chosen, 1.0)
        balancer.done(routing.Result(chosen, "r", True, 0, 0.01), 1.0)

    return meter.cpu_us(choose, ROUNDS)


@slopes.probe("running call memory", "B", "call", CALL_COUNTS)
def running_call_memory(count: int) -> float:
    """Measure the memory held for calls that run at the upstream."""

    def build() -> call_tokens.RunningCalls:
        calls = call_tokens.RunningCalls()
        for number in range(count):
            budget = retry.RetryBudget(2)
            calls.add(sample_call(number), 10.0, budget)
        return calls

    return meter.held_bytes(build)


@slopes.probe("heartbeat coding", "us", "heartbeat", HEARTBEAT_COUNTS)
def heartbeat_coding(count: int) -> float:
    """Measure encoding and splitting heartbeats and their replies."""

    def beat() -> None:
        splitter = codec.FrameSplitter()
        for number in range(count):
            for reply in (False, True):
                message = messages.Heartbeat(number, reply)
                splitter.feed(codec.encode(message, 7))

    return meter.cpu_us(beat)


@slopes.probe("heartbeat size", "B", "heartbeat", HEARTBEAT_COUNTS)
def heartbeat_size(count: int) -> float:
    """Measure the size of heartbeats and their replies."""
    return sum(
        len(codec.encode(messages.Heartbeat(number, reply), 7))
        for number in range(count)
        for reply in (False, True)
    )


class _NullInbox:
    """Ignores control messages."""

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Do nothing."""

    def newer_version_seen(self, sender: str, version: int) -> None:
        """Do nothing."""


async def _open_streams(count: int) -> float:
    """Open streams and return the memory held for them, in bytes."""

    async def run(call: messages.Call) -> outcomes.Outcome:
        return outcomes.Answer(200, (), b"")

    inbox = _NullInbox()
    handlers = server.Handlers(
        run=run,
        shed_level=lambda call: 0,
        version=lambda: 1,
        inbox=inbox,
        now=time.monotonic,
    )
    listening = server.PeerServer(identity.Identity("server", 1), handlers)
    port = defaults.PEER_PORT + 20_000
    await listening.listen("127.0.0.1", port)
    place = region.Place("region-0", "centre-0")
    client = links.Links(
        links.LinkContext(
            identity=identity.Identity("client", 1),
            version=lambda: 1,
            inbox=inbox,
            random=random.Random(1),
        )
    )
    targets = [
        host.Host(f"h{number}", "s", place, "127.0.0.1", port)
        for number in range(count)
    ]
    meter.start_tracing()
    for number, target in enumerate(targets):
        result: ports.CallResult = await client.call(
            target, sample_call(number)
        )
        if isinstance(result.outcome, outcomes.Failure):
            raise OSError(result.outcome.detail)
    held = meter.stop_tracing()
    client.close()
    await listening.stop()
    await asyncio.sleep(0)
    return held


@slopes.probe("peer stream memory", "B", "stream", STREAM_COUNTS)
def peer_stream_memory(count: int) -> float:
    """Measure the memory held for idle streams, both ends together."""
    return asyncio.run(_open_streams(count))
