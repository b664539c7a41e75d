"""Elects the nodes of a data centre that read the platform.

The first ranks always read. A later candidate reads while fewer than the
wanted number of nodes with better ranks announce that they read. A node beyond
the candidates reads only if no reader has been active for long.
"""

from .. import defaults
from . import relay_tree


class PlatformReader:
    """Decides whether this node reads the platform.

    :param tree: ranks of the data centre.
    """

    def __init__(self, tree: relay_tree.RelayTree) -> None:
        self._relay = tree
        self._announced_at: dict[str, float] = {}
        self._short_since: float | None = None
        self._reader_active_at: float | None = None
        self._started: float | None = None
        self._fallback_until = float("-inf")

    def record_announcement(self, host_id: str, now: float) -> None:
        """Record that a host announced that it reads the platform."""
        self._announced_at[host_id] = now

    def withdraw_announcement(self, host_id: str) -> None:
        """Record that a host's reads of the platform fail."""
        self._announced_at.pop(host_id, None)

    def reader_active(self, at: float) -> None:
        """Record when any reader was last active, even if its reads fail."""
        if self._reader_active_at is None or at > self._reader_active_at:
            self._reader_active_at = at

    def reader_age_s(self, now: float) -> float | None:
        """Return the time in seconds since a reader was known to be active."""
        if self._reader_active_at is None:
            return None
        return max(now - self._reader_active_at, 0.0)

    def reading(self, now: float) -> bool:
        """Return whether this node must read the platform."""
        if self._started is None:
            self._started = now
        own_rank = self._relay.own_rank
        if own_rank is None:
            return False
        if own_rank < defaults.READERS_PER_DATA_CENTRE:
            return True
        if own_rank < defaults.READER_CANDIDATES:
            return self._replaces_reader(own_rank, now)
        return self._reads_as_fallback(own_rank, now)

    def _replaces_reader(self, own_rank: int, now: float) -> bool:
        """Return whether a candidate must replace missing readers.

        Candidates with worse ranks wait longer, so that they do not all start
        at once.
        """
        oldest = now - defaults.READER_UNRESPONSIVE_S
        better_ranked = self._relay.ranks[:own_rank]
        active = sum(
            self._announced_at.get(item, oldest) > oldest
            for item in better_ranked
        )
        if active >= defaults.READERS_PER_DATA_CENTRE:
            self._short_since = None
            return False
        if self._short_since is None:
            self._short_since = now
        position = own_rank - defaults.READERS_PER_DATA_CENTRE
        wait_s = position * defaults.READER_STAGGER_S
        if now - self._started < defaults.READER_UNRESPONSIVE_S:
            return False
        return now - self._short_since >= wait_s

    def _reads_as_fallback(self, own_rank: int, now: float) -> bool:
        """Return whether a node beyond the candidates must read."""
        if now < self._fallback_until:
            return True
        active_at = (
            self._started
            if self._reader_active_at is None
            else self._reader_active_at
        )
        window = own_rank // defaults.READER_CANDIDATES
        wait_s = defaults.READER_AGE_MAX_S + 2.0 * (window - 1)
        if now - active_at <= wait_s:
            return False
        self._fallback_until = now + defaults.READER_LATE_TERM_S
        return True
