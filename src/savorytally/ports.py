"""The narrow seam between a node and everything outside it.

A whole node is composed against these protocols, so that it can run without
opening a port; the ``http`` and ``peer`` packages implement them for real.
"""

import asyncio
import dataclasses
import random
import typing as t

from . import clock
from . import outcomes
from .peer import messages
from .world import host


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """One request to the local upstream.

    :param method: the HTTP method.
    :param path: the absolute path.
    :param query: the query string without the question mark.
    :param headers: request headers, free of the caller's key.
    :param body: the whole body.
    """

    method: str
    path: str
    query: str
    headers: outcomes.Headers
    body: bytes


class Upstream(t.Protocol):
    """The local upstream."""

    async def exchange(
        self, request: UpstreamRequest, timeout_s: float
    ) -> outcomes.Outcome:
        """Send a request and return its whole answer or a failure.

        Cancelling the awaiting task cancels the request.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """What became of a call to another host.

    :param outcome: the answer or failure.
    :param level: the gate's shed level, -1 if the gate said nothing.
    """

    outcome: outcomes.Outcome
    level: int = -1


Late = t.Callable[[CallResult], None]


class Withdrawn(asyncio.CancelledError):
    """A call was cancelled; tells what had become of it.

    :param outcome: the failure that its sender is told.
    """

    def __init__(self, outcome: outcomes.Failure) -> None:
        super().__init__(outcome.code.name)
        self.outcome = outcome


class Peers(t.Protocol):
    """The nodes of other hosts, and this one under its own name."""

    async def call(
        self,
        target: host.Host,
        call: messages.Call,
        late: Late | None = None,
    ) -> CallResult:
        """Run a call at the target's gate.

        Cancelling the awaiting task sends ``Cancel`` to the gate.

        :param late: called with the result of a call that was cancelled.
        """

    def send(self, target: host.Host, message: messages.Message) -> None:
        """Send a control message; it may be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """One value that the platform publishes.

    :param name: its name.
    :param version: rises with every change of it.
    :param body: JSON text of at most a megabyte.
    """

    name: str
    version: int
    body: bytes


class Platform(t.Protocol):
    """The platform's service, which can only be read and watched."""

    async def read(self, name: str, after: int, wait_s: float) -> Value | None:
        """Return a value that is newer than version ``after``.

        :param wait_s: how long to wait for one; 0 to return at once.
        :return: ``None`` if there is none in that time.
        :raises OSError: if the platform can't be read.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Outside:
    """Everything that a node is given.

    :param clock: the host's clock.
    :param random: seeded random source.
    :param peers: the other nodes.
    :param upstream: the local upstream.
    :param platform: the platform's service.
    """

    clock: clock.Clock
    random: random.Random
    peers: Peers
    upstream: Upstream
    platform: Platform


class Drain(t.Protocol):
    """The graceful stop of a node."""

    @property
    def draining(self) -> bool:
        """Whether the node takes no new work."""

    def drain(self) -> None:
        """Begin a graceful stop and return at once.

        The node refuses new work, finishes its requests in progress and
        ends its process. A repeated call changes nothing.
        """
