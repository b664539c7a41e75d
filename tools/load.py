"""Drives a mesh through a normal, an overload and a recovery phase.

The load is open-loop: requests arrive as a Poisson process regardless of the
responses, and failed requests are retried after a short pause. The report
compares the responses with the counts of the simulated upstreams.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import time
import typing as t

import aiohttp
import uvloop

from . import mesh

ATTEMPTS_MAX = 4
RETRY_PAUSE_S = 0.05
TIMEOUT_S = 2.0
REQUESTS_IN_PROGRESS_MAX = 2_000
RATE_NORMAL_PER_S = 12.0
RATE_SURGE_PER_S = 26.0
RATE_GREEDY_PER_S = 160.0
GREEDY_ORGANISATION = "org0"
RECOVERED_SHARE = 0.95
SETTLE_TIME_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A phase of the run.

    :param name: name in the report.
    :param seconds: duration.
    :param surge: whether callers exceed the normal rate.
    :param service_time_factor: factor on the checklist service's service
        time.
    """

    name: str
    seconds: float
    surge: bool = False
    service_time_factor: float = 1.0


PHASES = (
    Phase("normal", 6.0),
    Phase("trigger", 6.0, surge=True, service_time_factor=3.0),
    Phase("aftermath", 6.0, surge=True),
    Phase("recovery", 10.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """A route that callers request.

    :param method: HTTP method.
    :param target: path at the mesh.
    :param path: path at the upstream.
    :param share: fraction of the requests.
    """

    method: str
    target: str
    path: str
    share: float


OPERATIONS = (
    Operation("GET", "/browse/species", "/species", 0.5),
    Operation("GET", "/checklist/pull", "/pull", 0.3),
    Operation("POST", "/sightings/report", "/report", 0.2),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt of a caller.

    :param mark: identifies the attempt at every upstream that it reaches.
    :param code: result code, 0 without a response.
    :param whole: whether the response is complete and belongs to the
        request.
    :param foreign: whether a successful response belongs to another
        request.
    """

    mark: str
    code: int
    whole: bool
    foreign: bool


@dataclasses.dataclass(slots=True)
class Request:
    """One logical request with all its attempts.

    :param number: number of the request in the run.
    :param phase: phase in which it arrived.
    :param started_s: time since the start of the run, in seconds.
    :param organisation: organisation of the caller.
    :param operation: requested route.
    :param attempts: results of its attempts, in order.
    """

    number: int
    phase: Phase
    started_s: float
    organisation: str
    operation: Operation
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def served(self) -> bool:
        """Whether the last attempt succeeded."""
        return bool(self.attempts) and self.attempts[-1].whole

    @property
    def refused(self) -> bool:
        """Whether the last attempt was rejected without a run."""
        if not self.attempts:
            return False
        return self.attempts[-1].code // 1000 == 1

    @property
    def within_rate(self) -> bool:
        """Whether the organisation held to its rate limit."""
        return not (
            self.phase.surge and self.organisation == GREEDY_ORGANISATION
        )


class Driver:
    """Sends the load and collects the results.

    :param ports: ports by host and by name.
    :param seed: seed of arrivals, organisations and routes.
    """

    def __init__(self, ports: dict[str, dict[str, int]], seed: int) -> None:
        self.requests: list[Request] = []
        self.unsent = 0
        self._ports = ports
        self._entries = [
            f"http://127.0.0.1:{item['entry']}" for item in ports.values()
        ]
        self._random = random.Random(seed)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._origin = time.monotonic()

    async def run(self) -> None:
        """Run all phases and wait for the last responses."""
        self._origin = time.monotonic()
        end = 0.0
        for phase in PHASES:
            await self._set_service_time_factor(phase.service_time_factor)
            end += phase.seconds
            print(f"phase {phase.name}: {phase.seconds:g} s", flush=True)
            await self._generate_arrivals(phase, end)
        if self._tasks:
            await asyncio.wait(self._tasks)
        await asyncio.sleep(SETTLE_TIME_S)

    async def upstream_counts(self) -> list[dict[str, t.Any]]:
        """Return the counts of each simulated upstream."""
        found = []
        for item in self._ports.values():
            url = f"http://127.0.0.1:{item['counts']}/counts"
            async with self._session.get(url) as response:
                found.append(await response.json())
        return found

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _now(self) -> float:
        return time.monotonic() - self._origin

    async def _set_service_time_factor(self, factor: float) -> None:
        port = self._ports["checklist-0"]["counts"]
        url = f"http://127.0.0.1:{port}/slowdown?factor={factor}"
        async with self._session.put(url):
            pass

    async def _generate_arrivals(self, phase: Phase, end: float) -> None:
        usual = RATE_SURGE_PER_S if phase.surge else RATE_NORMAL_PER_S
        greedy = RATE_GREEDY_PER_S if phase.surge else usual
        rates = {f"org{number}": usual for number in range(mesh.ORGANISATIONS)}
        rates[GREEDY_ORGANISATION] = greedy
        total = sum(rates.values())
        due = self._now()
        while (due := due + self._random.expovariate(total)) < end:
            await asyncio.sleep(max(due - self._now(), 0))
            self._start(phase, rates)
        await asyncio.sleep(max(end - self._now(), 0))

    def _start(self, phase: Phase, rates: dict[str, float]) -> None:
        (organisation,) = self._random.choices(
            list(rates), list(rates.values())
        )
        (operation,) = self._random.choices(
            OPERATIONS, [item.share for item in OPERATIONS]
        )
        entries = self._random.sample(self._entries, len(self._entries))
        if len(self._tasks) >= REQUESTS_IN_PROGRESS_MAX:
            self.unsent += 1
            return
        request = Request(
            len(self.requests), phase, self._now(), organisation, operation
        )
        self.requests.append(request)
        task = asyncio.ensure_future(self._send(request, entries))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, request: Request, entries: list[str]) -> None:
        for number in range(ATTEMPTS_MAX):
            entry = entries[number % len(entries)]
            request.attempts.append(
                await self._attempt(request, entry, number)
            )
            if request.served:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _attempt(
        self, request: Request, entry: str, number: int
    ) -> Attempt:
        operation = request.operation
        mark = f"m{request.number}.{number}"
        key = mesh.key_of(request.organisation)
        headers = {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": f"k{request.number}",
        }
        if operation.method == "GET":
            del headers["Idempotency-Key"]
        url = f"{entry}{operation.target}?mark={mark}"
        try:
            async with self._session.request(
                operation.method, url, headers=headers
            ) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Attempt(mark, 0, False, False)
        code = int(response.headers.get("Savorytally-Result-Code", "0"))
        if response.status != 200:
            return Attempt(mark, code, False, False)
        # A recorded response carries the mark of an earlier attempt.
        repeated = "Savorytally-Repeated" in response.headers
        ending = f" {operation.method} {operation.path}\n"
        own = mark if not repeated else f"m{request.number}."
        whole = text.startswith(own) and text.endswith(ending)
        return Attempt(mark, code, whole, not whole)


@dataclasses.dataclass(frozen=True, slots=True)
class Breaches:
    """Counts of breached guarantees; all must be 0.

    :param not_run_but_ran: attempts rejected as not run that have run.
    :param answers_of_others: responses that belong to another request.
    :param keys_seen: requests that carried an API key to an upstream.
    :param doubled_executions: idempotency keys executed more than once.
    :param over_retry_bound: attempts that ran more often than the retry
        bound allows.
    """

    not_run_but_ran: int
    answers_of_others: int
    keys_seen: int
    doubled_executions: int
    over_retry_bound: int


def breaches(
    requests: list[Request], counts: list[dict[str, t.Any]]
) -> Breaches:
    """Compare the responses with the counts of the upstreams.

    :param requests: all requests of the run.
    :param counts: counts of each simulated upstream.
    """
    runs: collections.Counter[str] = collections.Counter()
    keyed: collections.Counter[str] = collections.Counter()
    for count in counts:
        runs.update(count["runs"])
        keyed.update(count["keyed"])
    not_run = foreign = over = 0
    for request in requests:
        for attempt in request.attempts:
            ran = runs[f"{request.operation.path} {attempt.mark}"]
            not_run += attempt.code // 1000 == 1 and ran > 0
            foreign += attempt.foreign
            over += ran > 1 + mesh.RETRIES_PER_ROOT
    return Breaches(
        not_run_but_ran=not_run,
        answers_of_others=foreign,
        keys_seen=sum(count["key_seen"] for count in counts),
        doubled_executions=sum(count > 1 for count in keyed.values()),
        over_retry_bound=over,
    )


def recovery_s(requests: list[Request]) -> float | None:
    """Return the time from the end of the trigger phase until recovery.

    The mesh has recovered when in two consecutive seconds at least
    :data:`RECOVERED_SHARE` of the requests within rate are served.
    """
    trigger_end = sum(phase.seconds for phase in PHASES[:2])
    last = sum(phase.seconds for phase in PHASES)
    good: collections.Counter[int] = collections.Counter()
    sent: collections.Counter[int] = collections.Counter()
    for request in requests:
        if request.within_rate and request.started_s >= trigger_end:
            second = int(request.started_s - trigger_end)
            sent[second] += 1
            good[second] += request.served
    recovered = [
        good[second] >= RECOVERED_SHARE * sent[second]
        for second in range(int(last - trigger_end))
    ]
    for second in range(len(recovered) - 1):
        if recovered[second] and recovered[second + 1]:
            return float(second)
    return None


def report(driver: Driver, found: Breaches) -> None:
    """Print the figures of the run.

    :param found: breached guarantees.
    """
    requests = driver.requests
    print(
        f"\n{'phase':<10} {'offered/s':>9} {'goodput/s':>9} {'served':>7} "
        f"{'worst organisation':>19} {'in-rate refusals':>17}"
    )
    for phase in PHASES:
        inside = [item for item in requests if item.phase is phase]
        good = sum(item.served for item in inside)
        refused = sum(item.within_rate and item.refused for item in inside)
        worst = min(
            sum(item.served for item in group) / len(group)
            for group in _by_organisation(inside).values()
        )
        print(
            f"{phase.name:<10} {len(inside) / phase.seconds:>9.1f} "
            f"{good / phase.seconds:>9.1f} {good / len(inside):>7.1%} "
            f"{worst:>19.1%} {refused:>17d}"
        )
    recovered = recovery_s(requests)
    text = "not within the run" if recovered is None else f"{recovered:g} s"
    print(f"recovery time: {text}")
    print(f"requests not sent by the driver: {driver.unsent}")
    codes = collections.Counter(
        attempt.code for item in requests for attempt in item.attempts
    )
    counted = ", ".join(f"{code}: {codes[code]}" for code in sorted(codes))
    print(f"attempts by result code: {counted}")
    print("promise breaches:")
    for field in dataclasses.fields(found):
        name = field.name.replace("_", " ")
        print(f"  {name}: {getattr(found, field.name)}")


def _by_organisation(inside: list[Request]) -> dict[str, list[Request]]:
    groups: dict[str, list[Request]] = {}
    for item in inside:
        if item.within_rate:
            groups.setdefault(item.organisation, []).append(item)
    return groups


async def drive(directory: pathlib.Path, seed: int) -> bool:
    """Run the load, print the report, return whether all guarantees held.

    :param directory: directory of the mesh's files.
    :param seed: seed of the load.
    """
    ports = json.loads((directory / "mesh.json").read_text("utf-8"))["ports"]
    driver = Driver(ports, seed)
    try:
        await driver.run()
        found = breaches(driver.requests, await driver.upstream_counts())
    finally:
        await driver.close()
    report(driver, found)
    return not any(dataclasses.astuple(found))


def main() -> int:
    """Run the program; the exit code is 1 if a guarantee was breached."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        held = runner.run(drive(options.directory, options.seed))
    return 0 if held else 1


if __name__ == "__main__":
    raise SystemExit(main())
