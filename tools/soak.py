"""Soaks real nodes in faults and judges what callers and upstreams saw.

The nodes are processes of their own; store, upstreams, callers and a proxy
before every node's peer port and before the store run in this process. A
seed gives the schedule of faults. Every process is ended by its identifier.

    python -m tools.soak --seeds 1-50 --hosts 12 --seconds 12
"""

import argparse
import asyncio
import collections
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import typing as t

from fakes import mesh
import uvloop

from tools import soak_callers
from tools import soak_checks as checks
from tools import soak_faults
from tools import soak_hosts
from tools import soak_record
from tools import soak_upstreams
from tools import soak_wire

ROOT = pathlib.Path(__file__).parent.parent
SERVICES = (*soak_upstreams.TOP, *soak_upstreams.BELOW)
PLACES = ("low-a", "low-b", "up-a")
KEYS = {"key-of-the-growers-1": "growers", "key-of-the-agents-22": "agents"}
START_TIMEOUT_S = 20.0
# Processes that are started at the same time.
START_BATCH = 8
WATCH_S = 0.05
# How often the memory of the nodes is measured.
MEASURE_S = 0.5
# Part of the memory that nodes may take together, and what one takes.
MEMORY_PART = 0.4
NODE_BYTES = 45 << 20
HOSTS_MAX = 240
# With more hosts than this, each has fewer callers, who send less, and no
# proxy, since this process would delay what passes through it.
HOSTS_BUSY = 24
CALLERS_OF_MANY = 2
# Loopback networks of runs that may be on at the same time.
NET_FIRST = 20
NETS = 200


def free_net(seed: int) -> str:
    """Return the first two numbers of addresses that no other run uses.

    :raises OSError: if there are none.
    """
    for offset in range(NETS):
        net = f"127.{NET_FIRST + (seed + offset) % NETS}"
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"{net}.3.1", soak_hosts.STORE_PORT))
            except OSError:
                continue
        return net
    raise OSError("all loopback networks of the soak are in use")


