"""Callers of a soak run, which reuse connections and retry requests."""

import asyncio
import dataclasses
import random
import typing as t

from tools import soak_checks as checks
from tools import soak_client
from tools import soak_record
from tools import soak_upstreams

REQUEST_TIMEOUT_S = 2.5
# Time-outs of callers that request long work. Some reach the end of a stop
# and some that of the route's time-out.
PATIENCE_S = (3.0, 9.0)
ATTEMPTS_MAX = 4
# Longest Retry-After delay that is honoured, as a fraction of the time left.
RETRY_AFTER_FRACTION_MAX = 1 / 3
# Range of the pause between requests, by the load of a run.
THINK_TIME_S = {"busy": (0.0, 0.5), "quiet": (2.0, 10.0)}
RECONNECT_PAUSE_S = 0.1
# Statuses that are never retried.
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
CALLER_KINDS = (
    "browser",
    "submitter",
    "reader",
    "submitter",
    "impatient",
    "submitter",
)
# Callers of long work.
PATIENT_KINDS = ("patient browser", "patient reader", "patient submitter")
_End = soak_client.End


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of caller.

    :param target: path that it requests.
    :param honours_retry_after: whether it pauses before it retries.
    :param timeout_s: range of its time-outs, in seconds.
    :param think_time_s: range of its pauses, by default that of the load.
    """

    target: str
    honours_retry_after: bool = True
    timeout_s: tuple[float, float] = (REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_S)
    think_time_s: tuple[float, float] | None = None


KINDS = {
    "browser": Kind("/drawers/1"),
    "reader": Kind("/index/1"),
    "submitter": Kind("/desk/1"),
    "impatient": Kind("/drawers/1", honours_retry_after=False),
}
for _name, _service in zip(
    PATIENT_KINDS, soak_upstreams.ENTRY_SERVICES, strict=True
):
    KINDS[_name] = Kind(
        f"/{_service}{soak_record.LONG}/1",
        timeout_s=PATIENCE_S,
        think_time_s=(0.2, 1.0),
    )


class Caller:
    """A caller of one node.

    :param kind: kind of caller.
    :param host: address of the node.
    :param name: prefix of its request identifiers and random seed.
    :param keys: API keys to choose from.
    :param record: where finished requests are recorded.
    :param load: load of the run, a key of ``THINK_TIME_S``.
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
        self._think_time_s = kind.think_time_s or THINK_TIME_S[load]
        self._kind = kind
        self._idempotent = not kind.target.startswith(
            soak_client.NON_IDEMPOTENT_PREFIXES
        )
        self._host = host
        self._name = name
        self._keys = list(keys)
        self._record = record
        self._random = random.Random(name)
        self._connection: soak_client.ClientConnection | None = None
        self._sent = 0

    async def run(self, until: float) -> None:
        """Send requests one after another.

        :param until: loop time at which to stop, in seconds.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self._random.uniform(*self._think_time_s))
            await self._send_request()
        if self._connection is not None:
            self._connection.close()

    async def _send_request(self) -> None:
        """Send a request and retry it as far as the protocol allows."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._random.uniform(*self._kind.timeout_s)
        key = self._random.choice(self._keys)
        for attempt in range(ATTEMPTS_MAX):
            left_s = end - loop.time()
            if left_s < 0.05:
                return
            if attempt and self._connection is not None:
                self._connection.close()
                self._connection = None
            response = await self._attempt(key, left_s)
            if response.status == 401 and len(self._keys) > 1:
                self._keys.remove(key)
            if not self._should_retry(response):
                return
            await asyncio.sleep(self._pause_s(response, end - loop.time()))

    def _should_retry(self, response: soak_client.Response) -> bool:
        if response.end is _End.ANSWERED:
            if response.status < 300 or response.status in FINAL_STATUSES:
                return False
            return (
                self._idempotent or response.status in checks.NOT_RUN_STATUSES
            )
        if response.end in (_End.UNREAD, _End.NO_CONNECTION):
            return True
        return self._idempotent

    def _pause_s(self, response: soak_client.Response, left_s: float) -> float:
        if not self._kind.honours_retry_after:
            return 0.0
        if response.end is _End.NO_CONNECTION:
            return RECONNECT_PAUSE_S
        retry_after = response.headers.get("retry-after", "")
        if not retry_after:
            return self._random.uniform(0.0, 0.1)
        return max(
            0.0, min(float(retry_after), left_s * RETRY_AFTER_FRACTION_MAX)
        )

    async def _attempt(self, key: str, left_s: float) -> soak_client.Response:
        if self._connection is None or not self._connection.reusable:
            self._connection = await soak_client.ClientConnection.open(
                self._host
            )
        if self._connection is None:
            return soak_client.Response(_End.NO_CONNECTION)
        self._sent += 1
        name = f"{self._name}-{self._sent}"
        request = soak_client.Request(name, self._kind.target, left_s, key)
        response = await self._connection.send(request)
        self._record.sent.append(request.to_record(self._host, response))
        return response
