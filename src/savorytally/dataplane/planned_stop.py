"""The steps of a planned stop."""

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

# Time in which callers notice that the node is not ready: readiness is probed
# once a second and lost after two failures.
NOTICE_S = 2.6
# The same as a part of the time for work, if the grace period is short.
NOTICE_FRACTION = 0.5
# Time before the kill that is reserved for final responses. Callers tolerate
# them only in the last sixth of the grace period.
RESPONSES_S = 0.7
RESPONSES_FRACTION = 0.15
# Part of that time that is reserved for the exit of the process.
EXIT_FRACTION = 0.4
# Time in which other hosts report the calls that they have not started, and
# the same as a part of the time for final responses if the grace period is
# short.
WITHDRAW_S = 0.15
WITHDRAW_FRACTION = 0.25
# Time in which the response of an upstream arrives that ends its work at the
# deadline, and the same as a part of the time for work if the grace period is
# short.
END_OF_WORK_S = 0.25
END_OF_WORK_FRACTION = 0.05
# Time that the next process probably needs until it serves.
RESTART_S = 0.5
# Turns of the event loop in which a connection that waits to be accepted is
# accepted and the request on it is read.
READ_TURNS = 5
# Interval at which requests in progress are checked.
TICK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """The loop times of the steps of a planned stop.

    :param began: the earliest time at which the stop signal was sent.
    :param noticed: callers have noticed by now that the node is not ready.
    :param refuses_from: from here on, requests that could outlast the stop are
        refused. Callers tolerate a final response only for requests that were
        sent in the first half of the grace period, by the time of the signal.
    :param last_deadline: latest deadline that upstreams get for work that is
        begun from then on.
    :param work_ends: calls in progress are withdrawn and no more are started.
    :param final_responses: requests in progress get their final response.
    :param ends: the process ends, even if callers have not read all responses.
    """

    began: float
    noticed: float
    refuses_from: float
    last_deadline: float
    work_ends: float
    final_responses: float
    ends: float

    @classmethod
    def within(
        cls, grace_s: float, began: float, handled: float
    ) -> "Schedule":
        """Return the schedule of a stop.

        :param grace_s: seconds from the stop signal until the process is
            killed.
        :param began: the earliest loop time at which the signal was sent.
        :param handled: loop time from which the node says that it is not
            ready.
        """
        responses_s = min(RESPONSES_S, grace_s * RESPONSES_FRACTION)
        work_s = grace_s - responses_s
        notice_s = min(NOTICE_S, work_s * NOTICE_FRACTION)
        return cls(
            began=began,
            noticed=min(handled + notice_s, began + work_s),
            refuses_from=began + notice_s,
            last_deadline=began
            + work_s
            - min(END_OF_WORK_S, work_s * END_OF_WORK_FRACTION),
            work_ends=began + work_s,
            final_responses=began
            + work_s
            + min(WITHDRAW_S, responses_s * WITHDRAW_FRACTION),
            ends=began + grace_s - responses_s * EXIT_FRACTION,
        )

    def refuse(
        self, call: "calls.Call", expected_s: float, now: float
    ) -> results.ResultCode | None:
        """Refuse a new request that could outlast the stop.

        Calls that belong to requests in progress and may be repeated are
        accepted if the remaining time probably suffices. Their upstream gets
        an earlier deadline, so that it ends the work itself if the time does
        not suffice: a call that was begun is not given up.

        :param expected_s: time that the request probably needs, in seconds.
        :param now: loop time.
        """
        if now < self.refuses_from or call.deadline <= self.work_ends:
            return None
        if not (call.child and call.idempotent):
            return results.NODE_STOPPING
        if now + expected_s > self.last_deadline:
            return results.NODE_STOPPING
        call.shortened_s = call.deadline - self.last_deadline
        call.deadline = self.work_ends
        call.upstream_deadline = self.last_deadline
        return None

    def retry_after_s(self, usual_s: float, now: float) -> float:
        """Return in how many seconds the next process probably serves.

        :param usual_s: time that a request in progress usually needs, in
            seconds.
        :param now: loop time.
        """
        return max(0.0, min(usual_s, self.work_ends - now)) + RESTART_S


class Stop:
    """Carries out a planned stop.

    :param schedule: the loop times of its steps.
    :param stopping_entry: the entry with callers' requests.
    :param own_gate: the gate with calls to the local upstream.
    :param peer_streams: the streams with calls at other hosts.
    :param connections: the open connections of callers.
    """

    def __init__(
        self,
        schedule: Schedule,
        stopping_entry: "entry.Entry",
        own_gate: "gate.Gate",
        peer_streams: "peers.Peers",
        connections: "set[callers.CallerConnection]",
    ) -> None:
        self._schedule = schedule
        self._entry = stopping_entry
        self._gate = own_gate
        self._peers = peer_streams
        self._connections = connections
        self._loop = asyncio.get_running_loop()

    async def run(self, stop_listening: t.Callable[[], None]) -> None:
        """Finish requests in progress and send their responses.

        :param stop_listening: closes the ports.
        """
        work_ends = self._schedule.work_ends
        await self._until(lambda: False, self._schedule.noticed)
        await self._until_idle(work_ends)
        # The gate goes first: withdrawn calls free slots, which must not start
        # waiting calls.
        self._gate.refuse_waiting()
        self._peers.withdraw_all()
        await self._until(self._all_responded, self._schedule.final_responses)
        if self._loop.time() >= work_ends:
            # New requests are rejected at once by now.
            await self._read_arrived()
        self._entry.finish_all()
        # In the same turn of the loop, so that no request is read that would
        # get no response.
        stop_listening()
        for connection in list(self._connections):
            connection.end()
        await self._until(self._all_ended, self._schedule.ends)

    async def _until_idle(self, end: float) -> None:
        """Wait until the node is idle and has read all that has arrived."""
        while self._loop.time() < end:
            await self._until(self._idle, end)
            await self._read_arrived()
            if self._idle():
                return

    async def _read_arrived(self) -> None:
        """Read what has arrived already.

        The event loop of a process that was paused runs its timers first, so
        that requests may have waited for long when a timer is due.
        """
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)

    def _idle(self) -> bool:
        if self._entry.active or self._gate.active:
            return False
        return all(connection.flushed for connection in self._connections)

    def _all_responded(self) -> bool:
        return not self._entry.active

    def _all_ended(self) -> bool:
        # A connection ends once the caller has received the last response.
        return not self._connections and not self._gate.active

    async def _until(self, met: t.Callable[[], bool], end: float) -> None:
        while not met():
            remaining_s = end - self._loop.time()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(TICK_S, remaining_s))
