"""Plays a trace with one variant of the policies."""

import dataclasses

from .. import outcomes
from .. import results
from ..decisions import retry
from ..decisions import shares
from ..decisions import shedding
from ..world import configuration
from . import calls
from . import gate
from . import timeline
from . import trace
from . import variants

TAIL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """What became of a trace.

    :param requests: all requests of the trace.
    :param thrown_away_s: upstream work for requests that had no answer.
    :param inversions: refusals of a class while a lower one was served.
    """

    requests: tuple[calls.Request, ...]
    thrown_away_s: float
    inversions: int


class Job:
    """Sends one call of a chain, and again where the variant permits.

    :param player: the replay.
    :param root: the root request.
    :param hop: index of the service to be called.
    :param budget: retries that it may use.
    :param done: told of the last reply.
    """

    def __init__(
        self,
        player: "Player",
        root: calls.Root,
        hop: int,
        budget: retry.RetryBudget,
        done: calls.Done,
    ) -> None:
        self._player = player
        self._root = root
        self._hop = hop
        self._budget = budget
        self._done = done
        self._attempts = 0
        self._call: calls.Call | None = None
        self._gate: gate.Gate | None = None
        self._ended = False

    def start(self) -> None:
        """Send the next attempt."""
        player = self._player
        if self._ended:
            return
        hosts = player.hosts_of(self._root, self._hop)
        self._gate = hosts[self._attempts % len(hosts)]
        self._attempts += 1
        if player.refuses(self._root, self._hop, self._gate):
            level = player.level(self._root, self._gate)
            reply = calls.Reply(False, results.SHED_AT_ENTRY, level)
            self._end(reply)
            return
        lent = self._budget.lend()
        call = calls.Call(
            root=self._root,
            hop=self._hop,
            budget=retry.RetryBudget(lent),
            done=lambda reply: player.later(
                lambda: self._replied(reply, lent)
            ),
        )
        self._call = call
        called = self._gate
        player.later(lambda: called.arrive(call))

    def cancel(self) -> None:
        """Withdraw the call in progress."""
        self._ended = True
        call, called = self._call, self._gate
        if call is not None and self._player.variant.cancels:
            self._player.later(lambda: called.cancel(call))

    def _replied(self, reply: calls.Reply, lent: int) -> None:
        if self._ended:
            return
        self._player.heard(self._root, self._gate, reply.level)
        unused = lent if reply.code.not_run else self._call.budget.left
        self._budget.give_back(unused, lent)
        self._call = None
        if not reply.ok and self._again(reply):
            self.start()
            return
        self._end(reply)

    def _again(self, reply: calls.Reply) -> bool:
        player = self._player
        if not player.variant.budget:
            return self._attempts <= variants.NAIVE_RETRIES
        hosts = player.hosts_of(self._root, self._hop)
        if self._attempts >= len(hosts) or reply.code is results.ANSWERED:
            return False
        route = self._root.request.arrival.route
        attempt = retry.Attempt(
            idempotent=route.idempotent,
            remaining_s=self._root.deadline - player.line.now,
        )
        failure = outcomes.Failure(reply.code)
        if not retry.worthwhile(failure, attempt):
            return False
        return self._budget.spend()

    def _end(self, reply: calls.Reply) -> None:
        self._ended = True
        self._done(reply)


