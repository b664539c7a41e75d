"""Connections to the local upstream, kept for the next request."""

import asyncio
import functools
import typing as t

from ..decisions import memory
from . import exchanges
from . import options

# Idle time after which a connection is closed if the upstream states none.
IDLE_MAX_S = 8.0
# Part of the stated idle time after which a connection is not used again.
IDLE_FRACTION = 0.8
# A request that must not be lost avoids connections idle for longer.
FRESH_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Idle connections with ambiguous answers that are kept.
AMBIGUOUS_MAX = 64

Opened = t.Callable[[exchanges.Connection | None], None]


class Pool:
    """Connections to one server.

    :param address: the server.
    :param held: the account of the answers that are being read.
    """

    def __init__(
        self, address: options.Address, held: memory.Held | None = None
    ) -> None:
        self._address = address
        self._held = held or memory.Held()
        self._idle: list[exchanges.Connection] = []
        self._ambiguous: list[exchanges.Connection] = []
        self._open: set[exchanges.Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    @property
    def address(self) -> options.Address:
        """The server."""
        return self._address

    def take(self, fresh: bool, opened: Opened) -> None:
        """Hand over a connection, or ``None`` if none can be opened.

        :param fresh: whether one that may have been forgotten, or on which
            answers are ambiguous, won't do.
        """
        connection = None
        if not fresh:
            connection = self._pop(self._ambiguous, IDLE_MAX_S)
        if connection is None:
            idle_max_s = FRESH_S if fresh else IDLE_MAX_S
            connection = self._pop(self._idle, idle_max_s)
        if connection is None:
            self.open(opened)
        else:
            opened(connection)

    def open(self, opened: Opened) -> None:
        """Hand over a new connection, or ``None`` if none can be opened."""
        task = self._loop.create_task(self._connect(opened))
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._tried, opened))

    def give(self, connection: exchanges.Connection) -> None:
        """Take a connection back after an exchange."""
        if not (connection.reusable and connection.open):
            connection.close()
        elif not connection.ambiguous:
            self._idle.append(connection)
        elif len(self._ambiguous) < AMBIGUOUS_MAX:
            self._ambiguous.append(connection)
        else:
            connection.close()

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
        self._idle = self._kept(self._idle)
        self._ambiguous = self._kept(self._ambiguous)

    def close(self) -> None:
        """Close all connections; whoever waits for one gets none."""
        for task in self._tasks:
            task.cancel()
        for connection in list(self._open):
            connection.close()
        self._idle = []
        self._ambiguous = []

    def _pop(
        self, idle: list[exchanges.Connection], idle_max_s: float
    ) -> exchanges.Connection | None:
        """Take the last one out that may be used, close what may not."""
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            max_s = min(idle_max_s, self._idle_max(connection))
            usable = connection.open and connection.reusable
            if usable and now - connection.last_used <= max_s:
                return connection
            connection.close()
        return None

    def _kept(
        self, idle: list[exchanges.Connection]
    ) -> list[exchanges.Connection]:
        """Close what was idle for too long, return the others."""
        now = self._loop.time()
        kept = []
        for connection in idle:
            if now - connection.last_used > self._idle_max(connection):
                connection.close()
            elif connection.open:
                kept.append(connection)
        return kept

    def _idle_max(self, connection: exchanges.Connection) -> float:
        stated = connection.keep_alive_s
        return stated * IDLE_FRACTION if stated else IDLE_MAX_S

    def _tried(self, opened: Opened, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            opened(None)

    async def _connect(self, opened: Opened) -> None:
        make = functools.partial(
            exchanges.Connection, self._open.discard, self._held
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    make, self._address.host, self._address.port
                )
        except (OSError, TimeoutError):
            opened(None)
            return
        if connection.open:
            self._open.add(connection)
        opened(connection)
