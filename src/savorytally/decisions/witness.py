"""Asks other nodes which host list they hold.

A few hosts of a place are the witnesses of a shard. An owner that can't
read the platform goes on only while most of them have no newer list; a new
owner counts its wait from when most of them knew the list that names it.
"""

import collections
import dataclasses
import random
import typing as t

from ..peer import messages
from ..peer import shards
from . import participant

ASK_PERIOD_S = 0.5
ASK_MAX_S = 3.0
LISTS_MAX = 256
FACTS_MAX = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """A peer's last answer.

    :param at: when it was asked, on this node's clock.
    :param list_version: the host list that it held.
    """

    at: float
    list_version: int


@dataclasses.dataclass(slots=True)
class _Question:
    """The latest question to a peer."""

    nonce: int
    version: int
    asked_at: float


class Witnesses:
    """What peers said of their host lists, and what this node says.

    :param source: seeded random source for nonces.
    """

    handles: tuple[type[messages.Message], ...] = (
        shards.ListQuestion,
        shards.ListAnswer,
    )

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._held: collections.deque[tuple[int, float]]
        self._held = collections.deque(maxlen=LISTS_MAX)
        self._questions: dict[str, _Question] = {}
        self._contacts: dict[str, Contact] = {}
        self._known: collections.OrderedDict[tuple[str, int], float]
        self._known = collections.OrderedDict()
        self._outbox: list[participant.Outgoing] = []

    def learn(self, version: int, now: float) -> None:
        """Note that this node holds a newer host list."""
        self._held.append((version, now))

    def contact(self, host_id: str) -> Contact | None:
        """Return the last answer of a peer."""
        return self._contacts.get(host_id)

    def known_since(self, host_id: str, version: int) -> float | None:
        """Return since when a peer has held a list at least as new."""
        return self._known.get((host_id, version))

    def ask(self, host_ids: t.Iterable[str], version: int, now: float) -> None:
        """Ask peers soon, unless they were asked lately.

        :param version: the list that is asked about.
        """
        for host_id in host_ids:
            last = self._questions.get(host_id)
            if last is not None and now - last.asked_at < ASK_PERIOD_S:
                continue
            nonce = self._random.getrandbits(32)
            self._questions[host_id] = _Question(nonce, version, now)
            question = shards.ListQuestion(nonce, version)
            self._outbox.append(participant.Outgoing(host_id, question))

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[participant.Outgoing]:
        """Answer a question or note an answer."""
        if isinstance(message, shards.ListQuestion):
            return [participant.Outgoing(sender, self._answer(message, now))]
        if isinstance(message, shards.ListAnswer):
            self._note(sender, message, now)
        return []

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Send the questions that are due."""
        outgoing, self._outbox = self._outbox, []
        return outgoing

    def _answer(
        self, question: shards.ListQuestion, now: float
    ) -> shards.ListAnswer:
        held_ms = -1
        for version, since in self._held:
            if version >= question.version:
                held_ms = int((now - since) * 1000)
                break
        newest = self._held[-1][0] if self._held else 0
        return shards.ListAnswer(question.nonce, newest, held_ms)

    def _note(
        self, sender: str, answer: shards.ListAnswer, now: float
    ) -> None:
        question = self._questions.get(sender)
        if question is None or question.nonce != answer.nonce:
            return
        if now - question.asked_at > ASK_MAX_S:
            return
        at = question.asked_at
        self._contacts[sender] = Contact(at, answer.list_version)
        if answer.held_ms < 0:
            return
        key = (sender, question.version)
        self._known.setdefault(key, now - answer.held_ms / 1000)
        while len(self._known) > FACTS_MAX:
            self._known.popitem(last=False)
