"""A node: the composition of its parts, with and without ports."""

import asyncio
import random
import secrets
import signal

import aioprometheus

from . import clock
from . import fields
from . import metrics
from . import ports
from . import settings
from . import tls
from . import tracing
from . import view
from .decisions import adaptive  # noqa: F401, registers a policy
from .decisions import admission
from .decisions import balanced  # noqa: F401, registers a policy
from .decisions import dissemination
from .decisions import downstream
from .decisions import evidence
from .decisions import fifo  # noqa: F401, registers a policy
from .decisions import loans  # noqa: F401, registers a policy
from .decisions import membership
from .decisions import quarantine
from .decisions import quota
from .decisions import relay
from .decisions import routing
from .decisions import witness
from .http import admin
from .http import metrics_endpoint
from .http import platform
from .http import server
from .http import upstream
from .parts import control
from .parts import dispatch
from .parts import egress
from .parts import entry
from .parts import gate
from .parts import publications
from .parts import running
from .parts import watch
from .peer import identity
from .peer import links
from .peer import messages
from .peer import server as peer_server


def check_policies(chosen: settings.Policies) -> list[fields.Fault]:
    """Return a fault for each policy that is not registered."""
    known = {
        "admission": admission.policies.names(),
        "routing": routing.policies.names(),
        "quota": quota.policies.names(),
    }
    return [
        fields.Fault(f"/policies/{kind}", f"must be one of {', '.join(names)}")
        for kind, names in known.items()
        if getattr(chosen, kind) not in names
    ]


class Node:
    """The parts of one node, composed behind the seam to the outside.

    :param options: the node's settings.
    :param outside: clock, random source, peers, upstream and platform.
    :param incarnation: distinguishes it from earlier nodes of its host.
    """

    def __init__(
        self,
        options: settings.Settings,
        outside: ports.Outside,
        current: view.View,
        incarnation: int = 0,
    ) -> None:
        policies = options.policies
        self.settings = options
        self.outside = outside
        self.view = current
        self.metrics = metrics.Metrics(aioprometheus.Registry())
        self.tokens = running.RunningCalls()
        self.relay = relay.Relay(options.host_id, options.place)
        self.membership = membership.Membership(
            options.host_id,
            incarnation,
            self.relay,
            outside.random,
            self._working_hosts_changed,
        )
        self.evidence = evidence.SpreadEvidence(self.membership.contacts)
        self.dissemination = dissemination.Dissemination(
            options.host_id,
            self.relay,
            outside.random,
            publications.Publications(self.view),
            self.membership.reachable,
            self.evidence,
        )
        self.witnesses = witness.Witnesses(outside.random)
        self.quota = quota.policies.get(policies.quota)(
            quota.Site(
                host_id=options.host_id,
                region_id=options.place.region_id,
                incarnation=incarnation or int(outside.clock.wall() * 1000),
                evidence=self.evidence,
                witnesses=self.witnesses,
                random=outside.random,
                wake=self._wake_quota,
                fresh=options.fresh_fleet,
            )
        )
        self.routing = routing.policies.get(policies.routing)(
            options.place, outside.random
        )
        self.dispatcher = dispatch.Dispatcher(outside, self.routing)
        below = downstream.DownstreamLevels(self.routing.route_level)
        self.entry = entry.Entry(
            outside, self.view, self.quota, self.dispatcher, self.metrics
        )
        self.egress = egress.Egress(
            outside, self.view, self.tokens, self.dispatcher, below
        )
        self.quarantine = quarantine.Quarantine(
            options.host_id, self._service_peers
        )
        self.gate = gate.Gate(
            outside,
            self.view,
            admission.policies.get(policies.admission)(
                admission.Capacity(slots=1, connections=1)
            ),
            self.tokens,
            below,
            self.quarantine,
        )
        self.control = control.Control(
            outside, self.view, self.dissemination, self.membership
        )
        self.control.add(self.dissemination)
        self.control.add(self.membership)
        self.control.add(self.quota)
        self.control.add(self.witnesses)
        self.control.add(self.quarantine)
        self.control.every_tick(self.gate.tick)
        self.watch = watch.PlatformWatch(
            outside, self.dissemination, self.control.send
        )
        self._add_gauges()
        self.view.subscribe(self)
        self.view.confirm_with(self.dissemination.freshness.confirmed)
        self.view.compare_with(lambda: self.dissemination.lagging)

    def configuration_changed(self, now: float) -> None:
        """Apply a newer configuration."""
        version = self.view.configuration
        if version is None:
            return
        self.quota.learn_configuration(version, now)
        self.routing.learn_configuration(version, now)
        self.dispatcher.learn_configuration(version)
        service = version.services.get(self.settings.service_id)
        if service is not None:
            self.gate.policy.learn_capacity(
                admission.Capacity(service.slots, service.connections)
            )

    def hosts_changed(self, now: float) -> None:
        """Apply a newer host list."""
        self.relay.learn_hosts(self.view.hosts.hosts)
        self.membership.learn_hosts(self.view.hosts.hosts)
        self.witnesses.learn(self.view.hosts.version, now)
        self.quota.learn_hosts(self.view.hosts, now)
        self._working_hosts_changed(now)

    def _service_peers(self) -> list[str]:
        known = self.view.hosts.of_service(self.settings.service_id)
        own = self.settings.host_id
        return [item.host_id for item in known if item.host_id != own]

    def _add_gauges(self) -> None:
        policy = self.gate.policy
        add = self.metrics.add_gauge
        add(
            "configuration_version",
            "Version of the configuration in force.",
            lambda: self.view.version,
        )
        add(
            "gate_running",
            "Requests that the upstream works on.",
            lambda: policy.running,
        )
        add(
            "gate_waiting",
            "Requests in the gate's queue.",
            lambda: policy.waiting,
        )
        add(
            "gate_limit",
            "Requests that the gate lets run at once.",
            lambda: policy.limit,
        )
        add(
            "hosts",
            "Hosts in the host list in force.",
            lambda: len(self.view.hosts.hosts),
        )

    def _working_hosts_changed(self, now: float) -> None:
        self.routing.learn_hosts(self.membership.working(), now)

    def _wake_quota(self) -> None:
        asyncio.get_running_loop().call_soon(self._poll_quota)

    def _poll_quota(self) -> None:
        now = self.outside.clock.now()
        self.control.send(self.quota.poll(now))


