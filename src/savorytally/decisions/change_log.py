"""A bounded log of changes to a versioned list.

Followers that reconnect receive the changes since their last revision instead
of the whole list.
"""

import collections
import dataclasses
import typing as t

# Limits of the log: number of changes, and of entries in all of them.
CHANGES_MAX = 256
ENTRIES_MAX = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The difference between two revisions of a list.

    :param after: the earlier revision.
    :param revision: the later revision.
    :param stepwise: whether it contains every entry written between the two
        revisions, so that it also applies to any revision in between. A
        difference computed from two snapshots omits entries that were changed
        and changed back.
    :param changed: added and modified entries by name.
    :param removed: names of removed entries.
    """

    after: int
    revision: int
    stepwise: bool
    changed: dict[str, t.Any]
    removed: tuple[str, ...]

    def extends(self, revision: int) -> bool:
        """Return whether it can be applied to the given revision."""
        if revision == self.after:
            return True
        return self.stepwise and self.after < revision < self.revision


class ChangeLog:
    """The latest changes; each starts at the revision where the last ended."""

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque()
        self._entries = 0

    def append(self, change: Change) -> None:
        """Append a change; a gap before it clears the log."""
        if self._changes and self._changes[-1].revision != change.after:
            self._changes.clear()
            self._entries = 0
        self._changes.append(change)
        self._entries += _entries(change)
        while len(self._changes) > CHANGES_MAX or self._entries > ENTRIES_MAX:
            self._entries -= _entries(self._changes.popleft())

    def since(self, revision: int) -> list[Change] | None:
        """Return the changes to apply to a revision to reach the latest one.

        :return: ``None`` if the log no longer covers that revision.
        """
        if not self._changes:
            return None
        if revision >= self._changes[-1].revision:
            return []
        changes = [item for item in self._changes if item.revision > revision]
        return changes if changes[0].extends(revision) else None


def _entries(change: Change) -> int:
    return 1 + len(change.changed) + len(change.removed)
