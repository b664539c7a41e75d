"""The outgoing stream to one peer and the calls on it.

When the stream is lost while calls are pending, the link opens another one
and queries the state of the calls that were already sent.
"""

import asyncio
import dataclasses
import typing as t

from absl import logging

from .. import defaults
from .. import logs
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import liveness
from ..world import host
from . import answers
from . import messages
from . import pending_calls
from . import stream

if t.TYPE_CHECKING:
    from . import links


class Link:
    """The outgoing stream to one peer, reopened when it is lost.

    :param target: the peer's host.
    :param shared: settings and callbacks that all links of a node share.
    """

    def __init__(self, target: host.Host, shared: "links.LinkContext") -> None:
        self.target = target
        self._shared = shared
        self._loop = asyncio.get_running_loop()
        self._stream: stream.Stream | None = None
        self._handshake_done = False
        self._connecting: asyncio.Task[None] | None = None
        self._handshake: asyncio.Future[None] = self._loop.create_future()
        self._backoff = liveness.Backoff(shared.random)
        self._health = liveness.StreamHealth(self._loop.time())
        self._calls = pending_calls.PendingCalls(self._expire)
        self._queued_control: list[messages.Message] = []
        self._peer_leaving = False
        self._disconnected_at: float | None = None
        self._last_ping = 0
        self._last_used_at = self._loop.time()

    @property
    def outstanding(self) -> int:
        """Number of calls that await their results."""
        return len(self._calls)

    @property
    def connected(self) -> bool:
        """Whether a stream is open and its handshake has completed."""
        opened = self._stream
        return self._handshake_done and opened is not None and opened.open

    def idle(self, now: float) -> bool:
        """Return whether the link has been unused for ``STREAM_IDLE_S``.

        :param now: time of the event loop in seconds.
        """
        last_used_at = self._last_used_at
        if self._stream is not None:
            last_used_at = max(last_used_at, self._stream.last_sent_at)
        return not self._calls and now - last_used_at > defaults.STREAM_IDLE_S

    async def call(
        self, call: messages.Call, late: ports.LateResult | None = None
    ) -> ports.CallResult:
        """Run a call at the peer's gate and return its result.

        :param late: called with the result of a call that was cancelled.
        """
        refused = self._refusal()
        if refused is not None:
            return ports.CallResult(refused)
        pending = self._calls.register(call, late)
        self._last_used_at = pending.registered_at
        if self.connected:
            self._dispatch(pending)
        else:
            self._connect()
        try:
            return await pending.future
        except asyncio.CancelledError:
            self._cancel_call(pending)
            raise

    def send(self, message: messages.Message) -> None:
        """Send a control message without a guarantee of delivery."""
        self._last_used_at = self._loop.time()
        if self.connected:
            if self._stream.writable:
                self._stream.send(message)
            return
        if len(self._queued_control) < defaults.STREAM_CONTROL_MAX:
            self._queued_control.append(message)
        self._connect()

    def tick(self, now: float) -> None:
        """Check the stream's health and settle ended calls.

        Called every ``CONTROL_TICK_S``.

        :param now: time of the event loop in seconds.
        """
        if self._disconnected_at is not None:
            self._connect()
        if not self.connected:
            return
        opened = self._stream
        expecting_data = (
            bool(self._calls) or opened.last_sent_at > opened.last_received_at
        )
        check = self._health.check(
            expecting_data, opened.last_received_at, now
        )
        if check is liveness.Check.PING:
            self._last_ping += 1
            opened.send(messages.Heartbeat(self._last_ping, False))
        elif check is liveness.Check.UNRESPONSIVE:
            log_fields = logs.fields(peer=self.target.host_id)
            logging.warning("stream is silent", extra=log_fields)
            opened.abort()
        settled = self._calls.take_settled_message(now)
        if settled is not None:
            opened.send(settled)

    def close(self) -> None:
        """Send a goodbye, close the stream and end all pending calls."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._stream is not None and self._stream.open:
            self._stream.send(messages.Goodbye(leaving=False))
            self._stream.close()
        self._disconnected_at = None
        self._calls.finish_all(
            outcomes.Failure(results.OUTCOME_UNKNOWN, "link closed")
        )

    def opened(self, opened: stream.Stream) -> None:
        """Send this node's hello on a stream that has been connected."""
        self._stream = opened
        opened.host_id = self.target.host_id
        opened.send(self._shared.identity.hello())

    def received(
        self, source: stream.Stream, message: messages.Message
    ) -> None:
        """Handle a message from the peer."""
        if isinstance(message, messages.AnswerHead):
            self._calls.add_answer_head(message)
        elif isinstance(message, messages.AnswerPiece):
            self._calls.add_answer_piece(message)
        elif isinstance(message, messages.CallFailed):
            failure = answers.to_failure(message)
            self._calls.finish(message.call_id, failure, message.shed_level)
        elif isinstance(message, messages.Hello):
            self._complete_handshake(source, message)
        elif isinstance(message, messages.Goodbye):
            self._acknowledge_leaving(source, message)
            self._shared.inbox.deliver(self.target.host_id, message)
        elif not isinstance(
            message, (messages.StillRunning, messages.Heartbeat)
        ):
            self._shared.inbox.deliver(self.target.host_id, message)

    def newer_version_seen(self, source: stream.Stream, version: int) -> None:
        """Notify the inbox that the peer has a newer configuration."""
        self._shared.inbox.newer_version_seen(self.target.host_id, version)

    def closed(self, closed: stream.Stream) -> None:
        """Handle the loss of a stream; reconnect if calls are pending."""
        if closed is not self._stream:
            return
        if not self._handshake_done:
            if not self._handshake.done():
                self._handshake.set_exception(ConnectionResetError())
            return
        self._stream = None
        self._handshake_done = False
        self._peer_leaving = False
        self._shared.inbox.deliver(
            self.target.host_id, messages.PeerDisconnected()
        )
        if self._calls:
            self._disconnected_at = self._loop.time()
            self._connect()

    def _acknowledge_leaving(
        self, source: stream.Stream, goodbye: messages.Goodbye
    ) -> None:
        """Stop sending calls to a leaving peer and answer its goodbye.

        The reply follows the last call on the stream, so that the peer can
        tell that no further call arrives on it.
        """
        if goodbye.leaving and not self._peer_leaving:
            self._peer_leaving = True
            source.send(messages.Goodbye(leaving=False))

    def _refusal(self) -> outcomes.Failure | None:
        if self._peer_leaving:
            return outcomes.Failure(results.HOST_LEAVING)
        if len(self._calls) >= defaults.STREAM_CALLS_MAX:
            return outcomes.Failure(results.NOT_DISPATCHED, "calls")
        if self.connected:
            if self._stream.writable:
                return None
            return outcomes.Failure(results.NOT_DISPATCHED, "congested")
        if self._connecting or self._backoff.ready(self._loop.time()):
            return None
        return outcomes.Failure(results.NOT_DISPATCHED, "backoff")

    def _dispatch(self, pending: pending_calls.PendingCall) -> None:
        pending.incarnation = self._stream.incarnation
        self._stream.send(pending.call)

    def _dispatch_waiting(self, now: float) -> None:
        for pending in self._calls.all():
            if pending.dispatched:
                continue
            waited_ms = int((now - pending.registered_at) * 1000)
            remaining_ms = max(pending.call.remaining_ms - waited_ms, 1)
            pending.call = dataclasses.replace(
                pending.call, remaining_ms=remaining_ms
            )
            self._dispatch(pending)

    def _connect(self) -> None:
        if self._connecting is not None:
            return
        if self._stream is not None or not self._backoff.ready(
            self._loop.time()
        ):
            return
        self._connecting = asyncio.ensure_future(self._open())

    async def _open(self) -> None:
        opened: stream.Stream | None = None
        self._handshake = self._loop.create_future()
        try:
            async with asyncio.timeout(defaults.CONNECT_TIMEOUT_S):
                _, opened = await self._loop.create_connection(
                    lambda: stream.Stream(self, self._shared.version),
                    self.target.address,
                    self.target.peer_port,
                    ssl=self._shared.tls,
                )
                await self._handshake
        except Exception as error:
            if not isinstance(error, OSError):
                # The host list may contain an address that has no valid form.
                logging.warning(
                    "connecting failed: %s",
                    error,
                    extra=logs.fields(peer=self.target.host_id),
                )
            self._connecting = None
            self._stream = None
            if opened is not None:
                opened.abort()
            self._connect_failed(error)
            return
        self._connecting = None

    def _complete_handshake(
        self, source: stream.Stream, hello: messages.Hello
    ) -> None:
        if source is not self._stream or self._handshake_done:
            return
        if hello.protocol != messages.PROTOCOL_VERSION:
            source.abort()
            return
        now = self._loop.time()
        source.incarnation = hello.incarnation
        self._handshake_done = True
        if not self._handshake.done():
            self._handshake.set_result(None)
        self._disconnected_at = None
        self._backoff.succeeded()
        self._health = liveness.StreamHealth(now)
        self._resolve_dispatched(source)
        self._dispatch_waiting(now)
        for message in self._queued_control:
            source.send(message)
        self._queued_control.clear()
        self._shared.inbox.deliver(self.target.host_id, hello)

    def _resolve_dispatched(self, source: stream.Stream) -> None:
        for pending in self._calls.all():
            if pending.dispatched:
                self._resolve(pending, source)

    def _resolve(
        self, pending: pending_calls.PendingCall, source: stream.Stream
    ) -> None:
        call_id = pending.call.call_id
        if pending.incarnation != source.incarnation:
            failure = outcomes.Failure(
                results.OUTCOME_UNKNOWN, "host restarted"
            )
            self._calls.finish(call_id, failure)
            return
        if pending.future.cancelled():
            # The cancellation may have been lost with the old stream.
            source.send(messages.Cancel(call_id))
        pending.assembly = None
        source.send(messages.Resolve(call_id, source.incarnation))

    def _connect_failed(self, error: Exception) -> None:
        now = self._loop.time()
        self._backoff.failed(now)
        error_name = type(error).__name__
        self._shared.inbox.deliver(
            self.target.host_id, messages.PeerDisconnected()
        )
        for pending in self._calls.all():
            if not pending.dispatched:
                failure = outcomes.Failure(results.NOT_DISPATCHED, error_name)
                self._calls.finish(pending.call.call_id, failure)
        if self._disconnected_at is None:
            return
        refused = isinstance(error, ConnectionRefusedError)
        if (
            refused
            or now - self._disconnected_at >= defaults.RESOLVE_TIMEOUT_S
        ):
            self._disconnected_at = None
            self._calls.finish_all(
                outcomes.Failure(results.OUTCOME_UNKNOWN, error_name)
            )
            return
        self._loop.call_at(self._backoff.ready_at, self._reconnect)

    def _reconnect(self) -> None:
        if self._disconnected_at is not None:
            self._connect()

    def _cancel_call(self, pending: pending_calls.PendingCall) -> None:
        call_id = pending.call.call_id
        if call_id not in self._calls:
            return
        if not pending.dispatched:
            failure = outcomes.Failure(results.CANCELLED_BEFORE_START)
            self._calls.finish(call_id, failure)
        elif self.connected:
            self._stream.send(messages.Cancel(call_id))

    def _expire(self, pending: pending_calls.PendingCall) -> None:
        call_id = pending.call.call_id
        code = results.DEADLINE_UNKNOWN
        if not pending.dispatched:
            code = results.DEADLINE_TOO_SHORT
        elif self.connected:
            self._stream.send(messages.Cancel(call_id))
        self._calls.finish(call_id, outcomes.Failure(code))
