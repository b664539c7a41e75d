"""Spreads publications from a few readers to every node.

A reader that finds a newer version on the platform sends a notice down its
tree; each receiver pulls what changed from the sender of the notice, puts it
in force and passes the notice on. Summaries exchanged with random peers
repair what was lost, and carry versions between data centres.
"""

import random
import typing as t

from .. import defaults
from ..peer import messages
from ..peer import spread
from . import boot
from . import evidence
from . import freshness
from . import hold
from . import participant
from . import relay
from . import shelf
from . import summaries

CONFIGURATION = shelf.CONFIGURATION
HOSTS = shelf.HOSTS

Outgoing = participant.Outgoing


class Dissemination:
    """Holds the newest publications and exchanges them with peers.

    :param host_id: this node's host.
    :param tree: ranks and trees of the data centre, shared.
    :param source: seeded random source.
    :param acceptor: checks publications and puts them in force.
    :param fit: whether a host can be reached.
    :param known: is told how old the host list is.
    """

    handles: tuple[type[messages.Message], ...] = (
        spread.Notice,
        spread.Pull,
        spread.Delta,
        spread.Summary,
        spread.Reading,
        spread.AgeQuestion,
        spread.ListAge,
    )

    def __init__(
        self,
        host_id: str,
        tree: relay.Relay,
        source: random.Random,
        acceptor: shelf.Acceptor,
        fit: t.Callable[[str], bool],
        known: evidence.SpreadEvidence,
    ) -> None:
        self._own = host_id
        self._relay = tree
        self._random = source
        self._fit = fit
        self._evidence = known
        self._summaries = summaries.Summaries(
            host_id, tree, source, fit, known
        )
        self._boot = boot.Boot(source)
        self._holds: dict[str, hold.Hold] = {}
        self._forwarded: dict[tuple[str, str], int] = {}
        self._waiting: dict[str, set[str]] = {}
        self._platform_at = float("-inf")
        self.freshness = freshness.Freshness(source)
        self.shelves = {
            name: shelf.Shelf(name, acceptor)
            for name in (CONFIGURATION, HOSTS)
        }

    @property
    def booting(self) -> bool:
        """Whether the highest version of the peers is not known yet."""
        return self._boot.active

    @property
    def versions(self) -> dict[str, int]:
        """The version of each publication that is held."""
        return {
            name: item.version
            for name, item in self.shelves.items()
            if item.version
        }

    @property
    def lagging(self) -> bool:
        """Whether a configuration is known of that is not in force."""
        return self.shelves[CONFIGURATION].lagging

    def reading(self, name: str, now: float) -> bool:
        """Return whether this node is to read a value of the platform."""
        if not self.shelves[name].version and name == HOSTS:
            return True
        if not self.shelves[name].version and self._boot.alone(now):
            return True
        return self._summaries.reading(now)

    def published(
        self,
        name: str,
        version: int,
        bodies: t.Mapping[str, bytes],
        now: float,
    ) -> list[Outgoing]:
        """Take in a value that this node read from the platform.

        :param bodies: the bytes of each of its sections.
        """
        if name == CONFIGURATION and self._boot.active:
            self._boot.keep_copy(version, bodies)
            return []
        item = self.shelves[name]
        if not item.read_whole(version, bodies):
            return []
        if name == HOSTS and self._boot.active:
            item.enforce(now)
            return []
        children = self._children(self._own)
        self._holds[name] = hold.Hold(version, len(children), now)
        self._release(name, now)
        return self._notices(self._own, name)

    def platform_answered(self, name: str, asked_at: float) -> None:
        """Note that a read of the platform ended well.

        It must be called after what was read has been taken in.

        :param asked_at: when it was begun.
        """
        self._summaries.platform_read(True)
        if name == CONFIGURATION:
            self._platform_at = asked_at
            self._confirm_by_platform()

    def list_confirmed(self, version: int, asked_at: float) -> None:
        """Note the newest host list of the platform at a time."""
        if version == self.shelves[HOSTS].version:
            self._evidence.confirm(asked_at)

    def platform_failed(self) -> None:
        """Note that the platform could not be read."""
        self._summaries.platform_read(False)

    def behind(self, sender: str, version: int, now: float) -> list[Outgoing]:
        """Take in that a frame showed a newer configuration version."""
        return self._pull(sender, CONFIGURATION, version, now)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[Outgoing]:
        """Take in one message and return what to send."""
        if isinstance(message, spread.Notice):
            return self._noticed(sender, message, now)
        if isinstance(message, spread.Pull):
            return self._pulled(sender, message)
        if isinstance(message, spread.Delta):
            return self._delivered(sender, message, now)
        if isinstance(message, spread.Summary):
            return self._summarised(sender, message, now)
        if isinstance(message, spread.Reading):
            self._summaries.reader_heard(sender, message, now)
            return self._pull(sender, CONFIGURATION, message.version, now)
        if isinstance(message, spread.AgeQuestion):
            return self._list_asked(sender, message, now)
        if isinstance(message, spread.ListAge):
            return self._list_told(sender, message, now)
        return []

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due and return what to send."""
        self.freshness.tick(now)
        outgoing = self._confirm(now)
        outgoing += self._start(now)
        outgoing += self._summaries.due(self.versions, now)
        for name, item in self.shelves.items():
            source = item.overdue(now)
            if source:
                outgoing.append(Outgoing(source, item.pull()))
            outgoing += self._hold_on(name, now)
        return outgoing

    def _noticed(
        self, sender: str, notice: spread.Notice, now: float
    ) -> list[Outgoing]:
        item = self.shelves.get(notice.name)
        if item is None:
            return []
        if notice.version > item.version:
            self._waiting.setdefault(notice.name, set()).add(notice.root)
            return self._pull(sender, notice.name, notice.version, now)
        outgoing = []
        if sender == notice.root:
            outgoing.append(Outgoing(sender, self._summary(0, True, now)))
        if notice.root and item.version == notice.version:
            outgoing += self._notices(notice.root, notice.name)
        return outgoing

    def _pulled(self, sender: str, pull: spread.Pull) -> list[Outgoing]:
        item = self.shelves.get(pull.name)
        if item is None or item.version <= pull.after:
            return []
        deltas = item.since(max(pull.after, 0), max(pull.part, 0))
        return [Outgoing(sender, delta) for delta in deltas]

    def _delivered(
        self, sender: str, delta: spread.Delta, now: float
    ) -> list[Outgoing]:
        item = self.shelves.get(delta.name)
        if item is None:
            return []
        if not item.apply(sender, delta, now):
            following = item.next_pull(delta.part)
            return [Outgoing(sender, following)] if following else []
        self._holds.pop(delta.name, None)
        if delta.name == HOSTS or not self._boot.active:
            item.enforce(now)
        self._learned()
        roots = self._waiting.pop(delta.name, set())
        outgoing = []
        if sender in roots:
            outgoing.append(Outgoing(sender, self._summary(0, True, now)))
        for root in sorted(roots - {""}):
            outgoing += self._notices(root, delta.name)
        if not roots - {""}:
            outgoing += self._spread_from_here(delta.name)
        return outgoing

    def _spread_from_here(self, name: str) -> list[Outgoing]:
        if self._own in self._relay.candidates:
            return self._notices(self._own, name)
        notice = spread.Notice("", name, self.shelves[name].version)
        return [
            Outgoing(reader, notice)
            for reader in self._relay.readers
            if reader != self._own
        ]

    def _notices(self, root: str, name: str) -> list[Outgoing]:
        version = self.shelves[name].version
        if self._forwarded.get((root, name), 0) >= version:
            return []
        self._forwarded[root, name] = version
        notice = spread.Notice(root, name, version)
        return [Outgoing(child, notice) for child in self._children(root)]

    def _children(self, root: str) -> list[str]:
        return self._relay.children(root, self._fit)

    def _pull(
        self, sender: str, name: str, version: int, now: float
    ) -> list[Outgoing]:
        item = self.shelves[name]
        if not item.announced(sender, version, now):
            return []
        return [Outgoing(sender, spread.Pull(name, item.version))]

    def _summarised(
        self, sender: str, summary: spread.Summary, now: float
    ) -> list[Outgoing]:
        told = dict(summary.versions)
        self._summaries.heard(summary, now)
        outgoing: list[Outgoing] = []
        for name, item in self.shelves.items():
            version = told.get(name, 0)
            outgoing += self._pull(sender, name, version, now)
            if summary.reply:
                self._acknowledged(sender, name, version, now)
            elif version < item.version:
                notice = spread.Notice("", name, item.version)
                outgoing.append(Outgoing(sender, notice))
        if summary.reply:
            self._answered(sender, summary)
        elif summary.nonce and self._may_answer(now):
            answer = self._summary(summary.nonce, True, now)
            outgoing.append(Outgoing(sender, answer))
        return outgoing

    def _list_asked(
        self, sender: str, question: spread.AgeQuestion, now: float
    ) -> list[Outgoing]:
        own_list = self.shelves[HOSTS].version
        answer = self._summaries.list_asked(question, own_list, now)
        pull = self._pull(sender, HOSTS, question.version, now)
        return [Outgoing(sender, answer), *pull]

    def _list_told(
        self, sender: str, answer: spread.ListAge, now: float
    ) -> list[Outgoing]:
        own_list = self.shelves[HOSTS].version
        self._summaries.list_told(answer, own_list)
        return self._pull(sender, HOSTS, answer.version, now)

    def _may_answer(self, now: float) -> bool:
        return self.freshness.confirmed(now)

    def _answered(self, sender: str, summary: spread.Summary) -> None:
        self._boot.answered(sender, summary)
        asked = self.freshness.inquiry
        if asked is not None and asked.nonce == summary.nonce:
            asked.answer(sender, summary.versions)
            self.freshness.peer_answered(self._in_force())

    def _summary(self, nonce: int, reply: bool, now: float) -> spread.Summary:
        return self._summaries.make(nonce, reply, self.versions, now)

    def _confirm(self, now: float) -> list[Outgoing]:
        if self.freshness.confirmed(now):
            return []
        asked = self.freshness.inquiry
        assert asked is not None
        self.freshness.peer_answered(self._in_force())
        near = [item for item in self._relay.readers if item != self._own]
        near += self._relay.neighbours(self._fit)[: defaults.CONFIRM_PEERS]
        summary = self._summary(asked.nonce, False, now)
        return [Outgoing(peer, summary) for peer in asked.ask(near, now)]

    def _start(self, now: float) -> list[Outgoing]:
        if not self._boot.active or not self.shelves[HOSTS].version:
            return []
        peers = self._boot.peers(self._relay, self._own)
        asked = self._boot.ask(peers, now)
        summary = self._summary(self._boot.nonce, False, now)
        outgoing = [Outgoing(peer, summary) for peer in asked]
        if not self._boot.finish(self.versions, now):
            return outgoing
        for item in self.shelves.values():
            item.enforce(now)
        self._learned()
        copy = self._boot.copy
        if copy is not None:
            outgoing += self.published(
                CONFIGURATION, copy.version, copy.bodies, now
            )
        return outgoing

    def _learned(self) -> None:
        self._relay.learn_version(self.shelves[CONFIGURATION].version)
        self.freshness.peer_answered(self._in_force())
        self._confirm_by_platform()

    def _confirm_by_platform(self) -> None:
        item = self.shelves[CONFIGURATION]
        if item.enforced == item.version:
            self.freshness.platform_answered(self._platform_at)

    def _in_force(self) -> dict[str, int]:
        return {name: item.enforced for name, item in self.shelves.items()}

    def _acknowledged(
        self, sender: str, name: str, version: int, now: float
    ) -> None:
        held = self._holds.get(name)
        if held is not None:
            held.acknowledged(sender, version)
            self._release(name, now)

    def _hold_on(self, name: str, now: float) -> list[Outgoing]:
        held = self._holds.get(name)
        if held is None:
            return []
        self._release(name, now)
        if name not in self._holds or not held.repeat(now):
            return []
        notice = spread.Notice(self._own, name, held.version)
        children = self._children(self._own)
        return [Outgoing(child, notice) for child in children]

    def _release(self, name: str, now: float) -> None:
        if self._holds[name].over(now):
            del self._holds[name]
            self.shelves[name].enforce(now)
            self._learned()
