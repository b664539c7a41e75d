"""Measures the latency that two nodes add to a call.

Of each pair of requests one goes directly to the upstream and one through
two nodes, in random order. Pairs arrive as an open-loop Poisson process at
half of the nodes' capacity, which is measured first. Percentiles come from
histograms with buckets of 2 %.
"""

import argparse
import asyncio
import dataclasses
import json
import math
import pathlib
import random
import time

import aiohttp
import uvloop

from . import mesh

TARGET_MS = 1.3
SATURATION_CALLERS = 32
SATURATION_S = 4.0
BUCKET_RATIO = 1.02
NODE_PATH = "/checklist/pull"
UPSTREAM_PATH = "/pull"


class Histogram:
    """A histogram of durations with geometric buckets."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self.total = 0

    def add(self, seconds: float) -> None:
        """Add one duration."""
        bucket = math.ceil(
            math.log(max(seconds, 1e-6)) / math.log(BUCKET_RATIO)
        )
        self._counts[bucket] = self._counts.get(bucket, 0) + 1
        self.total += 1

    def quantile_ms(self, share: float) -> float:
        """Return a quantile in milliseconds.

        :param share: the quantile, from 0 to 1.
        """
        wanted = share * self.total
        for bucket in sorted(self._counts):
            wanted -= self._counts[bucket]
            if wanted <= 0:
                return BUCKET_RATIO**bucket * 1000
        return math.nan


@dataclasses.dataclass(frozen=True, slots=True)
class Urls:
    """The two URLs of the upstream, and the processes of the nodes.

    :param through: URL at the entry of another host's node.
    :param straight: URL at the upstream itself.
    :param processes: process identifiers of the two nodes.
    """

    through: str
    straight: str
    processes: tuple[int, ...]


def processor_time_s(processes: tuple[int, ...]) -> float:
    """Return the processor time that processes have used, in seconds."""
    ticks = 0
    for process in processes:
        stat = pathlib.Path(f"/proc/{process}/stat").read_text("ascii")
        fields = stat.rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / 100


class Measurement:
    """One run of the measurement.

    :param urls: URLs of the upstream, directly and through the nodes.
    :param seed: seed of the arrivals and of the order in each pair.
    """

    def __init__(self, urls: Urls, seed: int) -> None:
        self.straight = Histogram()
        self.through = Histogram()
        self.added = Histogram()
        self.failed = 0
        self._urls = urls
        self._random = random.Random(seed)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def saturation_per_s(self) -> float:
        """Return the calls per second that the nodes can serve."""
        end = time.perf_counter() + SATURATION_S
        before = processor_time_s(self._urls.processes)

        async def repeat() -> int:
            done = 0
            while time.perf_counter() < end:
                done += await self._request(self._urls.through) is not None
            return done

        counts = await asyncio.gather(
            *(repeat() for _ in range(SATURATION_CALLERS))
        )
        rate = sum(counts) / SATURATION_S
        used = processor_time_s(self._urls.processes) - before
        print(f"saturation: {rate:.0f} calls/s, {SATURATION_CALLERS} callers")
        print(
            f"nodes' processor time: {used / sum(counts) * 1e6:.0f} us/call, "
            f"{sum(counts) / used:.0f} calls/s per core, both nodes together"
        )
        return rate

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Send pairs of requests as a Poisson process.

        :param rate_per_s: pairs per second.
        :param seconds: duration.
        """
        tasks = set()
        started = time.perf_counter()
        due = 0.0
        while (due := due + self._random.expovariate(rate_per_s)) < seconds:
            wait_s = started + due - time.perf_counter()
            await asyncio.sleep(max(wait_s, 0))
            task = asyncio.ensure_future(self._pair())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    async def _pair(self) -> None:
        both = [self._urls.straight, self._urls.through]
        order = both[:: self._random.choice((1, -1))]
        durations_s = {url: await self._request(url) for url in order}
        straight, through = (durations_s[url] for url in both)
        if straight is None or through is None:
            self.failed += 1
            return
        self.straight.add(straight)
        self.through.add(through)
        self.added.add(max(through - straight, 0.0))

    async def _request(self, url: str) -> float | None:
        key = mesh.key_of("org0")
        headers = {"Authorization": f"Bearer {key}"}
        if url == self._urls.straight:
            headers = {}
        started = time.perf_counter()
        async with self._session.get(url, headers=headers) as response:
            await response.read()
            if response.status != 200:
                return None
        return time.perf_counter() - started


async def measure(options: argparse.Namespace) -> bool:
    """Print the figures and return whether the target was met."""
    text = (options.directory / "mesh.json").read_text("utf-8")
    ports = json.loads(text)["ports"]
    urls = Urls(
        through=f"http://127.0.0.1:{ports['browse-0']['entry']}{NODE_PATH}",
        straight=(
            f"http://127.0.0.1:{ports['checklist-0']['upstream']}"
            f"{UPSTREAM_PATH}"
        ),
        processes=tuple(options.process),
    )
    measurement = Measurement(urls, options.seed)
    try:
        saturation = await measurement.saturation_per_s()
        # A pair sends one call through the nodes.
        rate = options.rate or saturation / 2
        await measurement.run(rate, options.seconds)
    finally:
        await measurement.close()
    print(f"open loop: {rate:.0f} pairs/s, {options.seconds:g} s")
    print(f"{'':<22} {'p50 ms':>7} {'p99 ms':>7}")
    for name in ("straight", "through", "added"):
        found = getattr(measurement, name)
        print(
            f"{name:<22} {found.quantile_ms(0.5):>7.2f} "
            f"{found.quantile_ms(0.99):>7.2f}"
        )
    difference = measurement.through.quantile_ms(0.99)
    difference -= measurement.straight.quantile_ms(0.99)
    added = measurement.added.quantile_ms(0.99)
    print(f"p99 through - p99 straight: {difference:.2f} ms")
    print(f"pairs: {measurement.added.total}, failed: {measurement.failed}")
    met = added <= TARGET_MS
    verdict = "met" if met else "not met"
    print(f"target: {TARGET_MS} ms added for 99 in 100: {verdict}")
    return met


def main() -> int:
    """Run the program; the exit code is 1 if the target was not met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--process", type=int, action="append", default=[])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--rate",
        type=float,
        default=0.0,
        help="pairs a second, half of saturation by default",
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        met = runner.run(measure(options))
    return 0 if met else 1


if __name__ == "__main__":
    raise SystemExit(main())
