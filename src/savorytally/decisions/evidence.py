"""How old this node's host list is."""

import math


class SpreadEvidence:
    """Evidence from readings of the platform and from answers of peers.

    A peer's answer carries the age of its list; counted from the moment of
    the question, so that a slow answer never looks fresher than it is.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf

    def confirm(self, at: float) -> None:
        """Note that the list in force was the newest at that time."""
        self._confirmed_at = max(self._confirmed_at, at)

    def confirmed_at(self) -> float:
        """Return when the list in force was last confirmed as newest."""
        return self._confirmed_at
