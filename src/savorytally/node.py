"""A node: the composition of its parts, with and without ports."""

import asyncio
import random
import secrets
import signal

from . import clock
from . import ports
from . import settings
from . import view
from .decisions import admission
from .decisions import balanced  # noqa: F401, registers a policy
from .decisions import downstream
from .decisions import fifo  # noqa: F401, registers a policy
from .decisions import loans  # noqa: F401, registers a policy
from .decisions import ownership
from .decisions import quota
from .decisions import routing
from .http import platform
from .http import server
from .http import upstream
from .parts import control
from .parts import dispatch
from .parts import egress
from .parts import entry
from .parts import gate
from .parts import running
from .parts import watch
from .peer import links
from .peer import messages
from .peer import server as peer_server


class Node:
    """The parts of one node, composed behind the seam to the outside.

    :param options: the node's settings.
    :param outside: clock, random source, peers, upstream and platform.
    """

    def __init__(
        self,
        options: settings.Settings,
        outside: ports.Outside,
        current: view.View,
    ) -> None:
        policies = options.policies
        self.settings = options
        self.outside = outside
        self.view = current
        self.tokens = running.RunningCalls()
        self.evidence = ownership.ListEvidence()
        self.quota = quota.policies.get(policies.quota)(
            quota.Site(
                host_id=options.host_id,
                region_id=options.place.region_id,
                incarnation=int(outside.clock.wall() * 1000),
                evidence=self.evidence,
                random=outside.random,
                wake=self._wake_quota,
                fresh=options.fresh_fleet,
            )
        )
        self.routing = routing.policies.get(policies.routing)(
            options.place, outside.random
        )
        self.dispatcher = dispatch.Dispatcher(outside, self.routing)
        below = downstream.DownstreamLevels(self.routing.service_level)
        self.entry = entry.Entry(
            outside, self.view, self.quota, self.dispatcher
        )
        self.egress = egress.Egress(
            outside, self.view, self.tokens, self.dispatcher, below
        )
        self.gate = gate.Gate(
            outside,
            self.view,
            admission.policies.get(policies.admission)(
                admission.Capacity(slots=1, connections=1)
            ),
            self.tokens,
            below,
        )
        self.control = control.Control(outside, self.view)
        self.control.add(self.quota)
        self.watch = watch.PlatformWatch(
            outside, self.view, self.evidence.confirm
        )
        self.view.subscribe(self)

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
        self.quota.learn_hosts(self.view.hosts, now)
        self.routing.learn_hosts(self.view.hosts.hosts, now)

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
        identity = links.Identity(options.host_id, int(now.wall() * 1000))
        self._settings = options
        self._links = links.Links(identity, lambda: current.version, self)
        self._upstream = upstream.HttpUpstream(options.upstream_url)
        self._platform = platform.HttpPlatform(options.platform_url)
        outside = ports.Outside(
            clock=now,
            random=random.Random(secrets.randbits(64)),
            peers=self._links,
            upstream=self._upstream,
            platform=self._platform,
        )
        self.node = Node(options, outside, current)
        self._peer_server = peer_server.PeerServer(
            identity,
            self.node.gate.run,
            self.node.gate.level,
            lambda: current.version,
            self,
        )
        self._entry_server = server.RequestServer(self.node.entry.handle)
        self._egress_server = server.RequestServer(self.node.egress.handle)
        self._tasks: list[asyncio.Task[None]] = []

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Hand a peer's control message to the participants."""
        self.node.control.deliver(sender, message)

    def behind(self, sender: str, version: int) -> None:
        """Note that a peer has a newer configuration than this node."""
        self.node.control.behind(sender, version)

    async def start(self) -> None:
        """Open the ports and start the background work.

        :raises OSError: if a port is taken.
        """
        address = self._settings.address
        opened = self._settings.ports
        await self._peer_server.start(address, opened.peer)
        await self._egress_server.start("127.0.0.1", opened.egress)
        await self._entry_server.start(address, opened.entry)
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

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stopping.set)
        await self.start()
        await stopping.wait()
        await self.stop()
