"""What the starts of the local upstream say of themselves, and who is told."""

import asyncio
import typing as t

from ..decisions import pace
from ..decisions import standing
from . import answers
from . import callers
from . import frames
from . import journal

# Starts of the upstream of which it is known what they have said.
STARTS_KEPT = 4
# Pause between two times that other hosts are told.
TOLD_S = 0.2

# Takes an upstream's identifier, its limit and a host's share of it, and
# whether it leaves.
Tell = t.Callable[[str, float, float, bool], None]


class Statements:
    """Reads what answers say of the local upstream.

    :param reader: reads the headers of answers.
    :param log: takes a line at each change.
    :param drain_s: how long an upstream that leaves may get new calls.
    :param changed: called when another limit may be in force.
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
        # The start that was heard last, and what it has said.
        self._latest = ""
        self._current = standing.Standing()
        # When the listed start has begun.
        self._born: dict[str, int] = {}
        self._shares = pace.Shares()
        self._untold = False
        self._told_at = 0.0
        self.tell: Tell = lambda *told: None

    @property
    def limit_per_s(self) -> float:
        """Requests a second that the upstream takes."""
        return self._current.limit_per_s

    @property
    def leaving(self) -> bool:
        """Whether the upstream has said that it leaves."""
        return self._current.leaving_since is not None

    def learn_start(self, instance_id: str, born: int) -> None:
        """Apply when the listed start of the upstream has begun."""
        known = self._starts.get(instance_id)
        if known is not None and born > self._born.get(instance_id, born):
            known.restarted()
        self._born = {instance_id: born}

    def hear(
        self, instance_id: str, headers: callers.Headers, sent_at: float
    ) -> None:
        """Take in what an answer says of the start that gave it.

        :param sent_at: when its request was sent, loop time.
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
        """Take in the limit that another host was told.

        This node may have been started again since.
        """
        if self._latest not in ("", instance_id):
            return
        known = self._of(instance_id)
        if known.tell(limit_per_s):
            self._log_change(instance_id, known, "peer")
            self._put_in_force(instance_id)

    def drained(self, instance_id: str, now: float) -> bool:
        """Return whether a start gets no new calls, since it leaves."""
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
        """Return what the result of a call tells: limit, share, leaving."""
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
        """Tell other hosts what has changed."""
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
