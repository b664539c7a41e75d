"""Pending calls to one peer, which await their results."""

import asyncio
import dataclasses
import typing as t

from .. import defaults
from .. import outcomes
from .. import ports
from . import answers
from . import messages

# Incarnation of a call that has not been sent on any stream.
UNDISPATCHED = -1


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that awaits its result.

    :param call: the call.
    :param future: receives the result.
    :param late: called with the result if the caller has cancelled the call.
    :param registered_at: when the call was registered, in seconds of the
        event loop's clock.
    :param timer: ends the call at its deadline.
    :param incarnation: incarnation of the peer that the call was sent to.
    :param assembly: the messages of its answer received so far.
    """

    call: messages.Call
    future: asyncio.Future[ports.CallResult]
    late: ports.LateResult | None
    registered_at: float
    timer: asyncio.TimerHandle
    incarnation: int = UNDISPATCHED
    assembly: answers.Assembly | None = None

    @property
    def dispatched(self) -> bool:
        """Whether the call has been sent on a stream."""
        return self.incarnation != UNDISPATCHED


class PendingCalls:
    """Matches results to pending calls; results of other calls are ignored.

    :param expire: called with each call that is pending at its deadline.
    """

    def __init__(self, expire: t.Callable[[PendingCall], None]) -> None:
        self._expire = expire
        self._loop = asyncio.get_running_loop()
        self._calls: dict[int, PendingCall] = {}
        self._last_call_id = 0
        self._finished_since_settled = 0
        self._last_settled_at = self._loop.time()

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._calls

    def all(self) -> list[PendingCall]:
        """Return the pending calls, oldest first."""
        return list(self._calls.values())

    def register(
        self, call: messages.Call, late: ports.LateResult | None
    ) -> PendingCall:
        """Add a call before it is sent.

        :param late: called with the result if the caller has cancelled the
            call.
        """
        allowed_ms = call.remaining_ms + defaults.RESPONSE_MARGIN_MS
        pending = PendingCall(
            call=call,
            future=self._loop.create_future(),
            late=late,
            registered_at=self._loop.time(),
            timer=self._loop.call_later(
                allowed_ms / 1000, self._on_deadline, call.call_id
            ),
        )
        self._calls[call.call_id] = pending
        self._last_call_id = call.call_id
        return pending

    def add_answer_head(self, head: messages.AnswerHead) -> None:
        """Handle the first message of an answer."""
        assembly = self._assembly(head.call_id)
        if assembly is not None:
            assembly.add_head(head)
            self._finish_if_complete(head.call_id, assembly)

    def add_answer_piece(self, piece: messages.AnswerPiece) -> None:
        """Handle a later message of an answer."""
        assembly = self._assembly(piece.call_id)
        if assembly is not None:
            assembly.add_piece(piece)
            self._finish_if_complete(piece.call_id, assembly)

    def finish(
        self, call_id: int, outcome: outcomes.Outcome, shed_level: int = -1
    ) -> None:
        """End a call with its result.

        :param shed_level: the shed level received with it, -1 if unknown.
        """
        pending = self._calls.pop(call_id, None)
        if pending is None:
            return
        pending.timer.cancel()
        self._finished_since_settled += 1
        result = ports.CallResult(outcome, shed_level)
        if not pending.future.done():
            pending.future.set_result(result)
        elif pending.late is not None:
            pending.late(result)

    def finish_all(self, outcome: outcomes.Outcome) -> None:
        """End all pending calls with the same outcome."""
        for call_id in list(self._calls):
            self.finish(call_id, outcome)

    def take_settled_message(self, now: float) -> messages.CallsSettled | None:
        """Return the message that settles ended calls, if one is due.

        It allows the peer to forget the ended calls. One is due after a
        number of calls or a period of time, whichever comes first.

        :param now: time of the event loop in seconds.
        """
        period_over = (
            now - self._last_settled_at >= defaults.ACKNOWLEDGE_PERIOD_S
        )
        enough_calls = (
            self._finished_since_settled >= defaults.ACKNOWLEDGE_CALLS
        )
        if not self._finished_since_settled or not (
            enough_calls or period_over
        ):
            return None
        self._finished_since_settled = 0
        self._last_settled_at = now
        return messages.CallsSettled(
            next(iter(self._calls), self._last_call_id + 1)
        )

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
            self.finish(call_id, assembly.outcome(), assembly.shed_level)

    def _on_deadline(self, call_id: int) -> None:
        pending = self._calls.get(call_id)
        if pending is not None:
            self._expire(pending)
