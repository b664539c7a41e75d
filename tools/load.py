"""Drives a mesh through a normal, an overload and a recovery phase.

Callers arrive as a Poisson process whatever the mesh answers, and send a
failed request again at once. The report compares what the callers were told
with what the upstream stand-ins counted.
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
RESEND_PAUSE_S = 0.05
TIMEOUT_S = 2.0
OUTSTANDING_MAX = 2_000
RATE_NORMAL_PER_S = 12.0
RATE_SURGE_PER_S = 26.0
RATE_GREEDY_PER_S = 160.0
GREEDY = "org0"
SERVED_SHARE = 0.95
SETTLE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of the run.

    :param name: shown in the report.
    :param seconds: how long it lasts.
    :param surge: whether callers send more than usual.
    :param factor: slows the checklist service's work.
    """

    name: str
    seconds: float
    surge: bool = False
    factor: float = 1.0


PHASES = (
    Phase("normal", 6.0),
    Phase("trigger", 6.0, surge=True, factor=3.0),
    Phase("aftermath", 6.0, surge=True),
    Phase("recovery", 10.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """A route as callers use it."""

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
    """What one attempt of a caller came to.

    :param mark: travels with the request to every upstream.
    :param code: the result code, 0 if there was no response.
    :param whole: whether the answer is whole and belongs to the request.
    :param foreign: whether a successful answer belongs to another request.
    """

    mark: str
    code: int
    whole: bool
    foreign: bool


@dataclasses.dataclass(slots=True)
class Request:
    """One logical request with all its attempts."""

    number: int
    phase: Phase
    started_s: float
    organisation: str
    operation: Operation
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def served(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].whole

    @property
    def refused(self) -> bool:
        if not self.attempts:
            return False
        return self.attempts[-1].code // 1000 == 1

    @property
    def in_rate(self) -> bool:
        return not (self.phase.surge and self.organisation == GREEDY)


class Driver:
    """Sends the load and collects what came of it.

    :param ports: the ports of every host of the mesh.
    :param seed: of arrivals, organisations and routes.
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
        """Go through all phases and wait for the last answers."""
        self._origin = time.monotonic()
        end = 0.0
        for phase in PHASES:
            await self._slow_down(phase.factor)
            end += phase.seconds
            print(f"phase {phase.name}: {phase.seconds:g} s", flush=True)
            await self._arrivals(phase, end)
        if self._tasks:
            await asyncio.wait(self._tasks)
        await asyncio.sleep(SETTLE_S)

    async def accounts(self) -> list[dict[str, t.Any]]:
        """Return what each stand-in counted."""
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

    async def _slow_down(self, factor: float) -> None:
        port = self._ports["checklist-0"]["counts"]
        url = f"http://127.0.0.1:{port}/slowdown?factor={factor}"
        async with self._session.put(url):
            pass

    async def _arrivals(self, phase: Phase, end: float) -> None:
        usual = RATE_SURGE_PER_S if phase.surge else RATE_NORMAL_PER_S
        greedy = RATE_GREEDY_PER_S if phase.surge else usual
        rates = {f"org{number}": usual for number in range(mesh.ORGANISATIONS)}
        rates[GREEDY] = greedy
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
        if len(self._tasks) >= OUTSTANDING_MAX:
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
            request.attempts.append(await self._try(request, entry, number))
            if request.served:
                return
            await asyncio.sleep(RESEND_PAUSE_S)

    async def _try(self, request: Request, entry: str, number: int) -> Attempt:
        operation = request.operation
        mark = f"m{request.number}.{number}"
        key = mesh.key_of(request.organisation)
        sent = {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": f"k{request.number}",
        }
        if operation.method == "GET":
            del sent["Idempotency-Key"]
        url = f"{entry}{operation.target}?mark={mark}"
        try:
            async with self._session.request(
                operation.method, url, headers=sent
            ) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Attempt(mark, 0, False, False)
        code = int(response.headers.get("Savorytally-Result-Code", "0"))
        if response.status != 200:
            return Attempt(mark, code, False, False)
        # A repeated answer carries the mark of an earlier attempt.
        repeated = "Savorytally-Repeated" in response.headers
        ending = f" {operation.method} {operation.path}\n"
        own = mark if not repeated else f"m{request.number}."
        whole = text.startswith(own) and text.endswith(ending)
        return Attempt(mark, code, whole, not whole)


@dataclasses.dataclass(frozen=True, slots=True)
class Breaches:
    """Broken promises; all must be 0."""

    not_run_but_ran: int
    answers_of_others: int
    keys_seen: int
    doubled_executions: int
    over_retry_bound: int


def breaches(
    requests: list[Request], accounts: list[dict[str, t.Any]]
) -> Breaches:
    """Compare what callers were told with what upstreams counted."""
    runs: collections.Counter[str] = collections.Counter()
    keyed: collections.Counter[str] = collections.Counter()
    for account in accounts:
        runs.update(account["runs"])
        keyed.update(account["keyed"])
    lied = foreign = over = 0
    for request in requests:
        for attempt in request.attempts:
            ran = runs[f"{request.operation.path} {attempt.mark}"]
            lied += attempt.code // 1000 == 1 and ran > 0
            foreign += attempt.foreign
            over += ran > 1 + mesh.RETRIES_PER_ROOT
    return Breaches(
        not_run_but_ran=lied,
        answers_of_others=foreign,
        keys_seen=sum(account["key_seen"] for account in accounts),
        doubled_executions=sum(count > 1 for count in keyed.values()),
        over_retry_bound=over,
    )


def recovery_s(requests: list[Request]) -> float | None:
    """Return the time from the trigger's end until callers are served.

    Callers are served when in two seconds on end at least
    :data:`SERVED_SHARE` of the requests within rate have a whole answer.
    """
    trigger_end = sum(phase.seconds for phase in PHASES[:2])
    last = sum(phase.seconds for phase in PHASES)
    good: collections.Counter[int] = collections.Counter()
    sent: collections.Counter[int] = collections.Counter()
    for request in requests:
        if request.in_rate and request.started_s >= trigger_end:
            second = int(request.started_s - trigger_end)
            sent[second] += 1
            good[second] += request.served
    fine = [
        good[second] >= SERVED_SHARE * sent[second]
        for second in range(int(last - trigger_end))
    ]
    for second in range(len(fine) - 1):
        if fine[second] and fine[second + 1]:
            return float(second)
    return None


def report(driver: Driver, found: Breaches) -> None:
    """Print the figures of the run."""
    requests = driver.requests
    print(
        f"\n{'phase':<10} {'offered/s':>9} {'goodput/s':>9} {'served':>7} "
        f"{'worst organisation':>19} {'in-rate refusals':>17}"
    )
    for phase in PHASES:
        inside = [item for item in requests if item.phase is phase]
        good = sum(item.served for item in inside)
        refused = sum(item.in_rate and item.refused for item in inside)
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
    listed = ", ".join(f"{code}: {codes[code]}" for code in sorted(codes))
    print(f"attempts by result code: {listed}")
    print("promise breaches:")
    for field in dataclasses.fields(found):
        name = field.name.replace("_", " ")
        print(f"  {name}: {getattr(found, field.name)}")


def _by_organisation(inside: list[Request]) -> dict[str, list[Request]]:
    groups: dict[str, list[Request]] = {}
    for item in inside:
        if item.in_rate:
            groups.setdefault(item.organisation, []).append(item)
    return groups


async def drive(directory: pathlib.Path, seed: int) -> bool:
    """Run the load and print the report; return whether promises held."""
    ports = json.loads((directory / "mesh.json").read_text("utf-8"))["ports"]
    driver = Driver(ports, seed)
    try:
        await driver.run()
        found = breaches(driver.requests, await driver.accounts())
    finally:
        await driver.close()
    report(driver, found)
    return not any(dataclasses.astuple(found))


def main() -> int:
    """Run the program; the exit code is 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        kept = runner.run(drive(given.directory, given.seed))
    return 0 if kept else 1


if __name__ == "__main__":
    raise SystemExit(main())
