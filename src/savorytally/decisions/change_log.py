"""A bounded log of changes to a versioned list.

Followers that reconnect receive the changes since their last revision instead
of the whole list.
"""

import collections
import dataclasses
import typing as t

from ..world import store_position

# Limits of the log: number of changes, and of entries in all of them.
CHANGES_MAX = 256
ENTRIES_MAX = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The difference between two positions of a list.

    :param after: the earlier position.
    :param position: the later position.
    :param stepwise: whether it contains every entry written between the two
        positions, so that it also applies to any position in between. A
        difference computed from two snapshots omits entries that were changed
        and changed back.
    :param changed: added and modified entries by name.
    :param removed: names of removed entries.
    """

    after: store_position.Position
    position: store_position.Position
    stepwise: bool
    changed: dict[str, t.Any]
    removed: tuple[str, ...]

    def extends(self, known: store_position.Position) -> bool:
        """Return whether it can be applied to the given position."""
        if known == self.after:
            return True
        return self.stepwise and self.after < known < self.position


class ChangeLog:
    """The latest changes; each starts at the position where the last ended."""

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque()
        self._entries = 0

    def append(self, change: Change) -> None:
        """Append a change; a gap before it clears the log."""
        if self._changes and self._changes[-1].position != change.after:
            self._changes.clear()
            self._entries = 0
        self._changes.append(change)
        self._entries += _entries(change)
        while len(self._changes) > CHANGES_MAX or self._entries > ENTRIES_MAX:
            self._entries -= _entries(self._changes.popleft())

    def since(self, known: store_position.Position) -> list[Change] | None:
        """Return the changes to apply to a position to reach the latest one.

        :return: ``None`` if the log no longer covers that position.
        """
        if not self._changes:
            return None
        if known >= self._changes[-1].position:
            return []
        changes = [item for item in self._changes if item.position > known]
        return changes if changes[0].extends(known) else None


def _entries(change: Change) -> int:
    return 1 + len(change.changed) + len(change.removed)
