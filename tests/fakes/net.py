"""An in-memory network for asyncio protocols on a virtual event loop."""

import asyncio
import collections
import typing as t

from fakes import virtual_loop
from savorytally import clock

DELAY_S = 0.0005


class Transport(asyncio.Transport):
    """One end of a connection.

    :param net: the network.
    :param protocol: the protocol that uses the transport.
    :param address: address of the other end, returned as ``peername``.
    """

    def __init__(
        self, net: "Net", protocol: t.Any, address: tuple[str, int]
    ) -> None:
        super().__init__()
        self.net = net
        self.protocol = protocol
        self.other: Transport | None = None
        self.closed = False
        # Whether the protocol's connection_lost has been called or scheduled.
        self.loss_reported = False
        # Closed by this end, but the other end has paused reading.
        self.close_pending = False
        # The other end has sent EOF, which follows unread data.
        self.eof_pending = False
        self.drops_data = False
        self.paused = False
        self.unread: list[t.Any] = []
        self.in_flight: collections.deque[t.Callable[[Transport], None]]
        self.in_flight = collections.deque()
        self._address = address

    def get_extra_info(self, name: str, default: t.Any = None) -> t.Any:
        return self._address if name == "peername" else default

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        unread, self.unread = self.unread, []
        for data in unread:
            self.protocol.data_received(data)
        if self.eof_pending:
            self.eof_from_other()
        if self.other is not None and self.other.close_pending:
            self.other.close_pending = False
            self.other._terminate(
                None, lambda other: other.closed_by_other(None)
            )

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the other end has not read.

        Data in flight is not counted.
        """
        unread = self.other.unread if self.other is not None else []
        return sum(len(data) for data in unread)

    def write(self, data: t.Any) -> None:
        if not self.closed:
            self._send_to_other(lambda other: other.receive(bytes(data)))

    def close(self) -> None:
        """Close gracefully: the other end reads all data and then EOF."""
        if self.closed:
            return
        self.closed = True
        if self.other is not None and self.other.paused:
            self.close_pending = True
            return
        self._terminate(None, lambda other: other.closed_by_other(None))

    def write_eof(self) -> None:
        """Send EOF after the data sent so far."""
        if not self.closed:
            self._send_to_other(lambda other: other.eof_from_other())

    def eof_from_other(self) -> None:
        """Report EOF from the other end to the protocol."""
        self.eof_pending = self.paused
        if self.closed or self.paused:
            return
        if not self.protocol.eof_received():
            self.close()

    def abort(self) -> None:
        """Reset the connection; the other end loses it with an error."""
        self.close_pending = False
        error = ConnectionResetError("reset by the other end")
        self._terminate(None, lambda other: other.closed_by_other(error))

    def receive(self, data: bytes) -> None:
        """Pass received bytes to the protocol, or keep them while paused."""
        if self.closed:
            return
        if self.paused:
            self.unread.append(data)
            return
        self.protocol.data_received(data)

    def closed_by_other(self, error: Exception | None) -> None:
        """Report to the protocol that the other end closed the connection."""
        if self.loss_reported or (self.closed and not self.close_pending):
            return
        if error is None and self.protocol.eof_received():
            return
        self.closed = True
        self.loss_reported = True
        self.protocol.connection_lost(error)

    def _terminate(
        self, error: Exception | None, notify: t.Callable[["Transport"], None]
    ) -> None:
        if self.loss_reported:
            return
        self.closed = True
        self.loss_reported = True
        self._send_to_other(notify)
        loop = asyncio.get_running_loop()
        loop.call_soon(self.protocol.connection_lost, error)

    def _send_to_other(self, action: t.Callable[["Transport"], None]) -> None:
        other = self.other
        if other is None or self.drops_data or other.drops_data:
            return
        # Timers that are due at the same time fire in any order, but data
        # must arrive in the order in which it was sent.
        self.in_flight.append(action)
        loop = asyncio.get_running_loop()
        loop.call_later(DELAY_S, self._deliver_next, other)

    def _deliver_next(self, other: "Transport") -> None:
        action = self.in_flight.popleft()
        if not (self.drops_data or other.drops_data):
            action(other)


class Server:
    """A listening port."""

    def __init__(self, net: "Net", key: tuple[str, int]) -> None:
        self._net = net
        self._key = key

    def close(self) -> None:
        self._net.servers.pop(self._key, None)


class Net:
    """Listening ports and open connections by address and port."""

    def __init__(self) -> None:
        self.servers: dict[tuple[str, int], t.Callable[[], t.Any]] = {}
        self.open: collections.defaultdict[
            tuple[str, int], list[Transport]
        ] = collections.defaultdict(list)
        # Ports to which connection attempts hang, as in a network partition.
        self.unreachable: set[tuple[str, int]] = set()

    def drop_data(self, host: str, port: int) -> None:
        """Drop all further data on the open connections to a port."""
        for transport in self.open[host, port]:
            transport.drops_data = True

    def reset(self, host: str, port: int) -> None:
        """Reset the connections to a port."""
        for transport in self.open[host, port]:
            transport.abort()


class NetLoop(virtual_loop.VirtualLoop):
    """A virtual event loop whose connections use an in-memory network."""

    def __init__(self, virtual: clock.VirtualClock) -> None:
        super().__init__(virtual)
        self.net = Net()

    async def create_server(  # type: ignore[override]
        self, factory: t.Callable[[], t.Any], host: str, port: int, **_: t.Any
    ) -> Server:
        self.net.servers[host, port] = factory
        return Server(self.net, (host, port))

    async def create_connection(  # type: ignore[override]
        self, factory: t.Callable[[], t.Any], host: str, port: int, **_: t.Any
    ) -> tuple[Transport, t.Any]:
        # As getaddrinfo does.
        host.encode("idna")
        if not 0 <= port < 1 << 16:
            raise OverflowError("port must be 0-65535")
        key = (host, port)
        if key in self.net.unreachable:
            await asyncio.sleep(3600)
        await asyncio.sleep(2 * DELAY_S)
        factory_of_server = self.net.servers.get(key)
        if factory_of_server is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        client_end = Transport(self.net, factory(), key)
        server_end = Transport(
            self.net, factory_of_server(), ("10.9.9.9", 40_000)
        )
        client_end.other, server_end.other = server_end, client_end
        self.net.open[key].append(client_end)
        server_end.protocol.connection_made(server_end)
        client_end.protocol.connection_made(client_end)
        return client_end, client_end.protocol


def run(main: t.Callable[[], t.Coroutine[t.Any, t.Any, t.Any]]) -> t.Any:
    """Run a coroutine on a new loop with its own network.

    :param main: returns the coroutine.
    :return: the coroutine's result.
    """
    virtual = clock.VirtualClock()

    def create_loop() -> NetLoop:
        return NetLoop(virtual)

    with asyncio.Runner(loop_factory=create_loop) as runner:
        return runner.run(main())
