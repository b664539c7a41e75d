"""Hosts of a soak: node processes, their settings and harmed links."""

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import sys
import typing as t

from tools import soak_record
from tools import soak_upstreams

PEER_PORT = 7000
READY_PORT = 8546
STORE_PORT = 8545
# Time from the signal to stop to the end by force.
GRACE_S = 6.0

SETTINGS = """\
local_node.node_name={name}
local_node.service={service}
local_node.ip={node}
local_node.zone={place}
local_node.first_start={first}
local_node.app_addr={upstream}:8547
network.listen.outbound={node}:8548
network.listen.ready={node}:8546
network.internal_ports=7000,7015
network.zones.low-a=low
network.zones.low-b=low
network.zones.up-a=up
platform.platform.address={store}:8545
terms.bounds.drain=2000ms
terms.bounds.grace=6s
"""


class Proxy:
    """Carries connections to another address, harmed on demand."""

    def __init__(self, near: str, far: str, port: int) -> None:
        self._near, self._far, self._port = near, far, port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.delay_s = 0.0
        # Directions that carry nothing: towards the target, and back.
        self.mute = [False, False]

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, self._near, self._port
        )

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far = await asyncio.open_connection(self._far, self._port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far[1]}
        self._writers |= pair
        await asyncio.gather(
            self._carry(reader, far[1], 0), self._carry(far[0], writer, 1)
        )
        self._writers -= pair

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: int,
    ) -> None:
        # What a muted direction has lost leaves a gap, so that the
        # connection stays mute for good, as behind a lost track.
        lost = False
        try:
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                lost = lost or self.mute[direction]
                if writer.is_closing():
                    return
                if not lost:
                    writer.write(data)
            writer.close()
        except OSError:
            writer.transport.abort()


class Host:
    """A host: its upstream in this process, its node as a process.

    :param net: first two numbers of the addresses.
    :param number: of the host.
    :param service: that its upstream serves first.
    :param place: its data centre.
    :param folder: for settings and logs.
    :param tree: the sources that its node runs.
    :param record: takes what is seen.
    :param proxied: whether its peer streams can be harmed.
    """

    def __init__(
        self,
        net: str,
        number: int,
        service: str,
        place: str,
        folder: pathlib.Path,
        tree: pathlib.Path,
        record: soak_record.Record,
        proxied: bool,
    ) -> None:
        self._tree = tree
        self._store = f"{net}.4.1"
        self._first = True
        self._settings = folder / f"{number}.conf"
        self.number = number
        self.place = place
        self.address = f"{net}.{10 + number // 200}.{number % 200 + 1}"
        self._record = record
        at = self.address
        if proxied:
            at = f"{net}.{60 + number // 200}.{number % 200 + 1}"
        self.upstream = soak_upstreams.Upstream(
            at, f"i-{number}", service, self.address, record
        )
        self.proxied = proxied
        self.proxy = Proxy(at, self.address, PEER_PORT)
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the node's process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the node's process, unless it runs."""
        if self.running:
            return
        self.write_settings()
        self._first = False
        with self._settings.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(self._tree / "deploy" / "serve.py")],
                env={
                    **os.environ,
                    "SAVORYTALLY_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    def write_settings(self, more: str = "") -> None:
        """Write the settings file in one step."""
        text = SETTINGS.format(
            name=f"host-{self.address}",
            service=self.upstream.service,
            node=self.address,
            place=self.place,
            first=str(self._first).lower(),
            upstream=self.upstream.address,
            store=self._store,
        )
        written = self._settings.with_suffix(".new")
        written.write_text(text + more)
        written.replace(self._settings)

    def entry(self, state: str = "ready") -> dict[str, t.Any]:
        """Return the upstream's entry in the store."""
        return {
            "service": self.upstream.service,
            "address": f"{self.upstream.address}:8547",
            "zone": self.place,
            "version": "v1",
            "slots": self.upstream.slots,
            "state": state,
            "cold_remaining": "0ms",
            "sequence": 1,
            "born": self.upstream.born,
        }

    def note_memory(self) -> None:
        """Note the most memory that the process has held."""
        if self.process is None or self.process.poll() is not None:
            return
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s*(\d+) kB", status)
        if found is not None:
            peaks, held = self._record.peaks, int(found[1]) << 10
            peaks[self.address] = max(peaks.get(self.address, 0), held)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop the node as the platform does, by force after a time."""
        process = self.process
        if process is None:
            return
        self.signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        end = loop.time() + GRACE_S
        while process.poll() is None:
            await asyncio.sleep(0.05)
            if loop.time() > end:
                process.kill()

    async def ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.address, READY_PORT
            )
        except OSError:
            return False
        writer.write(b"GET /-/readyz HTTP/1.1\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line
