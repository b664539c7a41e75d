"""A node as a process: starts it, serves its ports and stops it."""

import asyncio
import random
import secrets
import signal
import typing as t

from absl import logging

from . import clock
from . import defaults
from . import node
from . import ports
from . import settings
from . import tls
from . import tracing
from . import view
from .http import admin
from .http import metrics_endpoint
from .http import platform
from .http import server
from .http import upstream
from .peer import identity
from .peer import links
from .peer import messages
from .peer import server as peer_server

_POLL_PERIOD_S = 0.02


class Daemon:
    """Runs a node with its HTTP and peer servers.

    :param options: the node's settings.
    """

    def __init__(self, options: settings.Settings) -> None:
        system_clock = clock.SystemClock()
        node_view = view.View()
        random_source = random.Random(secrets.randbits(64))
        own_identity = identity.Identity(
            options.host_id, int(system_clock.wall() * 1000)
        )
        self._settings = options
        self._links = links.Links(
            links.LinkContext(
                own_identity,
                lambda: node_view.version,
                self,
                random_source,
                tls.peer_client(options.peer_tls),
            )
        )
        self._upstream = upstream.HttpUpstream(options.upstream_url)
        self._platform = platform.HttpPlatform(options.platform_url)
        tracer = tracing.create(options, random_source)
        environment = ports.Environment(
            clock=system_clock,
            random=random_source,
            peers=tracer.peers(self._links) if tracer else self._links,
            upstream=(
                tracer.upstream(self._upstream) if tracer else self._upstream
            ),
            platform=self._platform,
        )
        self.node = node.Node(
            options, environment, node_view, own_identity.incarnation
        )
        run = self.node.gate.run
        handle, handle_child = self.node.entry.handle, self.node.egress.handle
        if tracer is not None:
            run = tracer.gate(run)
            handle = tracer.entry(handle)
            handle_child = tracer.egress(handle_child, self.node.tokens)
        self._peer_server = peer_server.PeerServer(
            own_identity,
            peer_server.Handlers(
                run=run,
                shed_level=self.node.gate.shed_level,
                version=lambda: node_view.version,
                inbox=self,
                now=system_clock.now,
            ),
        )
        self.node.control.set_fallback_send(self._peer_server.reply)
        self._entry_server = server.RequestServer(handle)
        self._egress_server = server.RequestServer(handle_child)
        self.admin = admin.AdminServer(
            options,
            admin.ManagedNode(
                environment=environment,
                current=node_view,
                quota=self.node.quota,
                admission=self.node.gate.policy,
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
        """Whether the node is stopping and refuses new work."""
        return self._stopping.is_set()

    @property
    def idle(self) -> bool:
        """Whether no request is in progress."""
        return not (
            self._entry_server.active
            or self._egress_server.active
            or self._peer_server.outstanding
            or self._links.outstanding
        )

    def drain(self) -> None:
        """Start a graceful stop and return immediately."""
        self._stopping.set()

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Deliver a peer's control message to its handler."""
        self.node.control.deliver(sender, message)

    def newer_version_seen(self, sender: str, version: int) -> None:
        """Record that a peer has a newer configuration than this node."""
        self.node.control.newer_version_seen(sender, version)

    async def start(self) -> None:
        """Open the ports and start the background tasks.

        :raises OSError: if a port is in use or a certificate can't be read.
        """
        options = self._settings
        address = options.address
        port_numbers = options.ports
        await self._peer_server.listen(
            address, port_numbers.peer, tls.peer_server(options.peer_tls)
        )
        await self._egress_server.start("127.0.0.1", port_numbers.egress)
        await self._entry_server.start(
            address, port_numbers.entry, tls.entry(options.entry_tls)
        )
        await self.admin.start()
        self._tasks = [
            asyncio.ensure_future(self.node.watch.run()),
            asyncio.ensure_future(self.node.control.run()),
        ]

    async def stop(self) -> None:
        """Refuse new work, finish requests in progress and close the ports.

        Calls that wait at the gate are refused, so that their callers retry
        them on other hosts. The upstream's connections are closed last.
        """
        self.drain()
        self.node.control.leave()
        self.node.gate.leave()
        self._entry_server.leave()
        self._peer_server.leave()
        if not await self._wait_until(self._finished, defaults.STOP_TIMEOUT_S):
            logging.warning("stop timed out with requests in progress")
        await self._entry_server.stop()
        await self._egress_server.stop()
        await self._peer_server.stop()
        for task in self._tasks:
            task.cancel()
        self._links.close()
        await self._platform.close()
        await self.admin.stop()
        await self._upstream.close()

    async def run(self) -> None:
        """Serve until SIGINT, SIGTERM or a drain request."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self.drain)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    def _finished(self) -> bool:
        return (
            self.idle
            and self._entry_server.notice_over
            and self._peer_server.all_goodbyes_received
        )

    async def _wait_until(
        self, condition: t.Callable[[], bool], seconds: float
    ) -> bool:
        """Poll a condition and return whether it was met in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not condition():
            if loop.time() > end:
                return False
            await asyncio.sleep(_POLL_PERIOD_S)
        return True

    def _add_gauges(self) -> None:
        add = self.node.metrics.add_gauge
        add(
            "peers",
            "Peers that this node has a link to.",
            lambda: len(self._links),
        )
        add(
            "peer_streams",
            "Open streams from peers to this node.",
            lambda: self._peer_server.streams,
        )
        add(
            "calls_outstanding",
            "Calls to peers without a result yet.",
            lambda: self._links.outstanding,
        )
        add(
            "calls_served",
            "Calls from peers that wait or run at this node.",
            lambda: self._peer_server.outstanding,
        )
