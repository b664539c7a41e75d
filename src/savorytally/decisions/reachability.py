"""Reachability of peers as observed on this node's own streams."""

import dataclasses
import random

from . import liveness

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class _Peer:
    """Connection state of one peer."""

    backoff: liveness.Backoff
    incarnation: int = 0
    connected: bool = False
    received_at: float = _NEVER


class PeerReachability:
    """Connection state of all peers, with backoff for lost connections.

    :param source: seeded random source for the jitter of the backoff.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._peers: dict[str, _Peer] = {}

    @property
    def connected(self) -> list[str]:
        """Hosts with an open stream in either direction."""
        return sorted(
            host_id for host_id, peer in self._peers.items() if peer.connected
        )

    def reachable(self, host_id: str, now: float) -> bool:
        """Return whether messages may be sent to the peer.

        A peer whose stream was lost is unreachable until its backoff ends.
        """
        peer = self._peers.get(host_id)
        if peer is None or peer.connected:
            return True
        return peer.backoff.ready(now)

    def received_at(self, host_id: str) -> float | None:
        """Return when data was last received from the peer, if ever."""
        peer = self._peers.get(host_id)
        if peer is None or peer.received_at == _NEVER:
            return None
        return peer.received_at

    def incarnation(self, host_id: str) -> int:
        """Return the peer's newest known incarnation, 0 if unknown."""
        peer = self._peers.get(host_id)
        return peer.incarnation if peer else 0

    def opened(self, host_id: str, incarnation: int, now: float) -> None:
        """Record that a stream was opened and the peer sent its hello."""
        peer = self._peer(host_id)
        peer.incarnation = max(peer.incarnation, incarnation)
        peer.connected = True
        peer.received_at = now
        peer.backoff.succeeded()

    def received(self, host_id: str, now: float) -> None:
        """Record that a message from the peer arrived."""
        peer = self._peer(host_id)
        peer.received_at = now
        peer.backoff.succeeded()

    def lost(self, host_id: str, now: float) -> None:
        """Record a stream that broke, timed out or could not be opened."""
        peer = self._peer(host_id)
        peer.connected = False
        peer.backoff.failed(now)

    def closed(self, host_id: str) -> None:
        """Record a stream that was closed cleanly."""
        peer = self._peers.get(host_id)
        if peer is not None:
            peer.connected = False

    def forget(self, present: frozenset[str]) -> None:
        """Drop peers that are neither connected nor in the host list.

        :param present: identifiers of the hosts in the host list.
        """
        for host_id, peer in list(self._peers.items()):
            if host_id not in present and not peer.connected:
                del self._peers[host_id]

    def _peer(self, host_id: str) -> _Peer:
        peer = self._peers.get(host_id)
        if peer is None:
            peer = _Peer(liveness.Backoff(self._random))
            self._peers[host_id] = peer
        return peer
