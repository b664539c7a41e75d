"""The outgoing stream to one peer and the calls on it."""

import asyncio
import dataclasses
import typing as t

from absl import logging

from .. import defaults
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import liveness
from ..world import host
from . import answers
from . import messages
from . import stream

if t.TYPE_CHECKING:
    from . import links

UNDISPATCHED = -1


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call whose result has not arrived.

    :param call: the call.
    :param future: takes the result.
    :param late: takes the result after the caller has given up.
    :param since: when the call was registered, time of the loop.
    :param timer: ends the call at its deadline.
    :param incarnation: of the peer that it was sent to.
    :param assembly: the messages of its answer.
    """

    call: messages.Call
    future: asyncio.Future[ports.CallResult]
    late: ports.Late | None
    since: float
    timer: asyncio.TimerHandle
    incarnation: int = UNDISPATCHED
    assembly: answers.Assembly | None = None


class Link:
    """The outgoing stream to one peer; a lost one is replaced.

    :param target: the peer's host.
    :param shared: what all links of a node have in common.
    """

    def __init__(self, target: host.Host, shared: "links.Shared") -> None:
        self.target = target
        self._shared = shared
        self._loop = asyncio.get_running_loop()
        self._stream: stream.Stream | None = None
        self._ready = False
        self._connecting: asyncio.Task[None] | None = None
        self._greeting: asyncio.Future[None] = self._loop.create_future()
        self._backoff = liveness.Backoff(shared.random)
        self._health = liveness.StreamHealth(self._loop.time())
        self._calls: dict[int, _Pending] = {}
        self._control: list[messages.Message] = []
        self._leaving = False
        self._lost_at: float | None = None
        self._pings = 0
        self._last_id = 0
        self._used_at = self._loop.time()
        self._settled_at = self._loop.time()
        self._finished_calls = 0

    @property
    def outstanding(self) -> int:
        """Calls whose results have not arrived."""
        return len(self._calls)

    @property
    def connected(self) -> bool:
        """Whether the peer has introduced itself on an open stream."""
        opened = self._stream
        return self._ready and opened is not None and opened.open

    def idle(self, now: float) -> bool:
        """Return whether the link has long been without use."""
        used_at = self._used_at
        if self._stream is not None:
            used_at = max(used_at, self._stream.sent_at)
        return not self._calls and now - used_at > defaults.STREAM_IDLE_S

    async def call(
        self, call: messages.Call, late: ports.Late | None = None
    ) -> ports.CallResult:
        """Run a call at the peer's gate and return its result."""
        refused = self._refusal()
        if refused is not None:
            return ports.CallResult(refused)
        pending = self._register(call, late)
        if self.connected:
            self._dispatch(pending)
        else:
            self._connect()
        try:
            return await pending.future
        except asyncio.CancelledError:
            self._withdraw(pending)
            raise

    def send(self, message: messages.Message) -> None:
        """Send a control message; it may be lost."""
        self._used_at = self._loop.time()
        if self.connected:
            if self._stream.writable:
                self._stream.send(message)
            return
        if len(self._control) < defaults.STREAM_CONTROL_MAX:
            self._control.append(message)
        self._connect()

    def tick(self, now: float) -> None:
        """Look after the stream; called every ``CONTROL_TICK_S``."""
        if self._lost_at is not None:
            self._connect()
        if not self.connected:
            return
        opened = self._stream
        expecting = bool(self._calls) or opened.sent_at > opened.heard_at
        check = self._health.check(expecting, opened.heard_at, now)
        if check is liveness.Check.PING:
            self._pings += 1
            opened.send(messages.Heartbeat(self._pings, False))
        elif check is liveness.Check.SILENT:
            logging.warning("peer=%s stream is silent", self.target.host_id)
            opened.abort()
        self._send_settled(now)

    def close(self) -> None:
        """Say goodbye and close the stream."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._stream is not None and self._stream.open:
            self._stream.send(messages.Goodbye(leaving=False))
            self._stream.close()
        self._lost_at = None
        self._end_all(results.OUTCOME_UNKNOWN, "link closed")

    def opened(self, opened: stream.Stream) -> None:
        """Introduce this node."""
        self._stream = opened
        opened.host_id = self.target.host_id
        opened.send(self._shared.identity.hello())

    def received(
        self, source: stream.Stream, message: messages.Message
    ) -> None:
        """Take in an answer or a control message."""
        if isinstance(message, messages.AnswerHead):
            self._answer(message)
        elif isinstance(message, messages.AnswerPiece):
            self._piece(message)
        elif isinstance(message, messages.CallFailed):
            failure = answers.to_failure(message)
            self._finish(message.call_id, failure, message.load)
        elif isinstance(message, messages.Hello):
            self._greeted(source, message)
        elif isinstance(message, messages.Goodbye):
            self._dismissed(source, message)
            self._shared.inbox.deliver(self.target.host_id, message)
        elif not isinstance(
            message, (messages.StillRunning, messages.Heartbeat)
        ):
            self._shared.inbox.deliver(self.target.host_id, message)

    def behind(self, source: stream.Stream, version: int) -> None:
        """Pass on that the peer has a newer configuration."""
        self._shared.inbox.behind(self.target.host_id, version)

    def closed(self, closed: stream.Stream) -> None:
        """Begin to find out what became of the outstanding calls."""
        if closed is not self._stream:
            return
        if not self._ready:
            if not self._greeting.done():
                self._greeting.set_exception(ConnectionResetError())
            return
        self._stream = None
        self._ready = False
        self._leaving = False
        self._shared.inbox.deliver(self.target.host_id, messages.Lost())
        if self._calls:
            self._lost_at = self._loop.time()
            self._connect()

    def _dismissed(
        self, source: stream.Stream, goodbye: messages.Goodbye
    ) -> None:
        """Send no more calls, and say so behind the last one."""
        if goodbye.leaving and not self._leaving:
            self._leaving = True
            source.send(messages.Goodbye(leaving=False))

    def _refusal(self) -> outcomes.Failure | None:
        if self._leaving:
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

    def _register(
        self, call: messages.Call, late: ports.Late | None
    ) -> _Pending:
        allowed_ms = call.remaining_ms + defaults.ANSWER_MARGIN_MS
        pending = _Pending(
            call=call,
            future=self._loop.create_future(),
            late=late,
            since=self._loop.time(),
            timer=self._loop.call_later(
                allowed_ms / 1000, self._expire, call.call_id
            ),
        )
        self._calls[call.call_id] = pending
        self._last_id = call.call_id
        self._used_at = pending.since
        return pending

    def _dispatch(self, pending: _Pending) -> None:
        pending.incarnation = self._stream.incarnation
        self._stream.send(pending.call)

    def _dispatch_waiting(self, now: float) -> None:
        for pending in list(self._calls.values()):
            if pending.incarnation != UNDISPATCHED:
                continue
            waited_ms = int((now - pending.since) * 1000)
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
        self._greeting = self._loop.create_future()
        try:
            async with asyncio.timeout(defaults.CONNECT_TIMEOUT_S):
                _, opened = await self._loop.create_connection(
                    lambda: stream.Stream(self, self._shared.version),
                    self.target.address,
                    self.target.peer_port,
                    ssl=self._shared.tls,
                )
                await self._greeting
        except OSError as error:
            self._connecting = None
            self._stream = None
            if opened is not None:
                opened.abort()
            self._unreachable(error)
            return
        self._connecting = None

    def _greeted(self, source: stream.Stream, hello: messages.Hello) -> None:
        if source is not self._stream or self._ready:
            return
        if hello.protocol != messages.PROTOCOL_VERSION:
            source.abort()
            return
        now = self._loop.time()
        source.incarnation = hello.incarnation
        self._ready = True
        if not self._greeting.done():
            self._greeting.set_result(None)
        self._lost_at = None
        self._backoff.succeeded()
        self._health = liveness.StreamHealth(now)
        self._resolve_all(source)
        self._dispatch_waiting(now)
        for message in self._control:
            source.send(message)
        self._control.clear()
        self._shared.inbox.deliver(self.target.host_id, hello)

    def _resolve_all(self, source: stream.Stream) -> None:
        for call_id, pending in list(self._calls.items()):
            if pending.incarnation == UNDISPATCHED:
                continue
            if pending.incarnation != source.incarnation:
                failure = outcomes.Failure(
                    results.OUTCOME_UNKNOWN, "host restarted"
                )
                self._finish(call_id, failure, -1)
                continue
            pending.assembly = None
            source.send(messages.Resolve(call_id, source.incarnation))

    def _unreachable(self, error: OSError) -> None:
        now = self._loop.time()
        self._backoff.failed(now)
        text = type(error).__name__
        self._shared.inbox.deliver(self.target.host_id, messages.Lost())
        for call_id, pending in list(self._calls.items()):
            if pending.incarnation == UNDISPATCHED:
                failure = outcomes.Failure(results.NOT_DISPATCHED, text)
                self._finish(call_id, failure, -1)
        if self._lost_at is None:
            return
        gone = isinstance(error, ConnectionRefusedError)
        if gone or now - self._lost_at >= defaults.RESOLVE_TIMEOUT_S:
            self._lost_at = None
            self._end_all(results.OUTCOME_UNKNOWN, text)
            return
        self._loop.call_at(self._backoff.ready_at, self._reconnect)

    def _reconnect(self) -> None:
        if self._lost_at is not None:
            self._connect()

    def _end_all(self, code: results.ResultCode, detail: str) -> None:
        for call_id in list(self._calls):
            self._finish(call_id, outcomes.Failure(code, detail), -1)

    def _withdraw(self, pending: _Pending) -> None:
        call_id = pending.call.call_id
        if call_id not in self._calls:
            return
        if pending.incarnation == UNDISPATCHED:
            failure = outcomes.Failure(results.CANCELLED_BEFORE_START)
            self._finish(call_id, failure, -1)
        elif self.connected:
            self._stream.send(messages.Cancel(call_id))

    def _expire(self, call_id: int) -> None:
        pending = self._calls.get(call_id)
        if pending is None:
            return
        code = results.DEADLINE_UNKNOWN
        if pending.incarnation == UNDISPATCHED:
            code = results.DEADLINE_TOO_SHORT
        elif self.connected:
            self._stream.send(messages.Cancel(call_id))
        self._finish(call_id, outcomes.Failure(code), -1)

    def _answer(self, head: messages.AnswerHead) -> None:
        pending = self._calls.get(head.call_id)
        if pending is None:
            return
        if pending.assembly is None:
            pending.assembly = answers.Assembly()
        pending.assembly.add_head(head)
        self._finish_if_complete(head.call_id, pending.assembly)

    def _piece(self, piece: messages.AnswerPiece) -> None:
        pending = self._calls.get(piece.call_id)
        if pending is None:
            return
        if pending.assembly is None:
            pending.assembly = answers.Assembly()
        pending.assembly.add_piece(piece)
        self._finish_if_complete(piece.call_id, pending.assembly)

    def _finish_if_complete(
        self, call_id: int, assembly: answers.Assembly
    ) -> None:
        if assembly.complete:
            self._finish(call_id, assembly.outcome(), assembly.level)

    def _finish(
        self, call_id: int, outcome: outcomes.Outcome, level: int
    ) -> None:
        pending = self._calls.pop(call_id, None)
        if pending is None:
            return
        pending.timer.cancel()
        self._finished_calls += 1
        result = ports.CallResult(outcome, level)
        if not pending.future.done():
            pending.future.set_result(result)
        elif pending.late is not None:
            pending.late(result)

    def _send_settled(self, now: float) -> None:
        due = now - self._settled_at >= defaults.SETTLE_PERIOD_S
        many = self._finished_calls >= defaults.SETTLE_CALLS
        if not self._finished_calls or not (many or due):
            return
        self._finished_calls = 0
        self._settled_at = now
        below = next(iter(self._calls), self._last_id + 1)
        self._stream.send(messages.Settled(below))
