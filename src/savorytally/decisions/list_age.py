"""Tracks when this node's host list was last known to be current."""

import math


class ListAge:
    """The time at which the host list was last confirmed as the newest.

    Reads of the platform and replies of peers confirm it. A peer's reply
    carries the age of its list. That age counts back from the time of the
    query, so that a slow reply never makes the list look fresher than it is.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf

    def confirm(self, at: float) -> None:
        """Record that the active host list was the newest at that time."""
        self._confirmed_at = max(self._confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation, in seconds."""
        return now - self._confirmed_at

    def confirmed_at(self) -> float:
        """Return when the active host list was last known to be current."""
        return self._confirmed_at
