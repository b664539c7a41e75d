"""Runs real nodes under injected faults and checks the recorded traffic.

Each node is a process of its own. The store, the upstreams, the callers and
a proxy in front of the store and of every node's peer port run in this
process. The seed determines the schedule of faults. Every node process is
ended by its process identifier.

    python -m tools.soak --seeds 1-50 --hosts 12 --seconds 12
"""

import argparse
import asyncio
import collections
import itertools
import json
import math
import os
import pathlib
import random
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
from tools import soak_client
from tools import soak_faults
from tools import soak_hosts
from tools import soak_record
from tools import soak_upstreams

ROOT = pathlib.Path(__file__).parent.parent
SERVICES = (*soak_upstreams.ENTRY_SERVICES, *soak_upstreams.CALLED_SERVICES)
LONG_ROUTES = tuple(f"{service}{soak_record.LONG}" for service in SERVICES)
REGIONS = {"low-a": "low", "low-b": "low", "up-a": "up"}
ZONES = tuple(REGIONS)
# Time within which all hosts comply with an evacuation, and with a route's
# homes in a newer configuration.
EVACUATION_REACTION_S = 5.0
HOMES_REACTION_S = 3.0
KEYS = {"key-of-the-growers-1": "growers", "key-of-the-agents-22": "agents"}
START_TIMEOUT_S = 20.0
# Node processes that are started at the same time.
START_BATCH = 8
# Time within which upstreams write again what a restored store has lost.
REWRITE_MAX_S = 1.8
# Service of the routes that versions of the configuration add, and requests to
# these routes.
PROBED_SERVICE = "vault"
PROBERS = 4
PROBE_INTERVAL_S = 0.025
PROBE_TIMEOUT_S = 0.5
LATEST_ROUTES = 2
# Interval between measurements of the lag of the event loop.
LAG_INTERVAL_S = 0.05
# Interval between measurements of the memory of the nodes.
MEMORY_INTERVAL_S = 0.5
# Fraction of the memory that all nodes may use, and the use of one node.
MEMORY_FRACTION = 0.4
MEMORY_PER_NODE_BYTES = 45 << 20
HOSTS_MAX = 240
# With more hosts than this, each host has fewer callers with a lower rate and
# no proxy, because this process would delay the proxied connections.
SMALL_RUN_HOSTS_MAX = 24
CALLERS_PER_HOST_IN_LARGE_RUNS = 2
# Callers of long work of each host.
PATIENT_PER_HOST = 2
# Loopback networks for concurrent runs: 127.N.0.0/16.
NET_FIRST = 20
NETS = 200


