"""A node on the data plane: its ports, its peers and its shutdown."""

import asyncio
import dataclasses
import functools
import random
import signal
import typing as t

from ..decisions import change_log
from ..decisions import cold_rate
from ..decisions import entry_reconciler
from ..decisions import gate_queue
from ..decisions import list_age
from ..decisions import memory_budget
from ..decisions import retry_budget
from ..decisions import retry_slack
from ..decisions import start_pace
from ..decisions import startup_check
from ..world import catalog
from ..world import store_position
from . import callers
from . import compression
from . import configuration_pull
from . import counters
from . import crash_watch
from . import entry
from . import evacuations
from . import event_log
from . import failures
from . import frames
from . import gate
from . import header_names
from . import options
from . import peers
from . import planned_stop
from . import pool
from . import probe_server
from . import rates
from . import read_turns
from . import stop_signals
from . import store_sharing
from . import store_watch
from . import upstream_list
from . import where

TICK_S = 0.05
# How long an unresponsive host gets no new calls.
UNRESPONSIVE_AVOID_S = 0.3
# Interval at which a node sends its configuration version to a random host of
# its region.
GOSSIP_INTERVAL_S = 0.6
# How long a version that peers have announced is waited for.
ANNOUNCED_MAX_S = 4.0
# Pause between two reads of the store, as a part of the time within which
# leaving upstreams must be known.
WATCH_PAUSE_FRACTION = 0.3
# How long the upstream serves other hosts' calls after the stop signal, since
# it may outlive its node's restart.
SERVE_AFTER_STOP_S = 1.4
BACKLOG = 1024