class Daemon:
    """A node on its ports.

    :param options: the node's settings.
    """

    def __init__(self, options: settings.Settings) -> None:
        now = clock.SystemClock()
        current = view.View()
        source = random.Random(secrets.randbits(64))
        own = identity.Identity(options.host_id, int(now.wall() * 1000))
        self._settings = options
        self._links = links.Links(
            links.Shared(
                own,
                lambda: current.version,
                self,
                source,
                tls.peer_client(options.peer_tls),
            )
        )
        self._upstream = upstream.HttpUpstream(options.upstream_url)
        self._platform = platform.HttpPlatform(options.platform_url)
        spans = tracing.make(options, source)
        outside = ports.Outside(
            clock=now,
            random=source,
            peers=spans.peers(self._links) if spans else self._links,
            upstream=spans.upstream(self._upstream)
            if spans
            else self._upstream,
            platform=self._platform,
        )
        self.node = Node(options, outside, current, own.incarnation)
        run = self.node.gate.run
        handle, handle_child = self.node.entry.handle, self.node.egress.handle
        if spans is not None:
            handle = spans.entry(handle)
            handle_child = spans.egress(handle_child, self.node.tokens)
        self._peer_server = peer_server.PeerServer(
            own,
            peer_server.Handlers(
                run=spans.gate(run) if spans else run,
                level=self.node.gate.level,
                version=lambda: current.version,
                inbox=self,
                now=now.now,
            ),
        )
        self.node.control.reply_with(self._peer_server.reply)
        self._entry_server = server.RequestServer(handle)
        self._egress_server = server.RequestServer(handle_child)
        self.admin = admin.AdminServer(
            options,
            admin.Subject(
                outside=outside,
                current=current,
                limits=self.node.quota,
                admitted=self.node.gate.policy,
                drain=self,
            ),
        )
        self.admin.mount(
            "/metrics", metrics_endpoint.handler(self.node.metrics)
        )
        self._add_gauges()
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def draining(self) -> bool:
        """Whether the node takes no new work."""
        return self._stopping.is_set()

    def drain(self) -> None:
        """Begin a graceful stop and return at once."""
        self._stopping.set()

    def _add_gauges(self) -> None:
        add = self.node.metrics.add_gauge
        add(
            "peers",
            "Peers that this node sends to.",
            lambda: len(self._links),
        )
        add(
            "peer_streams",
            "Streams that peers have opened to this node.",
            lambda: self._peer_server.streams,
        )
        add(
            "calls_outstanding",
            "Calls to peers whose results have not arrived.",
            lambda: self._links.outstanding,
        )
        add(
            "calls_served",
            "Calls of peers that wait or run here.",
            lambda: self._peer_server.outstanding,
        )

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Hand a peer's control message to the participants."""
        self.node.control.deliver(sender, message)

    def behind(self, sender: str, version: int) -> None:
        """Note that a peer has a newer configuration than this node."""
        self.node.control.behind(sender, version)

    async def start(self) -> None:
        """Open the ports and start the background work.

        :raises OSError: if a port is taken or a certificate is unreadable.
        """
        options = self._settings
        address = options.address
        opened = options.ports
        await self._peer_server.listen(
            address, opened.peer, tls.peer_server(options.peer_tls)
        )
        await self._egress_server.start("127.0.0.1", opened.egress)
        await self._entry_server.start(
            address, opened.entry, tls.entry(options.entry_tls)
        )
        await self.admin.start()
        self._tasks = [
            asyncio.ensure_future(self.node.watch.run()),
            asyncio.ensure_future(self.node.control.run()),
        ]

    async def stop(self) -> None:
        """Finish the requests in progress and close the ports."""
        await self._entry_server.stop()
        await self._egress_server.stop()
        await self._peer_server.stop()
        for task in self._tasks:
            task.cancel()
        self._links.close()
        await self._upstream.close()
        await self._platform.close()
        await self.admin.stop()

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self.drain)
        await self.start()
        await self._stopping.wait()
        await self.stop()
