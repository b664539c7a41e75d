"""Interfaces between a node and its environment.

A node depends on these protocols only, so that tests can run one without
opening a port. The ``http`` and ``peer`` packages implement them.
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
    """A request to the local upstream.

    :param method: the HTTP method.
    :param path: the absolute path.
    :param query: the query string without the question mark.
    :param headers: the request headers, without the caller's API key.
    :param body: the whole body.
    """

    method: str
    path: str
    query: str
    headers: outcomes.Headers
    body: bytes


class Upstream(t.Protocol):
    """Client of the local upstream."""

    async def exchange(
        self, request: UpstreamRequest, timeout_s: float
    ) -> outcomes.Outcome:
        """Send a request and return the whole response or a failure.

        Cancelling the awaiting task cancels the request.

        :param request: the request.
        :param timeout_s: time until the whole response, in seconds.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call to another host.

    :param outcome: the response or failure.
    :param level: shed level of the called gate, -1 if it is unknown.
    """

    outcome: outcomes.Outcome
    level: int = -1


LateResult = t.Callable[[CallResult], None]


class CallCancelled(asyncio.CancelledError):
    """A call was cancelled.

    :param outcome: the failure that its sender receives, which states
        whether the call ran.
    """

    def __init__(self, outcome: outcomes.Failure) -> None:
        super().__init__(outcome.code.name)
        self.outcome = outcome


class Peers(t.Protocol):
    """Client of the nodes of all hosts, including this one."""

    async def call(
        self,
        target: host.Host,
        call: messages.Call,
        late: LateResult | None = None,
    ) -> CallResult:
        """Run a call at the target's gate.

        Cancelling the awaiting task sends ``Cancel`` to the gate.

        :param target: the host that runs the call.
        :param call: the call.
        :param late: called with the result of a call that was cancelled,
            if one arrives.
        """

    def send(self, target: host.Host, message: messages.Message) -> None:
        """Send a control message, without a guarantee of delivery."""


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A value that the platform publishes.

    :param name: name of the value.
    :param version: number that increases with every change of the value.
    :param body: JSON text of at most a megabyte.
    """

    name: str
    version: int
    body: bytes


class Platform(t.Protocol):
    """Read-only client of the platform's service."""

    async def read(self, name: str, after: int, wait_s: float) -> Value | None:
        """Return a value that is newer than version ``after``.

        :param name: name of the value.
        :param after: the last version that is known, 0 for none.
        :param wait_s: time to wait for a newer version in seconds, 0 to
            return immediately.
        :return: ``None`` if there is no newer version in that time.
        :raises OSError: if the platform can't be read.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """The environment of a node.

    :param clock: the host's clock.
    :param random: seeded random source.
    :param peers: client of the other nodes.
    :param upstream: client of the local upstream.
    :param platform: client of the platform's service.
    """

    clock: clock.Clock
    random: random.Random
    peers: Peers
    upstream: Upstream
    platform: Platform


class Drain(t.Protocol):
    """Control of a node's graceful stop."""

    @property
    def draining(self) -> bool:
        """Whether the node is stopping and refuses new work."""

    def drain(self) -> None:
        """Start a graceful stop and return immediately.

        The node refuses new work, finishes its requests in progress and
        ends its process. Further calls have no effect.
        """
