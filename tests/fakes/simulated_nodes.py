"""Simulated nodes with rate quotas, each with its own clock and host list."""

import functools
import math
import random
import typing as t

from fakes import transport
from savorytally.decisions import list_confirmation
from savorytally.decisions import loans
from savorytally.decisions import participant
from savorytally.decisions import quota
from savorytally.peer import messages
from savorytally.world import configuration
from savorytally.world import host
from savorytally.world import region

POLL_PERIOD_S = 1.0
CONFIGURE_MAX_S = 3.0
PENDING_MAX_S = 0.2
CALM = transport.NetworkConditions()


class Readings:
    """Reports when the host list was last read from the platform."""

    def __init__(self) -> None:
        self.confirmed = -math.inf

    def confirmed_at(self) -> float:
        """Return when the host list was last confirmed."""
        return self.confirmed


class SimulatedNode:
    """One node with its own clock and quota decisions.

    :param world: the simulated fleet.
    :param host_id: the node's host.
    :param offset_s: offset of the node's clock in seconds.
    :param lag_s: age in seconds of the host lists that it reads.
    :param fresh: whether no earlier node can still be running.
    """

    handles = (
        *loans.LoanQuota.handles,
        *list_confirmation.ListConfirmations.handles,
    )

    def __init__(
        self,
        world: "SimulatedFleet",
        host_id: str,
        offset_s: float,
        lag_s: float,
        fresh: bool,
    ) -> None:
        self.world = world
        self.host_id = host_id
        self.offset_s = offset_s
        self.lag_s = lag_s
        self.reads = True
        self.readings = Readings()
        self.region_id = world.region_of(host_id)
        world.run_count += 1
        self.witnesses = list_confirmation.ListConfirmations(
            random.Random(world.run_count)
        )
        self.build(fresh)
        self._list = host.EMPTY
        self._list_read_at = -math.inf
        if fresh:
            self._read(world.clock.now() + offset_s)

    def build(self, fresh: bool) -> None:
        """Create the decision objects."""
        self.quota = loans.LoanQuota(
            quota.QuotaContext(
                host_id=self.host_id,
                region_id=self.region_id,
                incarnation=self.world.run_count,
                list_age=self.readings,
                list_confirmations=self.witnesses,
                random=random.Random(self.world.run_count),
                wake=self._wake,
                fresh=fresh,
            )
        )
        self.configure(self.world.version)

    def decide(self, local: float) -> list[participant.Outgoing]:
        """Run the decisions' tasks that are due."""
        return self.quota.tick(local)

    def handle(
        self, sender: str, message: messages.Message, local: float
    ) -> list[participant.Outgoing]:
        """Pass a message to the decisions."""
        return self.quota.receive(sender, message, local)

    def now(self) -> float:
        """Return the time on this node's clock."""
        return self.world.clock.now() + self.offset_s

    def take(
        self, organisation_id: str, final: bool
    ) -> quota.Taken | quota.Pending | quota.OverRate:
        """Take a token for one request."""
        return self.quota.take(organisation_id, self.now(), final)

    def configure(self, version: configuration.Configuration) -> None:
        """Apply a configuration."""
        self.quota.learn_configuration(version, self.now())

    def _wake(self) -> None:
        self.world.net.at(0.0, self._poll)

    def _poll(self) -> None:
        if self.world.members.get(self.host_id) is self:
            self.world.net.send(self.host_id, self.quota.poll(self.now()))

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[participant.Outgoing]:
        """Process a message that arrives at the given true time."""
        local = now + self.offset_s
        if isinstance(message, list_confirmation.ListConfirmations.handles):
            return self.witnesses.receive(sender, message, local)
        return self.handle(sender, message, local)

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Read the host list if due, and run the decisions' tasks."""
        local = now + self.offset_s
        if self.reads and local - self._list_read_at >= POLL_PERIOD_S:
            self._read(local)
        return self.decide(local) + self.witnesses.tick(local)

    def learn_hosts(self, read: host.HostList, local: float) -> None:
        """Apply a newer host list."""
        self.quota.learn_hosts(read, local)

    def _read(self, local: float) -> None:
        self._list_read_at = local
        read = self.world.list_at(self.world.clock.now() - self.lag_s)
        if read.version > self._list.version:
            self._list = read
            self.witnesses.learn(read.version, local)
            self.learn_hosts(read, local)
        if read.version == self._list.version:
            self.readings.confirmed = local