def free_net(seed: int) -> str:
    """Return the first two octets of a loopback network not in use.

    :param seed: selects the network that is tried first.
    :raises OSError: if all networks are in use.
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
    """One run of the soak.

    :param seed: seed of the schedule of faults.
    :param hosts: number of hosts.
    :param seconds: duration of the load.
    :param tree: root of the source tree that the nodes run.
    :param other_tree: the tree of every second node, by default the same.
    """

    def __init__(
        self,
        seed: int,
        hosts: int,
        seconds: float,
        tree: pathlib.Path,
        other_tree: pathlib.Path | None = None,
    ) -> None:
        self.seed = seed
        # Under a low load the constant part of the retry bound applies.
        quiet = seed // 5 % 3 == 2 or hosts > SMALL_RUN_HOSTS_MAX
        self.load = "quiet" if quiet else "busy"
        self.seconds = seconds
        net = free_net(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.record = soak_record.Record(
            dict(KEYS),
            allowed_since=dict.fromkeys((*SERVICES, *LONG_ROUTES), 0.0),
        )
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
                ZONES[number % len(ZONES)],
                self.folder,
                (tree, other_tree or tree)[number % 2],
                self.record,
                hosts <= SMALL_RUN_HOSTS_MAX,
            )
            for number in range(hosts)
        ]
        self.regions = tuple(sorted(set(REGIONS.values())))
        self.evacuated: set[str] = set()
        # Region of the services that are confined.
        self.homes: dict[str, str] = {}
        self._version = 1
        self._configuration: dict[str, t.Any] = {}
        # Prefixes of the routes that versions have added.
        self._added_routes: list[str] = []
        self._instances = hosts
        self.loop_lag_s = 0.0

    async def run(self) -> list[str]:
        """Run the soak and return the breaches of its checks."""
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
            planned += soak_faults.slow_spells(
                self.seed, len(self.hosts), self.seconds
            )
            planned.sort(key=lambda fault: fault.at_s)
            monitor = asyncio.ensure_future(self._monitor())
            callers = asyncio.ensure_future(self._callers())
            probers = [
                asyncio.ensure_future(self._probe_routes(number))
                for number in range(PROBERS)
            ]
            await soak_faults.play(self, planned)
            await callers
            await asyncio.sleep(1.0)
            monitor.cancel()
            for prober in probers:
                prober.cancel()
        finally:
            self._end_processes()
            for proxy in (self.store_proxy, *(h.proxy for h in self.hosts)):
                proxy.reset()
            await asyncio.sleep(0.2)
        for host in self.hosts:
            host.record_errors()
        return checks.find_breaches(self.record)

    def put_configuration(self, seed: int) -> None:
        """Publish the next version of the configuration.

        :param seed: determines by how much the version increases.
        """
        keys = [key for key in KEYS if key not in self.record.key_revoked_at]
        tenants = {
            name: {
                "api_keys": [key for key in keys if KEYS[key] == name],
                "priority": 1,
                "rate_per_s": 0,
            }
            for name in KEYS.values()
        }
        added = f"{checks.ADDED_ROUTE}{self._version}"
        self._added_routes.append(added)
        routes = {name: _route(name) for name in (*SERVICES, *LONG_ROUTES)}
        for name, region in self.homes.items():
            routes[name]["allowed_regions"] = [region]
        for name in self._added_routes:
            routes[name] = mesh.route(
                PROBED_SERVICE, prefix=f"/{name}/", auth_exempt=True
            )
        self._configuration = mesh.configuration(
            self._version,
            routes=routes,
            services={
                name: {
                    "health_path": "/healthz",
                    "cold_start": f"{soak_record.COLD_START_S}s",
                    "cold_per_s": soak_record.COLD_PER_S,
                }
                for name in SERVICES
            },
            tenants=tenants,
        )
        self.store.put("op/config", self._configuration)
        self.record.allowed_since[added] = time.time()
        self._version += 1 + seed % 4

    async def rewrite_store(self) -> None:
        """Write what a restored store has lost, as its writers do.

        Entries that the copy brought back expire, unless they are written.
        """
        self.store.put("op/config", self._configuration)
        for zone in ZONES:
            key = f"op/evacuate/{zone}"
            if zone in self.evacuated:
                self.store.put(key, {})
            elif key in self.store.items:
                self.store.delete(key)
        listed = {
            f"servers/{host.upstream.instance_id}" for host in self.hosts
        }
        revived = [
            key
            for key in self.store.items
            if key.startswith("servers/") and key not in listed
        ]
        for host in self.hosts:
            await asyncio.sleep(REWRITE_MAX_S / len(self.hosts))
            if host.upstream.up:
                self.list_upstream(host)
        await asyncio.sleep(soak_faults.ENTRY_EXPIRY_S)
        for key in revived:
            if key in self.store.items:
                self.store.delete(key)

    def evacuate(self, zone: str) -> float:
        """Evacuate a data centre; return the Unix time in seconds."""
        self.evacuated.add(zone)
        self.store.put(f"op/evacuate/{zone}", {})
        return time.time()

    def take_back(self, zone: str, began: float) -> None:
        """End an evacuation that began at a Unix time."""
        self._note_confinement(
            "",
            began,
            lambda host: host.zone == zone,
            time.time(),
            EVACUATION_REACTION_S,
        )
        self.evacuated.discard(zone)
        self.store.delete(f"op/evacuate/{zone}")

    def confine(self, service: str, region: str) -> None:
        """Let a service's requests run in one region from now on."""
        self.homes[service] = region
        self._note_confinement(
            service,
            time.time(),
            lambda host: REGIONS[host.zone] != region,
            math.inf,
            HOMES_REACTION_S,
        )

    def _note_confinement(
        self,
        service: str,
        at: float,
        excludes: t.Callable[[soak_hosts.Host], bool],
        until: float,
        reaction_s: float,
    ) -> None:
        hosts = frozenset(
            host.address for host in self.hosts if excludes(host)
        )
        self.record.confinements.append(
            soak_record.Confinement(service, hosts, at, until, reaction_s)
        )

    def revoke_key(self, seed: int) -> None:
        """Revoke a key, unless it is the last one.

        :param seed: selects the key.
        """
        valid = [key for key in KEYS if key not in self.record.key_revoked_at]
        if len(valid) > 1:
            self.record.key_revoked_at[valid[seed % len(valid)]] = time.time()
            self.put_configuration(seed)

    def list_upstream(self, host: soak_hosts.Host) -> None:
        """Write the entry of a host's upstream to the store."""
        state = "draining" if host.upstream.draining else "ready"
        self.store.put(
            f"servers/{host.upstream.instance_id}", host.entry(state)
        )

    def may_replace(self, host: soak_hosts.Host) -> bool:
        """Return whether another upstream serves the same service."""
        service = host.upstream.service
        return any(
            other.upstream.service == service
            and other.upstream.up
            and not other.upstream.draining
            for other in self.hosts
            if other is not host
        )

    async def replace_upstream(self, host: soak_hosts.Host, seed: int) -> None:
        """Start an upstream of another service on a stopped one's address.

        :param host: host whose upstream has stopped.
        :param seed: selects the service.
        """
        others = [name for name in SERVICES if name != host.upstream.service]
        self._instances += 1
        host.upstream = soak_upstreams.Upstream(
            host.upstream.address,
            f"i-{self._instances}",
            others[seed % len(others)],
            host.address,
            self.record,
        )
        await host.upstream.start(cold=True)
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
                for number, kind in enumerate(self._caller_kinds(host))
            )
        )

    async def _probe_routes(self, prober: int) -> None:
        """Request added routes at random hosts, as operators do.

        :param prober: number of the prober.
        """
        chosen = random.Random(f"{self.seed}-{prober}")
        for number in itertools.count():
            await asyncio.sleep(PROBE_INTERVAL_S)
            host = chosen.choice(self.hosts)
            # Half of the requests are for one of the latest routes.
            latest = self._added_routes[-LATEST_ROUTES:]
            name = chosen.choice(chosen.choice((self._added_routes, latest)))
            target = f"/{name}/1"
            request = soak_client.Request(
                f"p{self.seed}-{prober}-{number}", target, PROBE_TIMEOUT_S
            )
            connection = await soak_client.ClientConnection.open(host.address)
            if connection is None:
                continue
            response = await connection.send(request)
            self.record.sent.append(request.to_record(host.address, response))
            connection.close()

    async def _monitor(self) -> None:
        """Measure the lag of the event loop and the memory of the nodes."""
        loop = asyncio.get_running_loop()
        measured = 0.0
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.loop_lag_s = max(self.loop_lag_s, loop.time() - due)
            if loop.time() - measured > MEMORY_INTERVAL_S:
                measured = loop.time()
                for host in self.hosts:
                    host.record_peak_memory()

    def _caller_kinds(self, host: soak_hosts.Host) -> tuple[str, ...]:
        """Return the kinds of the callers of a host."""
        kinds = soak_callers.CALLER_KINDS
        patient = soak_callers.PATIENT_KINDS
        if len(self.hosts) <= SMALL_RUN_HOSTS_MAX:
            first = host.number % len(patient)
            return (*kinds, *(patient * 2)[first:][:PATIENT_PER_HOST])
        kinds = (*kinds, *patient)
        first = host.number % len(kinds)
        return (kinds * 2)[first : first + CALLERS_PER_HOST_IN_LARGE_RUNS]

    def _end_processes(self) -> None:
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            if host.process is not None:
                host.process.wait()


