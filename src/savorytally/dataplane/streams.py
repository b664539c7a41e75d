"""Streams between nodes: frames batched into one write a loop turn."""

import asyncio
import functools
import logging
import typing as t

from . import frames
from . import sockets

CONNECT_TIMEOUT_S = 0.5
# Pause before a host that could not be reached is tried again.
RECONNECT_S = 0.5
# A stream with calls in progress that brings nothing is asked after this.
PING_AFTER_S = 0.4
# It is taken as dead if it stays silent for this long.
SILENCE_MAX_S = 1.2


class Stream(asyncio.Protocol):
    """One stream, either end.

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
        self._reader = frames.Reader()
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self._loop = asyncio.get_running_loop()
        self.heard = self._loop.time()

    @property
    def open(self) -> bool:
        """Whether the stream is up."""
        return self._transport is not None

    @property
    def peer(self) -> str:
        """IP number of the other end, empty if the stream is down."""
        if self._transport is None:
            return ""
        return self._transport.get_extra_info("peername")[0]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        sockets.notice_silence(transport)
        self.heard = self._loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._lost(self)

    def data_received(self, data: bytes) -> None:
        self.heard = self._loop.time()
        try:
            for frame in self._reader.feed(data):
                self._receive(self, frame)
        except frames.MalformedFrame as error:
            # Harms this stream only; its calls end as lost.
            logging.warning("stream with %s ended: %s", self.peer, error)
            self.abort()

    def send(self, kind: frames.Kind, *fields: t.Any) -> None:
        """Send a frame with the others of this turn of the loop."""
        if self._transport is None:
            return
        if not self._out:
            self._loop.call_soon(self._flush)
        self._out.append(frames.encode(kind, *fields))

    def close(self) -> None:
        """End the stream after what was sent."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the stream at once."""
        if self._transport is not None:
            self._transport.abort()

    def _flush(self) -> None:
        if self._out and self._transport is not None:
            self._transport.write(b"".join(self._out))
        self._out = []


Answered = t.Callable[[frames.Result], None]


class Link:
    """The stream to one host, opened when it is needed.

    :param host: its IP number.
    :param port: its peer port.
    :param receive: called with frames that are no results.
    :param unsent: result of a call that did not leave this host.
    :param unknown: result of a call whose fate is unknown.
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
        self._queued: dict[int, frames.Call] = {}
        self._calls: dict[int, Answered] = {}
        self._numbers = 0
        self._closed = False
        # Since when there is a call without a result; before, an idle
        # stream had nothing to say.
        self._awaiting_since = 0.0
        self.down_until = 0.0
        self.last_used = self._loop.time()

    @property
    def outstanding(self) -> int:
        """Calls without a result."""
        return len(self._calls)

    @property
    def open(self) -> bool:
        """Whether the stream is up."""
        return self._stream is not None and self._stream.open

    def call(self, call: frames.Call, answered: Answered) -> int:
        """Send a call and return its number.

        :param answered: called once with the result.
        """
        self._numbers += 1
        number = self._numbers
        call = call._replace(number=number)
        self.last_used = self._loop.time()
        if not self._calls:
            self._awaiting_since = self.last_used
        self._calls[number] = answered
        if self.open:
            t.cast(Stream, self._stream).send(frames.Kind.CALL, *call)
            return number
        self._queued[number] = call
        self._connect()
        return number

    def cancel(self, number: int) -> bool:
        """Withdraw a call; its result is not reported.

        :return: whether it had not left this host.
        """
        self._calls.pop(number, None)
        if self._queued.pop(number, None) is not None:
            return True
        if self.open:
            t.cast(Stream, self._stream).send(frames.Kind.CANCEL, number)
        return False

    def send(self, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a control frame if the stream is up."""
        if not self.open:
            return False
        t.cast(Stream, self._stream).send(kind, *fields)
        return True

    def open_stream(self) -> None:
        """Open the stream, unless the host was not reached just now."""
        if not self.open and self._loop.time() > self.down_until:
            self._connect()

    def carries(self, stream: Stream) -> bool:
        """Return whether a stream is this link's."""
        return self._stream is stream

    def tick(self, now: float) -> None:
        """Ask a silent stream for a sign; end one that gives none."""
        stream = self._stream
        if stream is None or not stream.open or not self._calls:
            return
        silent_s = now - max(stream.heard, self._awaiting_since)
        if silent_s > SILENCE_MAX_S:
            stream.abort()
        elif silent_s > PING_AFTER_S:
            stream.send(frames.Kind.PING)

    def close(self) -> None:
        """End the stream; calls without a result end as lost."""
        self._closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._stream is not None:
            self._stream.close()

    def _connect(self) -> None:
        if self._connecting is None:
            self._connecting = self._loop.create_task(self._open())

    async def _open(self) -> None:
        make = functools.partial(Stream, self._receive, self._ended)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, stream = await self._loop.create_connection(
                    make, self._host, self._port
                )
        except (OSError, TimeoutError):
            self.down_until = self._loop.time() + RECONNECT_S
            self._connecting = None
            self._fail_queued()
            return
        self._connecting = None
        self._stream = stream
        stream.heard = self._loop.time()
        queued, self._queued = self._queued, {}
        for call in queued.values():
            stream.send(frames.Kind.CALL, *call)

    def _fail_queued(self) -> None:
        queued, self._queued = self._queued, {}
        for number in queued:
            answered = self._calls.pop(number, None)
            if answered is not None:
                answered(self._unsent)

    def _receive(self, stream: Stream, frame: list[t.Any]) -> None:
        if frame[0] != frames.Kind.RESULT:
            self._receive_other(stream, frame)
            return
        result = frames.Result(*frame[1:])
        answered = self._calls.pop(result.number, None)
        if answered is not None:
            answered(result)

    def _ended(self, stream: Stream) -> None:
        if self._stream is not stream:
            return
        self._stream = None
        calls, self._calls = self._calls, {}
        queued, self._queued = self._queued, {}
        for number, answered in calls.items():
            answered(self._unsent if number in queued else self._unknown)
