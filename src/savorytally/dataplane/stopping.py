"""The course of a planned stop."""

import asyncio
import dataclasses
import typing as t

from .. import results

if t.TYPE_CHECKING:
    from . import callers
    from . import calls
    from . import entry
    from . import gate
    from . import peers

# Time in which callers notice that the node is not ready: readiness is
# asked once a second and lost after two misses.
NOTICE_S = 2.6
# Part of the time for work that is left to a notice, if grace is short.
NOTICE_PART = 0.5
# Time before the end by force that is left to final answers; they are
# excused only in the last sixth of grace.
ANSWERS_S = 0.7
ANSWERS_PART = 0.15
# Part of that time in which the process itself ends.
EXIT_PART = 0.4
# Time in which other hosts say which calls they have not begun, and its part
# of the time for final answers if grace is short.
RECALL_S = 0.15
RECALL_PART = 0.25
# Time in which the next process is likely to serve.
RESTART_S = 0.5
# Pause between two looks at what is in progress.
TICK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """When a planned stop takes which step, loop time.

    :param began: the signal.
    :param noticed: from then on nothing is taken that could outlast the
        stop.
    :param work_ends: what is in progress is called back, and nothing more is
        begun.
    :param gives_up: what is still in progress gets its final answer.
    :param ends: the process ends, whether or not all answers were read.
    """

    began: float
    noticed: float
    work_ends: float
    gives_up: float
    ends: float

    @classmethod
    def within(cls, grace_s: float, now: float) -> "Schedule":
        """Return the schedule of a stop that begins now.

        :param grace_s: from the signal to the end by force.
        """
        answers_s = min(ANSWERS_S, grace_s * ANSWERS_PART)
        work_s = grace_s - answers_s
        return cls(
            began=now,
            noticed=now + min(NOTICE_S, work_s * NOTICE_PART),
            work_ends=now + work_s,
            gives_up=now + work_s + min(RECALL_S, answers_s * RECALL_PART),
            ends=now + grace_s - answers_s * EXIT_PART,
        )

    def refuse(
        self, call: "calls.Call", needed_s: float, now: float
    ) -> results.ResultCode | None:
        """Refuse a new request that might outlast the stop.

        The calls of requests in progress are work that was begun: they get
        the time that is left, if it is likely to be enough.

        :param needed_s: time that the request is likely to need.
        """
        if now < self.noticed or call.deadline <= self.work_ends:
            return None
        if not call.child or now + needed_s > self.work_ends:
            return results.NODE_STOPPING
        call.deadline = self.work_ends
        return None

    def back_s(self, work_s: float, now: float) -> float:
        """Return when the next process is likely to serve, from now.

        :param work_s: time that a request in progress usually needs.
        """
        return max(0.0, min(work_s, self.work_ends - now)) + RESTART_S


class Stop:
    """A planned stop.

    :param schedule: when it takes which step.
    :param taken: the requests of callers.
    :param own: the calls at the local upstream.
    :param others: the calls at other hosts.
    :param connections: the open connections of callers.
    """

    def __init__(
        self,
        schedule: Schedule,
        taken: "entry.Entry",
        own: "gate.Gate",
        others: "peers.Peers",
        connections: "set[callers.CallerConnection]",
    ) -> None:
        self._schedule = schedule
        self._entry = taken
        self._gate = own
        self._peers = others
        self._connections = connections
        self._loop = asyncio.get_running_loop()

    async def run(self, stop_listening: t.Callable[[], None]) -> None:
        """Finish what is in progress and send its answers, then end.

        :param stop_listening: closes the ports.
        """
        work_ends = self._schedule.work_ends
        await self._until(lambda: False, self._schedule.noticed)
        await self._until(self._at_rest, work_ends)
        # First, since a place that becomes free must start nothing.
        self._gate.dismiss()
        self._peers.recall()
        await self._until(self._all_answered, self._schedule.gives_up)
        self._entry.give_up()
        # In the same turn, so that nothing is read that nobody answers.
        stop_listening()
        for connection in list(self._connections):
            connection.end()
        await self._until(self._all_ended, self._schedule.ends)

    def _at_rest(self) -> bool:
        if self._entry.active or self._gate.active:
            return False
        return all(connection.flushed for connection in self._connections)

    def _all_answered(self) -> bool:
        return not self._entry.active

    def _all_ended(self) -> bool:
        # A connection ends when its last answer has been taken.
        return not self._connections and not self._gate.active

    async def _until(self, met: t.Callable[[], bool], end: float) -> None:
        while not met():
            left_s = end - self._loop.time()
            if left_s <= 0:
                return
            await asyncio.sleep(min(TICK_S, left_s))
