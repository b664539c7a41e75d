"""Outgoing streams, one for each peer in use, and the calls on them."""

import asyncio
import dataclasses
import ssl
import typing as t

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from ..world import host
from . import answers
from . import codec
from . import messages
from . import stream


class Inbox(t.Protocol):
    """Takes in what peers say beside calls and answers."""

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Called for every control message, with the sender's host."""

    def behind(self, sender: str, version: int) -> None:
        """Called when a peer has a newer configuration than this node."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """How this node presents itself to its peers.

    :param host_id: its host.
    :param incarnation: its start time in milliseconds.
    """

    host_id: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class _Outstanding:
    """A call whose outcome has not arrived."""

    future: asyncio.Future[ports.CallResult]
    assembly: answers.Assembly | None = None


class Link:
    """The outgoing stream to one peer.

    :param target: the peer's host.
    :param identity: this node.
    :param version: returns the configuration version to stamp on frames.
    :param inbox: takes control messages that arrive on the stream.
    :param tls: context for mutual TLS, ``None`` for plain TCP.
    """

    def __init__(
        self,
        target: host.Host,
        identity: Identity,
        version: t.Callable[[], int],
        inbox: Inbox,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._target = target
        self._identity = identity
        self._version = version
        self._inbox = inbox
        self._tls = tls
        self._stream: stream.Stream | None = None
        self._connecting: asyncio.Task[stream.Stream] | None = None
        self._calls: dict[int, _Outstanding] = {}

    async def call(self, call: messages.Call) -> ports.CallResult:
        """Run a call at the peer's gate and return its result."""
        try:
            connected = await self._connected()
        except OSError as error:
            failure = outcomes.Failure(
                results.NOT_DISPATCHED,
                str(error),
                retries_unused=call.retries,
            )
            return ports.CallResult(failure)
        future = asyncio.get_running_loop().create_future()
        self._calls[call.call_id] = _Outstanding(future)
        connected.send(call)
        allowed_ms = call.remaining_ms + defaults.ANSWER_MARGIN_MS
        timeout_s = allowed_ms / 1000
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            self._cancel(call)
            return ports.CallResult(outcomes.Failure(results.DEADLINE_UNKNOWN))
        except asyncio.CancelledError:
            self._cancel(call)
            raise
        finally:
            self._calls.pop(call.call_id, None)

    def send(self, message: messages.Message) -> None:
        """Send a control message if the stream is open, else connect."""
        if self._stream is not None and self._stream.open:
            self._stream.send(message)
            return
        task = asyncio.ensure_future(self._connected())
        task.add_done_callback(lambda done: self._send_late(done, message))

    def close(self) -> None:
        """Say goodbye and close the stream."""
        if self._stream is not None:
            self._stream.send(messages.Goodbye(leaving=False))
            self._stream.close()

    def opened(self, opened: stream.Stream) -> None:
        """Introduce this node."""
        opened.host_id = self._target.host_id
        opened.send(
            messages.Hello(
                protocol=messages.PROTOCOL_VERSION,
                host_id=self._identity.host_id,
                incarnation=self._identity.incarnation,
            )
        )

    def received(self, source: stream.Stream, frame: codec.Frame) -> None:
        """Take in an answer or a control message."""
        message = frame.message
        if isinstance(message, messages.AnswerHead):
            self._answer(message)
        elif isinstance(message, messages.AnswerPiece):
            self._piece(message)
        elif isinstance(message, messages.CallFailed):
            failure = answers.to_failure(message)
            self._finish(message.call_id, failure, message.load)
        elif isinstance(message, messages.Hello):
            source.incarnation = message.incarnation
        else:
            self._inbox.deliver(self._target.host_id, message)

    def behind(self, source: stream.Stream, version: int) -> None:
        """Pass on that the peer has a newer configuration."""
        self._inbox.behind(self._target.host_id, version)

    def closed(self, closed: stream.Stream) -> None:
        """End the outstanding calls; their outcome is unknown."""
        if closed is self._stream:
            self._stream = None
        for call_id in list(self._calls):
            failure = outcomes.Failure(results.OUTCOME_UNKNOWN)
            self._finish(call_id, failure, -1)

    async def _connected(self) -> stream.Stream:
        if self._stream is not None and self._stream.open:
            return self._stream
        if self._connecting is None or self._connecting.done():
            self._connecting = asyncio.ensure_future(self._connect())
        return await asyncio.shield(self._connecting)

    async def _connect(self) -> stream.Stream:
        loop = asyncio.get_running_loop()
        connection = loop.create_connection(
            lambda: stream.Stream(self, self._version),
            self._target.address,
            self._target.peer_port,
            ssl=self._tls,
        )
        timeout_s = defaults.CONNECT_TIMEOUT_S
        _, opened = await asyncio.wait_for(connection, timeout_s)
        self._stream = opened
        return opened

    def _send_late(
        self,
        done: asyncio.Future[stream.Stream],
        message: messages.Message,
    ) -> None:
        if not done.cancelled() and done.exception() is None:
            done.result().send(message)

    def _cancel(self, call: messages.Call) -> None:
        if self._stream is not None and self._stream.open:
            self._stream.send(messages.Cancel(call.call_id))

    def _answer(self, head: messages.AnswerHead) -> None:
        outstanding = self._calls.get(head.call_id)
        if outstanding is None:
            return
        outstanding.assembly = answers.Assembly(head)
        self._finish_if_complete(head.call_id, outstanding.assembly)

    def _piece(self, piece: messages.AnswerPiece) -> None:
        outstanding = self._calls.get(piece.call_id)
        if outstanding is None or outstanding.assembly is None:
            return
        outstanding.assembly.add(piece.body)
        self._finish_if_complete(piece.call_id, outstanding.assembly)

    def _finish_if_complete(
        self, call_id: int, assembly: answers.Assembly
    ) -> None:
        if assembly.complete:
            self._finish(call_id, assembly.outcome(), assembly.head.load)

    def _finish(
        self, call_id: int, outcome: outcomes.Outcome, level: int
    ) -> None:
        outstanding = self._calls.pop(call_id, None)
        if outstanding is not None and not outstanding.future.done():
            outstanding.future.set_result(ports.CallResult(outcome, level))


class Links:
    """All outgoing streams of a node.

    :param identity: this node.
    :param version: returns the configuration version to stamp on frames.
    :param inbox: takes control messages.
    :param tls: context for mutual TLS, ``None`` for plain TCP.
    """

    def __init__(
        self,
        identity: Identity,
        version: t.Callable[[], int],
        inbox: Inbox,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._identity = identity
        self._version = version
        self._inbox = inbox
        self._tls = tls
        self._links: dict[str, tuple[host.Host, Link]] = {}

    async def call(
        self, target: host.Host, call: messages.Call
    ) -> ports.CallResult:
        """Run a call at the target's gate."""
        return await self._link(target).call(call)

    def send(self, target: host.Host, message: messages.Message) -> None:
        """Send a control message; it may be lost."""
        self._link(target).send(message)

    def close(self) -> None:
        """Close all streams."""
        for _, link in self._links.values():
            link.close()
        self._links.clear()

    def _link(self, target: host.Host) -> Link:
        known = self._links.get(target.host_id)
        if known is not None and known[0] == target:
            return known[1]
        link = Link(
            target, self._identity, self._version, self._inbox, self._tls
        )
        self._links[target.host_id] = (target, link)
        return link
