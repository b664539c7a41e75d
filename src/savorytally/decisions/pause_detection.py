"""Detects process pauses and blocks admission until the view is current.

A node that was paused may hold a configuration in which a withdrawn key is
still valid. It admits nothing until a peer or the platform, queried after the
pause, has confirmed its version, or until no reply has arrived for
``defaults.CONFIRM_TIMEOUT_S``.
"""

import random
import typing as t

from .. import defaults
from . import version_query


class PauseDetector:
    """Tracks whether the node's view may be used for admission.

    :param source: seeded random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._last_run_at: float | None = None
        self._query: version_query.VersionQuery | None = None
        self._resumed_at = 0.0
        self._unconfirmed_resumes = 0

    @property
    def query(self) -> version_query.VersionQuery | None:
        """The version query in progress, ``None`` if the view is confirmed."""
        return self._query

    @property
    def unconfirmed_resumes(self) -> int:
        """Number of resumptions without a confirmation."""
        return self._unconfirmed_resumes

    def confirmed(self, now: float) -> bool:
        """Return whether requests may be admitted now.

        Must be called before every admission. A long gap since the last call
        of this method or of :meth:`tick` counts as a pause of the process.
        """
        if self._last_run_at is not None:
            self._check_pause(now)
        return self._query is None

    def tick(self, now: float) -> None:
        """Record that the process is running."""
        self._check_pause(now)

    def check_peer_replies(self, versions: t.Mapping[str, int]) -> None:
        """Check whether a peer's reply confirms the view.

        :param versions: active version of each publication on this node.
        """
        query = self._query
        if (
            query is not None
            and query.replies
            and query.satisfied_by(versions)
        ):
            self._query = None

    def platform_read(self, started_at: float) -> None:
        """Record that a read of the platform succeeded.

        :param started_at: when the read started.
        """
        if self._query is not None and started_at >= self._resumed_at:
            self._query = None

    def _check_pause(self, now: float) -> None:
        """Detect a pause since the last call; end a query that timed out."""
        last, self._last_run_at = self._last_run_at, now
        if last is not None and now - last > defaults.PAUSE_GAP_S:
            nonce = self._random.getrandbits(32) | 1
            self._resumed_at = now
            self._query = version_query.VersionQuery(
                nonce, now, defaults.CONFIRM_QUERY_PERIOD_S
            )
            return
        query = self._query
        if query and query.age_s(now) > defaults.CONFIRM_TIMEOUT_S:
            self._unconfirmed_resumes += 1
            self._query = None
