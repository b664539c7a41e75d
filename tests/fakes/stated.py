"""Upstreams that name limits or say that they leave, under a load."""

import asyncio
import bisect
import collections
import dataclasses
import random
import typing as t

from fakes import mesh

LIMIT = "server-limit"
LEAVING = "server-leaving"
# The stated bounds: from TOUCH_S after a limit was first named, a window
# holds at most OVERAGE of what the limit allows and SLACK requests.
TOUCH_S = 3.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
DRAIN_S = 2.0


@dataclasses.dataclass(frozen=True)
class Asked:
    """A request of the load and its end."""

    name: str
    host: str
    at: float
    ended: float
    status: int
    retry_after_s: float | None


class Arrivals:
    """When requests came to an upstream."""

    def __init__(self, upstream: mesh.Upstream) -> None:
        self.at: list[float] = []
        self.names: list[str] = []
        self.ran: set[str] = set()
        upstream.observed = self._note

    def _note(self, name: str, ran: bool, given: dict[str, str]) -> None:
        self.at.append(asyncio.get_running_loop().time())
        self.names.append(name)
        if ran:
            self.ran.add(name)

    def most(self, since: float) -> int:
        """Return the most that came in a window that begins later."""
        counts = [
            bisect.bisect_left(self.at, at + WINDOW_S) - first
            for first, at in enumerate(self.at)
            if at >= since
        ]
        return max(counts, default=0)

    def between(self, since: float, until: float) -> int:
        """Return how many came in a time."""
        return bisect.bisect_left(self.at, until) - bisect.bisect_left(
            self.at, since
        )


def allowed(limit_per_s: float) -> float:
    """Return the requests that a window may hold."""
    return OVERAGE * limit_per_s * WINDOW_S + SLACK


class Load:
    """Callers of all hosts, who ask at random times.

    :param there: the mesh.
    :param target: what they ask for.
    """

    def __init__(self, there: mesh.Mesh, target: str = "/drawers/1") -> None:
        self._there = there
        self._target = target
        self._random = random.Random(7)
        self.asked: list[Asked] = []
        # Hosts whose nodes are down.
        self.down: set[str] = set()

    async def run(self, rate_per_s: float, for_s: float) -> None:
        """Ask for a time, and wait for all answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + for_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self._random.expovariate(rate_per_s))
                up = [
                    host
                    for host in self._there.hosts
                    if host.address not in self.down
                ]
                group.create_task(self._ask(self._random.choice(up)))

    def served(self, since: float = 0.0, until: float = 1e9) -> float:
        """Return the part of the requests of a time that was answered."""
        asked = [item for item in self.asked if since <= item.at < until]
        good = [item for item in asked if item.status == 200]
        return len(good) / max(1, len(asked))

    def statuses(self) -> t.Counter[int]:
        """Return how many requests ended with each status."""
        return collections.Counter(item.status for item in self.asked)

    async def _ask(self, host: mesh.Host) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        name = f"load-{len(self.asked)}-{began:.6f}"
        reply = await self._there.send(host, self._target, request_id=name)
        status, told = 0, None
        if reply is not None and hasattr(reply, "status"):
            status = reply.status
            text = reply.header(b"retry-after")
            told = float(text) if text else None
        self.asked.append(
            Asked(name, host.address, began, loop.time(), status, told)
        )
