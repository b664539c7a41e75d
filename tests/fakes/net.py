"""A network in memory for protocols on a virtual loop."""

import asyncio
import collections
import typing as t

from fakes import virtualloop
from savorytally import clock

DELAY_S = 0.0005


class Transport(asyncio.Transport):
    """One end of a connection.

    :param net: the network.
    :param protocol: what it serves.
    :param address: the other end, as the protocol may ask for it.
    """

    def __init__(
        self, net: "Net", protocol: t.Any, address: tuple[str, int]
    ) -> None:
        super().__init__()
        self.net = net
        self.protocol = protocol
        self.other: Transport | None = None
        self.closed = False
        # Whether the protocol was told that the connection has ended.
        self.lost = False
        # Closed here, but the other end has not read all yet.
        self.draining = False
        # The other end sends no more, but what it sent is not read yet.
        self.ends = False
        self.silent = False
        self.paused = False
        self.held: list[t.Any] = []
        self.under_way: collections.deque[t.Callable[[Transport], None]]
        self.under_way = collections.deque()
        self._address = address

    def get_extra_info(self, name: str, default: t.Any = None) -> t.Any:
        return self._address if name == "peername" else default

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        held, self.held = self.held, []
        for data in held:
            self.protocol.data_received(data)
        if self.ends:
            self.finished()
        if self.other is not None and self.other.draining:
            self.other.draining = False
            self.other._end(None, lambda other: other.ended(None))

    def get_write_buffer_size(self) -> int:
        """Return what the other end has not read, as if nothing else did."""
        held = self.other.held if self.other is not None else []
        return sum(len(data) for data in held)

    def write(self, data: t.Any) -> None:
        if not self.closed:
            self._later(lambda other: other.take(bytes(data)))

    def close(self) -> None:
        """End in order: the other end reads all and then the end."""
        if self.closed:
            return
        self.closed = True
        if self.other is not None and self.other.paused:
            self.draining = True
            return
        self._end(None, lambda other: other.ended(None))

    def write_eof(self) -> None:
        """End this direction in order."""
        if not self.closed:
            self._later(lambda other: other.finished())

    def finished(self) -> None:
        """Tell the protocol that the other end sends no more."""
        self.ends = self.paused
        if self.closed or self.paused:
            return
        if not self.protocol.eof_received():
            self.close()

    def abort(self) -> None:
        """Reset: the other end loses the connection with an error."""
        self.draining = False
        error = ConnectionResetError("reset by the other end")
        self._end(None, lambda other: other.ended(error))

    def take(self, data: bytes) -> None:
        """Hand received bytes to the protocol."""
        if self.closed:
            return
        if self.paused:
            self.held.append(data)
            return
        self.protocol.data_received(data)

    def ended(self, error: Exception | None) -> None:
        """Tell the protocol that the other end has gone."""
        if self.lost or (self.closed and not self.draining):
            return
        if error is None and self.protocol.eof_received():
            return
        self.closed = True
        self.lost = True
        self.protocol.connection_lost(error)

    def _end(
        self, error: Exception | None, tell: t.Callable[["Transport"], None]
    ) -> None:
        if self.lost:
            return
        self.closed = True
        self.lost = True
        self._later(tell)
        loop = asyncio.get_running_loop()
        loop.call_soon(self.protocol.connection_lost, error)

    def _later(self, work: t.Callable[["Transport"], None]) -> None:
        other = self.other
        if other is None or self.silent or other.silent:
            return
        # Timers of one moment fire in any order; what is sent must not.
        self.under_way.append(work)
        loop = asyncio.get_running_loop()
        loop.call_later(DELAY_S, self._arrive, other)

    def _arrive(self, other: "Transport") -> None:
        work = self.under_way.popleft()
        if not (self.silent or other.silent):
            work(other)


class Server:
    """A listening port."""

    def __init__(self, net: "Net", key: tuple[str, int]) -> None:
        self._net = net
        self._key = key

    def close(self) -> None:
        self._net.servers.pop(self._key, None)


class Net:
    """Listening ports and open connections by address."""

    def __init__(self) -> None:
        self.servers: dict[tuple[str, int], t.Callable[[], t.Any]] = {}
        self.open: collections.defaultdict[
            tuple[str, int], list[Transport]
        ] = collections.defaultdict(list)
        # Ports that answer nothing, as behind a partition.
        self.unreachable: set[tuple[str, int]] = set()

    def silence(self, host: str, port: int) -> None:
        """Have the connections to a port carry nothing any more."""
        for transport in self.open[host, port]:
            transport.silent = True

    def reset(self, host: str, port: int) -> None:
        """Reset the connections to a port."""
        for transport in self.open[host, port]:
            transport.abort()


class NetLoop(virtualloop.VirtualLoop):
    """A virtual loop whose connections run over a network in memory."""

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
        key = (host, port)
        if key in self.net.unreachable:
            await asyncio.sleep(3600)
        await asyncio.sleep(2 * DELAY_S)
        make = self.net.servers.get(key)
        if make is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        near = Transport(self.net, factory(), key)
        far = Transport(self.net, make(), ("10.9.9.9", 40_000))
        near.other, far.other = far, near
        self.net.open[key].append(near)
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol


def run(work: t.Callable[[], t.Coroutine[t.Any, t.Any, t.Any]]) -> t.Any:
    """Run a coroutine on a loop with a network of its own."""
    virtual = clock.VirtualClock()

    def make() -> NetLoop:
        return NetLoop(virtual)

    with asyncio.Runner(loop_factory=make) as runner:
        return runner.run(work())
