"""Selects the hosts of a data centre that read the store for the others.

If every host read the store itself, the store's load and the traffic between
regions would grow with the number of hosts. Instead a few hosts of each data
centre read the store and forward its changes to the others. No host depends on
a single reader: each follows two, switches to the next in order when one
becomes unresponsive, and reads the store itself while it follows none.
"""

import dataclasses
import functools
import hashlib
import typing as t

# Minimum number of readers in a data centre.
READERS_MIN = 2
# Number of hosts per additional reader.
HOSTS_PER_READER = 48
# Number of readers that a host follows at the same time.
READERS_FOLLOWED = 2
# Maximum number of hosts that a host tries to follow before it reads itself.
CANDIDATES = 8
# Time without data after which a reader is no longer followed.
UNRESPONSIVE_S = 1.0
# Time within which a host that was asked to read must confirm it.
ANSWER_S = 0.6
# Time for which a host that does not read is not tried again.
AVOID_S = 5.0
# Time for which a host that can't be followed at all is not tried again.
CANNOT_FOLLOW_S = 60.0
# Time without a reader after which a host reads the store itself.
NO_READER_S = 0.3
# Number of host ranks in the cache.
RANKS_KEPT = 4_096


@dataclasses.dataclass(slots=True)
class _Candidate:
    """State of one host that may be a reader."""

    requested_at: float | None = None
    received_at: float | None = None
    avoid_until: float = float("-inf")


class StoreReaders:
    """Decides whether a host reads the store and which readers it follows.

    :param own: address of this host.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._readers: list[str] = []
        self._order: list[str] = []
        self._candidates: dict[str, _Candidate] = {}
        self._last_followed_at = float("-inf")
        self._has_followers_until = float("-inf")
        self._reads_until = float("-inf")

    @property
    def is_reader(self) -> bool:
        """Whether this host is among the first in the data centre's order."""
        return self._own in self._readers

    @property
    def number(self) -> int | None:
        """This host's position among the readers, ``None`` for others."""
        return self._readers.index(self._own) if self.is_reader else None

    def ranks_before(self, address: str) -> bool:
        """Return whether a host is before this one in the common order."""
        return _rank(address) < _rank(self._own)

    def learn_hosts(self, addresses: t.Iterable[str]) -> None:
        """Apply the hosts of the data centre."""
        ranks = sorted(set(addresses), key=_rank)
        wanted = max(READERS_MIN, -(-len(ranks) // HOSTS_PER_READER))
        self._readers = readers = ranks[:wanted]
        if not self.is_reader:
            # Each host orders the readers differently to spread the followers.
            # Readers follow the first one, which reads while nothing changes.
            readers = sorted(
                readers, key=lambda item: _rank(f"{self._own} {item}")
            )
        order = [*readers, *ranks[wanted:]]
        self._order = [item for item in order if item != self._own]
        candidates = self._candidates
        self._candidates = {
            item: candidates.get(item) or _Candidate()
            for item in self._order[:CANDIDATES]
        }

    def reported(self, address: str, reading: bool, now: float) -> None:
        """Process a host's report on whether it reads the store."""
        candidate = self._candidates.get(address)
        if candidate is None:
            return
        if reading:
            candidate.received_at = now
            candidate.avoid_until = float("-inf")
        else:
            self.lost(address, now)

    def lost(self, address: str, now: float) -> None:
        """Record that a host cannot be followed at present."""
        candidate = self._candidates.get(address)
        if candidate is not None:
            candidate.requested_at = candidate.received_at = None
            candidate.avoid_until = now + AVOID_S

    def cannot_follow(self, address: str, now: float) -> None:
        """Record that a host's reports can't be used, such as an old build's.

        It is tried again after a time, since it may have been updated.
        """
        self.lost(address, now)
        candidate = self._candidates.get(address)
        if candidate is not None:
            candidate.avoid_until = now + CANNOT_FOLLOW_S

    def followed_by_peer(self, until: float) -> None:
        """Record that another host follows this one until the given time."""
        self._has_followers_until = max(self._has_followers_until, until)

    def read_until(self, until: float) -> None:
        """Have this host read the store itself until the given time."""
        self._reads_until = until

    def restart_timeouts(self, now: float) -> None:
        """Restart all timeouts after this host itself was blocked."""
        for candidate in self._candidates.values():
            if candidate.received_at is not None:
                candidate.received_at = now
            elif candidate.requested_at is not None:
                candidate.requested_at = now

    def follows(self, now: float) -> list[str]:
        """Return the hosts to follow; must be called frequently.

        The result includes hosts that have not replied yet.
        """
        addresses: list[str] = []
        following = pending = 0
        # A reader follows one host less, because it needs another host only
        # for changes that it does not receive itself.
        wanted = READERS_FOLLOWED - self.is_reader
        for address, candidate in self._candidates.items():
            if following == wanted:
                break
            self._check_timeouts(address, candidate, now)
            if candidate.received_at is not None:
                following += 1
            elif candidate.requested_at is not None:
                pending += 1
            elif candidate.avoid_until <= now and pending < wanted:
                candidate.requested_at = now
                pending += 1
            else:
                continue
            addresses.append(address)
        for address, candidate in self._candidates.items():
            if address not in addresses:
                candidate.requested_at = candidate.received_at = None
        if following:
            self._last_followed_at = now
        return addresses

    def reads_store(self, now: float) -> bool:
        """Return whether this host must read the store."""
        if self.is_reader or now < max(
            self._has_followers_until, self._reads_until
        ):
            return True
        return now - self._last_followed_at > NO_READER_S

    def _check_timeouts(
        self, address: str, candidate: _Candidate, now: float
    ) -> None:
        """Stop following a host whose timeout has elapsed."""
        if candidate.received_at is not None:
            if now - candidate.received_at > UNRESPONSIVE_S:
                self.lost(address, now)
        elif (
            candidate.requested_at is not None
            and now - candidate.requested_at > ANSWER_S
        ):
            self.lost(address, now)


@functools.lru_cache(maxsize=RANKS_KEPT)
def _rank(text: str) -> bytes:
    # A checksum would give similar addresses similar ranks.
    """Return a hash by which hosts are ordered."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
