"""The list of upstreams that this node knows."""

from ..decisions import change_log
from ..world import catalog
from . import store_watch


class MissingChanges(Exception):
    """Changes do not follow on from the known revision."""


class UpstreamList:
    """The upstreams of all services up to a revision."""

    def __init__(self) -> None:
        self._revision: int | None = None
        self._instances: dict[str, catalog.Instance] = {}
        self._change_log = change_log.ChangeLog()

    @property
    def revision(self) -> int | None:
        """The revision up to which it is complete, ``None`` before a read."""
        return self._revision

    @property
    def instances(self) -> dict[str, catalog.Instance]:
        """The upstreams by identifier."""
        return self._instances

    def apply(self, changes: store_watch.Changes) -> change_log.Change | None:
        """Apply a snapshot or changes.

        :return: what has changed, ``None`` if everything was known.
        :raises MissingChanges: if changes before these are missing.
        """
        current = self._revision
        if changes.after is None:
            if current is not None and changes.revision < current:
                return None
            return self._replace(changes)
        if current is not None and changes.revision <= current:
            return None
        change = change_log.Change(
            changes.after,
            changes.revision,
            changes.stepwise,
            changes.changed,
            changes.removed,
        )
        if current is None or not change.extends(current):
            raise MissingChanges(
                f"revision {current} is known, changes follow {change.after}"
            )
        for name in change.removed:
            self._instances.pop(name, None)
        self._instances.update(change.changed)
        return self._note(current, change.revision, change)

    def since(self, revision: int) -> list[change_log.Change] | None:
        """Return the changes since a revision, ``None`` if unknown."""
        return self._change_log.since(revision)

    def whole(self) -> store_watch.Changes:
        """Return a snapshot of the list, which must have been read."""
        assert self._revision is not None
        return store_watch.Changes(
            None, self._revision, None, self._instances, ()
        )

    def _replace(self, changes: store_watch.Changes) -> change_log.Change:
        """Replace the list by a snapshot; return the difference."""
        current, self._revision = self._revision, changes.revision
        before, self._instances = self._instances, dict(changes.changed)
        change = change_log.Change(
            current or 0,
            changes.revision,
            False,
            {
                name: item
                for name, item in changes.changed.items()
                if before.get(name) != item
            },
            tuple(name for name in before if name not in changes.changed),
        )
        self._change_log.append(change)
        return change

    def _note(
        self, current: int, revision: int, applied: change_log.Change
    ) -> change_log.Change:
        """Record a change from the known revision to a new one."""
        change = change_log.Change(
            current,
            revision,
            applied.stepwise,
            applied.changed,
            applied.removed,
        )
        self._revision = revision
        self._change_log.append(change)
        return change
