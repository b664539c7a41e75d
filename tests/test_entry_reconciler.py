"""Entries of upstreams that a restored store has lost or brings back."""

import dataclasses

import pytest

from savorytally.decisions import entry_reconciler
from savorytally.world import catalog

KNOWN = catalog.Instance(
    *("i-1", "drawers", "10.1.0.1", 8547, "low-a", 8, True, 0.0),
    created_revision=5,
    started_ms=1_000,
    sequence=4,
)
OLDER = dataclasses.replace(KNOWN, slots=3, sequence=2)
NEWER = dataclasses.replace(KNOWN, slots=11, sequence=9)
RESTARTED = dataclasses.replace(KNOWN, started_ms=2_000, sequence=1)
DRAINING = dataclasses.replace(KNOWN, ready=False)
OTHER = dataclasses.replace(KNOWN, instance_id="i-2", service="desk")
RESTORED_AT = 100.0
HEARTBEAT_S = 1.5
AFTER_REWRITE = RESTORED_AT + entry_reconciler.REWRITE_S
AFTER_EXPIRY = RESTORED_AT + 6.0


def listed(*entries):
    return {entry.instance_id: entry for entry in entries}


def restored(*known):
    """Return a reconciler whose store has just been restored."""
    reconciler = entry_reconciler.EntryReconciler(HEARTBEAT_S)
    reconciler.merge(listed(*known), RESTORED_AT - 10.0)
    reconciler.store_restored(RESTORED_AT)
    return reconciler


class TestListedEntries:
    @pytest.mark.parametrize(
        ("known", "entry", "expected"),
        [
            (KNOWN, OLDER, KNOWN),
            (KNOWN, NEWER, NEWER),
            (KNOWN, RESTARTED, RESTARTED),
            (RESTARTED, KNOWN, RESTARTED),
            (DRAINING, OLDER, DRAINING),
            (DRAINING, NEWER, NEWER),
            (KNOWN, dataclasses.replace(OLDER, started_ms=0), None),
        ],
    )
    def test_older_entry_replaces_a_newer_one(self, known, entry, expected):
        """An entry without a start time can't be compared."""
        merged = restored(known).merge(listed(entry), RESTORED_AT)
        assert merged == listed(expected or entry)

    def test_new_upstream_at_a_reused_address_is_not_used(self):
        """The revision of its creation was assigned before the restore."""
        known = dataclasses.replace(KNOWN, created_revision=19)
        new = dataclasses.replace(KNOWN, instance_id="i-3")
        new = dataclasses.replace(new, created_revision=17)
        older = dataclasses.replace(OLDER, created_revision=5)
        merged = restored(known).merge(listed(older, new), RESTORED_AT)
        assert set(catalog.latest_instances(merged)) == {"i-3"}

    def test_older_entry_is_never_accepted(self):
        reconciler = restored(KNOWN)
        reconciler.merge(listed(OLDER), RESTORED_AT)
        assert reconciler.due(AFTER_EXPIRY)
        merged = reconciler.merge(listed(OLDER), AFTER_EXPIRY)
        assert merged == listed(OLDER)
        assert not reconciler.due(AFTER_EXPIRY + 100.0)

    def test_rewritten_entry_is_compared_with_the_lost_one(self):
        """What is written after the return is newer than all before."""
        reconciler = restored(DRAINING)
        reconciler.merge(listed(OLDER), RESTORED_AT)
        reconciler.entries_written(["i-1"])
        assert reconciler.merge(listed(OLDER), RESTORED_AT) == listed(OLDER)


class TestMissingEntries:
    def test_missing_upstream_is_dropped_before_it_can_return(self):
        reconciler = restored(KNOWN)
        assert reconciler.merge({}, RESTORED_AT) == listed(KNOWN)
        assert not reconciler.due(AFTER_REWRITE - 0.01)
        assert reconciler.due(AFTER_REWRITE)
        assert reconciler.merge({}, AFTER_REWRITE) == {}

    def test_upstream_deleted_after_the_return_is_kept(self):
        reconciler = restored(KNOWN)
        reconciler.merge(listed(KNOWN), RESTORED_AT)
        assert reconciler.merge({}, RESTORED_AT + 0.5) == {}

    @pytest.mark.parametrize("service", ["desk", "drawers"])
    def test_missing_upstream_shares_its_address_with_a_new_one(self, service):
        new = dataclasses.replace(OTHER, service=service, created_revision=2)
        merged = restored(KNOWN).merge(listed(new), RESTORED_AT)
        assert merged == listed(new)

    def test_upstream_is_replaced_by_the_one_that_it_had_replaced(self):
        """The copy holds the entry of the crashed upstream only."""
        crashed = dataclasses.replace(OTHER, created_revision=2)
        reconciler = entry_reconciler.EntryReconciler(HEARTBEAT_S)
        reconciler.merge(listed(crashed), 1.0)
        reconciler.merge(listed(KNOWN), 2.0)
        reconciler.store_restored(3.0)
        assert reconciler.merge(listed(crashed), 3.0) == listed(KNOWN)

    def test_upstream_is_lost_in_the_second_of_two_restores(self):
        reconciler = restored(KNOWN)
        reconciler.merge({}, RESTORED_AT)
        reconciler.store_restored(RESTORED_AT + 2.0)
        now = AFTER_REWRITE + 1.0
        assert reconciler.merge({}, now) == listed(KNOWN)


class TestRemovedEntries:
    def removed(self):
        reconciler = entry_reconciler.EntryReconciler(HEARTBEAT_S)
        reconciler.merge(listed(KNOWN, OTHER), 1.0)
        reconciler.merge(listed(OTHER), 2.0)
        reconciler.store_restored(3.0)
        return reconciler

    @pytest.mark.parametrize("entry", [KNOWN, OLDER])
    def test_upstream_that_left_is_used_again(self, entry):
        merged = self.removed().merge(listed(entry, OTHER), 3.0)
        assert merged == listed(OTHER)

    @pytest.mark.parametrize("entry", [NEWER, RESTARTED])
    def test_upstream_that_returned_is_not_used(self, entry):
        merged = self.removed().merge(listed(entry, OTHER), 3.0)
        assert merged == listed(entry, OTHER)

    def test_live_upstream_is_not_used_once_its_entry_has_not_expired(self):
        """Its lease was renewed, but nothing but the sequence changed."""
        reconciler = self.removed()
        reconciler.merge(listed(KNOWN, OTHER), 3.0)
        merged = reconciler.merge(listed(KNOWN, OTHER), 9.0)
        assert merged == listed(KNOWN, OTHER)

    def test_memory_of_removed_entries_is_bounded(self):
        reconciler = entry_reconciler.EntryReconciler(HEARTBEAT_S)
        for first in range(0, 20_000, 500):
            entries = (
                dataclasses.replace(KNOWN, instance_id=f"i-{first + number}")
                for number in range(500)
            )
            reconciler.merge(listed(*entries), 1.0)
        assert len(reconciler._removed) <= entry_reconciler.REMOVED_MAX
        reconciler.merge({}, 2.0 + entry_reconciler.REMOVED_KEPT_S)
        assert len(reconciler._removed) <= 500


def test_list_is_used_as_it_is_without_a_restore():
    reconciler = entry_reconciler.EntryReconciler(HEARTBEAT_S)
    reconciler.merge(listed(KNOWN), 1.0)
    assert reconciler.merge(listed(OLDER), 2.0) == listed(OLDER)
    assert reconciler.merge({}, 3.0) == {}
    assert not reconciler.due(1e9)
