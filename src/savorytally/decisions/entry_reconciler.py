"""Completes the host list of a store that was restored from a copy.

The copy lacks the latest changes until upstreams write their entries again.
Until then it lacks upstreams that have joined, contains upstreams that have
left, and holds outdated states of others. A host that knew better keeps what
it knew until the entry is written again, or until it would have been.
"""

import collections
import dataclasses
import math
import typing as t

from ..world import catalog

# Time after the store's return within which live upstreams have written the
# entries that the copy lacks; then they count as gone.
REWRITE_S = 3.0
# Heartbeats without which the store removes an entry, and a margin. An entry
# that the copy contains and that remains for longer belongs to a live
# upstream.
EXPIRY_HEARTBEATS = 3
EXPIRY_MARGIN_S = 1.5
# How long removed entries are remembered, and how many of them.
REMOVED_KEPT_S = 60.0
REMOVED_MAX = 4_096


class EntryReconciler:
    """Merges the entries of a restored store with those known before.

    :param heartbeat_s: interval at which upstreams renew their entries, in
        seconds.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self._expiry_s = EXPIRY_HEARTBEATS * heartbeat_s + EXPIRY_MARGIN_S
        self._instances: dict[str, catalog.Instance] = {}
        # Entries that were removed, with the time, oldest first.
        self._removed: collections.OrderedDict[
            str, tuple[catalog.Instance, float]
        ] = collections.OrderedDict()
        self._restored_at = -math.inf
        # Entries known before the store was restored.
        self._known: dict[str, catalog.Instance] = {}
        # Identifiers of entries that the restored store has contained, and of
        # those that were written since.
        self._seen: set[str] = set()
        self._written: set[str] = set()
        self._due_at = math.inf

    @property
    def instances(self) -> dict[str, catalog.Instance]:
        """The upstreams by identifier, as merged last."""
        return self._instances

    @property
    def restored_at(self) -> float:
        """When the store was last restored, as far as known."""
        return self._restored_at

    def store_restored(self, at: float) -> None:
        """Keep what is known, because the store has lost its latest changes.

        :param at: when the store was restored.
        """
        self._restored_at = at
        self._known = dict(self._instances)
        self._seen = set()
        self._written = set()

    def entries_written(self, names: t.Iterable[str]) -> None:
        """Record entries that were written since the store was restored."""
        if self._known:
            self._written.update(names)

    def due(self, now: float) -> bool:
        """Return whether entries must be merged again because of the time."""
        return now >= self._due_at

    def merge(
        self, listed: t.Mapping[str, catalog.Instance], now: float
    ) -> dict[str, catalog.Instance]:
        """Return the upstreams by identifier.

        :param listed: the entries that the store contains.
        """
        before, self._instances = self._instances, self._merged(listed, now)
        for name, instance in before.items():
            if name not in self._instances:
                self._removed[name] = (instance, now)
        for name in self._removed.keys() & self._instances.keys():
            del self._removed[name]
        while self._removed:
            _, removed_at = next(iter(self._removed.values()))
            recent = now - removed_at <= REMOVED_KEPT_S
            if recent and len(self._removed) <= REMOVED_MAX:
                break
            self._removed.popitem(last=False)
        return self._instances

    def _merged(
        self, listed: t.Mapping[str, catalog.Instance], now: float
    ) -> dict[str, catalog.Instance]:
        rewritten_by = self._restored_at + REWRITE_S
        expired_by = self._restored_at + self._expiry_s
        if now >= expired_by:
            self._due_at = math.inf
            self._known = {}
            return dict(listed)
        self._due_at = rewritten_by if now < rewritten_by else expired_by
        self._seen |= listed.keys()
        merged = {}
        for name, entry in listed.items():
            current = self._current(name, entry)
            if current is not None:
                merged[name] = current
        if now < rewritten_by:
            merged |= self._missing(listed)
        return merged

    def _current(
        self, name: str, entry: catalog.Instance
    ) -> catalog.Instance | None:
        """Return the latest state of a listed upstream, ``None`` if gone."""
        if name in self._written:
            return entry
        known = self._known.get(name)
        if known is not None:
            if not _precedes(entry, known):
                return entry
            # Revisions of creation compare within an era only.
            created = entry.created_revision
            return dataclasses.replace(known, created_revision=created)
        removed, _ = self._removed.get(name, (None, 0.0))
        if removed is None or _precedes(removed, entry):
            return entry
        return None

    def _missing(
        self, listed: t.Mapping[str, catalog.Instance]
    ) -> dict[str, catalog.Instance]:
        """Return the known upstreams that the copy lacks."""
        # The address of a crashed upstream may belong to another one by now.
        taken = {
            (entry.address, entry.port)
            for name, entry in listed.items()
            if name in self._written
            or not (name in self._known or name in self._removed)
        }
        return {
            name: known
            for name, known in self._known.items()
            if name not in self._seen
            and (known.address, known.port) not in taken
        }


def _precedes(entry: catalog.Instance, other: catalog.Instance) -> bool:
    """Return whether an entry was written before another of its upstream."""
    if entry.started_ms != other.started_ms:
        return 0 < entry.started_ms < other.started_ms
    return entry.sequence < other.sequence
