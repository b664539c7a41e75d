"""Replays a trace with one variant of the policies."""

import dataclasses

from .. import results
from ..decisions import retry
from ..decisions import shedding
from ..world import configuration
from . import calls
from . import gate
from . import sender
from . import timeline
from . import trace
from . import variants

TAIL_S = 5.0
ENTRY_SEED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayResult:
    """Result of a replay.

    :param requests: all requests of the trace.
    :param thrown_away_s: slot time that upstreams spent on failed requests.
    :param inversions: number of rejections of a request while one of a lower
        priority class was served.
    """

    requests: tuple[calls.Request, ...]
    thrown_away_s: float
    inversions: int


class Player:
    """Simulates the callers, an entry and the gates of a trace.

    :param played: the trace.
    :param variant: the mechanisms in use.
    """

    def __init__(self, played: trace.Trace, variant: variants.Variant) -> None:
        header = played.header
        self.clock = timeline.Timeline()
        self.gates: dict[str, gate.Gate] = {}
        self._trace = played
        self._numbers = shedding.RootNumbers()
        self._thrown_away_s = 0.0
        self._entry = self._sender(header, variant, ENTRY_SEED)
        for number, item in enumerate(header.gates.values(), ENTRY_SEED + 1):
            below = self._sender(header, variant, number)
            self.gates[item.gate_id] = gate.Gate(item, below)

    def play(self) -> ReplayResult:
        """Replay the whole trace."""
        requests = [calls.Request(item) for item in self._trace.arrivals]
        for request in requests:
            self._schedule(request)
        last_s = self._trace.arrivals[-1].at_s if requests else 0.0
        until_s = last_s + TAIL_S
        gates = list(self.gates.values())
        gate.every_tick(self.clock, gates, until_s)
        self.clock.run(until_s)
        thrown_away_s = sum(item.thrown_away_s for item in gates)
        return ReplayResult(
            requests=tuple(requests),
            thrown_away_s=thrown_away_s + self._thrown_away_s,
            inversions=sum(item.inversions for item in gates),
        )

    def _sender(
        self, header: trace.Header, variant: variants.Variant, seed: int
    ) -> sender.Sender:
        return sender.Sender(self.clock, header, variant, self.gates, seed)

    def _schedule(self, request: calls.Request) -> None:
        at_s = request.arrival.at_s
        self.clock.at(at_s, lambda: self._send(request))

    def _send(self, request: calls.Request) -> None:
        if request.hung_up:
            return
        arrival = request.arrival
        now = self.clock.now
        request.sends += 1
        root = calls.Root(
            request=request,
            deadline=now + arrival.route.timeout_s,
            budget=retry.RetryBudget(configuration.RetryPolicy().per_root),
            number=self._numbers.next(
                arrival.route.priority, arrival.organisation_id
            ),
        )
        outgoing = self._entry.send(
            root, 0, root.budget, lambda reply: self._end(root, reply)
        )
        self.clock.at(root.deadline, lambda: self._time_out(root, outgoing))
        hang_up_at = arrival.at_s + arrival.hang_up_s
        if hang_up_at < root.deadline:
            self.clock.at(hang_up_at, lambda: self._disconnect(root, outgoing))

    def _time_out(
        self, root: calls.Root, outgoing: sender.OutgoingCall
    ) -> None:
        if not root.ended:
            outgoing.cancel()
            self._end(root, calls.Reply(False, results.DEADLINE_UNKNOWN))

    def _disconnect(
        self, root: calls.Root, outgoing: sender.OutgoingCall
    ) -> None:
        if root.ended:
            return
        root.hung_up_at = self.clock.now
        root.request.hung_up = True
        root.worked_s = 0.0
        outgoing.cancel()
        self._end(root, calls.Reply(False, results.CANCELLED_AFTER_START))

    def _end(self, root: calls.Root, reply: calls.Reply) -> None:
        if root.ended:
            return
        root.ended = True
        root.ok = reply.ok
        request = root.request
        request.calls += root.calls
        request.calls_max = max(request.calls_max, root.calls)
        if reply.ok:
            request.answered_at = self.clock.now
            return
        self._thrown_away_s += root.worked_s
        client = request.arrival.client
        if request.hung_up or request.sends > client.resends:
            return
        wait_s = client.wait_s
        if client.obeys:
            wait_s = max(wait_s, reply.retry_after_ms / 1000)
        self.clock.after(wait_s, lambda: self._send(request))
