"""The outgoing streams of a node, one for each peer in use."""

import asyncio
import dataclasses
import random
import ssl
import typing as t

from .. import defaults
from .. import ports
from ..world import host
from . import identity
from . import link
from . import messages


class Inbox(t.Protocol):
    """Receives control messages and notices of newer configurations."""

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Called for every control message with the sender's host."""

    def newer_version_seen(self, sender: str, version: int) -> None:
        """Called when a peer has a newer configuration than this node."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkContext:
    """Settings and callbacks that all links of a node share.

    :param identity: identity of this node.
    :param version: returns the configuration version to put into frames.
    :param inbox: receives control messages.
    :param random: seeded random source for the jitter of reconnections.
    :param tls: context for mutual TLS, ``None`` for plain TCP.
    """

    identity: identity.Identity
    version: t.Callable[[], int]
    inbox: Inbox
    random: random.Random
    tls: ssl.SSLContext | None = None


class Links:
    """The outgoing streams of a node.

    :param shared: settings and callbacks that all links share.
    """

    def __init__(self, shared: LinkContext) -> None:
        self._shared = shared
        self._links: dict[str, link.Link] = {}
        self._replaced_links: list[link.Link] = []
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._links)

    @property
    def outstanding(self) -> int:
        """Number of calls to all peers that await their results."""
        return sum(item.outstanding for item in self._links.values())

    async def call(
        self,
        target: host.Host,
        call: messages.Call,
        late: ports.LateResult | None = None,
    ) -> ports.CallResult:
        """Run a call at the target's gate and return its result.

        :param late: called with the result of a call that was cancelled.
        """
        return await self._link(target).call(call, late)

    def send(self, target: host.Host, message: messages.Message) -> None:
        """Send a control message without a guarantee of delivery."""
        self._link(target).send(message)

    def close(self) -> None:
        """Close all streams."""
        if self._timer is not None:
            self._timer.cancel()
        for item in (*self._links.values(), *self._replaced_links):
            item.close()
        self._links.clear()
        self._replaced_links.clear()

    def _link(self, target: host.Host) -> link.Link:
        existing = self._links.get(target.host_id)
        if existing is not None:
            # Routing passes the host list's own objects, so that comparing
            # identities first is usually enough.
            if existing.target is target or _same_address(
                existing.target, target
            ):
                return existing
            self._replaced_links.append(existing)
        added = link.Link(target, self._shared)
        self._links[target.host_id] = added
        if self._timer is None:
            self._schedule()
        return added

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(defaults.CONTROL_TICK_S, self._tick)

    def _tick(self) -> None:
        self._schedule()
        now = asyncio.get_running_loop().time()
        for item in list(self._links.values()):
            item.tick(now)
            if item.idle(now):
                item.close()
                del self._links[item.target.host_id]
        for item in self._replaced_links[:]:
            item.tick(now)
            if not item.outstanding:
                item.close()
                self._replaced_links.remove(item)


def _same_address(one: host.Host, other: host.Host) -> bool:
    return (one.address, one.peer_port) == (other.address, other.peer_port)
