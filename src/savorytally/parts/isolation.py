"""Holds back calls that may crash the upstream until they are judged."""

import asyncio

from .. import clock
from .. import outcomes
from .. import ports
from .. import results
from ..decisions import admission
from ..decisions import quarantine
from ..peer import messages

POLL_S = 0.05
HELD_MAX = 64
HELD_RETRY_AFTER_MS = 1_000


class Isolation:
    """Asks the quarantine about calls and tells it what became of them.

    :param now: the host's clock.
    :param judge: decides.
    """

    def __init__(self, now: clock.Clock, judge: quarantine.Quarantine) -> None:
        self._clock = now
        self._quarantine = judge
        self._held = 0

    async def judge(
        self, call: messages.Call, deadline: float
    ) -> quarantine.Verdict | outcomes.Failure:
        """Return how a call may run, or why it does not.

        A suspect that another host is trying waits for the verdict.
        """
        verdict = self._judge(call)
        if not isinstance(verdict, quarantine.Wait):
            return _refuse(call, verdict)
        if self._held >= HELD_MAX:
            return _not_run(call, results.SHED_AT_GATE, HELD_RETRY_AFTER_MS)
        self._held += 1
        try:
            while isinstance(verdict, quarantine.Wait):
                if self._clock.now() + POLL_S >= deadline:
                    code = results.DEADLINE_TOO_SHORT
                    return _not_run(call, code, HELD_RETRY_AFTER_MS)
                await asyncio.sleep(POLL_S)
                verdict = self._judge(call)
        except asyncio.CancelledError as error:
            code = results.CANCELLED_BEFORE_START
            raise ports.Withdrawn(_not_run(call, code, 0)) from error
        finally:
            self._held -= 1
        return _refuse(call, verdict)

    def started(self, ticket: int, call: messages.Call) -> None:
        """Note a call that is sent to the upstream."""
        now = self._clock.now()
        self._quarantine.started(ticket, call.fingerprint, now)

    def ended(
        self,
        ticket: int,
        end: admission.End,
        outcome: outcomes.Outcome | None,
    ) -> None:
        """Note the end of a call."""
        dispatched = True
        if isinstance(outcome, outcomes.Failure):
            dispatched = not outcome.code.not_run
        now = self._clock.now()
        self._quarantine.ended(ticket, end, dispatched, now)

    def _judge(self, call: messages.Call) -> quarantine.Verdict:
        return self._quarantine.judge(call.fingerprint, self._clock.now())


def _refuse(
    call: messages.Call, verdict: quarantine.Verdict
) -> quarantine.Verdict | outcomes.Failure:
    if not isinstance(verdict, quarantine.Guilty):
        return verdict
    return _not_run(call, results.QUARANTINED, verdict.retry_after_ms)


def _not_run(
    call: messages.Call, code: results.ResultCode, retry_after_ms: int
) -> outcomes.Failure:
    return outcomes.Failure(
        code, retry_after_ms=retry_after_ms, retries_unused=call.retries
    )
