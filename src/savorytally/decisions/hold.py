"""Keeps a reader from acting on a version that it alone knows of.

A version that a reader put in force and then forgot in a restart, before any
other node had it, would be lost if the platform served an older copy again.
"""

from .. import defaults


class Hold:
    """Waits until enough other nodes hold a version.

    :param version: the version.
    :param children: how many nodes were told of it.
    :param now: when they were told.
    """

    def __init__(self, version: int, children: int, now: float) -> None:
        self._version = version
        self._wanted = min(defaults.HOLD_COPIES, children)
        self._since = now
        self._repeated = now
        self._copies: set[str] = set()

    @property
    def version(self) -> int:
        """The version that waits."""
        return self._version

    def acknowledged(self, host_id: str, version: int) -> None:
        """Note which version another node holds."""
        if version >= self._version:
            self._copies.add(host_id)

    def over(self, now: float) -> bool:
        """Return whether the version may come into force."""
        if len(self._copies) >= self._wanted:
            return True
        return now - self._since >= defaults.HOLD_WAIT_S

    def repeat(self, now: float) -> bool:
        """Return whether the other nodes are to be told again."""
        if now - self._repeated < defaults.HOLD_REPEAT_S:
            return False
        self._repeated = now
        return True
