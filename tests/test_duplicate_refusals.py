"""Tests of refusals that an upstream writes again on a kept connection."""

import asyncio
import dataclasses
import json
import random

from fakes import mesh
from fakes import net
import hypothesis
from hypothesis import strategies
import pytest

from savorytally import results

NOT_RUN_STATUSES = (408, 421, 429, 503)
NOT_EXECUTED = b"x-savorytally-not-executed"
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


def told_not_run(reply):
    """Return whether an answer says that its request has not run."""
    if reply.status in NOT_RUN_STATUSES or reply.header(NOT_EXECUTED):
        return True
    # Of the upstreams' own answers, refusals have no body.
    body = json.loads(reply.body or b'{"code": 2000}')
    return results.by_number(body["code"]).not_run


def find_breaches(cluster, replies):
    """Return what callers were told although it is not true."""
    runs = [name for host in cluster.hosts for name in host.upstream.ran]
    for name, (run_once, reply) in replies.items():
        if reply.status == 200:
            if reply.body != b"answer to " + name.encode():
                yield f"{name} got {reply.body!r}"
        elif name in runs and told_not_run(reply):
            yield f"{name} ran and got {reply.status} {reply.body!r}"
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


@dataclasses.dataclass(frozen=True)
class Step:
    """A request, and what the upstream does with an arrival.

    :param gap_s: time until the next request is sent.
    :param refused: status of a refusal, 0 if the request runs.
    :param repeated: which earlier refusal is written again, if any, and when:
        before the answer, or seconds after it.
    """

    run_once: bool
    gap_s: float
    work_s: float
    refused: int
    repeated: tuple[int, float] | None


BEFORE = -1.0
STEPS = strategies.lists(
    strategies.builds(
        Step,
        run_once=strategies.booleans(),
        gap_s=strategies.sampled_from([0.0, 0.003, 0.05, 0.4]),
        work_s=strategies.sampled_from([0.002, 0.03, 0.3]),
        refused=strategies.sampled_from([0, 0, 503, 429, 400]),
        repeated=strategies.none()
        | strategies.tuples(
            strategies.integers(0, 9),
            strategies.sampled_from([BEFORE, 0.0, 0.001, 0.01, 0.1, 0.5]),
        ),
    ),
    min_size=2,
    max_size=12,
)


class ScheduledWriter:
    """Writes the answers of one upstream as a schedule says.

    :param upstream: the upstream.
    :param steps: the schedule; arrivals beyond it begin anew.
    """

    def __init__(self, upstream, steps):
        self._upstream = upstream
        self._steps = steps
        self._arrivals = 0
        self._refusals = {}
        upstream.write = self.write
        upstream.rejects = self.rejects

    def rejects(self):
        """Return whether the next arrival is refused."""
        step = self._steps[self._arrivals % len(self._steps)]
        self._arrivals += 1
        self._upstream.work_s = step.work_s
        self._step = step
        return bool(step.refused)

    def write(self, connection, answer):
        """Write an answer, and a refusal again if the schedule says so."""
        refusals = self._refusals.setdefault(connection, [])
        step = self._step
        if answer.startswith(b"HTTP/1.1 503"):
            answer = answer.replace(b"503", b"%d" % step.refused, 1)
        repeated = b""
        if refusals and step.repeated is not None:
            repeated = refusals[step.repeated[0] % len(refusals)]
        if not answer.startswith(b"HTTP/1.1 200"):
            refusals.append(answer)
        if not repeated:
            connection.transport.write(answer)
        elif step.repeated[1] == BEFORE:
            connection.transport.write(repeated + answer)
        elif not step.repeated[1]:
            connection.transport.write(answer + repeated)
        else:
            connection.transport.write(answer)
            asyncio.get_running_loop().call_later(
                step.repeated[1], connection.transport.write, repeated
            )


@hypothesis.given(STEPS, strategies.booleans())
def test_schedules_of_duplicate_refusals(steps, named):
    """Safe requests and those that run once share an upstream."""

    async def work():
        cluster = mesh.Mesh()
        routes = {
            "r-look": mesh.route("desk", prefix="/look/"),
            "r-reserve": mesh.route("desk", kind="unsafe", priority=0),
        }
        config = mesh.configuration(1, routes=routes)
        await cluster.start({"desk": ["low-a"]}, config=config)
        (host,) = cluster.hosts
        host.upstream.echoes_refused = named
        ScheduledWriter(host.upstream, steps)
        replies = {}

        async def send(name, step):
            target = "/desk/1" if step.run_once else "/look/1"
            reply = await cluster.send(host, target, request_id=name)
            replies[name] = (step.run_once, reply)

        async with asyncio.TaskGroup() as group:
            for number, step in enumerate(steps):
                group.create_task(send(f"r{number}", step))
                await asyncio.sleep(step.gap_s)
        await asyncio.sleep(2 * LATE_S)
        return list(find_breaches(cluster, replies))

    assert net.run(work) == []
