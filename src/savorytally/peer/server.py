"""Incoming streams and the calls that arrive on them."""

import asyncio
import ssl
import typing as t

from .. import outcomes
from . import answers
from . import codec
from . import links
from . import messages
from . import stream

Level = t.Callable[[messages.Call], int]
Run = t.Callable[[messages.Call], t.Awaitable[outcomes.Outcome]]


class Session:
    """One incoming stream.

    :param server: the server that accepted it.
    """

    def __init__(self, server: "PeerServer") -> None:
        self._server = server
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def opened(self, opened: stream.Stream) -> None:
        """Do nothing until the peer has introduced itself."""

    def received(self, source: stream.Stream, frame: codec.Frame) -> None:
        """Take in a call, its cancellation or a control message."""
        message = frame.message
        if isinstance(message, messages.Hello):
            self._greet(source, message)
        elif not source.host_id:
            source.abort()
        elif isinstance(message, messages.Call):
            self._start(source, message)
        elif isinstance(message, messages.Cancel):
            self._cancel(message)
        else:
            self._server.inbox.deliver(source.host_id, message)

    def behind(self, source: stream.Stream, version: int) -> None:
        """Pass on that the peer has a newer configuration."""
        if source.host_id:
            self._server.inbox.behind(source.host_id, version)

    def closed(self, closed: stream.Stream) -> None:
        """Tell the server."""
        self._server.forget(closed)

    def _greet(self, source: stream.Stream, hello: messages.Hello) -> None:
        if hello.protocol != messages.PROTOCOL_VERSION:
            source.abort()
            return
        source.host_id = hello.host_id
        source.incarnation = hello.incarnation
        identity = self._server.identity
        source.send(
            messages.Hello(
                protocol=messages.PROTOCOL_VERSION,
                host_id=identity.host_id,
                incarnation=identity.incarnation,
            )
        )

    def _start(self, source: stream.Stream, call: messages.Call) -> None:
        task = asyncio.ensure_future(self._run(source, call))
        self._tasks[call.call_id] = task
        task.add_done_callback(
            lambda done: self._tasks.pop(call.call_id, None)
        )

    def _cancel(self, cancel: messages.Cancel) -> None:
        task = self._tasks.get(cancel.call_id)
        if task is not None:
            task.cancel()

    async def _run(self, source: stream.Stream, call: messages.Call) -> None:
        outcome = await self._server.run(call)
        level = self._server.level(call)
        for message in answers.to_messages(call.call_id, outcome, level):
            source.send(message)


class PeerServer:
    """Accepts streams from other nodes.

    :param identity: this node.
    :param run: runs a call at the gate.
    :param level: returns the shed level to send with a call's result.
    :param version: returns the configuration version to stamp on frames.
    :param inbox: takes control messages.
    """

    def __init__(
        self,
        identity: links.Identity,
        run: Run,
        level: Level,
        version: t.Callable[[], int],
        inbox: links.Inbox,
    ) -> None:
        self.identity = identity
        self.run = run
        self.level = level
        self.inbox = inbox
        self._version = version
        self._streams: set[stream.Stream] = set()
        self._server: asyncio.Server | None = None

    async def start(
        self, address: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen for streams.

        :raises OSError: if the port is taken.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address, port, ssl=tls
        )

    async def stop(self) -> None:
        """Stop listening and close all streams."""
        if self._server is not None:
            self._server.close()
        for item in list(self._streams):
            item.close()

    def forget(self, closed: stream.Stream) -> None:
        """Drop a stream that has ended."""
        self._streams.discard(closed)

    def _accept(self) -> stream.Stream:
        accepted = stream.Stream(Session(self), self._version)
        self._streams.add(accepted)
        return accepted
