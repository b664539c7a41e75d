"""Pools of connections, kept for the next request."""

import asyncio
import functools
import typing as t

from ..decisions import memory_budget
from . import exchanges
from . import options
from . import read_turns
from . import sockets

# Idle time after which a connection is closed if the server gives no
# keep-alive timeout.
IDLE_MAX_S = 8.0
# Part of the server's keep-alive timeout after which a connection is not
# reused.
KEEP_ALIVE_FRACTION = 0.8
# A request that may run only once does not use connections that were idle for
# longer.
RUN_ONCE_IDLE_MAX_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Idle connections with ambiguous responses that are kept.
AMBIGUOUS_MAX = 64

OnOpened = t.Callable[[exchanges.Connection | None], None]


class Pool:
    """A pool of connections to one server.

    :param address: the server's address.
    :param memory_held: the memory budget of response bodies being read.
    :param turns: shares the time for parsing with other connections.
    """

    def __init__(
        self,
        address: options.Address,
        memory_held: memory_budget.MemoryBudget | None = None,
        turns: read_turns.ReadTurns | None = None,
    ) -> None:
        self._address = address
        self._held = memory_held or memory_budget.MemoryBudget()
        self._turns = turns or read_turns.ReadTurns()
        self._idle: list[exchanges.Connection] = []
        self._ambiguous: list[exchanges.Connection] = []
        self._open: set[exchanges.Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        # Called when the server has ended an idle connection.
        self.on_lost_idle: t.Callable[[], None] = lambda: None

    @property
    def address(self) -> options.Address:
        """The server's address."""
        return self._address

    @property
    def has_idle(self) -> bool:
        """Whether an open connection is idle."""
        return any(connection.open for connection in self._idle)

    @property
    def has_open(self) -> bool:
        """Whether any connection is open."""
        return any(connection.open for connection in self._open)

    def acquire(self, run_once: bool, on_opened: OnOpened) -> None:
        """Provide a connection.

        :param run_once: whether the request may run only once: it gets no
            connection that the server may have dropped or on which responses
            are ambiguous.
        :param on_opened: called once with a connection, or with ``None`` if
            none can be opened.
        """
        connection = None
        if not run_once:
            connection = self._pop(self._ambiguous, IDLE_MAX_S)
        if connection is None:
            idle_max_s = RUN_ONCE_IDLE_MAX_S if run_once else IDLE_MAX_S
            connection = self._pop(self._idle, idle_max_s)
        if connection is None:
            self.open(on_opened)
        else:
            on_opened(connection)

    def open(self, on_opened: OnOpened) -> None:
        """Open a new connection.

        :param on_opened: called once with it, or with ``None`` on failure.
        """
        task = self._loop.create_task(self._connect(on_opened))
        self._tasks.add(task)
        task.add_done_callback(
            functools.partial(self._connect_ended, on_opened)
        )

    def release(self, connection: exchanges.Connection) -> None:
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
        self._idle = self._close_idle(self._idle)
        self._ambiguous = self._close_idle(self._ambiguous)

    def drop_idle(self) -> None:
        """Close all idle connections."""
        for connection in (*self._idle, *self._ambiguous):
            connection.close()
        self._idle = []
        self._ambiguous = []

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
            max_s = min(idle_max_s, self._idle_max_s(connection))
            usable = connection.open and connection.reusable
            if usable and now - connection.last_used <= max_s:
                return connection
            connection.close()
        return None

    def _close_idle(
        self, idle: list[exchanges.Connection]
    ) -> list[exchanges.Connection]:
        """Close connections idle for too long; return the others."""
        now = self._loop.time()
        kept = []
        for connection in idle:
            if now - connection.last_used > self._idle_max_s(connection):
                connection.close()
            elif connection.open:
                kept.append(connection)
        return kept

    def _idle_max_s(self, connection: exchanges.Connection) -> float:
        """Return how long a connection may stay idle, in seconds."""
        keep_alive_s = connection.keep_alive_s
        return (
            keep_alive_s * KEEP_ALIVE_FRACTION if keep_alive_s else IDLE_MAX_S
        )

    def _connect_ended(
        self, on_opened: OnOpened, task: asyncio.Task[None]
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            on_opened(None)

    def _connection_lost(self, connection: exchanges.Connection) -> None:
        self._open.discard(connection)
        if connection.lost_idle:
            self.on_lost_idle()

    async def _connect(self, on_opened: OnOpened) -> None:
        make = functools.partial(
            exchanges.Connection,
            self._connection_lost,
            self._held,
            self._turns,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    make, self._address.host, self._address.port
                )
        except sockets.CONNECT_ERRORS:
            on_opened(None)
            return
        if connection.open:
            self._open.add(connection)
        on_opened(connection)
