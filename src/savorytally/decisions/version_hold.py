"""Delays the activation of a version until other nodes hold a copy.

If a reader activated a version and lost it in a restart before any other node
had a copy, the platform could later serve an older version unnoticed.
"""

from .. import defaults


class VersionHold:
    """Delays one version until enough other nodes hold it.

    :param version: the version.
    :param children: number of nodes that were notified of it.
    :param now: when they were notified.
    """

    def __init__(self, version: int, children: int, now: float) -> None:
        self._version = version
        self._needed_copies = min(defaults.VERSION_HOLD_COPIES, children)
        self._since = now
        self._notified_at = now
        self._holders: set[str] = set()

    @property
    def version(self) -> int:
        """The delayed version."""
        return self._version

    def acknowledge(self, host_id: str, version: int) -> None:
        """Record the version that another node holds."""
        if version >= self._version:
            self._holders.add(host_id)

    def may_activate(self, now: float) -> bool:
        """Return whether the version may be activated.

        This is the case when enough nodes hold it, or after
        ``defaults.VERSION_HOLD_MAX_S``.
        """
        if len(self._holders) >= self._needed_copies:
            return True
        return now - self._since >= defaults.VERSION_HOLD_MAX_S

    def notice_due(self, now: float) -> bool:
        """Return whether the notice must be sent again now."""
        if now - self._notified_at < defaults.VERSION_HOLD_RETRY_S:
            return False
        self._notified_at = now
        return True
