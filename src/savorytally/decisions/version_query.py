"""Queries peers for the versions that they hold and collects the replies."""

import typing as t

Versions = t.Iterable[tuple[str, int]]


class VersionQuery:
    """One round of version queries; its nonce identifies its replies.

    :param nonce: repeated by the replies of this round.
    :param now: when the round started.
    :param repeat_s: time in seconds after which a query without a reply is
        sent again.
    """

    def __init__(self, nonce: int, now: float, repeat_s: float) -> None:
        self._nonce = nonce
        self._started = now
        self._repeat_s = repeat_s
        self._queried_at: dict[str, float] = {}
        self._replied: set[str] = set()
        self._highest: dict[str, int] = {}

    @property
    def nonce(self) -> int:
        """The nonce that the replies repeat."""
        return self._nonce

    @property
    def replies(self) -> int:
        """Number of peers that have replied."""
        return len(self._replied)

    @property
    def complete(self) -> bool:
        """Whether every queried peer has replied."""
        return bool(self._queried_at) and self._replied >= set(
            self._queried_at
        )

    def age_s(self, now: float) -> float:
        """Return the time since the round started in seconds."""
        return now - self._started

    def due_peers(self, peers: t.Iterable[str], now: float) -> list[str]:
        """Return the peers to which a query must be sent now."""
        due = []
        for peer in peers:
            if peer in self._replied:
                continue
            last = self._queried_at.get(peer)
            if last is None or now - last >= self._repeat_s:
                self._queried_at[peer] = now
                due.append(peer)
        return due

    def record_reply(self, peer: str, versions: Versions) -> None:
        """Record the versions in a peer's reply."""
        self._replied.add(peer)
        for name, version in versions:
            self._highest[name] = max(self._highest.get(name, 0), version)

    def satisfied_by(self, versions: t.Mapping[str, int]) -> bool:
        """Return whether no reply reported a version above the given ones."""
        return all(
            versions.get(name, 0) >= version
            for name, version in self._highest.items()
        )
