"""Delays calls suspected of crashing upstreams until a verdict is known."""

import asyncio

from .. import clock
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import admission
from ..decisions import quarantine
from ..peer import messages

VERDICT_POLL_S = 0.05
HELD_CALLS_MAX = 64
HELD_RETRY_AFTER_MS = 1_000


class Isolation:
    """Checks calls with the quarantine and reports their outcomes to it.

    :param node_clock: the node's clock.
    :param crash_quarantine: decides whether and how a call may run.
    """

    def __init__(
        self, node_clock: clock.Clock, crash_quarantine: quarantine.Quarantine
    ) -> None:
        self._clock = node_clock
        self._quarantine = crash_quarantine
        self._held_calls = 0

    async def await_verdict(
        self, call: messages.Call, deadline: float
    ) -> quarantine.Decision | outcomes.Failure:
        """Return how a call may run, or the failure that rejects it.

        While another host runs the same suspected request in isolation, the
        call waits for the verdict.

        :param deadline: when the call's sender needs the answer, in seconds
            of the node's clock.
        """
        now = self._clock.now()
        verdict = self._quarantine.check(call.fingerprint, now, call.suspect)
        if not isinstance(verdict, quarantine.WaitForTrial):
            return _reject_if_convicted(call, verdict)
        if self._held_calls >= HELD_CALLS_MAX:
            return _not_run(call, results.SHED_AT_GATE, HELD_RETRY_AFTER_MS)
        self._held_calls += 1
        try:
            while isinstance(verdict, quarantine.WaitForTrial):
                if self._clock.now() + VERDICT_POLL_S >= deadline:
                    code = results.DEADLINE_TOO_SHORT
                    return _not_run(call, code, HELD_RETRY_AFTER_MS)
                await asyncio.sleep(VERDICT_POLL_S)
                verdict = self._recheck(call)
        except asyncio.CancelledError as error:
            code = results.CANCELLED_BEFORE_START
            raise ports.CallCancelled(_not_run(call, code, 0)) from error
        finally:
            self._held_calls -= 1
        return _reject_if_convicted(call, verdict)

    def started(self, ticket: int, call: messages.Call) -> None:
        """Record that a call is being sent to the upstream."""
        now = self._clock.now()
        self._quarantine.started(ticket, call.fingerprint, now)

    def ended(
        self,
        ticket: int,
        end: admission.CallEnd,
        outcome: outcomes.Outcome | None,
    ) -> None:
        """Record the end of a call.

        :param outcome: its outcome, ``None`` if it was cancelled.
        """
        dispatched = True
        if isinstance(outcome, outcomes.Failure):
            dispatched = not outcome.code.not_run
        now = self._clock.now()
        self._quarantine.ended(ticket, end, dispatched, now)

    def _recheck(self, call: messages.Call) -> quarantine.Decision:
        return self._quarantine.check(call.fingerprint, self._clock.now())


def _reject_if_convicted(
    call: messages.Call, verdict: quarantine.Decision
) -> quarantine.Decision | outcomes.Failure:
    if not isinstance(verdict, quarantine.Quarantined):
        return verdict
    return _not_run(call, results.QUARANTINED, verdict.retry_after_ms)


def _not_run(
    call: messages.Call, code: results.ResultCode, retry_after_ms: int
) -> outcomes.Failure:
    return outcomes.Failure(
        code, retry_after_ms=retry_after_ms, retries_unused=call.retries
    )
