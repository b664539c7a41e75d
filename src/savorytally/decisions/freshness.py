"""Detects that this node was paused, and when its view is current again.

A node that was paused may hold a view in which a withdrawn key is still
valid. It admits nothing until a peer or the platform, asked after the pause,
has confirmed its version, or until nobody has answered for long.
"""

import random
import typing as t

from .. import defaults
from . import inquiry


class Freshness:
    """Whether the node's view may be acted on.

    :param source: seeded random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._seen: float | None = None
        self._inquiry: inquiry.Inquiry | None = None
        self._woken = 0.0
        self._given_up = 0

    @property
    def inquiry(self) -> inquiry.Inquiry | None:
        """The questions under way, ``None`` if the view is confirmed."""
        return self._inquiry

    @property
    def given_up(self) -> int:
        """How often the node went on although nobody answered."""
        return self._given_up

    def confirmed(self, now: float) -> bool:
        """Return whether requests may be admitted at this moment.

        Must be called at every use; together with :meth:`tick` it takes a
        long gap between two calls for a pause.
        """
        if self._seen is not None:
            self._look(now)
        return self._inquiry is None

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        self._look(now)

    def peer_answered(self, versions: t.Mapping[str, int]) -> None:
        """Take in that some answer arrived.

        :param versions: what this node holds by now.
        """
        asked = self._inquiry
        if asked is not None and asked.answers and asked.reached_by(versions):
            self._inquiry = None

    def platform_answered(self, asked_at: float) -> None:
        """Take in that a read of the platform has ended well.

        :param asked_at: when it was begun.
        """
        if self._inquiry is not None and asked_at >= self._woken:
            self._inquiry = None

    def _look(self, now: float) -> None:
        last, self._seen = self._seen, now
        if last is not None and now - last > defaults.PAUSE_GAP_S:
            nonce = self._random.getrandbits(32) | 1
            self._woken = now
            self._inquiry = inquiry.Inquiry(nonce, now, defaults.CONFIRM_ASK_S)
            return
        asked = self._inquiry
        if asked and asked.age_s(now) > defaults.CONFIRM_GIVE_UP_S:
            self._given_up += 1
            self._inquiry = None
