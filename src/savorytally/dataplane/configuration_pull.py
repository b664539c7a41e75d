"""Requests a newer configuration from peers, one peer at a time.

A configuration may be large and links may be slow, so it is requested from one
peer only. Another peer is tried if that one does not send it in time.
"""

import asyncio
import typing as t

from . import frames

# Delay before a request to a peer, in which the node may read the new version
# from the store by itself.
PULL_DELAY_S = 0.8
# Time in which a peer must send the configuration; then another peer is
# tried.
PULL_TIMEOUT_S = 0.6


class Stream(t.Protocol):
    """A stream to a peer."""

    @property
    def open(self) -> bool:
        """Whether the stream is connected."""

    @property
    def peer(self) -> str:
        """IP address of the peer, empty if the stream is closed."""

    def send(self, kind: frames.Kind, *fields: t.Any) -> None:
        """Send a frame."""


class ConfigurationPull:
    """Fetches configuration versions that peers have announced.

    :param version: returns the version in force.
    :param in_region: returns whether an IP address is in the node's region.
    """

    def __init__(
        self, version: t.Callable[[], int], in_region: t.Callable[[str], bool]
    ) -> None:
        self._version = version
        self._in_region = in_region
        self._loop = asyncio.get_running_loop()
        self._announced: dict[Stream, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        # Whether the timer is the timeout of a request that was sent to a
        # peer.
        self._pulling = False

    def announced(
        self, stream: Stream, version: int, at_once: bool = False
    ) -> None:
        """Note that a peer has announced a version; request it soon.

        :param at_once: whether to request it without the delay, because the
            node will not read it by itself.
        """
        if version <= self._version():
            return
        self._announced[stream] = version
        if self._pulling:
            return
        if at_once:
            if self._timer is not None:
                self._timer.cancel()
            self._pull()
        elif self._timer is None:
            self._timer = self._loop.call_later(PULL_DELAY_S, self._pull)

    def _pull(self) -> None:
        self._timer = None
        self._pulling = False
        current = self._version()
        self._announced = {
            stream: version
            for stream, version in self._announced.items()
            if version > current and stream.open
        }
        if not self._announced:
            return
        stream = max(
            self._announced,
            key=lambda item: (
                self._announced[item],
                self._in_region(item.peer),
            ),
        )
        del self._announced[stream]
        stream.send(frames.Kind.PULL)
        self._pulling = True
        self._timer = self._loop.call_later(PULL_TIMEOUT_S, self._pull)
