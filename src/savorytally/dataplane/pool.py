"""Pools of connections, kept for the next request."""

import asyncio
import functools
import typing as t

from ..decisions import memory
from . import exchanges
from . import options

# Idle time after which a connection is closed if the server gives no
# keep-alive timeout.
IDLE_MAX_S = 8.0
# Part of the server's keep-alive timeout after which a connection is not
# reused.
IDLE_FRACTION = 0.8
# A request that may run only once does not use connections that were idle for
# longer.
FRESH_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Idle connections with ambiguous responses that are kept.
AMBIGUOUS_MAX = 64

Opened = t.Callable[[exchanges.Connection | None], None]


class Pool:
    """A pool of connections to one server.

    :param address: the server's address.
    :param held: the memory budget of response bodies that are being read.
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
        """The server's address."""
        return self._address

    def take(self, fresh: bool, opened: Opened) -> None:
        """Provide a connection.

        :param fresh: whether the request may run only once: it gets no
            connection that the server may have dropped or on which responses
            are ambiguous.
        :param opened: called once with a connection, or with ``None`` if none
            can be opened.
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
        """Open a new connection.

        :param opened: called once with it, or with ``None`` on failure.
        """
        task = self._loop.create_task(self._connect(opened))
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._tried, opened))

    def give(self, connection: exchanges.Connection) -> None:
        """Return a connection to the pool after an exchange."""
        if not (connection.reusable and connection.open):
            connection.close()
        elif not connection.ambiguous:
            self._idle.append(connection)
        elif len(self._ambiguous) < AMBIGUOUS_MAX:
            self._ambiguous.append(connection)
        else:
            connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        self._idle = self._kept(self._idle)
        self._ambiguous = self._kept(self._ambiguous)

    def close(self) -> None:
        """Close all connections; pending :meth:`take` calls get ``None``."""
        for task in self._tasks:
            task.cancel()
        for connection in list(self._open):
            connection.close()
        self._idle = []
        self._ambiguous = []

    def _pop(
        self, idle: list[exchanges.Connection], idle_max_s: float
    ) -> exchanges.Connection | None:
        """Return the last usable connection; close unusable ones before it."""
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
        """Close connections idle for too long; return the others."""
        now = self._loop.time()
        kept = []
        for connection in idle:
            if now - connection.last_used > self._idle_max(connection):
                connection.close()
            elif connection.open:
                kept.append(connection)
        return kept

    def _idle_max(self, connection: exchanges.Connection) -> float:
        """Return how long a connection may stay idle, in seconds."""
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
