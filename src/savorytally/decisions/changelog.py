"""The latest changes of a list, for those that know an earlier state of it.

Answers followers that begin, or come back, while the list changes: they are
sent what they missed instead of the whole list.
"""

import collections
import dataclasses
import typing as t

# Changes that are kept, and entries that they may hold together.
CHANGES_MAX = 256
ENTRIES_MAX = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What changed between two revisions of a list.

    :param after: the earlier revision.
    :param revision: the later one.
    :param stepwise: whether it holds every entry that was written in
        between, so that it can be applied to any state in between; a
        comparison of two states leaves out what was changed back.
    :param changed: entries that were added or have changed.
    :param removed: names of entries that are gone.
    """

    after: int
    revision: int
    stepwise: bool
    changed: dict[str, t.Any]
    removed: tuple[str, ...]

    def extends(self, revision: int) -> bool:
        """Return whether it leads on from a revision."""
        if revision == self.after:
            return True
        return self.stepwise and self.after < revision < self.revision


class ChangeLog:
    """The latest changes, without gaps."""

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque()
        self._entries = 0

    def note(self, change: Change) -> None:
        """Take in the next change."""
        if self._changes and self._changes[-1].revision != change.after:
            self._changes.clear()
            self._entries = 0
        self._changes.append(change)
        self._entries += _entries(change)
        while len(self._changes) > CHANGES_MAX or self._entries > ENTRIES_MAX:
            self._entries -= _entries(self._changes.popleft())

    def since(self, revision: int) -> list[Change] | None:
        """Return the changes that lead on from a revision.

        :return: ``None`` if they are not known.
        """
        if not self._changes:
            return None
        if revision >= self._changes[-1].revision:
            return []
        found = [item for item in self._changes if item.revision > revision]
        return found if found[0].extends(revision) else None


def _entries(change: Change) -> int:
    return 1 + len(change.changed) + len(change.removed)
