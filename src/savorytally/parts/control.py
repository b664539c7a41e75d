"""Passes control messages between this node's participants and its peers.

A participant is a component with a protocol of its own between nodes, such
as membership or quota.
"""

import asyncio
import typing as t

from absl import logging

from .. import defaults
from .. import ports
from .. import view
from ..decisions import dissemination
from ..decisions import membership
from ..decisions import participant
from ..peer import messages

FallbackSend = t.Callable[[str, messages.Message], None]


class Control:
    """Delivers control messages and ticks the participants.

    :param environment: provides the clock and the peers.
    :param current_view: provides the host list in force.
    :param disseminator: is notified when a peer has a newer configuration.
    :param members: is notified of each host that sends a message.
    """

    def __init__(
        self,
        environment: ports.Environment,
        current_view: view.View,
        disseminator: dissemination.Dissemination,
        members: membership.Membership,
    ) -> None:
        self._clock = environment.clock
        self._peers = environment.peers
        self._view = current_view
        self._disseminator = disseminator
        self._members = members
        self._participants: list[participant.Participant] = []
        self._tick_callbacks: list[t.Callable[[], None]] = []
        self._fallback_send: FallbackSend = lambda host_id, message: None
        self._by_message: dict[
            type[messages.Message], participant.Participant
        ] = {}

    def add(self, added: participant.Participant) -> None:
        """Register a participant for its messages and for ticks."""
        self._participants.append(added)
        for cls in added.handles:
            self._by_message[cls] = added

    def add_tick_callback(self, callback: t.Callable[[], None]) -> None:
        """Register a function that is called at the end of every tick."""
        self._tick_callbacks.append(callback)

    def set_fallback_send(self, fallback_send: FallbackSend) -> None:
        """Set the function that sends to hosts outside the host list."""
        self._fallback_send = fallback_send

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Pass a received message to the participant that handles it.

        :param sender: identifier of the sending host.
        """
        handler = self._by_message.get(type(message))
        if handler is None:
            logging.debug("no participant handles %s", type(message).__name__)
            return
        now = self._clock.now()
        if not isinstance(message, messages.PeerDisconnected):
            self._members.contacts.received(sender, now)
        self.send(handler.receive(sender, message, now))

    def newer_version_seen(self, sender: str, version: int) -> None:
        """Handle a peer's notice of a newer configuration version.

        :param sender: identifier of the peer's host.
        :param version: the peer's configuration version.
        """
        self.send(
            self._disseminator.newer_version_seen(
                sender, version, self._clock.now()
            )
        )

    def leave(self) -> None:
        """Notify the peers that this host accepts no new work."""
        self.send(self._members.leave(self._clock.now()))

    def tick(self) -> None:
        """Run the periodic work of every participant and callback.

        An exception in one of them is logged; the others still run.
        """
        for item in self._participants:
            try:
                self.send(item.tick(self._clock.now()))
            except Exception:
                logging.exception("tick of %s failed", type(item).__name__)
        for callback in self._tick_callbacks:
            try:
                callback()
            except Exception:
                logging.exception("tick callback failed")

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(defaults.CONTROL_TICK_S)

    def send(self, outgoing: list[participant.Outgoing]) -> None:
        """Send messages to their hosts.

        Hosts that are not in the host list can't be connected to; messages
        to them go over the streams that they have opened to this node.
        """
        hosts = self._view.hosts.hosts
        for item in outgoing:
            target = hosts.get(item.host_id)
            if target is not None:
                self._peers.send(target, item.message)
            else:
                self._fallback_send(item.host_id, item.message)
