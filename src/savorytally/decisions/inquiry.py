"""Asks several peers which versions they hold and collects the answers."""

import typing as t

Versions = t.Iterable[tuple[str, int]]


class Inquiry:
    """One round of questions under one nonce.

    :param nonce: distinguishes its answers from those of other rounds.
    :param now: when it began.
    :param repeat_s: time after which an unanswered question is repeated.
    """

    def __init__(self, nonce: int, now: float, repeat_s: float) -> None:
        self._nonce = nonce
        self._started = now
        self._repeat_s = repeat_s
        self._asked: dict[str, float] = {}
        self._answered: set[str] = set()
        self._highest: dict[str, int] = {}

    @property
    def nonce(self) -> int:
        """What its answers repeat."""
        return self._nonce

    @property
    def answers(self) -> int:
        """How many peers have answered."""
        return len(self._answered)

    @property
    def complete(self) -> bool:
        """Whether everyone who was asked has answered."""
        return bool(self._asked) and self._answered >= set(self._asked)

    def age_s(self, now: float) -> float:
        """Return the time since it began."""
        return now - self._started

    def ask(self, peers: t.Iterable[str], now: float) -> list[str]:
        """Return which of the peers are to be asked now."""
        due = []
        for peer in peers:
            if peer in self._answered:
                continue
            last = self._asked.get(peer)
            if last is None or now - last >= self._repeat_s:
                self._asked[peer] = now
                due.append(peer)
        return due

    def answer(self, peer: str, versions: Versions) -> None:
        """Take in an answer."""
        self._answered.add(peer)
        for name, version in versions:
            self._highest[name] = max(self._highest.get(name, 0), version)

    def reached_by(self, versions: t.Mapping[str, int]) -> bool:
        """Return whether no answer was ahead of the given versions."""
        return all(
            versions.get(name, 0) >= version
            for name, version in self._highest.items()
        )
