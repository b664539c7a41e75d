"""The calling side of a simulated node: routing, shedding and retries."""

import functools
import random
import typing as t

from .. import outcomes
from .. import results
from ..decisions import downstream
from ..decisions import fair_shares
from ..decisions import retry
from ..decisions import routing
from ..decisions import shedding
from ..world import configuration
from ..world import host
from ..world import region
from ..world import route
from . import calls
from . import timeline
from . import trace
from . import variants

PLACE = region.Place("region", "data-centre")

_HOST_FAILURES = (results.NOT_DISPATCHED, results.UPSTREAM_BROKEN)


class Receiver(t.Protocol):
    """The simulated gate of a host."""

    def arrive(self, call: calls.Call) -> None:
        """Receive a call."""

    def cancel(self, call: calls.Call) -> None:
        """Cancel a call."""


Receivers = t.Mapping[str, Receiver]


class Sender:
    """Sends the calls of one simulated node.

    :param clock: the virtual clock.
    :param header: header of the trace.
    :param variant: the mechanisms in use.
    :param receivers: all gates by host, complete before the first call.
    :param seed: seed of the node's random choices.
    """

    def __init__(
        self,
        clock: timeline.Timeline,
        header: trace.Header,
        variant: variants.Variant,
        receivers: Receivers,
        seed: int,
    ) -> None:
        self.clock = clock
        self.header = header
        self.variant = variant
        self.receivers = receivers
        self.routing = routing.policies.get(variant.routing)(
            PLACE, random.Random(seed)
        )
        self.routing.learn_hosts(_hosts(header), clock.now)
        self.retry_ratio = retry.RetryRatio(configuration.RetryPolicy().ratio)
        self.downstream = downstream.DownstreamLevels(self.routing.route_level)
        self._shares = fair_shares.FairShares()

    def send(
        self,
        root: calls.Root,
        hop: int,
        budget: retry.RetryBudget,
        done: calls.Done,
    ) -> "OutgoingCall":
        """Start a call with its retries and return it.

        :param root: the root request.
        :param hop: index of the called service in the route's chain.
        :param budget: retry budget of the call.
        :param done: called with the last reply.
        """
        now = self.clock.now
        arrival = root.request.arrival
        name = arrival.organisation_id
        weight = self.header.organisations[name].weight
        self._shares.note(arrival.route.priority, name, weight, now)
        if hop > 0:
            parent_route = hop_route(arrival.route, hop - 1)
            child_route = hop_route(arrival.route, hop)
            self.downstream.called(parent_route.route_id, child_route, now)
        self.retry_ratio.first_attempt()
        outgoing = OutgoingCall(self, root, hop, budget, done)
        outgoing.start()
        return outgoing

    def after_delay(self, work: timeline.Work) -> None:
        """Schedule some work after the trace's one-way network delay."""
        self.clock.after(self.header.delay_s, work)

    def admits(self, root: calls.Root, hop: int, level: int) -> bool:
        """Return whether a shed level admits a call.

        :param root: the root request.
        :param hop: index of the called service; calls within the chain are
            admitted by their priority class only.
        :param level: the gate's shed level.
        """
        arrival = root.request.arrival
        priority = arrival.route.priority
        if hop > 0:
            return shedding.admitted(level, priority) > 0.0
        if not self.variant.shares:
            return shedding.admits(level, priority, root.number)
        return self._shares.admits(
            level, priority, arrival.organisation_id, root.number
        )


