"""Asks peers for a newer configuration, one at a time.

A configuration may be large and links thin, so that it is asked of one peer
only; another one is asked if it does not come.
"""

import asyncio
import typing as t

from . import frames

# Time that the own view has to catch up before a peer is asked.
CATCH_UP_S = 0.8
# Time in which a peer's answer must come before another peer is asked.
ANSWER_S = 0.6


class Stream(t.Protocol):
    """A stream to a peer."""

    @property
    def open(self) -> bool:
        """Whether the stream is up."""

    @property
    def peer(self) -> str:
        """IP number of the other end, empty if the stream is down."""

    def send(self, kind: frames.Kind, *fields: t.Any) -> None:
        """Send a frame."""


class CatchUp:
    """Versions that peers have announced and this node does not have.

    :param version: returns the version in force.
    :param near: returns whether an IP number is in the node's region.
    """

    def __init__(
        self, version: t.Callable[[], int], near: t.Callable[[str], bool]
    ) -> None:
        self._version = version
        self._near = near
        self._loop = asyncio.get_running_loop()
        self._announced: dict[Stream, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        # Whether the timer ends the wait for a peer's answer.
        self._asking = False

    def announced(
        self, stream: Stream, version: int, at_once: bool = False
    ) -> None:
        """Note that a peer has a version; ask for it in a moment.

        :param at_once: whether no other view will catch up.
        """
        if version <= self._version():
            return
        self._announced[stream] = version
        if self._asking:
            return
        if at_once:
            if self._timer is not None:
                self._timer.cancel()
            self._ask()
        elif self._timer is None:
            self._timer = self._loop.call_later(CATCH_UP_S, self._ask)

    def _ask(self) -> None:
        self._timer = None
        self._asking = False
        known = self._version()
        self._announced = {
            stream: version
            for stream, version in self._announced.items()
            if version > known and stream.open
        }
        if not self._announced:
            return
        stream = max(
            self._announced,
            key=lambda item: (self._announced[item], self._near(item.peer)),
        )
        del self._announced[stream]
        stream.send(frames.Kind.PULL)
        self._asking = True
        self._timer = self._loop.call_later(ANSWER_S, self._ask)
