"""The list of upstreams and evacuations that the store holds."""

import dataclasses

from ..decisions import change_log
from ..world import catalog
from ..world import store_position
from . import store_watch


class MissingChanges(Exception):
    """Changes do not follow on from the known position."""


class UpstreamList:
    """The list's entries up to a position in the store."""

    def __init__(self) -> None:
        self._position: store_position.Position | None = None
        self._entries: dict[str, catalog.Entry] = {}
        self._instances: dict[str, catalog.Instance] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._change_log = change_log.ChangeLog()

    @property
    def position(self) -> store_position.Position | None:
        """The position up to which it is complete, ``None`` before a read."""
        return self._position

    @property
    def instances(self) -> dict[str, catalog.Instance]:
        """The upstreams by identifier."""
        return self._instances

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres whose upstreams are to get nothing."""
        return self._evacuated

    def apply(self, changes: store_watch.Changes) -> change_log.Change | None:
        """Apply a snapshot or changes.

        :return: what has changed, ``None`` if everything was known.
        :raises MissingChanges: if changes before these are missing.
        """
        known = self._position
        if changes.after is None:
            if known is not None and changes.position < known:
                return None
            return self._replace(changes)
        if known is not None and changes.position <= known:
            return None
        change = change_log.Change(
            changes.after,
            changes.position,
            changes.stepwise,
            changes.changed,
            changes.removed,
        )
        if known is None or not change.extends(known):
            raise MissingChanges(
                f"{known} is known, changes follow {change.after}"
            )
        for name in change.removed:
            self._entries.pop(name, None)
        self._entries.update(change.changed)
        self._split()
        return self._note(known, change)

    def since(
        self, known: store_position.Position
    ) -> list[change_log.Change] | None:
        """Return the changes since a position, ``None`` if unknown."""
        return self._change_log.since(known)

    def whole(self) -> store_watch.Changes:
        """Return a snapshot of the list, which must have been read."""
        assert self._position is not None
        return store_watch.Changes(
            None, self._position, None, self._entries, ()
        )

    def _replace(self, changes: store_watch.Changes) -> change_log.Change:
        """Replace the list by a snapshot; return the difference."""
        before, self._entries = self._entries, dict(changes.changed)
        self._split()
        change = change_log.Change(
            self._position or store_position.Position(0, 0),
            changes.position,
            False,
            {
                name: item
                for name, item in changes.changed.items()
                if before.get(name) != item
            },
            tuple(name for name in before if name not in changes.changed),
        )
        self._position = changes.position
        self._change_log.append(change)
        return change

    def _split(self) -> None:
        self._instances, self._evacuated = catalog.split_entries(self._entries)

    def _note(
        self, known: store_position.Position, applied: change_log.Change
    ) -> change_log.Change:
        """Record a change from the known position to a new one."""
        change = dataclasses.replace(applied, after=known)
        self._position = applied.position
        self._change_log.append(change)
        return change