class Node:
    """A node.

    :param node_options: its options.
    :param names: the header names.
    :param source: reads what the platform has published.
    :param read_configuration: parses a configuration; raises ``ValueError`` if
        it is malformed.
    :param rand: random source of its decisions.
    :param reload_options: returns the new options, or ``None`` if the settings
        have not changed.
    :param log_descriptor: the file descriptor that log lines are written to.
    """

    def __init__(
        self,
        node_options: options.Options,
        names: header_names.HeaderNames,
        source: store_watch.Source,
        read_configuration: t.Callable[[bytes], catalog.Catalog],
        rand: random.Random,
        log_descriptor: int = 1,
        reload_options: t.Callable[[], options.Options | None] = lambda: None,
    ) -> None:
        self._reload_options = reload_options
        self._options = node_options
        self._loop = asyncio.get_running_loop()
        self._random = rand
        self._read = read_configuration
        self.log = event_log.EventLog(node_options.host_id, log_descriptor)
        self.counts = counters.Counters()
        self._held = memory_budget.MemoryBudget.within(
            node_options.memory_bytes
        )
        self._turns = read_turns.ReadTurns()
        self._upstream = pool.Pool(
            node_options.upstream, self._held, self._turns
        )
        self.crash_watch = crash_watch.CrashWatch(
            node_options.address, self._upstream, self.log
        )
        bounds = node_options.bounds
        self._slack_share = retry_slack.SlackShare(
            bounds.retry_slack,
            node_options.address,
            bounds.retry_window_s,
            node_options.first_start,
        )
        budget = retry_budget.FleetRetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, self._slack_share
        )
        # When the configuration and the host list were last known to be the
        # newest.
        self._view_age = list_age.ListAge()
        self.gate = gate.Gate(
            names,
            self._upstream,
            gate_queue.GateQueue(
                cold_rate.ColdRate(
                    bounds.cold_overage, bounds.cold_slack, self._loop.time()
                )
            ),
            self.crash_watch,
            budget,
            self.log,
            self.counts,
            node_options,
            self._view_age.confirmed_at,
        )
        self.gate.advertisements.notify = self._broadcast_advertised
        self.peers = peers.Peers(node_options.peer_port, self.gate, self, rand)
        self.crash_watch.set_carrier(self.peers)
        self.rates = rates.Rates(node_options, self.peers)
        self.entry = entry.Entry(
            node_options,
            names,
            self.peers,
            self.gate,
            self.rates,
            self._view_age,
            self.counts,
            self.log,
            rand,
        )
        self._where = where.Where(
            self.entry.placement, self.entry.backpressure, self.rates
        )
        pause_s = node_options.bounds.drain_s * WATCH_PAUSE_FRACTION
        self._upstream_list = upstream_list.UpstreamList()
        self._reconciler = entry_reconciler.EntryReconciler(
            node_options.heartbeat_s
        )
        self._store_watch = store_watch.StoreWatch(source, self, rand, pause_s)
        self.store_sharing = store_sharing.StoreSharing(
            node_options.address,
            self.peers,
            self._store_watch,
            self._upstream_list,
            self,
            (
                self.entry.backpressure.waits,
                self.gate.child_waits.waits,
                self.entry.chain_success,
            ),
        )
        self._ready_path = names.ready_path
        self._catalog: catalog.Catalog | None = None
        self._raw = b""
        self._compressed = b""
        self._rejected_raw = b""
        # Whether the host list has changes that were not applied, since that
        # failed.
        self._instances_pending = False
        self._at_address: dict[str, list[str]] = {}
        self.evacuations = evacuations.Evacuations(node_options, self.log)
        # Addresses of the other hosts of this region, and of other regions.
        self._near: list[str] = []
        self._far: list[str] = []
        self._configuration_pull = configuration_pull.ConfigurationPull(
            lambda: self.version, self._in_region
        )
        self._startup_check: startup_check.StartupCheck | None = None
        if not node_options.first_start:
            self._startup_check = startup_check.StartupCheck(rand)
        self._reachable: bool | None = None
        self._view_confirmed = True
        self._announced_version = 0
        self._announced_at = float("-inf")
        self._connections: set[callers.CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[t.Any]] = []
        self._stopping = asyncio.Event()
        self._stop_signals = stop_signals.StopSignals(self._loop, self.stop)
        self._gossip_at = 0.0

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self._catalog.version if self._catalog is not None else 0

    @property
    def ready(self) -> bool:
        """Whether callers should send requests."""
        known = self._catalog is not None and self.position is not None
        return known and not self._stopping.is_set()

    @property
    def position(self) -> store_position.Position | None:
        """Position of the host list, ``None`` before the first read."""
        return self._upstream_list.position

    @property
    def restored_s(self) -> float:
        """Seconds since the store was restored from a copy, if it was."""
        return self._loop.time() - self._reconciler.restored_at

    @property
    def confirmed_at(self) -> float:
        """Loop time at which the position was last confirmed.

        Confirmations count that this host may pass on to its followers.
        """
        return self.store_sharing.relayed_at

    async def start(self) -> None:
        """Open the ports and start watching the store.

        :raises OSError: if a port can't be opened.
        """
        chosen = self._options
        serve = functools.partial(
            callers.CallerConnection,
            self.entry,
            self._connections,
            self._turns,
        )
        await self._listen(serve, chosen.entry.host, chosen.entry.port)
        await self._listen(self.peers.accept, chosen.address, chosen.peer_port)
        handlers = {
            self._ready_path.decode(): self._readiness,
            "/metrics": lambda query: (200, self.counts.render()),
            "/where": lambda query: self._where.answer(
                self._catalog, query, self._loop.time()
            ),
        }
        probe = functools.partial(probe_server.ProbeServer, handlers)
        await self._listen(probe, chosen.ready.host, chosen.ready.port)
        await self._listen(probe, chosen.address, chosen.metrics_port)
        self._add_gauges()
        self.counts.add_route_gauge(
            "chains_failed_share",
            lambda: self.entry.chain_success.shares(self._loop.time()),
        )
        self._store_watch.start()
        self._tasks = [
            self._loop.create_task(self._tick()),
        ]
        self.log.event("start", service=chosen.service)

    async def run(self) -> None:
        """Serve until SIGINT or SIGTERM arrives, then shut down gracefully."""
        self._stop_signals.install()
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stopping.wait()
        await self._drain()

    def stop(self, late_s: float = 0.0) -> None:
        """Start a graceful shutdown and return at once.

        :param late_s: the longest time in seconds that the stop signal can
            have waited.
        """
        if self._stopping.is_set():
            return
        self._stopping.set()
        now = self._loop.time()
        schedule = planned_stop.Schedule.within(
            self._options.bounds.grace_s, now - late_s, now
        )
        self.entry.stop_schedule = self.gate.stop_schedule = schedule
        self._loop.call_later(SERVE_AFTER_STOP_S, self._leave)
        late_ms = round(late_s * 1000, 1)
        self.log.event("stop", late_ms=late_ms, **self._work_fields())

    def reload(self) -> None:
        """Apply the settings if they have changed.

        Addresses and ports take effect at the next start only.
        """
        newest = self._reload_options()
        if newest is None or newest == self._options:
            return
        changed = [
            field.name
            for field in dataclasses.fields(newest)
            if getattr(newest, field.name)
            != getattr(self._options, field.name)
        ]
        self._options = newest
        self.entry.learn_options(newest)
        self.log.event("reload", changed=changed)

    def _leave(self) -> None:
        """Refuse other hosts' calls from now on, and notify the hosts."""
        self.gate.refuse_new()
        self.peers.announce_leaving()
        self.rates.host_stopping(self._options.address)

    def published(
        self, changes: store_watch.Changes, restored_s: float = 0.0
    ) -> None:
        """Apply what the platform has published.

        :param restored_s: seconds since the store was restored, if the changes
            belong to a later era than the known ones.
        """
        now = self._loop.time()
        self.counts.entries_refused(changes.refused)
        if changes.configuration is not None:
            self.learn_configuration(changes.configuration, "store")
        known = self.position
        change = self._upstream_list.apply(changes)
        if changes.after is None:
            self.log.event(
                "snapshot",
                revision=changes.position.revision,
                era=changes.position.era,
                known=known,
                applied=change is not None,
            )
        if change is not None:
            restored = known is not None and known.era != change.position.era
            if restored:
                self._reconciler.store_restored(now - restored_s)
                self.log.event("store_restored", era=change.position.era)
            else:
                self._reconciler.entries_written(change.changed)
            if change.changed or change.removed:
                self._log_hosts(change, changes.after is None)
            self.store_sharing.changed(change)
            self._instances_pending |= bool(
                restored or change.changed or change.removed
            )
            if self._instances_pending:
                self._apply_instances(now)
            self._check_startup()
        read_at = self._store_watch.read_at
        if self._store_watch.healthy and self.confirmed(read_at):
            self.store_sharing.read_confirmed(read_at)
        if self._startup_check is None:
            self.entry.handle_held()

    def _log_hosts(self, change: change_log.Change, whole: bool) -> None:
        """Log a change of the host list.

        :param whole: whether a snapshot was applied.
        """
        self.log.event(
            "hosts",
            revision=change.position.revision,
            known=len(self._upstream_list.instances),
            changed=sorted(change.changed) if not whole else [],
            removed=list(change.removed),
        )

    def confirmed(self, at: float) -> bool:
        """Note that configuration and host list were current at a loop time.

        :return: whether that holds for the configuration too: the position
            may have passed a version that peers have not sent yet.
        """
        if self._lacks_announced(self._loop.time()):
            return False
        if at > self._view_age.confirmed_at():
            self._view_age.confirm(at)
            self._slack_share.confirm_list(at)
        return True

    def source_state(self, reachable: bool, why: str) -> None:
        """Note that reads of the platform's store fail or work again."""
        if reachable != self._reachable:
            self._reachable = reachable
            self.log.event("store", reachable=reachable, why=why)
        self.store_sharing.notify_followers()

    def store_read(self, result: store_watch.ReadResult) -> None:
        """Count a read of the store."""
        self.counts.store_read(result.value)

    def watch_lost(self, waited_s: float) -> None:
        """Note that the store did not answer a watch although it changed."""
        self.log.event("watch_lost", waited_s=round(waited_s, 3))

    def learn_configuration(self, raw: bytes, origin: str) -> None:
        """Put a configuration in force if it is newer.

        :param raw: its bytes.
        :param origin: where it was read, for the log.
        """
        if raw == self._raw or raw == self._rejected_raw:
            return
        try:
            newest = self._read(raw)
        except ValueError as error:
            self._rejected_raw = raw
            self.log.event("configuration_refused", why=str(error))
            return
        if newest.version <= self.version:
            return
        if self._startup_check is not None and origin == "store":
            self._startup_check.hold(raw, newest.version)
            return
        self._catalog, self._raw, self._compressed = newest, raw, b""
        self.entry.learn_catalog(newest)
        self.gate.learn_catalog(newest)
        self.rates.learn_catalog(newest)
        self.log.event("configuration", version=newest.version, origin=origin)
        self.peers.announce(newest.version)

    def compressed_configuration(self) -> bytes:
        """Return the configuration in force, compressed."""
        if not self._compressed:
            self._compressed = compression.compress(self._raw)
        return self._compressed

    def apply_compressed(self, compressed: bytes) -> None:
        """Apply a peer's compressed configuration if it is newer."""
        try:
            raw = compression.decompress(compressed)
        except ValueError as error:
            self.log.event("configuration_refused", why=str(error))
            return
        self.learn_configuration(raw, "peer")

    def newer_at(
        self, stream: t.Any, version: int, at_once: bool = False
    ) -> None:
        """Note that a peer has a newer configuration.

        :param at_once: whether to request it without a delay.
        """
        if version >= self._announced_version:
            self._announced_version = version
            self._announced_at = self._loop.time()
        # A node that can't read the store will not read the version itself.
        at_once = at_once or self._store_watch.failing
        self._configuration_pull.announced(stream, version, at_once)

    def version_reported(self, stream: t.Any, version: int) -> None:
        """Note the version of a peer's configuration, 0 for none."""
        if self._startup_check is None:
            return
        self._startup_check.replied(stream.peer, version)
        self.newer_at(stream, version, True)
        self._check_startup()

    def token_requested(
        self, number: int, organisation: str, urgency: int
    ) -> tuple[int, int, bool, int]:
        """Decide on another host's token request for a rate owned here."""
        return self.rates.handle_request(number, organisation, urgency)

    def token_granted(self, fields: list[t.Any]) -> None:
        """Apply a rate owner's response to a token request."""
        self.rates.handle_grant(*fields)

    def demand_reported(
        self, region: str, demand_per_s: dict[str, float]
    ) -> None:
        """Apply the demand that another region reports."""
        self.rates.handle_demand(region, demand_per_s)

    def host_leaving(self, address: str) -> None:
        """Send no more calls or token requests to a host that stops."""
        now = self._loop.time()
        for name in self._at_address.get(address, ()):
            self.entry.placement.host_leaving(name, now)
        self.rates.host_stopping(address)
        self.store_sharing.host_stopping(address)

    def upstream_advertised(
        self,
        instance_id: str,
        limit_per_s: float,
        share_per_s: float,
        leaving: bool,
    ) -> None:
        """Apply what another host's upstream advertises.

        :param limit_per_s: its rate limit, in requests per second.
        :param share_per_s: the part of the limit that one host may use.
        :param leaving: whether it is draining.
        """
        now = self._loop.time()
        self.entry.placement.learn_advertised(
            instance_id, limit_per_s, share_per_s, leaving, now
        )

    def _broadcast_advertised(
        self,
        instance_id: str,
        limit_per_s: float,
        share_per_s: float,
        leaving: bool,
    ) -> None:
        """Send all hosts what the local upstream advertises."""
        advertised = (instance_id, limit_per_s, share_per_s, leaving)
        self.upstream_advertised(*advertised)
        self.peers.broadcast(frames.Kind.ADVERTISEMENT, *advertised)

    def host_unresponsive(self, address: str) -> None:
        """Send no new calls to an unresponsive host for a moment."""
        until = self._loop.time() + UNRESPONSIVE_AVOID_S
        for name in self._at_address.get(address, ()):
            self.entry.placement.avoid(name, until)

    def upstream_crashed(self, fingerprints: list[int]) -> list[list[int]]:
        """Count a crash of another host's upstream.

        :return: the refused requests with their remaining milliseconds.
        """
        self.crash_watch.count_crash(fingerprints)
        return self.crash_watch.refusals()

    def crash_counted(self, number: int, refused: list[t.Any]) -> None:
        """Apply a host's reply to the report of a crash."""
        self.crash_watch.report_counted(number, refused)

    def running_state(self) -> tuple[list[t.Any], list[t.Any]]:
        """Return what a host that has just started can't know.

        :return: the refused requests, and the hosts that may own rates
            although they are not listed.
        """
        return self.crash_watch.refusals(), self.rates.unlisted_owners()

    def learn_running_state(
        self, refused: list[t.Any], unlisted: list[t.Any]
    ) -> None:
        """Apply another host's :meth:`running_state`."""
        self.crash_watch.adopt_refusals(refused)
        self.rates.learn_unlisted_owners(unlisted)

    def poison_request_state(self, state: int, fingerprint: int) -> None:
        """Apply the state of a request that may crash upstreams."""
        self.crash_watch.apply_state(state, fingerprint)

    def _check_startup(self) -> None:
        """Ask hosts for their versions; use the store's once they replied."""
        check = self._startup_check
        if check is None or self.position is None:
            return
        now = self._loop.time()
        for host in check.choose_hosts(self._near, self._far, now):
            self.peers.send(host, frames.Kind.VERSION, frames.ASK_STATE)
        for host in check.waiting_for:
            if not self.peers.reaches(host):
                check.replied(host, 0)
        if check.finished(self.version, now):
            self._startup_check = None
            if check.held:
                self.learn_configuration(check.held, "store")
            self.entry.handle_held()

    def _in_region(self, address: str) -> bool:
        regions = self._options.regions
        listed = self._reconciler.instances
        return any(
            regions.get(listed[name].data_centre) == self._options.region
            for name in self._at_address.get(address, ())
            if name in listed
        )

    def _apply_instances(self, now: float, confirmed: bool = True) -> None:
        """Apply the host list.

        :param confirmed: whether it was read just now.
        """
        listed = self._reconciler.merge(self._upstream_list.instances, now)
        instances = catalog.latest_instances(listed)
        self.entry.placement.learn_instances(instances, now)
        self._apply_evacuations(now)
        own = self._options.upstream
        hosts: dict[str, list[str]] = {}
        for name, instance in instances.items():
            hosts.setdefault(instance.address, []).append(name)
        self.gate.learn_entries(
            [
                instance
                for instance in instances.values()
                if (instance.address, instance.port) == (own.host, own.port)
            ],
            now,
        )
        self._at_address = hosts
        self._near, self._far = [], []
        for address in hosts:
            if address != self._options.address:
                near = self._in_region(address)
                (self._near if near else self._far).append(address)
        self._slack_share.learn_hosts(hosts, now, confirmed)
        self.crash_watch.learn_hosts(hosts)
        self.rates.learn_instances(instances.values())
        self.store_sharing.learn_hosts(
            instance.address
            for instance in instances.values()
            if instance.ready
            and instance.data_centre == self._options.data_centre
        )
        self._instances_pending = False

    def _apply_evacuations(self, now: float) -> None:
        """Apply which data centres are evacuated."""
        self.evacuations.apply(self._upstream_list.evacuated, now)
        evacuated = self.evacuations.in_force
        self.entry.placement.learn_evacuated(evacuated)
        self.gate.learn_evacuated(self._options.data_centre in evacuated)

    def _readiness(self, query: probe_server.Query) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    async def _listen(
        self,
        make: t.Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
    ) -> None:
        server = await self._loop.create_server(
            make, host, port, backlog=BACKLOG, reuse_address=True
        )
        self._servers.append(server)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._stop_signals.note_running()
            now = self._loop.time()
            for part in (
                lambda now: self.gate.tick(),
                self.peers.tick,
                self.rates.tick,
                self.store_sharing.tick,
                self._tick_instances,
                self._tick_gossip,
            ):
                # One part that fails must not keep the others from working.
                try:
                    part(now)
                except Exception as error:
                    failures.note("tick", error)

    def _tick_instances(self, now: float) -> None:
        if self._instances_pending or self._reconciler.due(now):
            self._apply_instances(now, confirmed=False)
        self._check_startup()
        self._check_view(now)

    def _tick_gossip(self, now: float) -> None:
        if now < self._gossip_at:
            return
        spread = 0.5 + self._random.random()
        self._gossip_at = now + GOSSIP_INTERVAL_S * spread
        self._upstream.sweep()
        self._sweep_callers(now)
        self._gossip()
        self.reload()

    def _check_view(self, now: float) -> None:
        """Log when the view of the store is no longer recent, or again."""
        if self.position is None:
            return
        age_s = self._view_age.age_s(now)
        confirmed = age_s <= self._options.bounds.change_s
        if confirmed == self._view_confirmed:
            return
        self._view_confirmed = confirmed
        if confirmed:
            self.log.event("view_confirmed", version=self.version)
            return
        self.log.event(
            "view_unconfirmed",
            age_s=round(age_s, 3),
            version=self.version,
            reads_store=self._store_watch.healthy,
            waiting_s=round(self._store_waiting_s(now), 3),
        )

    def _lacks_announced(self, now: float) -> bool:
        """Return whether a peer has announced a version not received yet."""
        recent = now - self._announced_at <= ANNOUNCED_MAX_S
        return recent and self._announced_version > self.version

    def _store_waiting_s(self, now: float) -> float:
        """Return how long a read of the store has waited, -1 without one."""
        since = self._store_watch.waiting_since
        return now - since if since is not None else -1.0

    def _gossip(self) -> None:
        """Send the configuration's version to a random host of the region.

        Readers of the store send it to another region too, since the store may
        have lost a version that the readers there have not read.
        """
        if not self.version:
            return
        groups = [self._near]
        if self.store_sharing.is_reader:
            groups.append(self._far)
        for hosts in groups:
            if hosts:
                chosen = self._random.choice(hosts)
                self.peers.send(chosen, frames.Kind.VERSION, self.version)

    def _sweep_callers(self, now: float) -> None:
        """Close callers' connections that are idle or slow for too long."""
        limits = self.entry.limits
        for connection in list(self._connections):
            idle_s = now - connection.active_since
            if connection.reading and idle_s > limits.header_timeout_s:
                connection.time_out()
            elif connection.idle and idle_s > limits.idle_timeout_s:
                connection.close()

    async def _drain(self) -> None:
        """Finish requests in progress and later ones, then shut down."""
        schedule = t.cast(planned_stop.Schedule, self.entry.stop_schedule)
        stop = planned_stop.Stop(
            schedule,
            self.entry,
            self.gate,
            self.peers,
            self._connections,
        )
        await stop.run(self._stop_listening)
        left = self._work_fields()
        for task in self._tasks:
            task.cancel()
        self._store_watch.stop()
        self.peers.close()
        self._upstream.close()
        self.log.event("end", unread=len(self._connections), **left)
        self.log.flush()
        # Let the transports send what was written.
        await asyncio.sleep(TICK_S)

    def _stop_listening(self) -> None:
        for server in self._servers:
            server.close()

    def _work_fields(self) -> dict[str, t.Any]:
        """Return log fields with the amount of work in progress."""
        return {
            "active": self.entry.active,
            "places": self.entry.progress.stages(),
            "gate_running": self.gate.queue.running,
            "gate_waiting": self.gate.queue.waiting,
        }

    def _ramps(self, reason: start_pace.Reason) -> int:
        return int(self.gate.queue.pace.reason is reason)

    def _cold_s(self) -> float:
        return self.gate.queue.cold.cold_s(self._loop.time())

    def _add_reported_gauges(self) -> None:
        """Add the figures of the upstream's load reports, -1 without one."""
        add, reported = self.counts.add_gauge, self.gate.reported
        now = self._loop.time

        def read(name: str) -> t.Callable[[], float]:
            return lambda: getattr(reported.report(now()), name, -1)

        add("upstream_reported_running", read("running"))
        add("upstream_reported_waiting", read("waiting"))
        add("upstream_reported_slots", read("slots"))
        add(
            "upstream_slowdown_percent",
            lambda: reported.slowdown(now()) or -1,
        )
        add("upstream_reports_trusted", lambda: int(reported.trusted))
        add("upstream_rejected_full", lambda: reported.rejected_full)
        add("upstream_rejected_free", lambda: reported.rejected_free)

    def _add_gauges(self) -> None:
        add = self.counts.add_gauge
        add("configuration_version", lambda: self.version)
        add("gate_running", lambda: self.gate.queue.running)
        add("gate_waiting", lambda: self.gate.queue.waiting)
        add("gate_limit", lambda: self.gate.queue.limit)
        add("ramp_up_limit", lambda: self.gate.queue.limit)
        for reason in start_pace.Reason:
            if reason is not start_pace.Reason.NONE:
                add(
                    f"ramp_up_{reason.value}",
                    functools.partial(self._ramps, reason),
                )
        add("upstream_cold_s", self._cold_s)
        add(
            "cold_bound",
            lambda: int(self.gate.queue.cold.limited(self._loop.time())),
        )
        self._add_reported_gauges()
        add(
            "upstream_limit_per_s",
            lambda: self.gate.advertisements.limit_per_s,
        )
        add(
            "upstream_leaving",
            lambda: int(self.gate.advertisements.leaving),
        )
        add("store_era", lambda: self.position.era if self.position else 0)
        add(
            "store_revision",
            lambda: self.position.revision if self.position else 0,
        )
        add("view_age_s", lambda: self._view_age.age_s(self._loop.time()))
        add(
            "store_waiting_s",
            lambda: self._store_waiting_s(self._loop.time()),
        )
        add("upstreams", lambda: len(self._reconciler.instances))
        add("followers", lambda: self.store_sharing.followers)
        add("reads_store", lambda: int(self._store_watch.healthy))
        add("requests_active", lambda: self.entry.active)
        add("data_centres_evacuated", lambda: len(self.evacuations.in_force))
        add("evacuations_ignored", lambda: self.evacuations.ignored)
        add("log_lines_dropped", lambda: self.log.dropped)
        add("answers_held_bytes", lambda: self._held.total_bytes)
