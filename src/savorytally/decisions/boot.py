"""Learns the highest version from peers before a new process serves."""

import dataclasses
import random
import typing as t

from .. import defaults
from ..peer import spread
from . import inquiry
from . import relay


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A version that was read from the platform while booting.

    :param version: its number.
    :param bodies: the bytes of its sections.
    """

    version: int
    bodies: t.Mapping[str, bytes]


class Boot:
    """The time between the start of a process and its first service.

    :param source: seeded random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._nonce = source.getrandbits(32) | 1
        self._inquiry: inquiry.Inquiry | None = None
        self._peers: tuple[str, ...] = ()
        self._copy: Copy | None = None
        self._active = True

    @property
    def active(self) -> bool:
        """Whether it lasts."""
        return self._active

    @property
    def nonce(self) -> int:
        """What answers to its questions repeat."""
        return self._nonce

    @property
    def copy(self) -> Copy | None:
        """The newest copy that was read from the platform."""
        return self._copy

    def alone(self, now: float) -> bool:
        """Return whether no peer has answered within the bound."""
        asked = self._inquiry
        if asked is None or asked.answers:
            return False
        return asked.age_s(now) >= defaults.BOOT_WAIT_S

    def keep_copy(self, version: int, bodies: t.Mapping[str, bytes]) -> None:
        """Set a copy aside until the peers have been heard."""
        if self._copy is None or version > self._copy.version:
            self._copy = Copy(version, bodies)

    def peers(self, tree: relay.Relay, own: str) -> tuple[str, ...]:
        """Return whom to ask: the candidates and random hosts."""
        if not self._peers:
            first = [item for item in tree.candidates if item != own]
            others = sorted(set(tree.near) - set(first))
            left = max(defaults.BOOT_PEERS - len(first), 0)
            more = self._random.sample(others, min(left, len(others)))
            self._peers = (*first, *more, *tree.far_readers())
        return self._peers

    def ask(self, peers: t.Iterable[str], now: float) -> list[str]:
        """Return which of the peers are to be asked now."""
        if self._inquiry is None:
            self._inquiry = inquiry.Inquiry(
                self._nonce, now, defaults.BOOT_ASK_S
            )
        return self._inquiry.ask(peers, now)

    def answered(self, sender: str, summary: spread.Summary) -> None:
        """Take in a peer's answer."""
        if self._inquiry is not None and summary.nonce == self._nonce:
            self._inquiry.answer(sender, summary.versions)

    def finish(self, versions: t.Mapping[str, int], now: float) -> bool:
        """Return whether the node may serve from now on.

        :param versions: what it holds by now.
        """
        asked = self._inquiry
        if asked is None:
            return False
        age_s = asked.age_s(now)
        waited = age_s >= defaults.BOOT_WAIT_S
        reached = asked.reached_by(versions)
        heard = not self._peers or asked.complete or waited
        given_up = age_s >= defaults.BOOT_GIVE_UP_S
        self._active = not (heard and reached) and not given_up
        return not self._active
