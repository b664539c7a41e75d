"""What a node tells its peers about itself, and how often.

Readers announce themselves to the candidates, every node compares versions
with neighbours, and asks the level above how old its host list is.
"""

import math
import random
import typing as t

from .. import defaults
from ..peer import spread
from . import evidence
from . import participant
from . import readers
from . import relay
from . import shelf

Outgoing = participant.Outgoing


class Summaries:
    """Sends summaries and learns from those of others.

    :param host_id: this node's host.
    :param tree: ranks and trees of the data centre, shared.
    :param source: seeded random source.
    :param fit: whether a host can be reached.
    :param known: is told how old the host list is.
    """

    def __init__(
        self,
        host_id: str,
        tree: relay.Relay,
        source: random.Random,
        fit: t.Callable[[str], bool],
        known: evidence.SpreadEvidence,
    ) -> None:
        self._own = host_id
        self._relay = tree
        self._random = source
        self._fit = fit
        self._evidence = known
        self._role = readers.ReaderRole(tree)
        self._read_ok = False
        self._was_reading = False
        self._pulse_at = -math.inf
        self._repair_at = -math.inf
        self._ask_at = -math.inf
        self._asked: dict[int, float] = {}

    def reading(self, now: float) -> bool:
        """Return whether this node's rank lets it read the platform."""
        return self._role.reading(now)

    def platform_read(self, succeeded: bool) -> None:
        """Note how the last read of the platform ended."""
        self._read_ok = succeeded

    def heard(self, summary: spread.Summary, now: float) -> None:
        """Take in what a peer says about itself."""
        if summary.reader_age_ms >= 0:
            self._role.reader_active(now - summary.reader_age_ms / 1000)

    def reader_heard(
        self, sender: str, message: spread.Reading, now: float
    ) -> None:
        """Take in that a peer acts as a reader."""
        self._role.reader_active(now)
        if message.succeeds:
            self._role.heard(sender, now)

    def list_asked(
        self, question: spread.AgeQuestion, own_list: int, now: float
    ) -> spread.ListAge:
        """Return the answer to a question.

        :param own_list: the host list that this node holds.
        """
        age_ms = _milliseconds(now - self._evidence.confirmed_at())
        return spread.ListAge(question.nonce, own_list, age_ms)

    def list_told(self, answer: spread.ListAge, own_list: int) -> None:
        """Take in how old the list of an asked peer is.

        :param own_list: the host list that this node holds.
        """
        asked_at = self._asked.pop(answer.nonce, None)
        if asked_at is None or answer.age_ms < 0 or answer.version != own_list:
            return
        self._evidence.confirm(asked_at - answer.age_ms / 1000)

    def make(
        self,
        nonce: int,
        reply: bool,
        versions: t.Mapping[str, int],
        now: float,
    ) -> spread.Summary:
        """Return the summary to send now."""
        if self._role.reading(now):
            self._role.reader_active(now)
        return spread.Summary(
            nonce=nonce,
            reply=reply,
            reader_age_ms=_milliseconds(self._role.reader_age_s(now)),
            versions=tuple(versions.items()),
        )

    def due(self, versions: t.Mapping[str, int], now: float) -> list[Outgoing]:
        """Return what is to be sent now."""
        held = versions.get(shelf.CONFIGURATION, 0)
        reading = spread.Reading(self._read_ok, held)
        outgoing = [Outgoing(peer, reading) for peer in self._pulse(now)]
        for peer in self._repair(now):
            summary = self.make(0, False, versions, now)
            outgoing.append(Outgoing(peer, summary))
        asked = self._ask(now)
        if asked:
            nonce = self._random.getrandbits(32) | 1
            self._asked = {nonce: now}
            listed = versions.get(shelf.HOSTS, 0)
            question = spread.AgeQuestion(nonce, listed)
            outgoing.append(Outgoing(asked, question))
        return outgoing

    def _pulse(self, now: float) -> list[str]:
        active = self._role.reading(now)
        begun = active and not self._was_reading
        self._was_reading = active
        if not active or (now < self._pulse_at and not begun):
            return []
        self._pulse_at = now + defaults.READER_PULSE_S
        return [item for item in self._relay.candidates if item != self._own]

    def _repair(self, now: float) -> list[str]:
        if now < self._repair_at:
            return []
        jitter = self._random.uniform(0.8, 1.2)
        self._repair_at = now + defaults.REPAIR_PERIOD_S * jitter
        near = self._relay.neighbours(self._fit)
        peers = self._random.sample(near, min(1, len(near)))
        if self._own in self._relay.candidates and self._relay.far:
            place = self._random.choice(sorted(self._relay.far))
            peers.append(self._random.choice(self._relay.far[place]))
        return peers

    def _ask(self, now: float) -> str:
        if now < self._ask_at:
            return ""
        jitter = self._random.uniform(0.8, 1.0)
        self._ask_at = now + defaults.ASK_PERIOD_S * jitter
        peer = self._relay.upstream()
        if peer and self._fit(peer) and not self._asked:
            return peer
        others = set(self._relay.candidates) - {self._own}
        return self._random.choice(sorted(others)) if others else ""


def _milliseconds(age_s: float | None) -> int:
    if age_s is None or math.isinf(age_s):
        return -1
    return int(age_s * 1000) + 1
