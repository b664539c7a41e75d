"""Carries messages between this node's participants and their peers."""

import asyncio

from absl import logging

from .. import defaults
from .. import ports
from .. import view
from ..decisions import dissemination
from ..decisions import membership
from ..decisions import participant
from ..peer import messages


class Control:
    """Delivers control messages and ticks the participants.

    :param outside: clock and peers.
    :param current: the host list in force.
    :param news: takes in that a peer has a newer configuration.
    :param members: takes in what streams show of the peers.
    """

    def __init__(
        self,
        outside: ports.Outside,
        current: view.View,
        news: dissemination.Dissemination,
        members: membership.Membership,
    ) -> None:
        self._clock = outside.clock
        self._peers = outside.peers
        self._view = current
        self._news = news
        self._members = members
        self._participants: list[participant.Participant] = []
        self._by_message: dict[
            type[messages.Message], participant.Participant
        ] = {}

    def add(self, joined: participant.Participant) -> None:
        """Let a participant take part."""
        self._participants.append(joined)
        for cls in joined.handles:
            self._by_message[cls] = joined

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Hand an incoming message to the participant that handles it."""
        handler = self._by_message.get(type(message))
        if handler is None:
            logging.debug("unhandled %s", type(message).__name__)
            return
        now = self._clock.now()
        self._members.contacts.heard(sender, now)
        self.send(handler.receive(sender, message, now))

    def behind(self, sender: str, version: int) -> None:
        """Note that a peer has a newer configuration than this node."""
        self.send(self._news.behind(sender, version, self._clock.now()))

    def connected(self, host_id: str, incarnation: int) -> None:
        """Note that a peer introduced itself on a stream."""
        now = self._clock.now()
        self.send(self._members.opened(host_id, incarnation, now))

    def lost(self, host_id: str) -> None:
        """Note a stream that broke, fell silent or could not be opened."""
        self._members.contacts.lost(host_id, self._clock.now())

    def closed(self, host_id: str) -> None:
        """Note a stream that was closed in good order."""
        self._members.contacts.closed(host_id)

    def leave(self) -> None:
        """Tell the peers that this host takes no new work."""
        self.send(self._members.leave(self._clock.now()))

    def tick(self) -> None:
        """Let every participant do what is due."""
        now = self._clock.now()
        for item in self._participants:
            self.send(item.tick(now))

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(defaults.CONTROL_TICK_S)

    def send(self, outgoing: list[participant.Outgoing]) -> None:
        """Send messages to listed hosts."""
        hosts = self._view.hosts.hosts
        for item in outgoing:
            target = hosts.get(item.host_id)
            if target is not None:
                self._peers.send(target, item.message)
