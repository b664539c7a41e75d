"""Which hosts take new work: the platform's list, corrected by the hosts.

The list lags, so a leaving host tells its peers itself. Its note is bound to
the incarnation of its node: a node that started later on the same host
overrides it.
"""

import dataclasses
import random
import typing as t

from .. import defaults
from ..peer import messages
from ..peer import spread
from ..world import host
from . import contact
from . import participant
from . import relay

Outgoing = participant.Outgoing


class Contacts(t.Protocol):
    """What other decisions may ask about hosts."""

    def fit(self, host_id: str, now: float) -> bool:
        """Return whether a host may be given new work."""

    def contact(self, host_id: str) -> float | None:
        """Return when a host was last heard, ``None`` if never."""


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """What a host said about itself.

    :param incarnation: its node's incarnation.
    :param leaving: whether it takes no new work.
    :param heard_at: when this node learned it.
    """

    incarnation: int
    leaving: bool
    heard_at: float

    @property
    def state(self) -> tuple[int, bool]:
        """What orders notes on one host."""
        return self.incarnation, self.leaving

    def overrides(self, other: "Note | None") -> bool:
        """Return whether it is newer than another note."""
        return other is None or self.state > other.state


class Membership:
    """The hosts of the list, without those that said they are leaving.

    :param host_id: this node's host.
    :param incarnation: this node's incarnation.
    :param tree: ranks and trees of the data centre, shared.
    :param source: seeded random source.
    :param changed: called when the set of working hosts changes.
    """

    handles: tuple[type[messages.Message], ...] = (
        messages.Hello,
        messages.Goodbye,
        messages.Lost,
        spread.HostNote,
        spread.HostNotes,
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        tree: relay.Relay,
        source: random.Random,
        changed: t.Callable[[float], None] = lambda now: None,
    ) -> None:
        self._own = host_id
        self._incarnation = incarnation
        self._relay = tree
        self._random = source
        self._changed = changed
        self._hosts: t.Mapping[str, host.Host] = {}
        self._notes: dict[str, Note] = {}
        self._passed: dict[tuple[str, str], tuple[int, bool]] = {}
        self._announced = False
        self._turn = 0
        self._dirty = False
        self._changed_at = float("-inf")
        self._repair_at = 0.0
        self._now = float("-inf")
        self.contacts = contact.PeerContacts(source)

    @property
    def leaving(self) -> bool:
        """Whether this node has announced that it takes no new work."""
        note = self._notes.get(self._own)
        return note is not None and note.leaving

    @property
    def incarnation(self) -> int:
        """This node's incarnation."""
        return self._incarnation

    def working(self) -> dict[str, host.Host]:
        """Return the listed hosts that are not leaving."""
        return {
            host_id: item
            for host_id, item in self._hosts.items()
            if item.live and not self._is_leaving(host_id)
        }

    def fit(self, host_id: str, now: float) -> bool:
        """Return whether a host may be given new work."""
        item = self._hosts.get(host_id)
        if item is None or not item.live or self._is_leaving(host_id):
            return False
        return self.contacts.reachable(host_id, now)

    def contact(self, host_id: str) -> float | None:
        """Return when a host was last heard, ``None`` if never."""
        return self.contacts.heard_at(host_id)

    def reachable(self, host_id: str) -> bool:
        """Return whether a host was reachable when this node last looked."""
        return self.contacts.reachable(host_id, self._now)

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Replace the list."""
        self._hosts = hosts
        self._dirty = False
        self.contacts.forget(frozenset(hosts))

    def leave(self, now: float) -> list[Outgoing]:
        """Announce that this host takes no new work.

        Peers with an open stream are told directly, and the readers of
        every data centre, which pass it on down their trees.
        """
        self._take(self._own, Note(self._incarnation, True, now))
        return self._announce(self.contacts.connected)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[Outgoing]:
        """Take in one message and return what to send."""
        self._now = max(self._now, now)
        if isinstance(message, spread.HostNote):
            return self._noted(message, now)
        if isinstance(message, spread.HostNotes):
            return self._noted_all(message, now)
        if isinstance(message, messages.Hello):
            return self._greeted(sender, message.incarnation, now)
        if isinstance(message, messages.Goodbye):
            return self._dismissed(sender, message, now)
        if isinstance(message, messages.Lost):
            self.contacts.lost(sender, now)
        return []

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due and return what to send."""
        self._now = max(self._now, now)
        if now < self._repair_at:
            return []
        jitter = self._random.uniform(0.8, 1.2)
        self._repair_at = now + defaults.NOTE_PERIOD_S * jitter
        self._expire(now)
        if self._dirty and now >= self._changed_at:
            self._dirty = False
            self._changed_at = now + defaults.HOSTS_CHANGED_PERIOD_S
            self._changed(now)
        return self._introduce(now) + self._repeat(now)

    def _greeted(
        self, host_id: str, incarnation: int, now: float
    ) -> list[Outgoing]:
        """Take in that a peer introduced itself on a stream.

        A note of an earlier incarnation no longer counts.
        """
        self.contacts.opened(host_id, incarnation, now)
        note = self._notes.get(host_id)
        if note is not None and note.incarnation < incarnation:
            self._take(host_id, Note(incarnation, False, now))
        if self.leaving:
            return [Outgoing(host_id, self._own_note(""))]
        return []

    def _dismissed(
        self, host_id: str, message: messages.Goodbye, now: float
    ) -> list[Outgoing]:
        incarnation = self.contacts.incarnation(host_id)
        self.contacts.closed(host_id)
        if not message.leaving:
            return []
        note = spread.HostNote("", host_id, incarnation, True)
        return self._noted(note, now)

    def _noted_all(
        self, message: spread.HostNotes, now: float
    ) -> list[Outgoing]:
        outgoing = []
        for host_id, incarnation, leaving in message.notes:
            note = spread.HostNote("", host_id, incarnation, leaving)
            outgoing += self._noted(note, now)
        return outgoing

    def _is_leaving(self, host_id: str) -> bool:
        note = self._notes.get(host_id)
        return note is not None and note.leaving

    def _noted(self, note: spread.HostNote, now: float) -> list[Outgoing]:
        if note.host_id == self._own:
            return self._refute(note, now)
        told = Note(note.incarnation, note.leaving, now)
        news = self._take(note.host_id, told)
        if told.state != self._notes[note.host_id].state:
            return []
        if note.root:
            return self._pass_on(note)
        if news and self._own in self._relay.candidates:
            return self._pass_on(dataclasses.replace(note, root=self._own))
        return []

    def _pass_on(self, note: spread.HostNote) -> list[Outgoing]:
        """Send a note down a tree, once in each tree."""
        key = (note.root, note.host_id)
        state = (note.incarnation, note.leaving)
        if self._passed.get(key) == state:
            return []
        self._passed[key] = state
        children = self._relay.children(note.root, self.reachable)
        return [Outgoing(child, note) for child in children]

    def _refute(self, note: spread.HostNote, now: float) -> list[Outgoing]:
        if self.leaving or not note.leaving:
            return []
        self._incarnation = max(self._incarnation, note.incarnation + 1)
        self._take(self._own, Note(self._incarnation, False, now))
        return self._announce(())

    def _take(self, host_id: str, note: Note) -> bool:
        if not note.overrides(self._notes.get(host_id)):
            return False
        before = self._is_leaving(host_id)
        self._notes[host_id] = note
        self._dirty |= before != note.leaving
        return True

    def _own_note(self, root: str) -> spread.HostNote:
        return spread.HostNote(
            root, self._own, self._incarnation, self.leaving
        )

    def _announce(self, directly: t.Iterable[str]) -> list[Outgoing]:
        far = self._relay.far_readers(self._turn)
        self._turn += 1
        readers = [*self._relay.readers, *far]
        told = dict.fromkeys([*directly, *readers])
        told.pop(self._own, None)
        note = self._own_note("")
        return [Outgoing(peer, note) for peer in told]

    def _introduce(self, now: float) -> list[Outgoing]:
        if self._announced or not self._hosts:
            return []
        self._announced = True
        if not self.leaving:
            self._take(self._own, Note(self._incarnation, False, now))
        return self._announce(())

    def _repeat(self, now: float) -> list[Outgoing]:
        recent = [
            (host_id, note.incarnation, note.leaving)
            for host_id, note in self._notes.items()
            if now - note.heard_at < defaults.NOTE_REPEAT_S
        ]
        if not recent:
            return []
        again = self._own in {item[0] for item in recent} and self.leaving
        announced = self._announce(self.contacts.connected) if again else []
        count = min(defaults.NOTES_PER_MESSAGE, len(recent))
        notes = spread.HostNotes(tuple(self._random.sample(recent, count)))
        near = self._relay.neighbours(self.reachable)
        count = min(defaults.NOTE_FAN_OUT, len(near))
        chosen = self._random.sample(near, count)
        if self._own in self._relay.candidates and self._relay.far:
            place = self._random.choice(sorted(self._relay.far))
            chosen.append(self._random.choice(self._relay.far[place]))
        return announced + [Outgoing(peer, notes) for peer in chosen]

    def _expire(self, now: float) -> None:
        for host_id, note in list(self._notes.items()):
            old = now - note.heard_at > defaults.NOTE_RETENTION_S
            needed = note.leaving and host_id in self._hosts
            if old and not needed and host_id != self._own:
                del self._notes[host_id]
        for root, host_id in list(self._passed):
            if host_id not in self._notes:
                del self._passed[root, host_id]