class SimulatedFleet:
    """The published lists, the nodes and the requests that they admitted.

    :param version: the active configuration.
    :param names: hosts by region.
    :param seed: seed of every random choice.
    :param conditions: delays and losses of the network.
    :param fresh: whether no earlier node of the fleet can still be running.
    :param lag_s: maximum lag in seconds of the host lists that nodes read.
    :param make: class of the nodes.
    """

    def __init__(
        self,
        version: configuration.Configuration,
        names: dict[str, list[str]],
        seed: int,
        conditions: transport.NetworkConditions = CALM,
        fresh: bool = True,
        lag_s: float = 0.0,
        make: t.Callable[..., "SimulatedNode"] | None = None,
    ) -> None:
        self._make = make or SimulatedNode
        self.version = version
        self.random = random.Random(seed)
        self.net = transport.Transport(self.random, conditions)
        self.clock = self.net.clock
        self.run_count = 0
        self.patience_s = PENDING_MAX_S
        self.lag_s = lag_s
        self.members: dict[str, SimulatedNode] = {}
        self.admitted: dict[str, list[float]] = {}
        self.refused: dict[str, int] = {}
        self.executed: dict[t.Any, list[int]] = {}
        self.replies: list[tuple[int, t.Any]] = []
        self._regions: dict[str, str] = {}
        self._lists: list[tuple[float, host.HostList]] = []
        for region_id, hosts in names.items():
            for host_id in hosts:
                self._regions[host_id] = region_id
        self.states = {
            host_id: host.HostState.LIVE for host_id in self._regions
        }
        self.publish()
        for host_id in self._regions:
            self.start(host_id, fresh)

    def region_of(self, host_id: str) -> str:
        """Return the region of a host."""
        return self._regions[host_id]

    def list_at(self, when: float) -> host.HostList:
        """Return the host list that was current at a time."""
        published = [item for at, item in self._lists if at <= when]
        return published[-1] if published else self._lists[0][1]

    def publish(self) -> None:
        """Publish the current states of hosts as a new list."""
        hosts = {
            host_id: host.Host(
                host_id=host_id,
                service_id="browse",
                place=region.Place(self._regions[host_id], "one"),
                address="127.0.0.1",
                peer_port=1,
                state=state,
            )
            for host_id, state in self.states.items()
        }
        item = host.HostList(len(self._lists) + 1, hosts)
        self._lists.append((self.clock.now(), item))

    def configure(self, version: configuration.Configuration) -> None:
        """Apply a configuration on every node, each after a random delay."""
        self.version = version
        for member in self.members.values():
            delay_s = self.random.uniform(0.0, CONFIGURE_MAX_S)
            self.net.at(delay_s, functools.partial(member.configure, version))

    def start(self, host_id: str, fresh: bool = False) -> None:
        """Start or restart a node."""
        member = self._make(
            self,
            host_id,
            self.random.uniform(-1000.0, 1000.0),
            self.random.uniform(0.0, self.lag_s),
            fresh,
        )
        self.members[host_id] = member
        self.net.join(host_id, [member])

    def add(self, host_id: str, region_id: str) -> None:
        """Start the node of a new host and add the host to the list."""
        self._regions[host_id] = region_id
        self.states[host_id] = host.HostState.LIVE
        self.publish()
        self.start(host_id)

    def crash(self, host_id: str) -> None:
        """Stop a node abruptly; its host remains in the list."""
        self.net.crash(host_id)
        self.members.pop(host_id, None)

    def remove(self, host_id: str) -> None:
        """Remove a host from the list."""
        if self.states.pop(host_id, None) is not None:
            self.publish()

    def relist(self, host_id: str) -> None:
        """Mark a host as live in the list, adding it if necessary."""
        self.states[host_id] = host.HostState.LIVE
        self.publish()

    def leave(self, host_id: str) -> None:
        """Mark a host as leaving in the list."""
        if host_id in self.states:
            self.states[host_id] = host.HostState.LEAVING
            self.publish()

    def request(self, host_id: str, organisation_id: str, count: int) -> None:
        """Send requests of an organisation to a host."""
        member = self.members.get(host_id)
        if member is None or self.net.is_paused(host_id):
            return
        for _ in range(count):
            self._attempt(member, organisation_id, self.clock.now())

    def _attempt(
        self, member: SimulatedNode, organisation_id: str, began_at: float
    ) -> None:
        if self.members.get(member.host_id) is not member:
            return
        if self.net.is_paused(member.host_id):
            return
        final = self.clock.now() - began_at >= self.patience_s
        taken = member.take(organisation_id, final)
        if isinstance(taken, quota.Pending):
            again = functools.partial(
                self._attempt, member, organisation_id, began_at
            )
            self.net.at(taken.wait_ms / 1000, again)
        elif isinstance(taken, quota.OverRate):
            refused = self.refused.get(organisation_id, 0)
            self.refused[organisation_id] = refused + 1
        else:
            times = self.admitted.setdefault(organisation_id, [])
            times.append(self.clock.now())


def excess(times: t.Iterable[float], rate_per_s: float, burst: float) -> float:
    """Return the maximum number of admissions above burst + rate x time.

    Every window between two admissions is considered.
    """
    level = burst
    worst = 0.0
    last = None
    for at in times:
        if last is not None:
            level = min(burst, level + (at - last) * rate_per_s)
        level -= 1.0
        worst = max(worst, -level)
        last = at
    return worst
