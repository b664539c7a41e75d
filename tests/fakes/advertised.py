"""Load on upstreams that advertise limits or that they are draining."""

import asyncio
import bisect
import collections
import dataclasses
import random
import typing as t

from fakes import mesh

LIMIT = "server-limit"
LEAVING = "server-leaving"
# The required bounds: from TOUCH_S after a limit was first advertised, a
# window may contain OVERAGE times the requests that the limit allows, plus
# SLACK.
TOUCH_S = 3.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
DRAIN_S = 2.0


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request of the load and its result."""

    name: str
    host: str
    at: float
    ended: float
    status: int
    retry_after_s: float | None


class Arrivals:
    """Records when requests reach an upstream."""

    def __init__(self, upstream: mesh.Upstream) -> None:
        self.at: list[float] = []
        self.names: list[str] = []
        self.ran: set[str] = set()
        upstream.observed = self._note

    def _note(self, name: str, ran: bool, headers: dict[str, str]) -> None:
        self.at.append(asyncio.get_running_loop().time())
        self.names.append(name)
        if ran:
            self.ran.add(name)

    def max_in_window(self, since: float) -> int:
        """Return the largest count in a window that starts after a time."""
        counts = [
            bisect.bisect_left(self.at, at + WINDOW_S) - first
            for first, at in enumerate(self.at)
            if at >= since
        ]
        return max(counts, default=0)

    def count_between(self, since: float, until: float) -> int:
        """Return how many requests arrived within a time span."""
        return bisect.bisect_left(self.at, until) - bisect.bisect_left(
            self.at, since
        )


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests a window may contain."""
    return OVERAGE * limit_per_s * WINDOW_S + SLACK


class Load:
    """Callers of all hosts that send requests at random times.

    :param there: the mesh.
    :param target: the path that they request.
    """

    def __init__(self, cluster: mesh.Mesh, target: str = "/drawers/1") -> None:
        self._cluster = cluster
        self._target = target
        self._random = random.Random(7)
        self.sent: list[SentRequest] = []
        # Addresses of hosts whose nodes are down.
        self.down: set[str] = set()

    async def run(self, rate_per_s: float, for_s: float) -> None:
        """Send requests for some time, and wait for all responses."""
        loop = asyncio.get_running_loop()
        end = loop.time() + for_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self._random.expovariate(rate_per_s))
                up = [
                    host
                    for host in self._cluster.hosts
                    if host.address not in self.down
                ]
                group.create_task(self._send(self._random.choice(up)))

    def served_fraction(self, since: float = 0.0, until: float = 1e9) -> float:
        """Return the fraction of requests in a time span that succeeded."""
        sent = [item for item in self.sent if since <= item.at < until]
        good = [item for item in sent if item.status == 200]
        return len(good) / max(1, len(sent))

    def statuses(self) -> t.Counter[int]:
        """Return how many requests ended with each status."""
        return collections.Counter(item.status for item in self.sent)

    async def _send(self, host: mesh.Host) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        name = f"load-{len(self.sent)}-{began:.6f}"
        reply = await self._cluster.send(host, self._target, request_id=name)
        status, retry_after_s = 0, None
        if reply is not None and hasattr(reply, "status"):
            status = reply.status
            text = reply.header(b"retry-after")
            retry_after_s = float(text) if text else None
        self.sent.append(
            SentRequest(
                name, host.address, began, loop.time(), status, retry_after_s
            )
        )
