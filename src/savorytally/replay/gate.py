"""A simulated gate: admission in front of a simulated upstream."""

import itertools
import typing as t

from .. import defaults
from .. import results
from ..decisions import admission
from ..world import route
from ..world import upstream
from . import calls
from . import sender
from . import simulated_upstream
from . import timeline
from . import trace

_MISREPORT_FACTOR = 10


class Gate:
    """Passes calls to an admission policy and carries out its decisions.

    :param trace_gate: the gate of the trace.
    :param call_sender: sends the calls of the gate's upstream.
    """

    def __init__(
        self, trace_gate: trace.Gate, call_sender: sender.Sender
    ) -> None:
        self.trace_gate = trace_gate
        self.inversions = 0
        self.thrown_away_s = 0.0
        self._sender = call_sender
        self._clock = call_sender.clock
        self._header = call_sender.header
        self._variant = call_sender.variant
        self._policy = self._variant.admission(
            admission.Capacity(trace_gate.slots, trace_gate.connections)
        )
        self._upstream = simulated_upstream.SimulatedUpstream(
            self._clock, trace_gate, self._header.conditions
        )
        self._tickets = itertools.count(1)
        self._calls: dict[int, calls.Call] = {}
        self._waiting = {item: 0 for item in route.Priority}
        self._started_at = {item: -1.0 for item in route.Priority}

    def arrive(self, call: calls.Call) -> None:
        """Pass an arriving call to the admission policy."""
        if call.ended:
            return
        now = self._clock.now
        call.ticket = next(self._tickets)
        call.arrived_at = now
        call.root.calls += 1
        self._calls[call.ticket] = call
        organisation_id = call.root.request.arrival.organisation_id
        organisation = self._header.organisations[organisation_id]
        self._waiting[call.route.priority] += 1
        arrival = admission.Arrival(
            ticket=call.ticket,
            organisation_id=organisation_id,
            weight=organisation.weight,
            priority=call.route.priority,
            route_id=sender.hop_route(call.route, call.hop).route_id,
            deadline=call.root.deadline - self._header.delay_s,
        )
        self._apply(self._policy.arrive(arrival, now))

    def cancel(self, call: calls.Call) -> None:
        """Cancel a call that waits or runs."""
        if call.ended:
            return
        call.ended = True
        if call.ticket not in self._calls:
            return
        del self._calls[call.ticket]
        now = self._clock.now
        if call.execution is None:
            self._waiting[call.route.priority] -= 1
            self._apply(self._policy.cancel(call.ticket, now))
            return
        self._stop(call)
        end = admission.CallEnd.WITHDRAWN
        self._apply(self._policy.finish(call.ticket, end, now))

    def tick(self) -> None:
        """Read the upstream's load report and run the policy's timers."""
        now = self._clock.now
        self._policy.learn_report(self._report(), now)
        self._apply(self._policy.tick(now))

    def level(self, call: calls.Call) -> int:
        """Return the shed level to send with a call's reply."""
        now = self._clock.now
        own = self._policy.level(now)
        called = sender.hop_route(call.route, call.hop)
        below = self._sender.downstream.level(called.route_id, now)
        return max(own, below)

    def _report(self) -> upstream.LoadReport:
        misreport = self._upstream.active_misreport()
        if misreport is None:
            in_use = self._upstream.in_use
            return upstream.LoadReport(in_use, True, self._clock.now)
        in_use = (
            0
            if misreport.healthy
            else self.trace_gate.slots * _MISREPORT_FACTOR
        )
        return upstream.LoadReport(in_use, misreport.healthy, self._clock.now)

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
        now = self._clock.now
        self._started_at[call.route.priority] = now
        call.execution = simulated_upstream.Execution(
            service_s=call.service_s,
            on_worked=lambda: self._on_worked(call),
            on_broken=lambda: self._on_broken(call),
        )
        self._upstream.start(call.execution)
        if self._variant.cancels:
            self._clock.at(call.root.deadline, lambda: self._on_deadline(call))

    def _on_worked(self, call: calls.Call) -> None:
        if call.last:
            self._end(call, True)
            return
        call.child = self._sender.send(
            call.root,
            call.hop + 1,
            call.budget,
            lambda reply: self._on_child_reply(call, reply),
        )

    def _on_child_reply(self, call: calls.Call, reply: calls.Reply) -> None:
        if not call.ended:
            self._end(call, reply.ok)

    def _end(self, call: calls.Call, ok: bool) -> None:
        end = admission.CallEnd.ANSWERED if ok else admission.CallEnd.FAILED
        self._finish(call, end, calls.Reply(ok, results.ANSWERED))

    def _on_broken(self, call: calls.Call) -> None:
        if not call.ended:
            reply = calls.Reply(False, results.UPSTREAM_BROKEN)
            if call.execution.started is None:
                reply = calls.Reply(False, results.NOT_DISPATCHED)
            self._finish(call, admission.CallEnd.BROKEN, reply)

    def _on_deadline(self, call: calls.Call) -> None:
        if call.ended or call.ticket not in self._calls:
            return
        reply = calls.Reply(False, results.DEADLINE_PASSED)
        self._finish(call, admission.CallEnd.LATE, reply)

    def _finish(
        self, call: calls.Call, end: admission.CallEnd, reply: calls.Reply
    ) -> None:
        call.ended = True
        del self._calls[call.ticket]
        self._stop(call)
        now = self._clock.now
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
        before_hang_up_s = 0.0
        if execution.started is not None and root.hung_up_at is not None:
            before_hang_up_s = max(0.0, root.hung_up_at - execution.started)
        if root.ended and not root.ok:
            self.thrown_away_s += max(0.0, worked_s - before_hang_up_s)
        elif not root.ended:
            root.worked_s += worked_s


def every_tick(
    clock: timeline.Timeline, gates: t.Sequence[Gate], until_s: float
) -> None:
    """Tick all gates periodically until a time.

    :param clock: the virtual clock.
    :param gates: the gates.
    :param until_s: time of the last tick in seconds.
    """

    def tick() -> None:
        for gate in gates:
            gate.tick()
        if clock.now < until_s:
            clock.after(defaults.CONTROL_TICK_S, tick)

    clock.at(0.0, tick)
