"""Follows what the platform publishes: configuration and upstreams."""

import asyncio
import dataclasses
import random
import typing as t

from ..world import catalog

# How long a watch waits for a change; a silent connection is found by the
# kernel's probes, so that this only bounds what they miss.
WATCH_S = 20.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0


class Unavailable(Exception):
    """The source did not answer a read, or refused it."""


class HistoryLost(Exception):
    """The source no longer has the changes since a revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What was published, whole or since a revision.

    :param after: the earlier revision, ``None`` if this is all there is, so
        that upstreams that are not in it are gone.
    :param revision: up to which this is complete.
    :param configuration: the newest configuration's bytes, ``None`` if it
        has not changed.
    :param changed: upstreams that were added or have changed.
    :param removed: identifiers of upstreams that are gone.
    :param stepwise: whether it holds every entry written in between.
    """

    after: int | None
    revision: int
    configuration: bytes | None
    changed: dict[str, catalog.Instance]
    removed: tuple[str, ...]
    stepwise: bool = True


class Source(t.Protocol):
    """Where publications are read."""

    async def snapshot(self) -> Changes:
        """Return all that is published.

        :raises Unavailable: if it can't be read.
        """

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Return what changed after a revision, waiting for a change.

        :raises Unavailable: if it can't be read.
        :raises HistoryLost: if a snapshot is needed.
        """


class Subscriber(t.Protocol):
    """What takes publications."""

    @property
    def revision(self) -> int | None:
        """Up to which all is known, ``None`` before anything was read."""

    def published(self, changes: Changes) -> None:
        """Apply a publication."""

    def source_state(self, reachable: bool, why: str) -> None:
        """Note that a read has failed, or the first one since went well."""


class Feed:
    """Reads a snapshot, then watches; begins anew when history is lost.

    :param source: where publications are read.
    :param subscriber: takes them.
    :param rand: random source of the pauses after failures.
    :param pause_s: pause after a change, so that changes that come close
        together are read with one call.
    """

    def __init__(
        self,
        source: Source,
        subscriber: Subscriber,
        rand: random.Random,
        pause_s: float,
    ) -> None:
        self._source = source
        self._subscriber = subscriber
        self._random = rand
        self._pause_s = pause_s
        self._task: asyncio.Task[None] | None = None
        self._good = False
        self._read_at = 0.0
        self._history_lost = False

    @property
    def good(self) -> bool:
        """Whether the latest read went well."""
        return self._good

    @property
    def read_at(self) -> float:
        """Loop time of the latest read that went well."""
        return self._read_at

    def start(self) -> None:
        """Begin to follow the source, unless that has been done."""
        if self._task is None:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._run())

    def stop(self) -> None:
        """Follow the source no more."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self._good = False

    async def _run(self) -> None:
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._step()
            except HistoryLost:
                self._history_lost = True
                continue
            except Unavailable as error:
                self._good = False
                self._subscriber.source_state(False, str(error))
                await asyncio.sleep(pause_s * (0.5 + self._random.random()))
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                continue
            pause_s = RETRY_MIN_S

    async def _step(self) -> None:
        after = None if self._history_lost else self._subscriber.revision
        if after is None:
            changes = await self._source.snapshot()
            self._history_lost = False
        else:
            # The first read shows at once whether the source can be read.
            wait_s = WATCH_S if self._good else 0.0
            changes = await self._source.changes(after, wait_s)
        first, self._good = not self._good, True
        self._read_at = asyncio.get_running_loop().time()
        self._subscriber.published(changes)
        if first:
            self._subscriber.source_state(True, "")
        if changes.revision != after and after is not None:
            await asyncio.sleep(self._pause_s)
