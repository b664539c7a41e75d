"""One stream between two nodes, driven by transport callbacks."""

import asyncio
import typing as t

from absl import logging

from . import codec
from . import messages


class Receiver(t.Protocol):
    """What a stream tells its owner."""

    def opened(self, stream: "Stream") -> None:
        """Called when the stream is connected."""

    def received(self, stream: "Stream", frame: codec.Frame) -> None:
        """Called for every frame."""

    def behind(self, stream: "Stream", version: int) -> None:
        """Called when a frame shows a newer configuration version."""

    def closed(self, stream: "Stream") -> None:
        """Called once when the stream has ended."""


class Stream(asyncio.Protocol):
    """Sends and receives frames; writes of one loop turn are joined.

    :param receiver: is told of frames and of the end.
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
        self._loop = asyncio.get_running_loop()
        self.host_id = ""
        self.incarnation = 0
        self.heard_at = self._loop.time()

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._receiver.opened(self)

    def data_received(self, data: bytes) -> None:
        self.heard_at = self._loop.time()
        try:
            frames = self._splitter.feed(data)
        except codec.FrameError as error:
            logging.warning("code=9005 peer=%s %s", self.host_id, error)
            self.abort()
            return
        for frame in frames:
            if frame.configuration_version > self._version():
                self._receiver.behind(self, frame.configuration_version)
            self._receiver.received(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._receiver.closed(self)

    def send(self, message: messages.Message) -> None:
        """Queue a message; it leaves at the end of this loop turn."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(codec.encode(message, self._version()))

    def close(self) -> None:
        """Send what is queued and close."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; queued messages are lost."""
        self._pending.clear()
        if self._transport is not None:
            self._transport.abort()

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        if pending and self.open:
            self._transport.write(b"".join(pending))
