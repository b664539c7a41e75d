"""A stream of frames between two nodes, as an asyncio protocol."""

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
    """Callbacks that a stream calls on its owner."""

    def opened(self, stream: "Stream") -> None:
        """Called when the stream has been connected."""

    def received(self, stream: "Stream", message: messages.Message) -> None:
        """Called for every received message."""

    def newer_version_seen(self, stream: "Stream", version: int) -> None:
        """Called for a frame with a newer configuration version."""

    def closed(self, stream: "Stream") -> None:
        """Called once when the stream has ended."""


class Stream(asyncio.Protocol):
    """Sends and receives frames.

    Frames sent in one iteration of the event loop are written together.

    :param receiver: receives the messages and the stream's state changes.
    :param version: returns the configuration version to put into frames.
    """

    def __init__(
        self, receiver: Receiver, version: t.Callable[[], int]
    ) -> None:
        self._receiver = receiver
        self._current_version = version
        self._splitter = codec.FrameSplitter()
        self._transport: asyncio.Transport | None = None
        self._unflushed: list[bytes] = []
        self._unflushed_bytes = 0
        self._waiting_sequences: collections.deque[
            t.Iterator[messages.Message]
        ]
        self._waiting_sequences = collections.deque()
        self._writable = True
        self._loop = asyncio.get_running_loop()
        self._last_received_at = self._loop.time()
        self._last_sent_at = self._last_received_at
        self.host_id = ""
        self.incarnation = 0

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    @property
    def writable(self) -> bool:
        """Whether the stream is open and its write buffer is not full."""
        return self._writable and self.open

    @property
    def last_received_at(self) -> float:
        """When data was last received, in seconds of the event loop."""
        return self._last_received_at

    @property
    def last_sent_at(self) -> float:
        """When data was last sent, in seconds of the event loop."""
        return self._last_sent_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(defaults.STREAM_BUFFER_BYTES)
        self._receiver.opened(self)

    def data_received(self, data: bytes) -> None:
        self._last_received_at = self._loop.time()
        try:
            for frame in self._splitter.feed(data):
                self._handle_frame(frame)
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
        self._waiting_sequences.clear()
        self._receiver.closed(self)

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        self._send_waiting()

    def send(self, message: messages.Message) -> None:
        """Queue a message to be written in the event loop's next iteration."""
        if not self._unflushed:
            self._loop.call_soon(self._flush)
        encoded = codec.encode(message, self._current_version())
        self._unflushed.append(encoded)
        self._unflushed_bytes += len(encoded)

    def send_all(self, sequence: t.Iterator[messages.Message]) -> None:
        """Send messages as fast as the peer receives them.

        Several sequences are sent in round-robin order, so that a long one
        doesn't delay the others.
        """
        self._waiting_sequences.append(sequence)
        self._send_waiting()

    def close(self) -> None:
        """Send the queued messages and close the stream."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the stream at once; queued messages are lost."""
        self._unflushed.clear()
        self._waiting_sequences.clear()
        if self._transport is not None:
            self._transport.abort()

    def _handle_frame(self, frame: codec.Frame) -> None:
        if not self.open:
            return
        if frame.configuration_version > self._current_version():
            self._receiver.newer_version_seen(
                self, frame.configuration_version
            )
        try:
            self._receiver.received(self, frame.message)
        except Exception:
            # A failed handler must not close the stream, which carries
            # messages of other handlers, too.
            logging.exception(
                "handler of %s failed", type(frame.message).__name__
            )

    def _send_waiting(self) -> None:
        while self._waiting_sequences and self._writable:
            sequence = self._waiting_sequences.popleft()
            message = next(sequence, None)
            if message is None:
                continue
            self.send(message)
            self._waiting_sequences.append(sequence)
            if self._unflushed_bytes > defaults.STREAM_BUFFER_BYTES:
                self._flush()

    def _flush(self) -> None:
        pending, self._unflushed = self._unflushed, []
        self._unflushed_bytes = 0
        if pending and self.open:
            self._last_sent_at = self._loop.time()
            self._transport.write(b"".join(pending))
