"""Lets a few hosts of a data centre read the store for all of them.

Each host notifies the hosts that it follows. A followed host reads the store,
sends changes to its followers, and confirms at short intervals that it still
reads the store.

Hosts of builds before the store's eras compare revisions only. A host does not
follow them. As followers they get frames without eras, and the whole list when
their revision may be of another era.
"""

import asyncio
import dataclasses
import logging
import math
import typing as t

from ..decisions import change_log
from ..decisions import shared_waits
from ..decisions import store_readers
from ..world import catalog
from ..world import ranges
from ..world import store_position
from . import failures
from . import frames
from . import store_watch
from . import streams
from . import upstream_list

# Interval of the notifications that this host reads the store.
FRESH_INTERVAL_S = 0.4
# Interval at which a host renews that it follows another, and how long that
# remains valid.
FOLLOW_INTERVAL_S = 1.5
FOLLOW_TTL_S = 4.0
# Largest age that is sent, for a view that was never confirmed.
AGE_MAX_S = 3600.0
# Interval at which wait times are shared within the data centre.
SHARE_INTERVAL_S = 0.2
# If this host's event loop was blocked for so long, missing messages are not
# the followed hosts' fault.
LOOP_LATE_S = 0.2
# A host whose list lags behind those that it follows for longer reads the
# store itself for a time. Changes precede the report of their position.
LAG_MAX_S = 0.7
OWN_READS_S = 5.0
# Number of fields of an upstream that builds without eras accept.
FIELDS_WITHOUT_ERAS = 10


# Builds with two tables end a stream that contains a row of another table.
# Rows of further tables are sent as rows of the first one with a name that no
# route has: table, content and route. These builds store such rows without
# using them, and return the means of samples, which are ignored.
TABLES_BY_NUMBER = 2
_SEPARATOR = "\0"
_SAMPLES = "samples"
_MEANS = "means"