class Soak:
    """One run."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        seconds: float,
        tree: pathlib.Path,
    ) -> None:
        self.seed = seed
        # Repeats are bounded by their number where there are few requests.
        quiet = seed // 5 % 3 == 2 or hosts > HOSTS_BUSY
        self.load = "quiet" if quiet else "busy"
        self.seconds = seconds
        net = free_net(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.record = soak_record.Record(dict(KEYS))
        self.store = mesh.Store()
        self._store_address = f"{net}.3.1"
        self.store_proxy = soak_hosts.Proxy(
            f"{net}.4.1", self._store_address, soak_hosts.STORE_PORT
        )
        self.hosts = [
            soak_hosts.Host(
                net,
                number,
                SERVICES[number % len(SERVICES)],
                PLACES[number % len(PLACES)],
                self.folder,
                tree,
                self.record,
                hosts <= HOSTS_BUSY,
            )
            for number in range(hosts)
        ]
        self._version = 1
        self._starts = hosts
        self.late_s = 0.0

    async def run(self) -> list[str]:
        """Play the run and return its breaches."""
        await self.store.start(self._store_address)
        await self.store_proxy.start()
        for host in self.hosts:
            await host.upstream.start()
            if host.proxied:
                await host.proxy.start()
            self.list_upstream(host)
        self.put_configuration(0)
        try:
            await self._start_nodes()
            planned = soak_faults.schedule(
                self.seed, len(self.hosts), self.seconds
            )
            watch = asyncio.ensure_future(self._watch())
            callers = asyncio.ensure_future(self._callers())
            await soak_faults.play(self, planned)
            await callers
            await asyncio.sleep(1.0)
            watch.cancel()
        finally:
            self._end_processes()
            for proxy in (self.store_proxy, *(h.proxy for h in self.hosts)):
                proxy.reset()
            await asyncio.sleep(0.2)
        return checks.judge(self.record)

    def put_configuration(self, seed: int) -> None:
        """Publish the next configuration."""
        keys = [key for key in KEYS if key not in self.record.revoked]
        tenants = {
            name: {
                "api_keys": [key for key in keys if KEYS[key] == name],
                "priority": 1,
                "rate_per_s": 0,
            }
            for name in KEYS.values()
        }
        config = mesh.configuration(
            self._version,
            routes={name: _route(name) for name in SERVICES},
            services={name: {"health_path": "/healthz"} for name in SERVICES},
            tenants=tenants,
        )
        self.store.put("op/config", config)
        self._version += 1 + seed % 4

    def revoke_key(self, seed: int) -> None:
        """Withdraw a key; the last one stays."""
        left = [key for key in KEYS if key not in self.record.revoked]
        if len(left) > 1:
            self.record.revoked[left[seed % len(left)]] = time.time()
            self.put_configuration(seed)

    def list_upstream(self, host: soak_hosts.Host) -> None:
        """Write an upstream's entry to the store."""
        state = "draining" if host.upstream.leaving else "ready"
        self.store.put(
            f"servers/{host.upstream.instance_id}", host.entry(state)
        )

    def may_replace(self, host: soak_hosts.Host) -> bool:
        """Return whether others serve what a host's upstream serves."""
        service = host.upstream.service
        return any(
            other.upstream.service == service
            and other.upstream.up
            and not other.upstream.leaving
            for other in self.hosts
            if other is not host
        )

    async def replace_upstream(self, host: soak_hosts.Host, seed: int) -> None:
        """Give the address of an upstream that ended to another service."""
        others = [name for name in SERVICES if name != host.upstream.service]
        self._starts += 1
        host.upstream = soak_upstreams.Upstream(
            host.upstream.address,
            f"i-{self._starts}",
            others[seed % len(others)],
            host.address,
            self.record,
        )
        await host.upstream.start()
        self.list_upstream(host)

    async def _start_nodes(self) -> None:
        for first in range(0, len(self.hosts), START_BATCH):
            batch = self.hosts[first : first + START_BATCH]
            for host in batch:
                host.start()
            end = time.time() + START_TIMEOUT_S
            for host in batch:
                while not await host.ready():
                    if time.time() > end:
                        raise RuntimeError(f"{host.address} did not start")
                    await asyncio.sleep(0.1)

    async def _callers(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self.seconds
        keys = tuple(KEYS)
        await asyncio.gather(
            *(
                soak_callers.Caller(
                    soak_callers.KINDS[kind],
                    host.address,
                    f"r{self.seed}-{host.number}-{number}",
                    keys,
                    self.record,
                    self.load,
                ).run(until)
                for host in self.hosts
                for number, kind in enumerate(self._kinds(host))
            )
        )

    async def _watch(self) -> None:
        """Measure by how much this process is late, and the nodes' memory."""
        loop = asyncio.get_running_loop()
        measured = 0.0
        while True:
            due = loop.time() + WATCH_S
            await asyncio.sleep(WATCH_S)
            self.late_s = max(self.late_s, loop.time() - due)
            if loop.time() - measured > MEASURE_S:
                measured = loop.time()
                for host in self.hosts:
                    host.note_memory()

    def _kinds(self, host: soak_hosts.Host) -> tuple[str, ...]:
        """Return the kinds of a host's callers."""
        kinds = soak_callers.CALLERS
        if len(self.hosts) <= HOSTS_BUSY:
            return kinds
        first = host.number % len(kinds)
        return (kinds * 2)[first : first + CALLERS_OF_MANY]

    def _end_processes(self) -> None:
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            if host.process is not None:
                host.process.wait()


def _route(service: str) -> dict[str, t.Any]:
    prefix = f"/{service}/"
    return mesh.route(
        service,
        kind="unsafe" if prefix in soak_wire.ONCE else "safe",
        timeout="2000ms",
        priority=0 if service in soak_upstreams.TOP else 1,
        auth_exempt=service not in soak_upstreams.TOP,
    )


def seeds(text: str) -> range:
    """Return the seeds of ``A-B`` or of one number."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def hosts(text: str) -> int:
    """Return a number of hosts; ``many`` are what the limits allow."""
    if text != "many":
        return int(text)
    pages = os.sysconf("SC_PHYS_PAGES") * MEMORY_PART
    memory_bytes = int(pages * os.sysconf("SC_PAGE_SIZE"))
    return min(HOSTS_MAX, memory_bytes // NODE_BYTES)


def main(arguments: list[str] | None = None) -> int:
    """Play the seeds and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=seeds, required=True)
    parser.add_argument(
        "--hosts", type=hosts, default=12, help="a number, or many"
    )
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--tree", type=pathlib.Path, default=ROOT)
    given = parser.parse_args(arguments)
    failed = 0
    for seed in given.seeds:
        soak = Soak(seed, given.hosts, given.seconds, given.tree)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            breaches = runner.run(soak.run())
        failed += bool(breaches)
        if breaches:
            soak.record.write(soak.folder / "record.jsonl")
        print(json.dumps(_summary(soak, breaches)), flush=True)
    return 1 if failed else 0


def _summary(soak: Soak, breaches: list[str]) -> dict[str, t.Any]:
    record = soak.record
    statuses = collections.Counter(
        f"{sent.end} {sent.status}" for sent in record.sent
    )
    kinds = collections.Counter(fault.kind for fault in record.faults)
    rules = collections.Counter(line.split(":")[0] for line in breaches)
    return {
        "seed": soak.seed,
        "late_ms": round(soak.late_s * 1000),
        "requests": len(record.sent),
        "arrivals": len(record.arrivals),
        "ends": dict(sorted(statuses.items())),
        "faults": dict(sorted(kinds.items())),
        "rules": dict(rules),
        "repeats": {
            service: f"{count} of {allowed:.0f}"
            for service, (count, allowed, _) in sorted(
                checks.repeats_by_service(record).items()
            )
        },
        "peak_mb": max(record.peaks.values(), default=0) >> 20,
        "breaches": breaches,
        "logs": str(soak.folder) if breaches else "",
    }


if __name__ == "__main__":
    sys.exit(main())