class OutgoingCall:
    """A call of a chain, with all its attempts.

    :param sender: the calling node.
    :param root: the root request.
    :param hop: index of the called service in the route's chain.
    :param budget: retry budget of the call.
    :param done: called with the last reply.
    """

    def __init__(
        self,
        sender: Sender,
        root: calls.Root,
        hop: int,
        budget: retry.RetryBudget,
        done: calls.Done,
    ) -> None:
        self._sender = sender
        self._root = root
        self._hop = hop
        self._budget = budget
        self._done = done
        self._tried: set[str] = set()
        self._attempts = 0
        self._call: calls.Call | None = None
        self._host_id = ""
        self._ended = False

    def start(self) -> None:
        """Send the first attempt, or end if no host is available."""
        choice = self._choose()
        if isinstance(choice, routing.Unavailable):
            after_ms = choice.retry_after_ms
            self._end(calls.Reply(False, choice.code, after_ms))
            return
        self._send(choice.host.host_id)

    def cancel(self) -> None:
        """Cancel the attempt in progress."""
        if self._ended:
            return
        self._ended = True
        if self._call is None or not self._sender.variant.cancels:
            return
        call, receiver = self._call, self._sender.receivers[self._host_id]
        self._sender.after_delay(lambda: receiver.cancel(call))
        self._report_result(None)

    def _choose(self) -> routing.Choice:
        sender = self._sender
        called_route = hop_route(self._root.request.arrival.route, self._hop)
        routing_request = routing.RoutingRequest(
            service_id=called_route.service_id,
            route_id=called_route.route_id,
            priority=called_route.priority,
            admits=lambda level: sender.admits(self._root, self._hop, level),
            tried=frozenset(self._tried),
        )
        return sender.routing.choose(routing_request, sender.clock.now)

    def _send(self, host_id: str) -> None:
        sender = self._sender
        self._attempts += 1
        self._host_id = host_id
        if sender.variant.budget:
            self._tried.add(host_id)
        reserved = self._budget.lend()
        call = calls.Call(
            root=self._root,
            hop=self._hop,
            budget=retry.RetryBudget(reserved),
            done=lambda reply: sender.after_delay(
                lambda: self._on_reply(call, reply, reserved)
            ),
        )
        self._call = call
        sender.routing.sent(host_id, sender.clock.now)
        sender.after_delay(lambda: sender.receivers[host_id].arrive(call))

    def _on_reply(
        self, call: calls.Call, reply: calls.Reply, reserved: int
    ) -> None:
        if self._ended:
            return
        self._report_result(reply)
        unused = reserved if reply.code.not_run else call.budget.left
        self._budget.return_unused(unused, reserved)
        self._call = None
        if reply.ok or not self._retry(reply):
            self._end(reply)

    def _report_result(self, reply: calls.Reply | None) -> None:
        called_route = hop_route(self._root.request.arrival.route, self._hop)
        result = routing.Result(
            host_id=self._host_id,
            route_id=called_route.route_id,
            ok=reply is None or reply.code not in _HOST_FAILURES,
            level=reply.level if reply else routing.LEVEL_UNKNOWN,
            took_s=0.0,
        )
        self._sender.routing.done(result, self._sender.clock.now)

    def _retry(self, reply: calls.Reply) -> bool:
        """Send another attempt if permitted; return whether it was sent."""
        sender = self._sender
        if sender.variant.budget and not self._may_retry(reply):
            return False
        if self._attempts > variants.NAIVE_RETRIES:
            return False
        choice = self._choose()
        if isinstance(choice, routing.Unavailable):
            return False
        if sender.variant.budget and not self._spend_retry():
            return False
        self._send(choice.host.host_id)
        return True

    def _may_retry(self, reply: calls.Reply) -> bool:
        if reply.code is results.ANSWERED:
            return False
        attempt = retry.Attempt(
            idempotent=self._root.request.arrival.route.idempotent,
            remaining_s=self._root.deadline - self._sender.clock.now,
        )
        return retry.should_retry(outcomes.Failure(reply.code), attempt)

    def _spend_retry(self) -> bool:
        if self._budget.left == 0:
            return False
        return self._sender.retry_ratio.spend() and self._budget.spend()

    def _end(self, reply: calls.Reply) -> None:
        self._ended = True
        self._done(reply)


@functools.cache
def hop_route(played: trace.Route, hop: int) -> route.Route:
    """Return the route of a request's call at one hop of its chain."""
    return route.Route(
        route_id=f"{played.route_id}/{hop}",
        service_id=played.services[hop],
        names={},
        method="GET",
        path="/",
        priority=played.priority,
        idempotent=played.idempotent,
        open=False,
        timeout_ms=int(played.timeout_s * 1000),
    )


def _hosts(header: trace.Header) -> dict[str, host.Host]:
    return {
        item.gate_id: host.Host(
            host_id=item.gate_id,
            service_id=item.service_id,
            place=PLACE,
            address="127.0.0.1",
            peer_port=1,
        )
        for item in header.gates.values()
    }
