"""Tracks which hosts accept new work.

Changes of the platform's host list arrive late, so a leaving host notifies its
peers itself. Its status is bound to the incarnation of its node; a node
started later on the same host overrides it.
"""

import dataclasses
import random
import typing as t

from .. import defaults
from ..peer import dissemination_messages
from ..peer import messages
from ..world import host
from . import participant
from . import reachability
from . import relay_tree

Outgoing = participant.Outgoing


class HostReachability(t.Protocol):
    """The view of hosts that other decisions use."""

    def usable(self, host_id: str, now: float) -> bool:
        """Return whether a host may receive new work."""

    def last_received_at(self, host_id: str) -> float | None:
        """Return when data was last received from a host, if ever."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """The status that a host reported about itself.

    :param incarnation: incarnation of its node.
    :param leaving: whether it accepts no new work.
    :param received_at: when this node received it.
    """

    incarnation: int
    leaving: bool
    received_at: float

    @property
    def state(self) -> tuple[int, bool]:
        """The values by which statuses of one host are ordered."""
        return self.incarnation, self.leaving

    def overrides(self, other: "HostStatus | None") -> bool:
        """Return whether it is newer than another status."""
        return other is None or self.state > other.state


class Membership:
    """The hosts of the host list except those that are leaving.

    :param host_id: this node's host.
    :param incarnation: this node's incarnation.
    :param tree: ranks and relay trees of the data centre, shared.
    :param source: seeded random source.
    :param changed: called when the set of working hosts changes.
    """

    handles: tuple[type[messages.Message], ...] = (
        messages.Hello,
        messages.Goodbye,
        messages.PeerDisconnected,
        dissemination_messages.HostUpdate,
        dissemination_messages.HostUpdates,
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        tree: relay_tree.RelayTree,
        source: random.Random,
        changed: t.Callable[[float], None] = lambda now: None,
    ) -> None:
        self._own = host_id
        self._incarnation = incarnation
        self._relay = tree
        self._random = source
        self._changed = changed
        self._hosts: t.Mapping[str, host.Host] = {}
        self._statuses: dict[str, HostStatus] = {}
        self._forwarded: dict[tuple[str, str], tuple[int, bool]] = {}
        self._introduced = False
        self._reader_turn = 0
        self._change_pending = False
        self._changed_at = float("-inf")
        self._repair_at = 0.0
        self._now = float("-inf")
        self.contacts = reachability.PeerReachability(source)

    @property
    def leaving(self) -> bool:
        """Whether this node has announced that it accepts no new work."""
        status = self._statuses.get(self._own)
        return status is not None and status.leaving

    @property
    def incarnation(self) -> int:
        """This node's incarnation."""
        return self._incarnation

    def working(self) -> dict[str, host.Host]:
        """Return the hosts of the list that are live and not leaving."""
        return {
            host_id: item
            for host_id, item in self._hosts.items()
            if item.live and not self._is_leaving(host_id)
        }

    def usable(self, host_id: str, now: float) -> bool:
        """Return whether a host may receive new work."""
        item = self._hosts.get(host_id)
        if item is None or not item.live or self._is_leaving(host_id):
            return False
        return self.contacts.reachable(host_id, now)

    def contact(self, host_id: str) -> float | None:
        """Return when data was last received from a host, if ever."""
        return self.contacts.received_at(host_id)

    def reachable(self, host_id: str) -> bool:
        """Return whether a host was reachable at the last message or tick."""
        return self.contacts.reachable(host_id, self._now)

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Apply a new host list."""
        self._hosts = hosts
        self._change_pending = False
        self.contacts.forget(frozenset(hosts))

    def leave(self, now: float) -> list[Outgoing]:
        """Announce that this host accepts no new work.

        Peers with an open stream are notified directly, as are the readers of
        every data centre, which forward the status down their relay trees.
        """
        self._update_status(
            self._own, HostStatus(self._incarnation, True, now)
        )
        return self._announce(self.contacts.connected)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[Outgoing]:
        """Process one message and return the messages to send."""
        self._now = max(self._now, now)
        if isinstance(message, dissemination_messages.HostUpdate):
            return self._handle_status(message, now)
        if isinstance(message, dissemination_messages.HostUpdates):
            return self._handle_statuses(message, now)
        if isinstance(message, messages.Hello):
            return self._handle_hello(sender, message.incarnation, now)
        if isinstance(message, messages.Goodbye):
            return self._handle_goodbye(sender, message, now)
        if isinstance(message, messages.PeerDisconnected):
            self.contacts.lost(sender, now)
        return []

    def tick(self, now: float) -> list[Outgoing]:
        """Run the tasks that are due and return the messages to send."""
        self._now = max(self._now, now)
        if now < self._repair_at:
            return []
        jitter = self._random.uniform(0.8, 1.2)
        self._repair_at = now + defaults.HOST_STATUS_PERIOD_S * jitter
        self._expire(now)
        if self._change_pending and now >= self._changed_at:
            self._change_pending = False
            self._changed_at = now + defaults.HOSTS_CHANGED_PERIOD_S
            self._changed(now)
        return self._introduce(now) + self._repeat_recent(now)

    def _handle_hello(
        self, host_id: str, incarnation: int, now: float
    ) -> list[Outgoing]:
        """Process a peer's hello on a stream.

        It overrides a status of an earlier incarnation.
        """
        self.contacts.opened(host_id, incarnation, now)
        status = self._statuses.get(host_id)
        if status is not None and status.incarnation < incarnation:
            self._update_status(host_id, HostStatus(incarnation, False, now))
        if self.leaving:
            return [Outgoing(host_id, self._own_status_message(""))]
        return []

    def _handle_goodbye(
        self, host_id: str, message: messages.Goodbye, now: float
    ) -> list[Outgoing]:
        """Process a peer's goodbye on a stream."""
        incarnation = self.contacts.incarnation(host_id)
        self.contacts.closed(host_id)
        if not message.leaving:
            return []
        status = dissemination_messages.HostUpdate(
            "", host_id, incarnation, True
        )
        return self._handle_status(status, now)

    def _handle_statuses(
        self, message: dissemination_messages.HostUpdates, now: float
    ) -> list[Outgoing]:
        """Process several statuses from one message."""
        outgoing = []
        for host_id, incarnation, leaving in message.updates:
            status = dissemination_messages.HostUpdate(
                "", host_id, incarnation, leaving
            )
            outgoing += self._handle_status(status, now)
        return outgoing

    def _is_leaving(self, host_id: str) -> bool:
        status = self._statuses.get(host_id)
        return status is not None and status.leaving

    def _handle_status(
        self, message: dissemination_messages.HostUpdate, now: float
    ) -> list[Outgoing]:
        """Process a status; forward it if it is current."""
        if message.host_id == self._own:
            return self._refute(message, now)
        status = HostStatus(message.incarnation, message.leaving, now)
        updated = self._update_status(message.host_id, status)
        if status.state != self._statuses[message.host_id].state:
            return []
        if message.root:
            return self._forward(message)
        if updated and self._own in self._relay.candidates:
            return self._forward(dataclasses.replace(message, root=self._own))
        return []

    def _forward(
        self, message: dissemination_messages.HostUpdate
    ) -> list[Outgoing]:
        """Send a status to the children in a relay tree once."""
        key = (message.root, message.host_id)
        state = (message.incarnation, message.leaving)
        if self._forwarded.get(key) == state:
            return []
        self._forwarded[key] = state
        children = self._relay.children(message.root, self.reachable)
        return [Outgoing(child, message) for child in children]

    def _refute(
        self, message: dissemination_messages.HostUpdate, now: float
    ) -> list[Outgoing]:
        """Override a report that this host is leaving if it is not.

        Such a report refers to an earlier node on this host, or to an outdated
        status of this one. This node takes a higher incarnation and announces
        itself.
        """
        if self.leaving or not message.leaving:
            return []
        self._incarnation = max(self._incarnation, message.incarnation + 1)
        self._update_status(
            self._own, HostStatus(self._incarnation, False, now)
        )
        return self._announce(())

    def _update_status(self, host_id: str, status: HostStatus) -> bool:
        """Store a status; return whether it is newer than the known one."""
        if not status.overrides(self._statuses.get(host_id)):
            return False
        before = self._is_leaving(host_id)
        self._statuses[host_id] = status
        self._change_pending |= before != status.leaving
        return True

    def _own_status_message(
        self, root: str
    ) -> dissemination_messages.HostUpdate:
        """Return the message with this host's status."""
        return dissemination_messages.HostUpdate(
            root, self._own, self._incarnation, self.leaving
        )

    def _announce(self, directly: t.Iterable[str]) -> list[Outgoing]:
        """Return messages with this host's status to peers and readers.

        :param directly: hosts that are notified in addition to the readers.
        """
        remote = self._relay.remote_readers(self._reader_turn)
        self._reader_turn += 1
        readers = [*self._relay.readers, *remote]
        recipients = dict.fromkeys([*directly, *readers])
        recipients.pop(self._own, None)
        message = self._own_status_message("")
        return [Outgoing(peer, message) for peer in recipients]

    def _introduce(self, now: float) -> list[Outgoing]:
        """Announce this node once after its start."""
        if self._introduced or not self._hosts:
            return []
        self._introduced = True
        if not self.leaving:
            self._update_status(
                self._own, HostStatus(self._incarnation, False, now)
            )
        return self._announce(())

    def _repeat_recent(self, now: float) -> list[Outgoing]:
        """Send recent statuses again to random peers."""
        recent = [
            (host_id, status.incarnation, status.leaving)
            for host_id, status in self._statuses.items()
            if now - status.received_at < defaults.HOST_STATUS_REPEAT_S
        ]
        if not recent:
            return []
        repeat_own = self._own in {item[0] for item in recent} and self.leaving
        announced = (
            self._announce(self.contacts.connected) if repeat_own else []
        )
        count = min(defaults.HOST_STATUSES_PER_MESSAGE, len(recent))
        message = dissemination_messages.HostUpdates(
            tuple(self._random.sample(recent, count))
        )
        neighbours = self._relay.neighbours(self.reachable)
        count = min(defaults.HOST_STATUS_FAN_OUT, len(neighbours))
        chosen = self._random.sample(neighbours, count)
        if self._own in self._relay.candidates and self._relay.remote_hosts:
            place = self._random.choice(sorted(self._relay.remote_hosts))
            chosen.append(self._random.choice(self._relay.remote_hosts[place]))
        return announced + [Outgoing(peer, message) for peer in chosen]

    def _expire(self, now: float) -> None:
        """Drop statuses that are no longer needed."""
        for host_id, status in list(self._statuses.items()):
            old = now - status.received_at > defaults.HOST_STATUS_RETENTION_S
            needed = status.leaving and host_id in self._hosts
            if old and not needed and host_id != self._own:
                del self._statuses[host_id]
        for root, host_id in list(self._forwarded):
            if host_id not in self._statuses:
                del self._forwarded[root, host_id]
