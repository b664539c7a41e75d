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

    :param revision: up to which this is complete.
    :param configuration: the newest configuration's bytes, ``None`` if it
        has not changed.
    :param changed: upstreams that were added or have changed.
    :param removed: identifiers of upstreams that are gone.
    :param whole: whether upstreams that are not in it are gone.
    """

    revision: int
    configuration: bytes | None
    changed: dict[str, catalog.Instance]
    removed: tuple[str, ...]
    whole: bool


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

    def published(self, changes: Changes) -> None:
        """Apply a publication."""

    def source_state(self, reachable: bool, why: str) -> None:
        """Note that the source was lost or is back."""


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
        self._revision: int | None = None

    async def run(self) -> None:
        """Follow the source until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._step()
            except HistoryLost:
                self._revision = None
                continue
            except Unavailable as error:
                self._subscriber.source_state(False, str(error))
                await asyncio.sleep(pause_s * (0.5 + self._random.random()))
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                continue
            self._subscriber.source_state(True, "")
            pause_s = RETRY_MIN_S

    async def _step(self) -> None:
        if self._revision is None:
            changes = await self._source.snapshot()
        else:
            changes = await self._source.changes(self._revision, WATCH_S)
        news = changes.revision != self._revision
        self._revision = changes.revision
        self._subscriber.published(changes)
        if news and not changes.whole:
            await asyncio.sleep(self._pause_s)
