"""Carries messages between this node's participants and their peers."""

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

Reply = t.Callable[[str, messages.Message], None]


class Control:
    """Delivers control messages and ticks the participants.

    :param outside: clock and peers.
    :param current: the host list in force.
    :param news: takes in that a peer has a newer configuration.
    :param members: is told who was heard.
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
        self._chores: list[t.Callable[[], None]] = []
        self._reply: Reply = lambda host_id, message: None
        self._by_message: dict[
            type[messages.Message], participant.Participant
        ] = {}

    def add(self, joined: participant.Participant) -> None:
        """Let a participant take part."""
        self._participants.append(joined)
        for cls in joined.handles:
            self._by_message[cls] = joined

    def every_tick(self, chore: t.Callable[[], None]) -> None:
        """Do some work of this node alone with every tick."""
        self._chores.append(chore)

    def reply_with(self, reply: Reply) -> None:
        """Send to hosts that the list does not hold with ``reply``."""
        self._reply = reply

    def deliver(self, sender: str, message: messages.Message) -> None:
        """Hand an incoming message to the participant that handles it."""
        handler = self._by_message.get(type(message))
        if handler is None:
            logging.debug("unhandled %s", type(message).__name__)
            return
        now = self._clock.now()
        if not isinstance(message, messages.Lost):
            self._members.contacts.heard(sender, now)
        self.send(handler.receive(sender, message, now))

    def behind(self, sender: str, version: int) -> None:
        """Note that a peer has a newer configuration than this node."""
        self.send(self._news.behind(sender, version, self._clock.now()))

    def leave(self) -> None:
        """Tell the peers that this host takes no new work."""
        self.send(self._members.leave(self._clock.now()))

    def tick(self) -> None:
        """Let every participant do what is due.

        A fault in one of them is logged and stops none of the others.
        """
        for item in self._participants:
            try:
                self.send(item.tick(self._clock.now()))
            except Exception:
                logging.exception("tick of %s", type(item).__name__)
        for chore in self._chores:
            chore()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(defaults.CONTROL_TICK_S)

    def send(self, outgoing: list[participant.Outgoing]) -> None:
        """Send messages; a host that is not listed gets them as replies."""
        hosts = self._view.hosts.hosts
        for item in outgoing:
            target = hosts.get(item.host_id)
            if target is not None:
                self._peers.send(target, item.message)
            else:
                self._reply(item.host_id, item.message)
