"""The two ends of a peer stream with a proxy between them."""

import asyncio
import dataclasses
import math
import random
import time
import typing as t

from savorytally import outcomes
from savorytally import settings
from savorytally import tls
from savorytally.peer import identity
from savorytally.peer import links
from savorytally.peer import messages
from savorytally.peer import server
from savorytally.world import host
from savorytally.world import region

from . import proxy

Run = t.Callable[[messages.Call], t.Awaitable[outcomes.Outcome]]


class Inbox:
    """Records the received control messages."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, messages.Message]] = []

    def deliver(self, sender: str, message: messages.Message) -> None:
        self.messages.append((sender, message))

    def newer_version_seen(self, sender: str, version: int) -> None:
        pass


class Gate:
    """A gate that records the calls that it runs.

    Running calls end while ``release`` is set. The answer's body is the
    call's path suffix, padded to ``body_bytes``.
    """

    def __init__(self) -> None:
        self.ran: list[int] = []
        self.release = asyncio.Event()
        self.release.set()
        self.body_bytes = 0

    async def run(self, call: messages.Call) -> outcomes.Outcome:
        self.ran.append(call.call_id)
        await self.release.wait()
        body = call.path_suffix.encode().ljust(self.body_bytes, b".")
        return outcomes.Answer(200, (("Content-Type", "x"),), body)


@dataclasses.dataclass
class Pair:
    """The links of a calling node, a proxy and the server of a serving one."""

    gate: Gate
    server: server.PeerServer
    proxy: proxy.Proxy
    links: links.Links
    inbox: Inbox

    @property
    def target(self) -> host.Host:
        """The serving host, addressed through the proxy."""
        place = region.Place("bagmati", "kirtipur")
        return host.Host(
            "right", "browse", place, "127.0.0.1", self.proxy.port
        )

    def call(self, number: int, **fields: t.Any) -> asyncio.Task[t.Any]:
        """Start a call."""
        request = call(number, **fields)
        return asyncio.ensure_future(self.links.call(self.target, request))

    async def stop(self) -> None:
        """Stop both ends and the proxy."""
        self.links.close()
        await self.server.stop()
        await self.proxy.stop()


def call(number: int, **fields: t.Any) -> messages.Call:
    """Return a call whose answer's body is distinct from other calls'.

    :param number: the call's identifier.
    :param fields: values of fields that differ from the defaults.
    """
    defaults = {
        "call_id": number,
        "root_id": f"{number:016x}",
        "route_id": "species",
        "organisation_id": "org1",
        "key_id": "0" * 16,
        "priority": 1,
        "path_suffix": f"call-{number}-",
        "query": "",
        "headers": (),
        "body": b"",
        "remaining_ms": 20_000,
        "retries": 3,
        "depth": 0,
        "attempt": 0,
        "idempotency_key": "",
        "fingerprint": 0,
        "suspect": False,
        "traceparent": "",
        "limit_per_s": math.inf,
    }
    return messages.Call(**{**defaults, **fields})


def handlers(run: Run, inbox: Inbox) -> server.Handlers:
    """Return the callbacks of a serving end."""
    return server.Handlers(
        run=run,
        shed_level=lambda call: 0,
        version=lambda: 1,
        inbox=inbox,
        now=time.monotonic,
    )


def make_links(
    inbox: Inbox, certificates: settings.Tls | None = None
) -> links.Links:
    """Return the links of a calling node."""
    own = identity.Identity("left", 1)
    context = tls.peer_client(certificates)
    return links.Links(
        links.LinkContext(own, lambda: 1, inbox, random.Random(1), context)
    )


async def start(
    port: int,
    run: Run | None = None,
    serving_tls: settings.Tls | None = None,
    calling_tls: settings.Tls | None = None,
) -> Pair:
    """Start a pair.

    :param run: runs the calls at the serving end; :meth:`Gate.run` by
        default.
    """
    inbox = Inbox()
    gate = Gate()
    serving_end = server.PeerServer(
        identity.Identity("right", 1),
        handlers(run or gate.run, inbox),
    )
    await serving_end.listen("127.0.0.1", port, tls.peer_server(serving_tls))
    proxy_between = proxy.Proxy(port, framed=serving_tls is None)
    await proxy_between.start()
    calling_end = make_links(inbox, calling_tls)
    return Pair(gate, serving_end, proxy_between, calling_end, inbox)


async def until(condition: t.Callable[[], bool]) -> None:
    """Wait until a condition is met."""
    while not condition():
        await asyncio.sleep(0.005)
