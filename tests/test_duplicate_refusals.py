"""Tests of refusals that an upstream writes again on a kept connection."""

import asyncio
import json
import random

from fakes import mesh
from fakes import net
import pytest

from savorytally import results

NOT_RUN_STATUSES = (408, 421, 429, 503)
SERVICES = {
    "drawers": ["low-a", "low-a", "up-a"],
    "desk": ["low-a", "low-a", "up-a"],
}
LATE_S = 0.5


class DuplicatingWriter:
    """Writes an earlier refusal of the connection again, now and then.

    :param source: decides which of them, and when.
    :param probability: of a duplicate beside an answer.
    """

    def __init__(self, source, probability=0.3):
        self._random = source
        self._probability = probability
        self._refusals = {}
        self.written = 0

    def __call__(self, connection, answer):
        refusals = self._refusals.setdefault(connection, [])
        before = after = b""
        if refusals and self._random.random() < self._probability:
            self.written += 1
            duplicate = self._random.choice(refusals)
            place = self._random.choice(("before", "after", "late"))
            if place == "before":
                before = duplicate
            elif place == "after":
                after = duplicate
            else:
                asyncio.get_running_loop().call_later(
                    self._random.uniform(0.0, LATE_S),
                    connection.transport.write,
                    duplicate,
                )
        if b"200" not in answer.partition(b"\r\n")[0]:
            refusals.append(answer)
        connection.transport.write(before + answer + after)


async def run_requests(cluster, seed, count, named):
    """Send requests of both kinds; return the replies and the duplicates."""
    source = random.Random(seed)
    writers = []
    for host in cluster.hosts:
        writers.append(DuplicatingWriter(source))
        host.upstream.write = writers[-1]
        host.upstream.rejects = lambda: source.random() < 0.25
        host.upstream.echoes_refused = named
    replies = {}

    async def send(name):
        run_once = source.random() < 0.5
        reply = await cluster.send(
            source.choice(cluster.hosts),
            "/desk/1" if run_once else "/drawers/1",
            "POST" if run_once else "GET",
            request_id=name,
        )
        replies[name] = (run_once, reply)

    tasks = []
    for number in range(count):
        tasks.append(asyncio.ensure_future(send(f"r{number}")))
        if number % 50 == 0:
            # Health answers and answers to requests share connections.
            for host in cluster.hosts:
                host.upstream.work_s = source.uniform(0.002, 0.05)
                host.node.gate.health.probe()
        await asyncio.sleep(source.expovariate(200.0))
    await asyncio.gather(*tasks)
    await asyncio.sleep(2 * LATE_S)
    return replies, sum(writer.written for writer in writers)


def find_breaches(cluster, replies):
    """Return what callers were told although it is not true."""
    runs = [name for host in cluster.hosts for name in host.upstream.ran]
    for name, (run_once, reply) in replies.items():
        if reply.status == 200:
            if reply.body != b"answer to " + name.encode():
                yield f"{name} got {reply.body!r}"
        else:
            code = results.by_number(json.loads(reply.body)["code"])
            told_not_run = code.not_run or reply.status in NOT_RUN_STATUSES
            if told_not_run and name in runs:
                yield f"{name} ran and got {reply.status} {code.name}"
        if run_once and runs.count(name) > 1:
            yield f"{name} ran {runs.count(name)} times"


@pytest.mark.parametrize("named", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_duplicate_refusals_tell_nobody_that_a_run_has_not_happened(
    seed, named
):
    """Callers were told that requests that ran had not run."""
    services = {
        name: {"health_path": "/healthz"} for name in ("drawers", "desk")
    }

    async def work():
        cluster = mesh.Mesh()
        config = mesh.configuration(1, services=services)
        await cluster.start(SERVICES, config=config)
        replies, duplicates = await run_requests(cluster, seed, 400, named)
        return duplicates, list(find_breaches(cluster, replies))

    duplicates, breaches = net.run(work)
    assert duplicates > 20
    assert breaches == []
