"""One stream between two nodes, driven by transport callbacks."""

import asyncio
import collections
import typing as t

from absl import logging

from .. import defaults
from .. import logs
from .. import results
from . import codec
from . import messages


class Receiver(t.Protocol):
    """What a stream tells its owner."""

    def opened(self, stream: "Stream") -> None:
        """Called when the stream is connected."""

    def received(self, stream: "Stream", message: messages.Message) -> None:
        """Called for every message."""

    def behind(self, stream: "Stream", version: int) -> None:
        """Called when a frame shows a newer configuration version."""

    def closed(self, stream: "Stream") -> None:
        """Called once when the stream has ended."""


class Stream(asyncio.Protocol):
    """Sends and receives frames; writes of one loop turn are joined.

    :param receiver: is told of messages and of the end.
    :param version: returns the configuration version to stamp on frames.
    """

    def __init__(
        self, receiver: Receiver, version: t.Callable[[], int]
    ) -> None:
        self._receiver = receiver
        self._version = version
        self._splitter = codec.Splitter()
        self._transport: asyncio.Transport | None = None
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._waiting: collections.deque[t.Iterator[messages.Message]]
        self._waiting = collections.deque()
        self._writable = True
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._sent_at = self._heard_at
        self.host_id = ""
        self.incarnation = 0

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    @property
    def writable(self) -> bool:
        """Whether the peer takes what is sent."""
        return self._writable and self.open

    @property
    def heard_at(self) -> float:
        """When anything was last received, time of the loop."""
        return self._heard_at

    @property
    def sent_at(self) -> float:
        """When anything was last sent, time of the loop."""
        return self._sent_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(defaults.STREAM_BUFFER_BYTES)
        self._receiver.opened(self)

    def data_received(self, data: bytes) -> None:
        self._heard_at = self._loop.time()
        try:
            for frame in self._splitter.feed(data):
                self._take(frame)
        except codec.FrameError as error:
            logging.warning(
                "%s",
                error,
                extra=logs.fields(
                    code=results.FRAME_FAULT.number, peer=self.host_id
                ),
            )
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._waiting.clear()
        self._receiver.closed(self)

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        self._send_waiting()

    def send(self, message: messages.Message) -> None:
        """Queue a message; it leaves at the end of this loop turn."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        encoded = codec.encode(message, self._version())
        self._pending.append(encoded)
        self._pending_bytes += len(encoded)

    def send_all(self, sequence: t.Iterator[messages.Message]) -> None:
        """Send messages as fast as the peer takes them.

        Several sequences take turns, so that a long one delays no other.
        """
        self._waiting.append(sequence)
        self._send_waiting()

    def close(self) -> None:
        """Send what is queued and close."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; queued messages are lost."""
        self._pending.clear()
        self._waiting.clear()
        if self._transport is not None:
            self._transport.abort()

    def _take(self, frame: codec.Frame) -> None:
        if not self.open:
            return
        if frame.configuration_version > self._version():
            self._receiver.behind(self, frame.configuration_version)
        try:
            self._receiver.received(self, frame.message)
        except Exception:
            # A fault in one handler must not take the stream from others.
            logging.exception("handler of %s", type(frame.message).__name__)

    def _send_waiting(self) -> None:
        while self._waiting and self._writable:
            sequence = self._waiting.popleft()
            message = next(sequence, None)
            if message is None:
                continue
            self.send(message)
            self._waiting.append(sequence)
            if self._pending_bytes > defaults.STREAM_BUFFER_BYTES:
                self._flush()

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        self._pending_bytes = 0
        if pending and self.open:
            self._sent_at = self._loop.time()
            self._transport.write(b"".join(pending))
