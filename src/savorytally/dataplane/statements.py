"""What the instances of the local upstream advertise.

An upstream advertises a rate limit, or that it is draining, in the headers of
its responses. The gate applies that and sends it to other hosts.
"""

import asyncio
import typing as t

from ..decisions import pace
from ..decisions import standing
from . import answers
from . import callers
from . import frames
from . import journal

# Number of upstream instances whose advertisements are kept.
STARTS_KEPT = 4
# Pause between two notifications of other hosts.
TOLD_S = 0.2

# Receives an upstream's identifier, its rate limit, one host's share of the
# limit and whether the upstream is draining.
Tell = t.Callable[[str, float, float, bool], None]


class Statements:
    """Tracks what the local upstream advertises.

    :param reader: reads the headers of responses.
    :param log: logs each change.
    :param drain_s: how long a draining upstream may get new calls, in seconds.
    :param changed: called when the rate limit in force may have changed.
    """

    def __init__(
        self,
        reader: answers.Answers,
        log: journal.Journal,
        drain_s: float,
        changed: t.Callable[[], None],
    ) -> None:
        self._reader = reader
        self._log = log
        self._drain_s = drain_s
        self._changed = changed
        self._loop = asyncio.get_running_loop()
        self._starts: dict[str, standing.Standing] = {}
        # The instance that responded last, and what it advertises.
        self._latest = ""
        self._current = standing.Standing()
        # Start time of the instance in the host list, by identifier.
        self._born: dict[str, int] = {}
        self._shares = pace.Shares()
        self._untold = False
        self._told_at = 0.0
        self.tell: Tell = lambda *told: None

    @property
    def limit_per_s(self) -> float:
        """The upstream's rate limit, in requests per second."""
        return self._current.limit_per_s

    @property
    def leaving(self) -> bool:
        """Whether the upstream is draining."""
        return self._current.leaving_since is not None

    def learn_start(self, instance_id: str, born: int) -> None:
        """Apply the start time of the instance in the host list."""
        known = self._starts.get(instance_id)
        if known is not None and born > self._born.get(instance_id, born):
            known.restarted()
        self._born = {instance_id: born}

    def hear(
        self, instance_id: str, headers: callers.Headers, sent_at: float
    ) -> None:
        """Apply the headers of a response.

        :param instance_id: the instance that sent it, empty if unknown.
        :param headers: its headers.
        :param sent_at: loop time when the request was sent.
        """
        if not instance_id:
            return
        known = self._of(instance_id)
        said = self._reader.said(headers)
        if known.hear(said, sent_at, self._loop.time()):
            self._untold = True
            self._log_change(instance_id, known, "answer")
            self._put_in_force(instance_id)
        elif instance_id != self._latest:
            self._put_in_force(instance_id)

    def told(self, instance_id: str, limit_per_s: float) -> None:
        """Apply a rate limit that another host has received before.

        This restores the limit after a restart of this node.
        """
        if self._latest not in ("", instance_id):
            return
        known = self._of(instance_id)
        if known.tell(limit_per_s):
            self._log_change(instance_id, known, "peer")
            self._put_in_force(instance_id)

    def drained(self, instance_id: str, now: float) -> bool:
        """Return whether an instance gets no new calls because it drains."""
        known = self._starts.get(instance_id)
        if known is None or known.leaving_since is None:
            return False
        return now - known.leaving_since >= self._drain_s

    def note_sender(self, sender: t.Hashable, now: float) -> None:
        """Note that a host has sent a call."""
        self._shares.note(sender, now)

    def describe(
        self, call: frames.Call, now: float
    ) -> tuple[float | None, float, bool]:
        """Return rate limit, one host's share and draining for a result.

        The limit is ``None`` if there is nothing to report.
        """
        known = self._starts.get(call.instance_id)
        if known is None:
            return None, 0.0, False
        limit_per_s = known.limit_per_s
        leaving = known.leaving_since is not None
        if limit_per_s != standing.NO_LIMIT:
            share_per_s = self._shares.share_per_s(limit_per_s, now)
            return limit_per_s, share_per_s, leaving
        if leaving or (known.heard and call.limit_per_s is not None):
            return limit_per_s, 0.0, leaving
        return None, 0.0, False

    def tick(self, now: float) -> None:
        """Notify other hosts of changes."""
        self._shares.forget(now)
        if not self._untold or now - self._told_at < TOLD_S:
            return
        self._untold, self._told_at = False, now
        limit_per_s = self.limit_per_s
        share_per_s = self._shares.share_per_s(limit_per_s, now)
        self.tell(self._latest, limit_per_s, share_per_s, self.leaving)

    def _of(self, instance_id: str) -> standing.Standing:
        known = self._starts.get(instance_id)
        if known is None:
            known = self._starts[instance_id] = standing.Standing()
            for oldest in list(self._starts)[:-STARTS_KEPT]:
                del self._starts[oldest]
        return known

    def _put_in_force(self, instance_id: str) -> None:
        self._latest = instance_id
        self._current = self._of(instance_id)
        self._changed()

    def _log_change(
        self, instance_id: str, known: standing.Standing, origin: str
    ) -> None:
        limited = known.limit_per_s != standing.NO_LIMIT
        self._log.event(
            "upstream_says",
            upstream=instance_id,
            limit_per_s=known.limit_per_s if limited else None,
            leaving=known.leaving_since is not None,
            origin=origin,
        )
