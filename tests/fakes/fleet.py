"""Simulated nodes that exchange publications and host statuses."""

import dataclasses
import random
import types
import typing as t

from fakes import transport
from savorytally import defaults
from savorytally.decisions import dissemination
from savorytally.decisions import list_age
from savorytally.decisions import membership
from savorytally.decisions import participant
from savorytally.decisions import relay_tree
from savorytally.world import host
from savorytally.world import publication
from savorytally.world import region

CONFIGURATION = dissemination.CONFIGURATION
HOSTS = dissemination.HOSTS
CALM = transport.NetworkConditions()


class Store:
    """The platform's publications; readers may be served outdated copies.

    Reads by ``silent`` readers of the ``silent_values`` are never answered.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.silent_values = {CONFIGURATION, HOSTS}
        self.stale: dict[str, int] = {}
        self.bodies: dict[str, list[t.Mapping[str, bytes]]] = {
            CONFIGURATION: [],
            HOSTS: [],
        }

    def publish(
        self, name: str, body: bytes, others: t.Mapping[str, bytes]
    ) -> int:
        """Append a version and return its number."""
        self.bodies[name].append({**others, "body": body})
        return len(self.bodies[name])

    def newest(self, name: str, reader: str) -> int:
        """Return the version that the store serves to a reader."""
        return max(len(self.bodies[name]) - self.stale.get(reader, 0), 0)


@dataclasses.dataclass(frozen=True)
class Activation:
    """The activation of a publication on a host."""

    at: float
    name: str
    version: int


class Member:
    """The participants of one host, including a reader of the store."""

    handles = ()

    def __init__(self, fleet: "Fleet", host_id: str, incarnation: int) -> None:
        seed = f"{fleet.seed}/{host_id}/{incarnation}"
        source = random.Random(seed)
        self._fleet = fleet
        self._host_id = host_id
        self._checked: dict[str, publication.Publication] = {}
        self._watching: dict[str, float] = {}
        self._read: dict[str, int] = {}
        self.activations: list[Activation] = []
        self.relay = relay_tree.RelayTree(
            host_id, fleet.all_hosts[host_id].place
        )
        self.membership = membership.Membership(
            host_id, incarnation, self.relay, source
        )
        self.evidence = list_age.ListAge()
        self.dissemination = dissemination.Dissemination(
            host_id,
            self.relay,
            source,
            self,
            self.membership.reachable,
            self.evidence,
        )

    @property
    def participants(self) -> list[participant.Participant]:
        return [self, self.dissemination, self.membership]

    @property
    def version(self) -> int:
        """Version of the active configuration."""
        return self.dissemination.replicas[CONFIGURATION].active_version

    def check(self, offered: publication.Publication) -> bool:
        body = offered.sections["body"].body
        self._checked[offered.name] = offered
        return not body.startswith(b"faulty")

    def activate(self, name: str, now: float) -> None:
        offered = self._checked[name]
        entry = Activation(now, name, offered.version)
        self.activations.append(entry)
        self._fleet.history.append((self._host_id, entry))
        if name == HOSTS:
            hosts = self._fleet.lists[offered.version - 1]
            self.relay.learn_hosts(hosts)
            self.membership.learn_hosts(hosts)

    def receive(self, sender: str, message: t.Any, now: float) -> list:
        return []

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Read the store as a platform watch does."""
        outgoing = []
        for name in (CONFIGURATION, HOSTS):
            if self.dissemination.reading(name, now):
                outgoing += self._watch(name, now)
            else:
                self._watching.pop(name, None)
                self._read.pop(name, None)
        return outgoing

    def _watch(self, name: str, now: float) -> list[participant.Outgoing]:
        store = self._fleet.store
        began = self._watching.get(name)
        if began is None or now - began >= defaults.PLATFORM_WATCH_S:
            store.calls += 1
            began = self._watching[name] = now
        if self._host_id in store.silent and name in store.silent_values:
            return []
        if self._host_id in store.down:
            self.dissemination.platform_failed(name)
            return []
        newest = store.newest(name, self._host_id)
        outgoing = []
        if newest > self._read.get(name, 0):
            store.calls += 1
            self._read[name] = newest
            bodies = store.bodies[name][newest - 1]
            outgoing = self.dissemination.published(name, newest, bodies, now)
        self.dissemination.platform_read(name, began, now)
        if name == HOSTS:
            self.dissemination.list_confirmed(newest, began)
        return outgoing


class Fleet:
    """Hosts in data centres that share a store and a transport.

    :param places: number of hosts by data centre.
    :param seed: seed of every random choice.
    :param conditions: delays and losses of the network.
    """

    def __init__(
        self,
        places: t.Mapping[tuple[str, str], int],
        seed: int = 1,
        conditions: transport.NetworkConditions = CALM,
    ) -> None:
        self.seed = seed
        self.store = Store()
        self.random = random.Random(seed)
        self.transport = transport.Transport(self.random, conditions)
        self.all_hosts = {
            item.host_id: item
            for place, count in places.items()
            for item in (_host(place, number) for number in range(count))
        }
        self.lists: list[dict[str, host.Host]] = []
        self.members: dict[str, Member] = {}
        self.history: list[tuple[str, Activation]] = []
        self._incarnation = 0
        self.publish_hosts(self.all_hosts)

    @property
    def now(self) -> float:
        return self.transport.clock.now()

    def publish(
        self,
        body: bytes = b"good",
        others: t.Mapping[str, bytes] = types.MappingProxyType({}),
    ) -> int:
        """Publish a configuration and return its version.

        :param body: body of the section that may be faulty.
        :param others: bodies of the other sections by name.
        """
        return self.store.publish(CONFIGURATION, body, others)

    def publish_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Publish a host list."""
        self.lists.append(dict(hosts))
        self.store.publish(HOSTS, b"%d" % len(self.lists), {})

    def start(self, host_id: str) -> Member:
        """Start a node without the state of earlier nodes of its host."""
        self._incarnation += 1
        member = Member(self, host_id, self._incarnation)
        self.members[host_id] = member
        self.transport.join(host_id, member.participants)
        return member

    def start_all(self, settle_s: float = 4.0) -> None:
        """Start every host and run until all of them serve."""
        for host_id in self.all_hosts:
            self.start(host_id)
        self.transport.run(settle_s)

    def crash(self, host_id: str) -> None:
        """Stop a node abruptly."""
        self.transport.crash(host_id)
        self.members.pop(host_id, None)

    def lose_streams(self, host_id: str) -> None:
        """Report a host's streams as lost to all other nodes."""
        for member in self.members.values():
            member.membership.contacts.lost(host_id, self.now)

    def send(self, host_id: str, outgoing: list) -> None:
        """Send messages that a host's decisions returned outside a tick."""
        self.transport.send(host_id, outgoing)

    def versions(self) -> dict[str, int]:
        """Return the version of the active configuration on each node."""
        return {name: item.version for name, item in self.members.items()}

    def readers(self) -> list[str]:
        """Return the nodes that read the platform."""
        return [
            host_id
            for host_id, member in self.members.items()
            if member.dissemination.reading(CONFIGURATION, self.now)
        ]


def _host(place: tuple[str, str], number: int) -> host.Host:
    return host.Host(
        host_id=f"{place[1]}-{number}",
        service_id="browse",
        place=region.Place(*place),
        address="192.0.2.1",
        peer_port=1,
    )
