"""Nodes in one process without I/O, connected by direct calls."""

import dataclasses
import math
import random
import typing as t

from savorytally import clock
from savorytally import node
from savorytally import outcomes
from savorytally import ports
from savorytally import settings
from savorytally import view
from savorytally.peer import messages
from savorytally.world import configuration
from savorytally.world import host

Serve = t.Callable[
    [ports.UpstreamRequest, float], t.Awaitable[outcomes.Outcome]
]


LOCAL = settings.Policies(quota="local")


class DirectPeers:
    """Calls other nodes' gates in the same process."""

    def __init__(self) -> None:
        self.nodes: dict[str, node.Node] = {}
        self.calls: list[messages.Call] = []
        self.sent: list[tuple[str, messages.Message]] = []
        self.intercept: t.Callable[
            [host.Host, messages.Call], ports.CallResult | None
        ] = lambda target, call: None

    async def call(
        self,
        target: host.Host,
        call: messages.Call,
        late: ports.LateResult | None = None,
    ) -> ports.CallResult:
        """Run the call at the target's gate."""
        self.calls.append(call)
        intercepted = self.intercept(target, call)
        if intercepted is not None:
            return intercepted
        gate = self.nodes[target.host_id].gate
        outcome = await gate.run(call)
        return ports.CallResult(outcome, gate.shed_level(call))

    def send(self, target: host.Host, message: messages.Message) -> None:
        """Record the message."""
        self.sent.append((target.host_id, message))


@dataclasses.dataclass
class ServedUpstream:
    """An upstream whose outcomes a test provides.

    :param serve: returns the outcome of a request.
    """

    serve: Serve

    async def exchange(
        self, request: ports.UpstreamRequest, timeout_s: float
    ) -> outcomes.Outcome:
        """Return the outcome of ``serve``."""
        return await self.serve(request, timeout_s)


class NoPlatform:
    """A platform that publishes nothing."""

    async def read(
        self, name: str, after: int, wait_s: float
    ) -> ports.Value | None:
        """Return nothing."""
        return None


class Fleet:
    """Nodes on one virtual clock with the same configuration and hosts.

    :param version: the configuration in force.
    :param hosts: the host list in force.
    """

    def __init__(
        self, version: configuration.Configuration, hosts: host.HostList
    ) -> None:
        self.clock = clock.VirtualClock()
        self.peers = DirectPeers()
        self._version = version
        self._hosts = hosts

    def add(
        self, host_id: str, serve: Serve, seed: int = 1, **fields: t.Any
    ) -> node.Node:
        """Create the node of a host in the host list.

        :param serve: returns the outcomes of the host's upstream.
        :param seed: seed of the node's random choices.
        :param fields: further fields of its settings.
        """
        fields.setdefault("policies", settings.Policies(quota="local"))
        item = self._hosts.hosts[host_id]
        made = node.Node(
            settings.Settings(
                host_id=host_id,
                service_id=item.service_id,
                place=item.place,
                address=item.address,
                upstream_url="",
                platform_url="",
                fleet_started_s=self.clock.wall(),
                **fields,
            ),
            ports.Environment(
                clock=self.clock,
                random=random.Random(seed),
                peers=self.peers,
                upstream=ServedUpstream(serve),
                platform=NoPlatform(),
            ),
            view.View(),
        )
        now = self.clock.now()
        made.view.offer_configuration(self._version, now)
        made.view.offer_hosts(self._hosts, now)
        made.list_age.confirm(math.inf)
        self.peers.nodes[host_id] = made
        return made