class Carrier(t.Protocol):
    """Sends control frames to other hosts."""

    def send(self, address: str, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a frame; return whether a stream is up or being opened."""

    def reaches(self, address: str) -> bool:
        """Return whether a stream to a host is up or being opened."""


class Owner(t.Protocol):
    """Applies what followed hosts send, and holds the configuration."""

    @property
    def version(self) -> int:
        """Version of the configuration in force."""

    @property
    def restored_s(self) -> float:
        """Seconds since the store was restored from a copy, if it was."""

    def published(
        self, changes: store_watch.Changes, restored_s: float = 0.0
    ) -> None:
        """Apply a snapshot or changes.

        :param restored_s: seconds since the store was restored, if the changes
            belong to a later era than the known ones.
        :raises upstream_list.MissingChanges: if earlier changes are missing.
        """

    def confirmed(self, at: float) -> None:
        """Note that the host list was up to date at a loop time."""

    def newer_at(self, stream: t.Any, version: int, at_once: bool) -> None:
        """Note that a peer may have a newer configuration."""


@dataclasses.dataclass(slots=True)
class _Follower:
    """A host that follows this host.

    :param until: loop time until which it gets updates.
    :param knows_eras: whether its build knows the store's eras.
    :param revision: revision that it stated last.
    :param is_ahead: whether it was sent the list under a revision that the
        store has not reached in this era.
    """

    until: float
    knows_eras: bool
    revision: int
    is_ahead: bool = False


class StoreSharing:
    """The hosts that this host follows, and the hosts that follow it.

    :param own_address: this host's address.
    :param carrier: sends frames to other hosts.
    :param watch: reads the store while this host has to.
    :param known_upstreams: the host list.
    :param owner: applies what the followed hosts send.
    :param waits: tables that the hosts of the data centre share, in the same
        order on all hosts.
    """

    def __init__(
        self,
        own_address: str,
        carrier: Carrier,
        watch: store_watch.StoreWatch,
        known_upstreams: upstream_list.UpstreamList,
        owner: Owner,
        waits: t.Sequence[shared_waits.SharedTable],
    ) -> None:
        self._waits = waits
        self._share_at = 0.0
        self._carrier = carrier
        self._watch = watch
        self._upstream_list = known_upstreams
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._store_readers = store_readers.StoreReaders(own_address)
        self._followers: dict[streams.Stream, _Follower] = {}
        # Loop time of the latest FOLLOW frame to each followed host.
        self._followed_at: dict[str, float] = {}
        self._fresh_at = 0.0
        # Loop time at which this host, or one before it in the common order,
        # has confirmed the view. Only that is passed on: a confirmation that
        # returns to its sender would become newer with each delay.
        self._relayed_at = float("-inf")
        self._notified_at = float("-inf")
        self._notified_healthy = False
        # A position of a followed host that is not known here, and since when.
        self._awaited: tuple[store_position.Position, float] | None = None
        self._last_tick = self._loop.time()

    @property
    def followers(self) -> int:
        """Number of hosts that follow this host."""
        return len(self._followers)

    @property
    def relayed_at(self) -> float:
        """Loop time of the latest confirmation that this host passes on."""
        return self._relayed_at

    @property
    def is_reader(self) -> bool:
        """Whether this host is one of those that read for the others."""
        return self._store_readers.is_reader

    def learn_hosts(self, addresses: t.Iterable[str]) -> None:
        """Apply the hosts of the data centre."""
        self._store_readers.learn_hosts(addresses)
        self._watch.learn_reader_number(self._store_readers.number)

    def tick(self, now: float) -> None:
        """Renew whom to follow, update followers, start or stop reading."""
        if now - self._last_tick > LOOP_LATE_S:
            self._store_readers.restart_timeouts(now)
        self._last_tick = now
        self._renew_follows(now)
        self._followers = {
            stream: follower
            for stream, follower in self._followers.items()
            if follower.until > now and stream.open
        }
        if self._store_readers.reads_store(now):
            self._watch.start()
        else:
            self._watch.stop()
        gained_s = self._relayed_at - self._notified_at
        if (
            now >= self._fresh_at
            or gained_s > FRESH_INTERVAL_S
            or self._watch.healthy != self._notified_healthy
        ):
            self.notify_followers()
        if now >= self._share_at:
            self._share_at = now + SHARE_INTERVAL_S
            self._share_waits(now)

    def notify_followers(self) -> None:
        """Notify the followers whether this host reads the store."""
        now = self._loop.time()
        self._fresh_at = now + FRESH_INTERVAL_S
        self._notified_at = self._relayed_at
        self._notified_healthy = self._watch.healthy
        for stream, follower in self._followers.items():
            self._send_fresh(stream, follower, now)

    def changed(self, change: change_log.Change) -> None:
        """Send a change of the host list to the followers."""
        if not self._followers:
            return
        fields = self._change_fields(change)
        restored = change.after.era != change.position.era
        for stream, follower in self._followers.items():
            if follower.knows_eras:
                stream.send(frames.Kind.CHANGES, *fields)
            elif restored:
                self._send_whole_without_era(stream, follower)
            else:
                revisions = change.after.revision, change.position.revision
                self._send_without_era(stream, *revisions, change)

    def host_stopping(self, address: str) -> None:
        """Replace a followed host that stops."""
        self._store_readers.lost(address, self._loop.time())

    def handle_follow(self, stream: streams.Stream, number: int) -> None:
        """Note that another host follows this host; send it what it lacks.

        :param number: the position of the follower's host list as a number, or
            the revision from a build that does not know eras.
        """
        now = self._loop.time()
        until = now + FOLLOW_TTL_S
        known = store_position.from_number(number)
        before = self._followers.get(stream)
        follower = self._followers[stream] = _Follower(
            until,
            knows_eras=known is not None,
            revision=number if known is None else known.revision,
            # A list without an era may be of any era.
            is_ahead=before.is_ahead if before else known is None,
        )
        self._store_readers.followed_by_peer(until)
        self._watch.start()
        current = self._upstream_list.position
        if current is None:
            return
        if known is not None:
            self._send_missed(stream, known)
        elif follower.is_ahead or number > current.revision:
            self._send_whole_without_era(stream, follower)
        else:
            known = store_position.Position(current.era, number)
            self._send_missed_without_era(stream, follower, known)
        self._send_fresh(stream, follower, now)

    def handle_fresh(
        self,
        stream: streams.Stream,
        position: list[int] | int,
        reads_store: bool,
        age_ms: int,
        version: int,
    ) -> None:
        """Handle a followed host's report on whether it reads the store.

        :param position: era and revision of its host list, or the revision
            from a build that does not know eras.
        :param reads_store: whether it reads the store.
        :param age_ms: milliseconds since it read the store.
        :param version: the version of its configuration.
        """
        now = self._loop.time()
        if isinstance(position, int):
            self._store_readers.cannot_follow(stream.peer, now)
            self._owner.newer_at(stream, version, True)
            return
        self._store_readers.reported(stream.peer, reads_store, now)
        if not reads_store:
            return
        reached = _read_position(position)
        known = self._upstream_list.position
        if self._lags(reached, now):
            failures.note("following", f"{known} is known, not {reached}")
            self._store_readers.lost(stream.peer, now)
            self._store_readers.read_until(now + OWN_READS_S)
        # After a pause of this host, frames may have waited for long.
        paused = now - self._last_tick > LOOP_LATE_S
        if (
            not paused
            and known is not None
            and reached.era == known.era
            and reached <= known
            and version <= self._owner.version
        ):
            self._confirm(stream.peer, now - age_ms / 1000)
        self._owner.newer_at(stream, version, True)

    def read_confirmed(self, at: float) -> None:
        """Note that a read of this host has confirmed its view.

        :param at: loop time at which the read was sent.
        """
        self._relayed_at = max(at, self._relayed_at)

    def _confirm(self, address: str, at: float) -> None:
        """Note that a followed host has confirmed this host's view."""
        self._owner.confirmed(at)
        if self._store_readers.ranks_before(address):
            self._relayed_at = max(at, self._relayed_at)

    def _lags(self, reached: store_position.Position, now: float) -> bool:
        """Return whether changes that followed hosts have do not arrive.

        :param reached: the position of a followed host's list.
        """
        known = self._upstream_list.position
        if known is not None and known >= reached:
            return False
        awaited = self._awaited
        if awaited is None or (known is not None and known >= awaited[0]):
            self._awaited = reached, now
            return False
        if now - awaited[1] <= LAG_MAX_S:
            return False
        self._awaited = None
        return True

    def handle_changes(
        self,
        stream: streams.Stream,
        after: list[int] | int | None,
        position: list[int] | int,
        stepwise: bool,
        version: int,
        changed: list[list[t.Any]],
        removed: list[str],
        restored_ms: int = -1,
    ) -> None:
        """Apply changes that a followed host has read.

        :param after: the position that the changes follow, ``None`` for the
            complete host list.
        :param position: era and revision up to which they are complete, or the
            revision from a build that does not know eras.
        :param stepwise: whether they contain every entry written in between.
        :param version: the version of the sender's configuration.
        :param changed: the fields of the upstreams that were added or changed.
        :param removed: identifiers of the upstreams that are gone.
        :param restored_ms: milliseconds since the store was restored, negative
            if that is unknown.
        """
        if isinstance(position, int):
            self._store_readers.cannot_follow(stream.peer, self._loop.time())
            return
        found, refused = _read_entries(changed)
        removed = list(filter(ranges.carried, removed))
        changes = store_watch.Changes(
            None if after is None else _read_position(after),
            _read_position(position),
            None,
            found,
            (*removed, *refused),
            stepwise,
            len(refused),
        )
        before = self._upstream_list.position
        try:
            self._owner.published(changes, max(0, restored_ms) / 1000)
        except upstream_list.MissingChanges:
            stream.send(frames.Kind.FOLLOW, self._position_number())
        known = self._upstream_list.position
        if before is not None and known is not None and known.era > before.era:
            # The revision that the watch waits after is of the earlier era.
            self._watch.restart()
        self._owner.newer_at(stream, version, True)

    def handle_samples(self, rows: list[t.Any]) -> None:
        """Merge the wait times that a follower has measured."""
        now = self._loop.time()
        try:
            for table, name, rank, count, sum_ms in rows:
                samples = shared_waits.Samples(count, sum_ms / 1000)
                found = self._read_name(table, name, _SAMPLES)
                if found is not None:
                    shared, route = found
                    shared.merge({(route, rank): samples}, now)
        except (TypeError, ValueError, IndexError) as error:
            raise frames.MalformedFrame(f"samples: {error}") from error

    def handle_mean_waits(self, rows: list[t.Any]) -> None:
        """Apply the mean wait times that a followed host has sent."""
        now = self._loop.time()
        try:
            for table, name, rank, mean_ms in rows:
                found = self._read_name(table, name, _MEANS)
                if found is not None:
                    shared, route = found
                    shared.apply_means({(route, rank): mean_ms / 1000}, now)
        except (TypeError, ValueError, IndexError) as error:
            raise frames.MalformedFrame(f"waits: {error}") from error

    def _read_name(
        self, table: int, name: str, content: str
    ) -> tuple[shared_waits.SharedTable, str] | None:
        """Return the table and the route of a row, ``None`` to ignore it.

        :param content: ``_SAMPLES`` or ``_MEANS``.
        """
        text, separator, rest = name.partition(_SEPARATOR)
        if separator:
            table = int(text)
            found, _, name = rest.partition(_SEPARATOR)
            if found != content:
                return None
        if not 0 <= table < len(self._waits):
            return None
        return self._waits[table], name

    def _share_waits(self, now: float) -> None:
        """Send measured waits to followed hosts and the means to followers."""
        samples = [
            (
                *_row_start(table, kind, _SAMPLES),
                found.count,
                int(found.sum_s * 1000),
            )
            for table, waits in enumerate(self._waits)
            for kind, found in waits.take_samples().items()
        ]
        if samples:
            for address in self._followed_at:
                self._carrier.send(address, frames.Kind.WAIT_SAMPLES, samples)
        if not self._followers:
            return
        means = [
            (*_row_start(table, kind, _MEANS), int(mean_s * 1000))
            for table, waits in enumerate(self._waits)
            for kind, mean_s in waits.means(now).items()
        ]
        if means:
            for stream in self._followers:
                stream.send(frames.Kind.MEAN_WAITS, means)

    def _renew_follows(self, now: float) -> None:
        """Send FOLLOW frames to the hosts that should be followed."""
        follows = self._store_readers.follows(now)
        self._followed_at = {
            address: at
            for address, at in self._followed_at.items()
            if address in follows
        }
        for address in follows:
            asked_at = self._followed_at.get(address)
            if asked_at is not None and not self._carrier.reaches(address):
                self._store_readers.lost(address, now)
            elif asked_at is None or now - asked_at > FOLLOW_INTERVAL_S:
                self._followed_at[address] = now
                sent = self._carrier.send(
                    address, frames.Kind.FOLLOW, self._position_number()
                )
                if not sent:
                    self._store_readers.lost(address, now)

    def _position_number(self) -> int:
        """Return the position of the host list as a number."""
        known = self._upstream_list.position
        return (known or store_position.Position(0, 0)).to_number()

    def _send_fresh(
        self, stream: streams.Stream, follower: _Follower, now: float
    ) -> None:
        """Send a follower whether this host reads the store."""
        known = self._upstream_list.position
        if known is None:
            return
        age_s = min(now - self._relayed_at, AGE_MAX_S)
        stream.send(
            frames.Kind.FRESH,
            known if follower.knows_eras else known.revision,
            self._watch.healthy,
            int(age_s * 1000),
            self._owner.version,
        )

    def _send_missed(
        self, stream: streams.Stream, known: store_position.Position
    ) -> None:
        """Send a follower the changes since the position that it knows."""
        missed = self._upstream_list.since(known)
        if missed is None:
            missed = [self._upstream_list.whole()]
        for change in missed:
            stream.send(frames.Kind.CHANGES, *self._change_fields(change))

    def _change_fields(
        self, change: change_log.Change | store_watch.Changes
    ) -> tuple[t.Any, ...]:
        """Return the fields of a CHANGES frame."""
        restored_s = self._owner.restored_s
        return (
            change.after,
            change.position,
            change.stepwise,
            self._owner.version,
            [dataclasses.astuple(item) for item in change.changed.values()],
            list(change.removed),
            int(restored_s * 1000) if math.isfinite(restored_s) else -1,
        )

    def _send_missed_without_era(
        self,
        stream: streams.Stream,
        follower: _Follower,
        known: store_position.Position,
    ) -> None:
        missed = self._upstream_list.since(known)
        if missed is None:
            self._send_whole_without_era(stream, follower)
            return
        for change in missed:
            revisions = change.after.revision, change.position.revision
            self._send_without_era(stream, *revisions, change)

    def _send_whole_without_era(
        self, stream: streams.Stream, follower: _Follower
    ) -> None:
        """Send the whole list under a revision that the follower accepts."""
        whole = self._upstream_list.whole()
        reached = whole.position.revision
        follower.is_ahead = follower.revision > reached
        revision = max(reached, follower.revision)
        self._send_without_era(stream, None, revision, whole)

    def _send_without_era(
        self,
        stream: streams.Stream,
        after: int | None,
        revision: int,
        change: change_log.Change | store_watch.Changes,
    ) -> None:
        """Send a change to a follower whose build does not know eras."""
        entries = [
            dataclasses.astuple(item)[:FIELDS_WITHOUT_ERAS]
            for item in change.changed.values()
        ]
        stream.send(
            frames.Kind.CHANGES,
            after,
            revision,
            change.stepwise,
            self._owner.version,
            entries,
            list(change.removed),
        )


def _row_start(
    table: int, kind: shared_waits.Kind, content: str
) -> tuple[int, str, int]:
    """Return the first fields of a row: table, name and rank.

    :param content: ``_SAMPLES`` or ``_MEANS``.
    """
    route, rank = kind
    if table < TABLES_BY_NUMBER:
        return table, route, rank
    return 0, _SEPARATOR.join((str(table), content, route)), rank


def _read_entries(
    rows: list[t.Any],
) -> tuple[dict[str, catalog.Entry], list[str]]:
    """Return the entries by identifier, and those that a host must not use.

    Hosts of earlier builds pass on entries with any values.
    """
    found: dict[str, catalog.Entry] = {}
    refused: list[str] = []
    for fields in rows:
        try:
            entry = catalog.entry_from_fields(fields)
        except TypeError as error:
            raise frames.MalformedFrame(str(error)) from error
        except ValueError as error:
            logging.warning("entry of a peer ignored: %s", error)
            refused += [fields[0]] if ranges.carried(fields[0]) else []
            continue
        found[entry.key] = entry
    return found, refused


def _read_position(fields: t.Any) -> store_position.Position:
    try:
        era, revision = fields
        found = store_position.Position(int(era), int(revision))
    except (ArithmeticError, TypeError, ValueError) as error:
        raise frames.MalformedFrame(f"position: {error}") from error
    if not found.valid:
        raise frames.MalformedFrame(f"position: {found}")
    return found
