"""Lets a few hosts of a data centre read the store for all of them.

Each host notifies the hosts that it follows. A followed host reads the store,
sends changes to its followers, and confirms at short intervals that it still
reads the store.
"""

import asyncio
import dataclasses
import typing as t

from ..decisions import change_log
from ..decisions import shared_waits
from ..decisions import store_readers
from ..world import catalog
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
# Interval at which wait times are shared within the data centre.
SHARE_INTERVAL_S = 0.2
# If this host's event loop was blocked for so long, missing messages are not
# the followed hosts' fault.
LOOP_LATE_S = 0.2


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

    def published(self, changes: store_watch.Changes) -> None:
        """Apply a snapshot or changes.

        :raises upstream_list.MissingChanges: if earlier changes are missing.
        """

    def confirmed(self, at: float) -> None:
        """Note that the host list was up to date at a loop time."""

    def newer_at(self, stream: t.Any, version: int, at_once: bool) -> None:
        """Note that a peer may have a newer configuration."""


class StoreSharing:
    """The hosts that this host follows, and the hosts that follow it.

    :param own_address: this host's address.
    :param carrier: sends frames to other hosts.
    :param watch: reads the store while this host has to.
    :param known_upstreams: the host list.
    :param owner: applies what the followed hosts send.
    :param waits: tables of wait times that the hosts of the data centre share,
        in the same order on all hosts.
    """

    def __init__(
        self,
        own_address: str,
        carrier: Carrier,
        watch: store_watch.StoreWatch,
        known_upstreams: upstream_list.UpstreamList,
        owner: Owner,
        waits: t.Sequence[shared_waits.SharedWaits],
    ) -> None:
        self._waits = waits
        self._share_at = 0.0
        self._carrier = carrier
        self._watch = watch
        self._upstream_list = known_upstreams
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._store_readers = store_readers.StoreReaders(own_address)
        # Loop time until which each follower gets updates.
        self._followers: dict[streams.Stream, float] = {}
        # Loop time of the latest FOLLOW frame to each followed host.
        self._followed_at: dict[str, float] = {}
        self._fresh_at = 0.0
        self._last_tick = self._loop.time()

    @property
    def followers(self) -> int:
        """Number of hosts that follow this host."""
        return len(self._followers)

    def learn_hosts(self, addresses: t.Iterable[str]) -> None:
        """Apply the hosts of the data centre."""
        self._store_readers.learn_hosts(addresses)

    def tick(self, now: float) -> None:
        """Renew whom to follow, update followers, start or stop reading."""
        if now - self._last_tick > LOOP_LATE_S:
            self._store_readers.restart_timeouts(now)
        self._last_tick = now
        self._renew_follows(now)
        self._followers = {
            stream: until
            for stream, until in self._followers.items()
            if until > now and stream.open
        }
        if self._store_readers.reads_store(now):
            self._watch.start()
        else:
            self._watch.stop()
        if now >= self._fresh_at:
            self.notify_followers()
        if now >= self._share_at:
            self._share_at = now + SHARE_INTERVAL_S
            self._share_waits(now)

    def notify_followers(self) -> None:
        """Notify the followers whether this host reads the store."""
        now = self._loop.time()
        self._fresh_at = now + FRESH_INTERVAL_S
        for stream in self._followers:
            self._send_fresh(stream, now)

    def changed(self, change: change_log.Change) -> None:
        """Send a change of the host list to the followers."""
        if self._followers:
            frame = self._change_fields(change)
            for stream in self._followers:
                stream.send(frames.Kind.CHANGES, *frame)

    def host_stopping(self, address: str) -> None:
        """Replace a followed host that stops."""
        self._store_readers.lost(address, self._loop.time())

    def handle_follow(self, stream: streams.Stream, revision: int) -> None:
        """Note that another host follows this host; send it what it lacks.

        :param revision: the revision of the follower's host list.
        """
        now = self._loop.time()
        self._followers[stream] = now + FOLLOW_TTL_S
        self._store_readers.followed_by_peer(now + FOLLOW_TTL_S)
        self._watch.start()
        if self._upstream_list.revision is None:
            return
        missed = self._upstream_list.since(revision)
        if missed is None:
            whole = self._upstream_list.whole()
            stream.send(frames.Kind.CHANGES, *self._change_fields(whole))
        else:
            for change in missed:
                stream.send(frames.Kind.CHANGES, *self._change_fields(change))
        self._send_fresh(stream, now)

    def handle_fresh(
        self,
        stream: streams.Stream,
        revision: int,
        reads_store: bool,
        age_ms: int,
        version: int,
    ) -> None:
        """Handle a followed host's report on whether it reads the store.

        :param revision: the revision of its host list.
        :param reads_store: whether it reads the store.
        :param age_ms: milliseconds since it read the store.
        :param version: the version of its configuration.
        """
        now = self._loop.time()
        self._store_readers.reported(stream.peer, reads_store, now)
        if not reads_store:
            return
        known = self._upstream_list.revision
        if known is not None and revision <= known:
            self._owner.confirmed(now - age_ms / 1000)
        self._owner.newer_at(stream, version, True)

    def handle_changes(
        self,
        stream: streams.Stream,
        after: int | None,
        revision: int,
        stepwise: bool,
        version: int,
        changed: list[list[t.Any]],
        removed: list[str],
    ) -> None:
        """Apply changes that a followed host has read.

        :param after: the revision that the changes follow, ``None`` for the
            complete host list.
        :param revision: the revision up to which they are complete.
        :param stepwise: whether they contain every entry written in between.
        :param version: the version of the sender's configuration.
        :param changed: the fields of the upstreams that were added or changed.
        :param removed: identifiers of the upstreams that are gone.
        """
        try:
            instances = [catalog.Instance(*fields) for fields in changed]
        except TypeError as error:
            raise frames.MalformedFrame(str(error)) from error
        found = {item.instance_id: item for item in instances}
        changes = store_watch.Changes(
            after, revision, None, found, tuple(removed), stepwise
        )
        try:
            self._owner.published(changes)
        except upstream_list.MissingChanges:
            known = self._upstream_list.revision or 0
            stream.send(frames.Kind.FOLLOW, known)
        self._owner.newer_at(stream, version, True)

    def handle_samples(self, rows: list[t.Any]) -> None:
        """Merge the wait times that a follower has measured."""
        now = self._loop.time()
        try:
            for table, route, rank, count, sum_ms in rows:
                samples = shared_waits.Samples(count, sum_ms / 1000)
                self._waits[table].merge({(route, rank): samples}, now)
        except (TypeError, ValueError, IndexError) as error:
            raise frames.MalformedFrame(f"samples: {error}") from error

    def handle_mean_waits(self, rows: list[t.Any]) -> None:
        """Apply the mean wait times that a followed host has sent."""
        now = self._loop.time()
        try:
            for table, route, rank, mean_ms in rows:
                means = {(route, rank): mean_ms / 1000}
                self._waits[table].apply_means(means, now)
        except (TypeError, ValueError, IndexError) as error:
            raise frames.MalformedFrame(f"waits: {error}") from error

    def _share_waits(self, now: float) -> None:
        """Send measured waits to followed hosts and the means to followers."""
        samples = [
            (table, *kind, found.count, int(found.sum_s * 1000))
            for table, waits in enumerate(self._waits)
            for kind, found in waits.take_samples().items()
        ]
        if samples:
            for address in self._followed_at:
                self._carrier.send(address, frames.Kind.WAIT_SAMPLES, samples)
        if not self._followers:
            return
        means = [
            (table, *kind, int(mean_s * 1000))
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
                revision = self._upstream_list.revision or 0
                sent = self._carrier.send(
                    address, frames.Kind.FOLLOW, revision
                )
                if not sent:
                    self._store_readers.lost(address, now)

    def _send_fresh(self, stream: streams.Stream, now: float) -> None:
        """Send a follower whether this host reads the store."""
        if self._upstream_list.revision is None:
            return
        stream.send(
            frames.Kind.FRESH,
            self._upstream_list.revision,
            self._watch.healthy,
            int((now - self._watch.read_at) * 1000),
            self._owner.version,
        )

    def _change_fields(
        self, change: change_log.Change | store_watch.Changes
    ) -> tuple[t.Any, ...]:
        """Return the fields of a CHANGES frame."""
        return (
            change.after,
            change.revision,
            change.stepwise,
            self._owner.version,
            [dataclasses.astuple(item) for item in change.changed.values()],
            list(change.removed),
        )
