"""Calls to one peer whose results have not arrived."""

import asyncio
import dataclasses
import typing as t

from .. import defaults
from .. import outcomes
from .. import ports
from . import answers
from . import messages

UNDISPATCHED = -1


@dataclasses.dataclass(slots=True)
class Pending:
    """A call whose result has not arrived.

    :param call: the call.
    :param future: takes the result.
    :param late: takes the result after the caller has given up.
    :param since: when the call was registered, time of the loop.
    :param timer: ends the call at its deadline.
    :param incarnation: of the peer that it was sent to.
    :param assembly: the messages of its answer.
    """

    call: messages.Call
    future: asyncio.Future[ports.CallResult]
    late: ports.Late | None
    since: float
    timer: asyncio.TimerHandle
    incarnation: int = UNDISPATCHED
    assembly: answers.Assembly | None = None

    @property
    def dispatched(self) -> bool:
        """Whether the call was sent on some stream."""
        return self.incarnation != UNDISPATCHED


class Calls:
    """Matches results to calls; what belongs to no call is ignored.

    :param expire: called at the deadline of a call.
    """

    def __init__(self, expire: t.Callable[[Pending], None]) -> None:
        self._expire = expire
        self._loop = asyncio.get_running_loop()
        self._calls: dict[int, Pending] = {}
        self._last_id = 0
        self._finished = 0
        self._settled_at = self._loop.time()

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._calls

    def all(self) -> list[Pending]:
        """Return the calls, oldest first."""
        return list(self._calls.values())

    def register(
        self, call: messages.Call, late: ports.Late | None
    ) -> Pending:
        """Take in a call before it is sent."""
        allowed_ms = call.remaining_ms + defaults.ANSWER_MARGIN_MS
        pending = Pending(
            call=call,
            future=self._loop.create_future(),
            late=late,
            since=self._loop.time(),
            timer=self._loop.call_later(
                allowed_ms / 1000, self._expired, call.call_id
            ),
        )
        self._calls[call.call_id] = pending
        self._last_id = call.call_id
        return pending

    def answer(self, head: messages.AnswerHead) -> None:
        """Take in the first message of an answer."""
        assembly = self._assembly(head.call_id)
        if assembly is not None:
            assembly.add_head(head)
            self._finish_if_complete(head.call_id, assembly)

    def piece(self, piece: messages.AnswerPiece) -> None:
        """Take in a later message of an answer."""
        assembly = self._assembly(piece.call_id)
        if assembly is not None:
            assembly.add_piece(piece)
            self._finish_if_complete(piece.call_id, assembly)

    def finish(
        self, call_id: int, outcome: outcomes.Outcome, level: int = -1
    ) -> None:
        """End a call with its result.

        :param level: the shed level that came with it, -1 if none did.
        """
        pending = self._calls.pop(call_id, None)
        if pending is None:
            return
        pending.timer.cancel()
        self._finished += 1
        result = ports.CallResult(outcome, level)
        if not pending.future.done():
            pending.future.set_result(result)
        elif pending.late is not None:
            pending.late(result)

    def finish_all(self, outcome: outcomes.Outcome) -> None:
        """End all calls with one result."""
        for call_id in list(self._calls):
            self.finish(call_id, outcome)

    def settled(self, now: float) -> messages.Settled | None:
        """Return what to tell the peer about ended calls, if it is time."""
        due = now - self._settled_at >= defaults.SETTLE_PERIOD_S
        many = self._finished >= defaults.SETTLE_CALLS
        if not self._finished or not (many or due):
            return None
        self._finished = 0
        self._settled_at = now
        return messages.Settled(next(iter(self._calls), self._last_id + 1))

    def _assembly(self, call_id: int) -> answers.Assembly | None:
        pending = self._calls.get(call_id)
        if pending is None:
            return None
        if pending.assembly is None:
            pending.assembly = answers.Assembly()
        return pending.assembly

    def _finish_if_complete(
        self, call_id: int, assembly: answers.Assembly
    ) -> None:
        if assembly.complete:
            self.finish(call_id, assembly.outcome(), assembly.level)

    def _expired(self, call_id: int) -> None:
        pending = self._calls.get(call_id)
        if pending is not None:
            self._expire(pending)
