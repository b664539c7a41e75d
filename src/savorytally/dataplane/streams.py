"""Streams between nodes; frames of one loop turn share one write."""

import asyncio
import functools
import logging
import typing as t

from . import failures
from . import frames
from . import sockets

CONNECT_TIMEOUT_S = 0.5
# Pause after a failed connection attempt.
RECONNECT_S = 0.5
# Maximum number of control frames that wait for a stream to open.
WAITING_FRAMES_MAX = 256
# A stream on which data is expected is pinged after this time without data.
PING_AFTER_S = 0.2
# After this time without data, a stream gets no new calls, and its idempotent
# calls may go to other hosts. A ping and its response take at most 50 ms, and
# busy nodes have been seen to respond 200 ms late.
UNRESPONSIVE_AFTER_S = 0.5
# After this time without data, the stream is replaced. Calls that did not go
# elsewhere still wait on it, since the host may only be slow.
REPLACE_AFTER_S = 1.2
# Maximum number of silent streams to one host on which calls wait. With that
# many, the current stream is not replaced.
SILENT_STREAMS_MAX = 4
# Interval at which calls on a silent stream are told of it.
REPORT_INTERVAL_S = 0.2


class Stream(asyncio.Protocol):
    """One end of a stream.

    :param receive: called with the stream and each frame.
    :param lost: called once with the stream when it has ended.
    """

    def __init__(
        self,
        receive: t.Callable[["Stream", list[t.Any]], None],
        lost: t.Callable[["Stream"], None],
    ) -> None:
        self._receive = receive
        self._lost = lost
        self._reader = frames.Decoder()
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self._loop = asyncio.get_running_loop()
        self.received_at = self._loop.time()

    @property
    def open(self) -> bool:
        """Whether the stream is connected."""
        return self._transport is not None

    @property
    def peer(self) -> str:
        """IP address of the peer, empty if the stream is closed."""
        if self._transport is None:
            return ""
        return self._transport.get_extra_info("peername")[0]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        sockets.enable_keepalive(transport)
        sockets.end_if_unacknowledged(transport)
        self.received_at = self._loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._lost(self)

    def data_received(self, data: bytes) -> None:
        self.received_at = self._loop.time()
        try:
            for frame in self._reader.feed(data):
                self._receive(self, frame)
        except frames.MalformedFrame as error:
            # Only this stream is affected; its calls fail as lost.
            logging.warning("stream with %s ended: %s", self.peer, error)
            self.abort()
        except Exception as error:
            failures.note("frame", error)
            self.abort()

    def send(self, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a frame, batched with the others of this turn of the loop.

        :return: False if the stream is closed or the frame can't be encoded.
        """
        if self._transport is None:
            return False
        try:
            frame = frames.encode(kind, *fields)
        except (ArithmeticError, TypeError, ValueError) as error:
            failures.note("send", error)
            return False
        if not self._out:
            self._loop.call_soon(self._flush)
        self._out.append(frame)
        return True

    def close(self) -> None:
        """Close the stream after the frames that were sent."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the stream at once."""
        if self._transport is not None:
            self._transport.abort()

    def _flush(self) -> None:
        if self._out and self._transport is not None:
            self._transport.write(b"".join(self._out))
        self._out = []


OnResult = t.Callable[[frames.Result], None]
OnSilent = t.Callable[[], None]


class Link:
    """The stream to one host, opened on demand.

    :param host: its IP address.
    :param port: its peer port.
    :param receive: called with the stream and each frame that is not a result.
    :param unsent: the result of a call that did not leave this host.
    :param unknown: the result of a call that may have run.
    """

    def __init__(
        self,
        host: str,
        port: int,
        receive: t.Callable[[Stream, list[t.Any]], None],
        unsent: frames.Result,
        unknown: frames.Result,
    ) -> None:
        self._host = host
        self._port = port
        self._receive_other = receive
        self._unsent = unsent
        self._unknown = unknown
        self._loop = asyncio.get_running_loop()
        self._stream: Stream | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._unsent_calls: dict[int, frames.Call] = {}
        self._waiting_frames: list[tuple[t.Any, ...]] = []
        self._calls: dict[int, OnResult] = {}
        self._last_number = 0
        self._closed = False
        # Loop time since which a call waits for a result. Before that, a
        # stream without data is only idle.
        self._awaiting_since = 0.0
        # Loop time of the first control frame sent since data was received.
        self._control_since: float | None = None
        # Called when the stream is silent, by number of the call; only for
        # calls in progress that may run more than once.
        self._on_silent: dict[int, OnSilent] = {}
        # Silent streams that were replaced, with the numbers of the calls that
        # wait on them.
        self._silent_streams: dict[Stream, set[int]] = {}
        self._pinged = 0.0
        # Loop time of the last data if the stream has been silent since.
        self._silent_since: float | None = None
        # Loop time at which calls were last told of a silence.
        self._reported_at = float("-inf")
        self._unreachable = False
        self._retry_at = 0.0
        self.last_used = self._loop.time()

    @property
    def outstanding(self) -> int:
        """Number of calls without a result."""
        return len(self._calls)

    @property
    def open(self) -> bool:
        """Whether the stream is connected."""
        return self._stream is not None and self._stream.open

    @property
    def ended(self) -> bool:
        """Whether the stream is closed and not being opened."""
        return not self.open and self._connecting is None

    @property
    def unreachable(self) -> bool:
        """Whether the latest connection attempt failed."""
        return self._unreachable

    def call(
        self, call: frames.Call, on_result: OnResult, on_silent: OnSilent
    ) -> int:
        """Send a call and return its number.

        :param on_result: called once with the result.
        :param on_silent: called again and again while the stream is silent,
            if the call may run more than once. It may cancel calls.
        """
        self._last_number += 1
        number = self._last_number
        call = call._replace(number=number)
        self.last_used = self._loop.time()
        if not self._calls:
            self._awaiting_since = self.last_used
        self._calls[number] = on_result
        if call.flags & frames.Flag.IDEMPOTENT:
            self._on_silent[number] = on_silent
        if self.open:
            self._send_call(t.cast(Stream, self._stream), call)
            return number
        self._unsent_calls[number] = call
        self._connect()
        return number

    def cancel(self, number: int) -> bool:
        """Withdraw a call; its result is not reported.

        :return: whether the call had not left this host.
        """
        self._forget(number)
        if self._unsent_calls.pop(number, None) is not None:
            return True
        for stream, numbers in self._silent_streams.items():
            if number in numbers:
                stream.send(frames.Kind.CANCEL, number)
                numbers.discard(number)
                return False
        if self.open:
            t.cast(Stream, self._stream).send(frames.Kind.CANCEL, number)
        return False

    def withdraw_all(self) -> None:
        """Withdraw all calls that were sent, but still report their results.

        Calls that have not run are reported as such; for others there may be
        no result.
        """
        for number in self._calls:
            if number not in self._unsent_calls:
                self.send(frames.Kind.CANCEL, number)

    def send(self, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a control frame if the stream is up."""
        if not self.open:
            return False
        return self._send_control(t.cast(Stream, self._stream), kind, *fields)

    def send_opening(self, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a control frame as soon as the stream is up.

        :return: False if connecting failed a moment ago or too many frames
            wait. If the stream can't be opened, waiting frames are dropped.
        """
        if self.open:
            return self.send(kind, *fields)
        self.open_stream()
        if (
            self._connecting is None
            or len(self._waiting_frames) >= WAITING_FRAMES_MAX
        ):
            return False
        self._waiting_frames.append((kind, *fields))
        return True

    def open_stream(self) -> None:
        """Open the stream, unless connecting failed a moment ago."""
        if not self.open and self._loop.time() > self._retry_at:
            self._connect()

    def carries(self, stream: Stream) -> bool:
        """Return whether a stream is the current stream of this link."""
        return self._stream is stream

    def tick(self, now: float) -> bool:
        """Ping a quiet stream and replace it if it remains silent.

        :return: whether the stream is silent, so that new calls should go to
            other hosts.
        """
        self._close_silent_streams()
        if now - self._reported_at > REPORT_INTERVAL_S:
            self._report_silence(now)
        stream = self._stream
        if stream is None or not stream.open:
            return False
        since = self._silent_since
        if since is None or stream.received_at > since:
            self._silent_since = None
            since = self._expecting_since(stream)
            if since is None:
                return False
        silent_s = now - since
        replaceable = len(self._silent_streams) < SILENT_STREAMS_MAX
        if silent_s > REPLACE_AFTER_S and replaceable:
            self._replace_stream(stream)
            return True
        if silent_s > PING_AFTER_S and now - self._pinged > PING_AFTER_S:
            self._pinged = now
            stream.send(frames.Kind.PING)
        if silent_s <= UNRESPONSIVE_AFTER_S:
            return False
        if self._silent_since is None:
            self._silent_since = since
            self._report_silence(now)
        return True

    def restart_silence(self, now: float) -> None:
        """Restart the measurement of silence: this host's loop was blocked."""
        self._awaiting_since = now
        if self._control_since is not None:
            self._control_since = now

    def close(self) -> None:
        """Close the stream; calls without a result fail as lost."""
        self._closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._stream is not None:
            self._stream.close()
        for stream in list(self._silent_streams):
            stream.close()
        self._fail_unsent()

    def _send_control(
        self, stream: Stream, kind: frames.Kind, *fields: t.Any
    ) -> bool:
        """Send a control frame; return whether it could be packed."""
        since = self._control_since
        if since is None or stream.received_at > since:
            self._control_since = self._loop.time()
        return stream.send(kind, *fields)

    def _expecting_since(self, stream: Stream) -> float | None:
        """Return since when a stream owes data, ``None`` if it does not."""
        expected = []
        if self._calls:
            expected.append(max(stream.received_at, self._awaiting_since))
        since = self._control_since
        if since is not None and stream.received_at <= since:
            expected.append(since)
        return min(expected, default=None)

    def _connect(self) -> None:
        if self._closed:
            self._loop.call_soon(self._fail_unsent)
        elif self._connecting is None:
            self._connecting = self._loop.create_task(self._open())

    async def _open(self) -> None:
        make = functools.partial(Stream, self._receive, self._ended)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, stream = await self._loop.create_connection(
                    make, self._host, self._port
                )
        except sockets.CONNECT_ERRORS:
            self._connecting = None
            self._connect_failed()
            return
        self._connecting = None
        if not stream.open:
            # The stream ended before this task continued; nothing was sent.
            self._connect_failed()
            return
        self._unreachable = False
        self._stream = stream
        self._silent_since = None
        self._control_since = None
        stream.received_at = self._loop.time()
        queued, self._unsent_calls = self._unsent_calls, {}
        for call in queued.values():
            self._send_call(stream, call)
        waiting, self._waiting_frames = self._waiting_frames, []
        for frame in waiting:
            self._send_control(stream, *frame)

    def _send_call(self, stream: Stream, call: frames.Call) -> None:
        """Send a call; it fails as not sent if it can't be."""
        if not stream.send(frames.Kind.CALL, *call):
            self._unsent_calls[call.number] = call
            self._loop.call_soon(self._fail_unsent)

    def _connect_failed(self) -> None:
        self._unreachable = True
        self._retry_at = self._loop.time() + RECONNECT_S
        self._waiting_frames = []
        self._fail_unsent()

    def _fail_unsent(self) -> None:
        queued, self._unsent_calls = self._unsent_calls, {}
        for number in queued:
            on_result = self._forget(number)
            if on_result is not None:
                on_result(self._unsent)

    def _report_silence(self, now: float) -> None:
        """Tell the calls that may run more than once of their silence."""
        waiting = self._silent_calls(now) & self._on_silent.keys()
        if not waiting:
            return
        self._reported_at = now
        for number in sorted(waiting):
            on_silent = self._on_silent.get(number)
            if on_silent is not None:
                on_silent()

    def _silent_calls(self, now: float) -> set[int]:
        """Return the numbers of the calls that wait on silent streams."""
        replaced = set().union(*self._silent_streams.values())
        found: set[int] = set()
        for stream, numbers in self._silent_streams.items():
            if now - stream.received_at > UNRESPONSIVE_AFTER_S:
                found |= numbers
        if self._silent_since is not None:
            found |= self._calls.keys() - self._unsent_calls.keys() - replaced
        return found

    def _replace_stream(self, stream: Stream) -> None:
        """Stop using a stream; its calls still wait for their results."""
        numbers = self._calls.keys() - self._unsent_calls.keys()
        for others in self._silent_streams.values():
            numbers -= others
        self._stream = None
        self._silent_since = None
        self._silent_streams[stream] = numbers
        self._close_silent_streams()

    def _close_silent_streams(self) -> None:
        """Close replaced streams without waiting calls."""
        for stream, numbers in list(self._silent_streams.items()):
            numbers.intersection_update(self._calls)
            if not numbers:
                del self._silent_streams[stream]
                stream.abort()

    def _fail_calls_on(self, stream: Stream) -> None:
        if self._silent_streams[stream]:
            logging.warning(
                "silent stream with %s ended, %d calls have no result",
                self._host,
                len(self._silent_streams[stream]),
            )
        for number in self._silent_streams.pop(stream):
            on_result = self._forget(number)
            if on_result is not None:
                on_result(self._unknown)

    def _forget(self, number: int) -> OnResult | None:
        self._on_silent.pop(number, None)
        return self._calls.pop(number, None)

    def _receive(self, stream: Stream, frame: list[t.Any]) -> None:
        if frame[0] != frames.Kind.RESULT:
            self._receive_other(stream, frame)
            return
        result = frames.Result(*frame[1:])
        on_result = self._forget(result.number)
        if on_result is not None:
            on_result(result)

    def _ended(self, stream: Stream) -> None:
        if stream in self._silent_streams:
            self._fail_calls_on(stream)
            return
        if self._stream is not stream:
            return
        self._stream = None
        calls = self._calls
        waiting = calls.keys() & set().union(*self._silent_streams.values())
        self._calls = {number: calls.pop(number) for number in waiting}
        for number in calls:
            self._on_silent.pop(number, None)
        queued, self._unsent_calls = self._unsent_calls, {}
        if len(calls) > len(queued):
            logging.warning(
                "stream with %s closed, %d calls have no result",
                self._host,
                len(calls) - len(queued),
            )
        for number, on_result in calls.items():
            on_result(self._unsent if number in queued else self._unknown)