class Player:
    """Callers, an entry and the gates of a trace.

    :param played: the trace.
    :param variant: the policies in use.
    """

    def __init__(self, played: trace.Trace, variant: variants.Variant) -> None:
        self.line = timeline.Timeline()
        self.variant = variant
        self._trace = played
        self._header = played.header
        self._gates = [
            gate.Gate(
                self.line, item, self._header, variant, self._start_child
            )
            for item in self._header.gates.values()
        ]
        self._by_service: dict[str, list[gate.Gate]] = {}
        for item in self._gates:
            service_id = item.given.service_id
            self._by_service.setdefault(service_id, []).append(item)
        self._levels: dict[tuple[str, str], tuple[int, float]] = {}
        self._shares = shares.Shares()
        self._numbers = shedding.RootNumbers()
        self._thrown_away_s = 0.0

    def play(self) -> Played:
        """Replay the whole trace."""
        requests = [calls.Request(item) for item in self._trace.arrivals]
        for request in requests:
            self._schedule(request)
        last_s = self._trace.arrivals[-1].at_s if requests else 0.0
        until_s = last_s + TAIL_S
        gate.every_tick(self.line, self._gates, until_s)
        self.line.run(until_s)
        thrown_away_s = sum(item.thrown_away_s for item in self._gates)
        return Played(
            requests=tuple(requests),
            thrown_away_s=thrown_away_s + self._thrown_away_s,
            inversions=sum(item.inversions for item in self._gates),
        )

    def later(self, work: timeline.Work) -> None:
        """Do some work after the one-way delay."""
        self.line.after(self._header.delay_s, work)

    def hosts_of(self, root: calls.Root, hop: int) -> list[gate.Gate]:
        """Return the gates of a service in the order they are tried."""
        arrival = root.request.arrival
        hosts = self._by_service[arrival.route.services[hop]]
        first = arrival.root % len(hosts)
        return hosts[first:] + hosts[:first]

    def refuses(self, root: calls.Root, hop: int, called: gate.Gate) -> bool:
        """Return whether a call is shed before it is sent."""
        arrival = root.request.arrival
        level = self.level(root, called)
        priority = arrival.route.priority
        if hop > 0:
            return shedding.admitted(level, priority) == 0.0
        if not self.variant.shares:
            return not shedding.admits(level, priority, root.number)
        organisation_id = arrival.organisation_id
        return not self._shares.admits(
            level, priority, organisation_id, root.number
        )

    def level(self, root: calls.Root, called: gate.Gate) -> int:
        """Return the level that a gate was heard to publish for a route."""
        route_id = root.request.arrival.route.route_id
        key = (called.given.gate_id, route_id)
        level, at = self._levels.get(key, (0, 0.0))
        return shedding.faded(level, self.line.now - at)

    def heard(self, root: calls.Root, called: gate.Gate, level: int) -> None:
        """Note the level that came with a reply."""
        route_id = root.request.arrival.route.route_id
        key = (called.given.gate_id, route_id)
        self._levels[key] = (level, self.line.now)

    def _start_child(self, call: calls.Call, done: calls.Done) -> Job:
        job = Job(self, call.root, call.hop + 1, call.budget, done)
        job.start()
        return job

    def _schedule(self, request: calls.Request) -> None:
        at_s = request.arrival.at_s
        self.line.at(at_s, lambda: self._send(request))

    def _send(self, request: calls.Request) -> None:
        if request.hung_up:
            return
        arrival = request.arrival
        now = self.line.now
        request.sends += 1
        root = calls.Root(
            request=request,
            deadline=now + arrival.route.timeout_s,
            budget=retry.RetryBudget(configuration.RetryPolicy().per_root),
            number=self._numbers.next(
                arrival.route.priority, arrival.organisation_id
            ),
        )
        self._note_demand(arrival, now)
        job = Job(
            self, root, 0, root.budget, lambda reply: self._end(root, reply)
        )
        job.start()
        self.line.at(root.deadline, lambda: self._give_up(root, job))
        hang_up_at = arrival.at_s + arrival.hang_up_s
        if hang_up_at < root.deadline:
            self.line.at(hang_up_at, lambda: self._hang_up(root, job))

    def _note_demand(self, arrival: trace.Arrival, now: float) -> None:
        organisation_id = arrival.organisation_id
        weight = self._header.organisations[organisation_id].weight
        priority = arrival.route.priority
        self._shares.note(priority, organisation_id, weight, now)

    def _give_up(self, root: calls.Root, job: Job) -> None:
        if not root.ended:
            job.cancel()
            self._end(root, calls.Reply(False, results.DEADLINE_UNKNOWN))

    def _hang_up(self, root: calls.Root, job: Job) -> None:
        if root.ended:
            return
        root.hung_up_at = self.line.now
        root.request.hung_up = True
        root.worked_s = 0.0
        job.cancel()
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
            request.answered_at = self.line.now
            return
        self._thrown_away_s += root.worked_s
        client = request.arrival.client
        if request.hung_up or request.sends > client.resends:
            return
        wait_s = client.wait_s
        if client.obeys:
            wait_s = max(wait_s, reply.retry_after_ms / 1000)
        self.line.after(wait_s, lambda: self._send(request))
