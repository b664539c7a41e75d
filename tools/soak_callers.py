"""Callers of a soak: each keeps a connection to its node and comes back."""

import asyncio
import dataclasses
import random
import typing as t

from tools import soak_checks as checks
from tools import soak_record
from tools import soak_wire

LEFT_S = 2.5
ATTEMPTS = 4
# Part of the time left up to which Retry-After is honoured.
COME_BACK_PART = 1 / 3
# Pauses between requests, by the load of a run.
THINK_S = {"busy": (0.0, 0.5), "quiet": (2.0, 10.0)}
UNREACHED_S = 0.1
# Answers after which no caller comes back.
FINAL = frozenset((400, 401, 404, 413, 431))
CALLERS = (
    "browser",
    "submitter",
    "reader",
    "submitter",
    "presser",
    "submitter",
)
_End = soak_wire.End


@dataclasses.dataclass(frozen=True)
class Kind:
    """What a caller does.

    :param target: what it asks for.
    :param waits: whether it waits as it is told.
    """

    target: str
    waits: bool = True


KINDS = {
    "browser": Kind("/drawers/1"),
    "reader": Kind("/index/1"),
    "submitter": Kind("/desk/1"),
    "presser": Kind("/drawers/1", waits=False),
}


class Caller:
    """A caller of one node.

    :param kind: what it does.
    :param host: the node's address.
    :param name: begins the identifiers of its requests.
    :param keys: keys that it may use.
    :param record: takes what it sees.
    :param load: how often it sends.
    """

    def __init__(
        self,
        kind: Kind,
        host: str,
        name: str,
        keys: t.Sequence[str],
        record: soak_record.Record,
        load: str,
    ) -> None:
        self._think_s = THINK_S[load]
        self._kind = kind
        self._safe = not kind.target.startswith(soak_wire.ONCE)
        self._host = host
        self._name = name
        self._keys = list(keys)
        self._record = record
        self._random = random.Random(name)
        self._wire: soak_wire.Wire | None = None
        self._sent = 0

    async def run(self, until: float) -> None:
        """Send requests one after the other."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self._random.uniform(*self._think_s))
            await self._ask()
        if self._wire is not None:
            self._wire.close()

    async def _ask(self) -> None:
        """Send a request, and again as the protocol allows."""
        loop = asyncio.get_running_loop()
        end = loop.time() + LEFT_S
        key = self._random.choice(self._keys)
        for attempt in range(ATTEMPTS):
            left_s = end - loop.time()
            if left_s < 0.05:
                return
            if attempt and self._wire is not None:
                self._wire.close()
                self._wire = None
            reply = await self._attempt(key, left_s)
            if reply.status == 401 and len(self._keys) > 1:
                self._keys.remove(key)
            if not self._comes_back(reply):
                return
            await asyncio.sleep(self._pause_s(reply, end - loop.time()))

    def _comes_back(self, reply: soak_wire.Reply) -> bool:
        if reply.end is _End.ANSWERED:
            if reply.status < 300 or reply.status in FINAL:
                return False
            return self._safe or reply.status in checks.PROMISES
        if reply.end in (_End.UNREAD, _End.NO_CONNECTION):
            return True
        return self._safe

    def _pause_s(self, reply: soak_wire.Reply, left_s: float) -> float:
        if not self._kind.waits:
            return 0.0
        if reply.end is _End.NO_CONNECTION:
            return UNREACHED_S
        told = reply.headers.get("retry-after", "")
        if not told:
            return self._random.uniform(0.0, 0.1)
        return max(0.0, min(float(told), left_s * COME_BACK_PART))

    async def _attempt(self, key: str, left_s: float) -> soak_wire.Reply:
        if self._wire is None or not self._wire.reusable:
            self._wire = await soak_wire.Wire.open(self._host)
        if self._wire is None:
            return soak_wire.Reply(_End.NO_CONNECTION)
        self._sent += 1
        name = f"{self._name}-{self._sent}"
        request = soak_wire.Request(name, self._kind.target, left_s, key)
        reply = await self._wire.send(request)
        self._record.sent.append(request.ended(self._host, reply))
        return reply