def _route(name: str) -> dict[str, t.Any]:
    prefix = f"/{name}/"
    service = name.removesuffix(soak_record.LONG)
    return mesh.route(
        service,
        prefix=prefix,
        kind="unsafe"
        if prefix in soak_client.NON_IDEMPOTENT_PREFIXES
        else "safe",
        timeout=f"{soak_record.route_timeout_s(name) * 1000:.0f}ms",
        priority=0 if service in soak_upstreams.ENTRY_SERVICES else 1,
        auth_exempt=service not in soak_upstreams.ENTRY_SERVICES,
    )


def seeds(text: str) -> range:
    """Return the seeds options as ``A-B`` or as one number."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def hosts(text: str) -> int:
    """Return a number of hosts; ``many`` is the most that memory allows."""
    if text != "many":
        return int(text)
    pages = os.sysconf("SC_PHYS_PAGES") * MEMORY_FRACTION
    memory_bytes = int(pages * os.sysconf("SC_PAGE_SIZE"))
    return min(HOSTS_MAX, memory_bytes // MEMORY_PER_NODE_BYTES)


def main(arguments: list[str] | None = None) -> int:
    """Run each seed and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=seeds, required=True)
    parser.add_argument(
        "--hosts", type=hosts, default=12, help="a number, or many"
    )
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--tree", type=pathlib.Path, default=ROOT)
    parser.add_argument(
        "--other-tree",
        type=pathlib.Path,
        help="source tree of every second node, such as an earlier build",
    )
    options = parser.parse_args(arguments)
    failed = 0
    for seed in options.seeds:
        soak = Soak(
            seed,
            options.hosts,
            options.seconds,
            options.tree,
            options.other_tree,
        )
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
        "late_ms": round(soak.loop_lag_s * 1000),
        "requests": len(record.sent),
        "arrivals": len(record.arrivals),
        "ends": dict(sorted(statuses.items())),
        "faults": dict(sorted(kinds.items())),
        "rules": dict(rules),
        "repeats": {
            service: f"{count} of {allowed:.0f}"
            for service, (count, allowed, _) in sorted(
                checks.retries_by_service(record).items()
            )
        },
        "peak_mb": max(record.peak_memory_bytes.values(), default=0) >> 20,
        "breaches": breaches,
        "logs": str(soak.folder) if breaches else "",
    }


if __name__ == "__main__":
    sys.exit(main())
