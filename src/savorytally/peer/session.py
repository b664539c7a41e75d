"""An incoming stream, whose messages are passed to the peer server."""

import typing as t

from .. import outcomes
from .. import results
from ..decisions import call_resolution
from . import answers
from . import messages
from . import stream

if t.TYPE_CHECKING:
    from . import server


class Session:
    """Handles the messages that a peer sends on one stream.

    :param owner: the server that accepted the stream.
    """

    def __init__(self, owner: "server.PeerServer") -> None:
        self._server = owner
        self._stream: stream.Stream | None = None
        self.sender: call_resolution.Sender | None = None
        self.goodbye_received = False

    @property
    def last_received_at(self) -> float:
        """When data was last received, in seconds of the event loop."""
        return (
            self._stream.last_received_at if self._stream is not None else 0.0
        )

    def opened(self, opened: stream.Stream) -> None:
        """Handle an accepted stream; its first message must be a hello."""
        self._stream = opened
        self._server.opened(self)

    def received(
        self, source: stream.Stream, message: messages.Message
    ) -> None:
        """Handle a message from the peer."""
        if isinstance(message, messages.Hello):
            self._handle_hello(source, message)
        elif self.sender is None:
            self.abort()
        elif isinstance(message, messages.Call):
            self._server.start(self, message)
        elif isinstance(message, messages.Cancel):
            self._server.cancel(self.sender, message.call_id)
        elif isinstance(message, messages.Resolve):
            self._server.resolve(self, message)
        elif isinstance(message, messages.CallsSettled):
            self._server.settle(self.sender, message.before_call_id)
        elif isinstance(message, messages.Heartbeat):
            source.send(messages.Heartbeat(message.sequence, True))
        elif isinstance(message, messages.Goodbye):
            self.goodbye_received = True
            self._server.inbox.deliver(self.sender.host_id, message)
        else:
            self._server.inbox.deliver(self.sender.host_id, message)

    def newer_version_seen(self, source: stream.Stream, version: int) -> None:
        """Notify the inbox that the peer has a newer configuration."""
        if self.sender is not None:
            self._server.inbox.newer_version_seen(self.sender.host_id, version)

    def closed(self, closed: stream.Stream) -> None:
        """Notify the server that the stream has ended."""
        self._server.closed(self)

    def send(self, message: messages.Message) -> None:
        """Send a message; it is dropped if the stream is closed."""
        if self._stream is not None and self._stream.open:
            self._stream.send(message)

    def answer(
        self, call_id: int, outcome: outcomes.Outcome, shed_level: int
    ) -> None:
        """Send the outcome of a call; dropped if the stream is closed.

        :param shed_level: the gate's shed level, -1 if unknown.
        """
        if self._stream is not None and self._stream.open:
            pieces = answers.to_messages(call_id, outcome, shed_level)
            self._stream.send_all(pieces)

    def fail(self, call_id: int, code: results.ResultCode) -> None:
        """Send a failure for a call, without a shed level."""
        self.answer(call_id, outcomes.Failure(code), -1)

    def close(self) -> None:
        """Send the queued messages and close the stream."""
        if self._stream is not None:
            self._stream.close()

    def abort(self) -> None:
        """Close the stream at once; queued messages are lost."""
        if self._stream is not None:
            self._stream.abort()

    def _handle_hello(
        self, source: stream.Stream, hello: messages.Hello
    ) -> None:
        already_identified = self.sender is not None
        if already_identified or hello.protocol != messages.PROTOCOL_VERSION:
            self.abort()
            return
        source.host_id = hello.host_id
        source.incarnation = hello.incarnation
        self.sender = call_resolution.Sender(hello.host_id, hello.incarnation)
        self._server.identified(self)
        source.send(self._server.identity.hello())
        self._server.hello_sent(self)
        self._server.inbox.deliver(hello.host_id, hello)
