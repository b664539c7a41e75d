"""Which nodes of a data centre read the platform.

The first ranks always read. A later candidate reads while fewer than the
wanted number of better ranks have been heard to read, and a node beyond the
candidates only when no reading has been heard of for long.
"""

from .. import defaults
from . import relay


class ReaderRole:
    """Decides whether this node reads the platform.

    :param tree: the ranks of the data centre.
    """

    def __init__(self, tree: relay.Relay) -> None:
        self._relay = tree
        self._heard: dict[str, float] = {}
        self._short_since: float | None = None
        self._reader_at: float | None = None
        self._started: float | None = None
        self._late_until = float("-inf")

    def heard(self, host_id: str, now: float) -> None:
        """Note that a host says that it reads the platform."""
        self._heard[host_id] = now

    def reader_active(self, at: float) -> None:
        """Note when any reader was last active, reading or trying to."""
        if self._reader_at is None or at > self._reader_at:
            self._reader_at = at

    def reader_age_s(self, now: float) -> float | None:
        """Return the time since a reader was active as far as known."""
        if self._reader_at is None:
            return None
        return max(now - self._reader_at, 0.0)

    def reading(self, now: float) -> bool:
        """Return whether this node is to read the platform."""
        if self._started is None:
            self._started = now
        own = self._relay.own_rank
        if own is None:
            return False
        if own < defaults.READERS_PER_DATA_CENTRE:
            return True
        if own < defaults.READER_CANDIDATES:
            return self._steps_in(own, now)
        return self._steps_in_late(own, now)

    def _steps_in(self, own: int, now: float) -> bool:
        oldest = now - defaults.READER_SILENCE_S
        better = self._relay.ranks[:own]
        active = sum(self._heard.get(item, oldest) > oldest for item in better)
        if active >= defaults.READERS_PER_DATA_CENTRE:
            self._short_since = None
            return False
        if self._short_since is None:
            self._short_since = now
        place = own - defaults.READERS_PER_DATA_CENTRE
        wait_s = place * defaults.READER_STAGGER_S
        if now - self._started < defaults.READER_SILENCE_S:
            return False
        return now - self._short_since >= wait_s

    def _steps_in_late(self, own: int, now: float) -> bool:
        if now < self._late_until:
            return True
        last = self._started if self._reader_at is None else self._reader_at
        window = own // defaults.READER_CANDIDATES
        wait_s = defaults.READER_AGE_MAX_S + 2.0 * (window - 1)
        if now - last <= wait_s:
            return False
        self._late_until = now + defaults.READER_LATE_TERM_S
        return True
