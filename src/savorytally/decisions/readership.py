"""Which hosts of a data centre read the store, and whom the others follow.

Answers the number of hosts: if each read for itself, the store's work and
the traffic between regions would grow with them. A few hosts of a data
centre read and tell the others. No host depends on a reader: each follows
two, asks the next in the order when one falls silent, and reads for itself
while it follows none.
"""

import dataclasses
import functools
import hashlib
import typing as t

# Readers of a data centre, at least.
READERS_MIN = 2
# Hosts for which there is one reader more.
HOSTS_PER_READER = 48
# Readers that a host follows at once.
FOLLOWED = 2
# Hosts that are asked to read at most, before a host reads for itself.
CANDIDATES = 8
# A reader that is silent for this long is not followed any more.
SILENT_S = 1.0
# Time in which a host that is asked must say that it reads.
ANSWER_S = 0.6
# Time for which a host that does not read is not asked again.
AVOID_S = 5.0
# Time without a reader after which a host reads for itself.
ALONE_S = 0.3
# Ranks of hosts that are remembered.
RANKS_KEPT = 4_096


@dataclasses.dataclass(slots=True)
class _Candidate:
    """What is known of one host that may read."""

    asked_at: float | None = None
    heard_at: float | None = None
    avoid_until: float = float("-inf")


class Readership:
    """The part that one host takes in reading for its data centre.

    :param own: its address.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._readers: frozenset[str] = frozenset()
        self._order: list[str] = []
        self._candidates: dict[str, _Candidate] = {}
        self._fed_at = float("-inf")
        self._asked_until = float("-inf")

    def learn_hosts(self, addresses: t.Iterable[str]) -> None:
        """Apply the hosts of the data centre."""
        ranks = sorted(set(addresses), key=_rank)
        wanted = max(READERS_MIN, -(-len(ranks) // HOSTS_PER_READER))
        self._readers = frozenset(ranks[:wanted])
        # Where there are many readers, followers spread over them.
        first = sorted(
            ranks[:wanted], key=lambda item: _rank(f"{self._own} {item}")
        )
        order = [*first, *ranks[wanted:]]
        self._order = [item for item in order if item != self._own]
        known = self._candidates
        self._candidates = {
            item: known.get(item) or _Candidate()
            for item in self._order[:CANDIDATES]
        }

    def heard(self, address: str, good: bool, now: float) -> None:
        """Take in whether a host says that it reads."""
        known = self._candidates.get(address)
        if known is None:
            return
        if good:
            known.heard_at = now
            known.avoid_until = float("-inf")
        else:
            self.lost(address, now)

    def lost(self, address: str, now: float) -> None:
        """Note that a host can't be followed at present."""
        known = self._candidates.get(address)
        if known is not None:
            known.asked_at = known.heard_at = None
            known.avoid_until = now + AVOID_S

    def asked(self, until: float) -> None:
        """Note that another host follows this one for a time."""
        self._asked_until = max(self._asked_until, until)

    def excuse(self, now: float) -> None:
        """Begin to wait anew: this host itself has not listened."""
        for known in self._candidates.values():
            if known.heard_at is not None:
                known.heard_at = now
            elif known.asked_at is not None:
                known.asked_at = now

    def follows(self, now: float) -> list[str]:
        """Return the hosts to follow; it is to be asked often.

        Those that have not answered yet are among them.
        """
        found: list[str] = []
        good = trying = 0
        # A reader needs another view only for what it is not told itself.
        wanted = FOLLOWED - (self._own in self._readers)
        for address, known in self._candidates.items():
            if good == wanted:
                break
            self._judge(address, known, now)
            if known.heard_at is not None:
                good += 1
            elif known.asked_at is not None:
                trying += 1
            elif known.avoid_until <= now and trying < wanted:
                known.asked_at = now
                trying += 1
            else:
                continue
            found.append(address)
        for address, known in self._candidates.items():
            if address not in found:
                known.asked_at = known.heard_at = None
        if good:
            self._fed_at = now
        return found

    def reads(self, now: float) -> bool:
        """Return whether this host is to read the store."""
        if self._own in self._readers or now < self._asked_until:
            return True
        return now - self._fed_at > ALONE_S

    def _judge(self, address: str, known: _Candidate, now: float) -> None:
        """Give up a host that is silent."""
        if known.heard_at is not None:
            if now - known.heard_at > SILENT_S:
                self.lost(address, now)
        elif known.asked_at is not None and now - known.asked_at > ANSWER_S:
            self.lost(address, now)


@functools.lru_cache(maxsize=RANKS_KEPT)
def _rank(text: str) -> bytes:
    # A checksum would rank similar addresses alike.
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
