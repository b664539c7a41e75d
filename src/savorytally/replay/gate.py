"""A gate of a replay: admission in front of an upstream stand-in."""

import itertools
import typing as t

from .. import defaults
from .. import results
from ..decisions import admission
from ..world import route
from ..world import upstream
from . import calls
from . import sender
from . import stand_in
from . import timeline
from . import trace

_MISREPORT_FACTOR = 10


class Gate:
    """Feeds calls to an admission policy and does what it decides.

    :param given: its slots.
    :param below: sends the upstream's own calls.
    """

    def __init__(self, given: trace.Gate, below: sender.Sender) -> None:
        self.given = given
        self.inversions = 0
        self.thrown_away_s = 0.0
        self._below = below
        self._line = below.line
        self._header = below.header
        self._variant = below.variant
        self._policy = self._variant.admission(
            admission.Capacity(given.slots, given.connections)
        )
        self._upstream = stand_in.Upstream(
            self._line, given, self._header.conditions
        )
        self._tickets = itertools.count(1)
        self._calls: dict[int, calls.Call] = {}
        self._waiting = {item: 0 for item in route.Priority}
        self._started_at = {item: -1.0 for item in route.Priority}

    def arrive(self, call: calls.Call) -> None:
        """Take in a call."""
        if call.ended:
            return
        now = self._line.now
        call.ticket = next(self._tickets)
        call.arrived_at = now
        call.root.calls += 1
        self._calls[call.ticket] = call
        organisation_id = call.root.request.arrival.organisation_id
        holder = self._header.organisations[organisation_id]
        self._waiting[call.route.priority] += 1
        arrival = admission.Arrival(
            ticket=call.ticket,
            organisation_id=organisation_id,
            weight=holder.weight,
            priority=call.route.priority,
            route_id=sender.hop_route(call.route, call.hop).route_id,
            deadline=call.root.deadline - self._header.delay_s,
        )
        self._apply(self._policy.arrive(arrival, now))

    def cancel(self, call: calls.Call) -> None:
        """Withdraw a call whose answer is no longer wanted."""
        if call.ended:
            return
        call.ended = True
        if call.ticket not in self._calls:
            return
        del self._calls[call.ticket]
        now = self._line.now
        if call.execution is None:
            self._waiting[call.route.priority] -= 1
            self._apply(self._policy.cancel(call.ticket, now))
            return
        self._stop(call)
        end = admission.End.WITHDRAWN
        self._apply(self._policy.finish(call.ticket, end, now))

    def tick(self) -> None:
        """Let the policy do what is due, and read the upstream's report."""
        now = self._line.now
        self._policy.learn_report(self._report(), now)
        self._apply(self._policy.tick(now))

    def level(self, call: calls.Call) -> int:
        """Return the level to send with a call's reply."""
        now = self._line.now
        own = self._policy.level(now)
        called = sender.hop_route(call.route, call.hop)
        below = self._below.downstream.level(called.route_id, now)
        return max(own, below)

    def _report(self) -> upstream.LoadReport:
        false = self._upstream.misleading()
        if false is None:
            in_use = self._upstream.in_use
            return upstream.LoadReport(in_use, True, self._line.now)
        in_use = 0 if false.healthy else self.given.slots * _MISREPORT_FACTOR
        return upstream.LoadReport(in_use, false.healthy, self._line.now)

    def _apply(self, decisions: list[admission.Decision]) -> None:
        for decision in decisions:
            call = self._calls[decision.ticket]
            self._waiting[call.route.priority] -= 1
            if isinstance(decision, admission.Start):
                self._execute(call)
            else:
                self._refuse(call, decision)

    def _refuse(self, call: calls.Call, decision: admission.Refuse) -> None:
        self._count_inversion(call, decision.code)
        del self._calls[call.ticket]
        call.ended = True
        call.done(
            calls.Reply(
                False,
                decision.code,
                decision.retry_after_ms,
                self.level(call),
            )
        )

    def _count_inversion(
        self, call: calls.Call, code: results.ResultCode
    ) -> None:
        lower = [x for x in route.Priority if x < call.route.priority]
        served = any(self._started_at[x] > call.arrived_at for x in lower)
        queued = any(self._waiting[x] > 0 for x in lower)
        if served or (queued and code is results.SHED_AT_GATE):
            self.inversions += 1

    def _execute(self, call: calls.Call) -> None:
        now = self._line.now
        self._started_at[call.route.priority] = now
        call.execution = stand_in.Execution(
            service_s=call.service_s,
            below=lambda: self._worked(call),
            broken=lambda: self._broken(call),
        )
        self._upstream.start(call.execution)
        if self._variant.cancels:
            self._line.at(call.root.deadline, lambda: self._late(call))

    def _worked(self, call: calls.Call) -> None:
        if call.last:
            self._end(call, True)
            return
        call.child = self._below.send(
            call.root,
            call.hop + 1,
            call.budget,
            lambda reply: self._answered_below(call, reply),
        )

    def _answered_below(self, call: calls.Call, reply: calls.Reply) -> None:
        if not call.ended:
            self._end(call, reply.ok)

    def _end(self, call: calls.Call, ok: bool) -> None:
        end = admission.End.ANSWERED if ok else admission.End.FAILED
        self._finish(call, end, calls.Reply(ok, results.ANSWERED))

    def _broken(self, call: calls.Call) -> None:
        if not call.ended:
            reply = calls.Reply(False, results.UPSTREAM_BROKEN)
            if call.execution.started is None:
                reply = calls.Reply(False, results.NOT_DISPATCHED)
            self._finish(call, admission.End.BROKEN, reply)

    def _late(self, call: calls.Call) -> None:
        if call.ended or call.ticket not in self._calls:
            return
        reply = calls.Reply(False, results.DEADLINE_PASSED)
        self._finish(call, admission.End.LATE, reply)

    def _finish(
        self, call: calls.Call, end: admission.End, reply: calls.Reply
    ) -> None:
        call.ended = True
        del self._calls[call.ticket]
        self._stop(call)
        now = self._line.now
        self._apply(self._policy.finish(call.ticket, end, now))
        call.done(
            calls.Reply(
                reply.ok, reply.code, reply.retry_after_ms, self.level(call)
            )
        )

    def _stop(self, call: calls.Call) -> None:
        if call.child is not None:
            call.child.cancel()
        execution = call.execution
        worked_s = self._upstream.release(execution)
        root = call.root
        excused_s = 0.0
        if execution.started is not None and root.hung_up_at is not None:
            excused_s = max(0.0, root.hung_up_at - execution.started)
        if root.ended and not root.ok:
            self.thrown_away_s += max(0.0, worked_s - excused_s)
        elif not root.ended:
            root.worked_s += worked_s


def every_tick(
    line: timeline.Timeline, gates: t.Sequence[Gate], until_s: float
) -> None:
    """Tick the gates until a time."""

    def tick() -> None:
        for gate in gates:
            gate.tick()
        if line.now < until_s:
            line.after(defaults.CONTROL_TICK_S, tick)

    line.at(0.0, tick)
