"""A loopback proxy that injects faults into peer streams.

It forwards frame by frame. Open connections can be reset, or stop forwarding
until they are released while new ones work; frames to the caller can be
duplicated and reordered.
"""

import asyncio
import random

from savorytally.peer import codec


class Connection:
    """One proxied connection."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False
        self.held: list[tuple[asyncio.StreamWriter, bytes]] = []

    def forward(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        """Forward a frame, or hold it while the connection is silent."""
        if self.silent:
            self.held.append((writer, frame))
        elif not writer.is_closing():
            writer.write(frame)

    def release(self) -> None:
        """Forward the frames that were held, and all later ones."""
        self.silent = False
        kept, self.held = self.held, []
        for writer, frame in kept:
            self.forward(writer, frame)


class Proxy:
    """Forwards connections to a port of loopback.

    :param target_port: port to forward to.
    :param framed: whether the stream consists of plain frames; with TLS it
        is forwarded in pieces as received.
    """

    def __init__(self, target_port: int, framed: bool = True) -> None:
        self._framed = framed
        self.connections: list[Connection] = []
        self.copies = 1
        self.shuffle: random.Random | None = None
        self.silent_on_accept = False
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()

    def silence(self) -> None:
        """Stop forwarding on the open connections."""
        for item in self.connections:
            item.silent = True

    def cut(self) -> None:
        """Reset the open connections."""
        for item in self.connections:
            for writer in item.writers:
                writer.transport.abort()
        self.connections.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        connection = Connection([writer, target[1]])
        connection.silent = self.silent_on_accept
        self.connections.append(connection)
        for source, sink, faulty in (
            (reader, target[1], False),
            (target[0], writer, True),
        ):
            task = asyncio.ensure_future(
                self._pump(connection, source, sink, faulty)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        faulty: bool,
    ) -> None:
        held: list[bytes] = []
        try:
            while True:
                frame = await self._read(reader)
                copies = self.copies if faulty else 1
                held += [frame] * copies
                if faulty and self.shuffle and await self._more(reader):
                    continue
                if self.shuffle:
                    self.shuffle.shuffle(held)
                for item in held:
                    connection.forward(writer, item)
                held.clear()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        if not self._framed:
            data = await reader.read(1 << 16)
            if not data:
                raise asyncio.IncompleteReadError(b"", None)
            return data
        length = await reader.readexactly(codec.LENGTH.size)
        size = codec.LENGTH.unpack(length)[0]
        return length + await reader.readexactly(size)

    async def _more(self, reader: asyncio.StreamReader) -> bool:
        """Return whether more data arrives within a short time."""
        await asyncio.sleep(0.01)
        return bool(reader._buffer)
