"""Measures the cost of a call over a peer stream, without HTTP.

Both ends run in one process on loopback, so the processor time is that of
both ends together.
"""

import argparse
import asyncio
import math
import random
import statistics
import time

import uvloop

from savorytally import outcomes
from savorytally.peer import identity
from savorytally.peer import links
from savorytally.peer import messages
from savorytally.peer import server
from savorytally.world import host
from savorytally.world import region

IN_FLIGHT = (1, 10, 100)
ROUNDS = 10
HEADERS = (
    ("Accept", "*/*"),
    ("Accept-Encoding", "gzip, deflate"),
    ("User-Agent", "measure/1"),
    ("Content-Type", "application/json"),
)


class NullInbox:
    """Ignores control messages."""

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Do nothing."""

    def newer_version_seen(self, sender: str, version: int) -> None:
        """Do nothing."""


async def measure(calls: int, answer_bytes: int) -> None:
    """Print the minimum and median processor time per call over all rounds.

    :param calls: calls for each concurrency.
    :param answer_bytes: size of the response body.
    """
    answer = outcomes.Answer(200, HEADERS, b"x" * answer_bytes)

    async def run(call: messages.Call) -> outcomes.Outcome:
        return answer

    inbox = NullInbox()
    serving = server.PeerServer(
        identity.Identity("right", 1),
        server.Handlers(
            run=run,
            shed_level=lambda call: 0,
            version=lambda: 1,
            inbox=inbox,
            now=time.monotonic,
        ),
    )
    await serving.listen("127.0.0.1", 0)
    target = host.Host(
        host_id="right",
        service_id="browse",
        place=region.Place("bagmati", "kirtipur"),
        address="127.0.0.1",
        peer_port=serving.port,
    )
    calling = links.Links(
        links.LinkContext(
            identity.Identity("left", 1), lambda: 1, inbox, random.Random(1)
        )
    )
    ids = iter(range(1, 1 << 40))

    async def repeat(count: int) -> None:
        for _ in range(count):
            await calling.call(target, _call(next(ids)))

    print(f"{'in flight':>9} {'least us/call':>13} {'median us/call':>14}")
    for width in IN_FLIGHT:
        await asyncio.gather(*(repeat(20) for _ in range(width)))
        found = []
        for _ in range(ROUNDS):
            started = time.process_time()
            each = calls // ROUNDS // width
            await asyncio.gather(*(repeat(each) for _ in range(width)))
            used = time.process_time() - started
            found.append(used / (each * width) * 1e6)
        print(
            f"{width:>9} {min(found):>13.1f} {statistics.median(found):>14.1f}"
        )
    calling.close()
    await serving.stop()


def _call(call_id: int) -> messages.Call:
    return messages.Call(
        call_id=call_id,
        root_id="0123456789abcdef",
        route_id="species",
        organisation_id="org1",
        key_id="0123456789abcdef",
        priority=1,
        path_suffix="valley",
        query="page=1",
        headers=HEADERS,
        body=b"",
        remaining_ms=2_000,
        retries=3,
        depth=0,
        attempt=0,
        idempotency_key="",
        fingerprint=1 << 60,
        suspect=False,
        traceparent="",
        limit_per_s=math.inf,
    )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=20_000)
    parser.add_argument("--answer-bytes", type=int, default=1_000)
    given = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(given.calls, given.answer_bytes))


if __name__ == "__main__":
    main()
