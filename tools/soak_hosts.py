"""Hosts of a soak run: node processes, their settings and proxied links."""

import asyncio
import math
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
# Time from SIGTERM to SIGKILL.
STOP_TIMEOUT_S = 6.0
# Part of a log line of a level that is used for unforeseen failures only.
ERROR_LEVEL = '"level":"ERROR"'

SETTINGS = """\
local_node.node_name={name}
local_node.service={service}
local_node.ip={node}
local_node.zone={zone}
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
terms.bounds.cold_overage={overage}
terms.bounds.cold_slack={slack}
"""


class Proxy:
    """A TCP proxy that can delay, drop and reset its connections.

    :param near: address to listen on.
    :param far: address to connect to.
    :param port: port of both addresses.
    """

    def __init__(self, near: str, far: str, port: int) -> None:
        self._near, self._far, self._port = near, far, port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.delay_s = 0.0
        # Directions whose data is dropped: towards the target, and back.
        self.blackholed = [False, False]
        # Loop time before which the connections opened that carry nothing.
        self._silent_before = 0.0

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept, self._near, self._port
        )

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self, later: bool) -> None:
        """Let the open connections carry no data until they are closed.

        :param later: whether the same holds for connections that are opened
            before the next call.
        """
        now = asyncio.get_running_loop().time()
        self._silent_before = math.inf if later else now

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
        # Dropped data leaves a gap in the stream, so the direction drops
        # everything from then on, as on a connection without a route.
        lost = False
        opened = asyncio.get_running_loop().time()
        try:
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                lost = lost or self.blackholed[direction]
                lost = lost or opened < self._silent_before
                if writer.is_closing():
                    return
                if not lost:
                    writer.write(data)
            writer.close()
        except OSError:
            writer.transport.abort()


class Host:
    """A host: an upstream in this process and a node in its own process.

    :param net: first two octets of the addresses.
    :param number: number of the host.
    :param service: service that its first upstream serves.
    :param zone: data centre of the host.
    :param folder: directory for settings and logs.
    :param tree: root of the source tree that the node runs.
    :param record: where arrivals and memory use are recorded.
    :param proxied: whether peer streams pass through a proxy.
    """

    def __init__(
        self,
        net: str,
        number: int,
        service: str,
        zone: str,
        folder: pathlib.Path,
        tree: pathlib.Path,
        record: soak_record.Record,
        proxied: bool,
    ) -> None:
        self._tree = tree
        self._store_address = f"{net}.4.1"
        self._first_start = True
        self._settings = folder / f"{number}.conf"
        self.number = number
        self.zone = zone
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
        """Whether the node's process is running."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the node's process, unless it is running."""
        if self.running:
            return
        self.write_settings()
        self._first_start = False
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
        """Replace the settings file atomically.

        :param more: settings to append.
        """
        text = SETTINGS.format(
            name=f"host-{self.address}",
            service=self.upstream.service,
            node=self.address,
            zone=self.zone,
            first=str(self._first_start).lower(),
            upstream=self.upstream.address,
            store=self._store_address,
            overage=soak_record.COLD_OVERAGE,
            slack=int(soak_record.COLD_SLACK),
        )
        written = self._settings.with_suffix(".new")
        written.write_text(text + more)
        written.replace(self._settings)

    def entry(self, state: str = "ready") -> dict[str, t.Any]:
        """Return the upstream's next entry for the store."""
        self.upstream.sequence += 1
        return {
            "service": self.upstream.service,
            "address": f"{self.upstream.address}:8547",
            "zone": self.zone,
            "version": "v1",
            "slots": self.upstream.slots,
            "state": state,
            "cold_remaining": f"{self.upstream.cold_ms}ms",
            "sequence": self.upstream.sequence,
            "born": self.upstream.born,
        }

    def record_peak_memory(self) -> None:
        """Record the peak resident memory of the process."""
        if self.process is None or self.process.poll() is not None:
            return
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s*(\d+) kB", status)
        if found is not None:
            peaks, held = self._record.peak_memory_bytes, int(found[1]) << 10
            peaks[self.address] = max(peaks.get(self.address, 0), held)

    def record_errors(self) -> None:
        """Record what the host's nodes have logged as errors."""
        path = self._settings.with_suffix(".log")
        self._record.node_errors += [
            f"{self.address}: {line}"
            for line in path.read_text(errors="replace").splitlines()
            if ERROR_LEVEL in line
        ]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop the node as the platform does, with SIGKILL after a timeout."""
        process = self.process
        if process is None:
            return
        self.signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        end = loop.time() + STOP_TIMEOUT_S
        while process.poll() is None:
            await asyncio.sleep(0.05)
            if loop.time() > end:
                process.kill()

    async def ready(self) -> bool:
        """Return whether the node reports that it is ready."""
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
