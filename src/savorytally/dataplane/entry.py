"""The entry: takes requests, finds who runs them and answers."""

import asyncio
import json
import random
import typing as t

from .. import results
from ..decisions import backpressure
from ..decisions import placement
from ..decisions import ratepool
from ..decisions import repeatbudget
from ..decisions import splits
from ..world import catalog
from . import callers
from . import calls
from . import counters
from . import dialect
from . import frames
from . import gate
from . import grounds
from . import journal
from . import options
from . import rates
from . import terms

# Times that a request may be offered to hosts; only upstreams that it
# reached count as attempts of its route.
OFFERS_MAX = 8
# Offers to gates that refused before the request reached an upstream.
GATES_MAX = 3
# Time in which an answer must come for a repeat to be worth sending.
REPEAT_USEFUL_S = 0.03
# Part of the remaining time by which callers honour Retry-After.
COME_BACK_PART = 0.33
COME_BACK_MIN_S = 0.03
UNREACHED_S = 0.6
# How long requests are held while the first configuration is being read.
FIRST_READ_S = 0.3
_SERVER_ERROR = 500
# By these, callers know that a request has not run and never will.
_PROMISES = frozenset((408, 421, 429, 503))
_Ground = grounds.Ground


class Peers(t.Protocol):
    """The gates of other hosts."""

    def call(
        self,
        instance: catalog.Instance,
        call: frames.Call,
        answered: t.Callable[[frames.Result], None],
    ) -> t.Callable[[], bool]:
        """Send a call; return what withdraws it.

        What is returned tells whether the call had not left this host.
        """


class Entry:
    """Answers the requests of callers and of the local upstream.

    :param chosen: the node's options.
    :param spoken: names of the headers.
    :param peers: the gates of other hosts.
    :param own: the gate of this host.
    :param limits: admits requests against organisations' rates.
    :param counts: counts requests.
    :param log: takes a line for each request.
    :param source: random source.
    """

    def __init__(
        self,
        chosen: options.Options,
        spoken: dialect.Dialect,
        peers: Peers,
        own: gate.Gate,
        limits: rates.Rates,
        counts: counters.Counters,
        log: journal.Journal,
        source: random.Random,
    ) -> None:
        self._options = chosen
        self._dialect = spoken
        self._hidden = spoken.set_by_node
        self._peers = peers
        self._gate = own
        self._rates = limits
        self._counts = counts
        self._log = log
        self._random = source
        self._loop = asyncio.get_running_loop()
        self._terms = terms.Terms(spoken, own)
        self._limits = catalog.RequestLimits()
        self.placement = placement.Placement(
            chosen.data_centre, chosen.regions, source
        )
        self.splits = splits.Splits(source)
        self.repeats = repeatbudget.RepeatBudget(
            chosen.bounds.retry_ratio,
            chosen.bounds.retry_slack,
            chosen.bounds.retry_window_s,
        )
        self.backpressure = backpressure.Backpressure()
        self.active = 0
        self.closing = False
        self._held: list[callers.Request] = []

    @property
    def limits(self) -> catalog.RequestLimits:
        """Limits of callers' requests in force."""
        return self._limits

    def learn_options(self, chosen: options.Options) -> None:
        """Apply changed settings."""
        self._options = chosen

    def learn_catalog(self, newest: catalog.Catalog) -> None:
        """Apply a newer configuration."""
        self._terms.learn_catalog(newest)
        self._limits = newest.limits

    def refuse(self, request: callers.Request, status: int, why: str) -> None:
        """Answer a request that can't be taken as it is."""
        self._log.event("malformed", status=status, why=why)
        body = json.dumps({"detail": why}).encode()
        headers = [(b"content-type", b"application/json")]
        request.respond(status, headers, body, close=True)

    def handle(self, request: callers.Request) -> None:
        """Take a whole request.

        While the first configuration is being read, it is held for a
        moment: callers come back a few times only.
        """
        if self._terms.in_force is not None:
            self._take(request)
            return
        self._held.append(request)
        if len(self._held) == 1:
            self._loop.call_later(FIRST_READ_S, self.release)

    def release(self) -> None:
        """Take the requests that were held."""
        held, self._held = self._held, []
        for request in held:
            # One whose caller has left counts as answered.
            if request.answer is None:
                self._take(request)

    def _take(self, request: callers.Request) -> None:
        now = self._loop.time()
        call = calls.Call(request, now)
        call.request_id = request.header(self._dialect.request_id)
        self.active += 1
        refused = self._terms.set(call, now) or self._shed(call, now)
        if refused is not None:
            self._fail(call, refused)
            return
        request.abandoned = lambda: self._abandoned(call)
        call.timer = self._loop.call_at(call.deadline, self._expired, call)
        if not call.organisation:
            self._begin(call)
            return
        urgency = t.cast(catalog.Route, call.route).priority
        self._rates.take(
            call.organisation,
            urgency,
            lambda grant: self._admitted(call, grant),
        )

    def _admitted(self, call: calls.Call, grant: ratepool.Grant) -> None:
        if call.done:
            return
        if grant.granted:
            self._begin(call)
        else:
            self._fail(call, results.OVER_RATE, grant.wait_ms)

    def _begin(self, call: calls.Call) -> None:
        """Choose a call's service and offer the call to its hosts."""
        call.service = self.splits.choose(t.cast(catalog.Route, call.route))
        # Arrivals below a repeat count as repeats where they arrive.
        now = self._loop.time()
        if call.flags & frames.Flag.REPEAT:
            self.repeats.charge(call.service, now)
        else:
            self.repeats.first(call.service, now)
        self._offer(call)

    def _shed(self, call: calls.Call, now: float) -> results.ResultCode | None:
        """Refuse a new request whose chain ends in an overload."""
        if call.child:
            return None
        route = t.cast(catalog.Route, call.route)
        returned = bool(call.flags & frames.Flag.RETURNED)
        draw = self._random.random()
        useful_s = min(route.objective_s, route.timeout_s)
        if self.backpressure.refuses(
            route.name, useful_s, returned, draw, now
        ):
            return results.SHED_FOR_CHAIN
        return None

    def _offer(self, call: calls.Call) -> None:
        """Send a call to the best host that has not had it."""
        now = self._loop.time()
        route = t.cast(catalog.Route, call.route)
        left_s = call.deadline - now
        instance = None
        if left_s > 0:
            instance = self._choose(call, route, now)
        if instance is None:
            self._fail(call, call.known or results.NO_HOST)
            return
        flags = call.flags
        if self.placement.unlisted(instance.instance_id):
            flags |= frames.Flag.UNLISTED
        call.offers += 1
        call.tried.append(instance.instance_id)
        call.instance_id = instance.instance_id
        self.placement.sent(instance.instance_id)
        sent = frames.Call(
            number=0,
            instance_id=instance.instance_id,
            route=route.name,
            method=call.request.method,
            target=call.request.target,
            headers=[
                pair
                for pair in callers.end_to_end(call.request.headers)
                if pair[0] not in self._hidden
            ],
            body=call.request.body,
            remaining_ms=max(1, int(left_s * 1000)),
            objective_ms=int(call.objective_s * 1000),
            rank=call.rank,
            flags=int(flags),
            organisation=call.organisation,
            caller_service=self._options.service,
            request_id=call.request_id,
        )
        if instance.address == self._options.address:
            self._offer_own(call, instance, sent)
            return
        call.withdraw = self._peers.call(
            instance, sent, lambda result: self._result(call, instance, result)
        )

    def _choose(
        self, call: calls.Call, route: catalog.Route, now: float
    ) -> catalog.Instance | None:
        """Return the best upstream that the route's attempts allow."""
        choose = self.placement.choose
        name, objective_s = route.name, route.objective_s
        if len(call.reached) < route.attempts:
            tried = call.tried
            found = choose(call.service, name, tried, objective_s, now)
            if found is not None or not call.reached:
                return found
        return choose(
            call.service, name, (), objective_s, now, only=call.reached
        )

    def _offer_own(
        self, call: calls.Call, instance: catalog.Instance, sent: frames.Call
    ) -> None:
        run: gate.Run | None = None

        def withdraw() -> bool:
            if run is None:
                return False
            unsent = (gate.State.WAITING, gate.State.CONNECTING)
            before = run.state in unsent
            self._gate.cancel(run)
            return before

        call.withdraw = withdraw
        run = self._gate.run(
            sent, lambda result: self._result(call, instance, result)
        )

    def _result(
        self,
        call: calls.Call,
        instance: catalog.Instance,
        result: frames.Result,
    ) -> None:
        now = self._loop.time()
        route = t.cast(catalog.Route, call.route)
        code = results.by_number(result.code)
        self._learn(route.name, instance, result, code, now)
        if call.done:
            return
        call.withdraw = None
        # An upstream that is not the one meant does not count as reached.
        arrived = result.arrived and code is not results.INSTANCE_GONE
        if arrived and call.instance_id not in call.reached:
            call.reached.append(call.instance_id)
        self.backpressure.note(route.name, result.below_ms / 1000, now)
        if call.parent is not None:
            wait_s = (result.below_ms + result.wait_ms) / 1000
            self._gate.below.called(call.parent.route, wait_s, now)
        if result.answered:
            # What failed below would fail again, and all that it calls
            # would be called again.
            failed = result.status >= _SERVER_ERROR and not result.chained
            if failed and self._repeat_pays(call, route, result, now):
                self._repeat(call)
                return
            self._answer(call, result)
            return
        if code.not_run:
            # Only a gate tells how much it lets run.
            told = result.limit > 0
            call.ground = _Ground.GATE if told else _Ground.UNSENT
        if not code.not_run:
            call.known = code
        elif call.known is None:
            call.known = code
        if self._worth_another(call, route, result, code, now):
            self._repeat(call, counted=result.arrived or not code.not_run)
            return
        self._fail(call, call.known or code, result.retry_after_ms)

    def _learn(
        self,
        route: str,
        instance: catalog.Instance,
        result: frames.Result,
        code: results.ResultCode,
        now: float,
    ) -> None:
        """Tell placement what a result says of its host."""
        where, name = self.placement, instance.instance_id
        where.ended(name)
        if code is results.HOST_LEAVING or code is results.INSTANCE_GONE:
            where.leaving(name, now)
            return
        if code in (results.NOT_DISPATCHED, results.OUTCOME_UNKNOWN):
            where.avoid(name, now + UNREACHED_S)
        if result.limit:
            run_s = result.run_ms / 1000 if result.run_ms else None
            where.report(name, route, run_s, result.load, result.limit, now)
        if code is results.SHED_AT_GATE:
            return
        good = result.answered and result.status < _SERVER_ERROR
        where.outcome(name, good, now)

    def _worth_another(
        self,
        call: calls.Call,
        route: catalog.Route,
        result: frames.Result,
        code: results.ResultCode,
        now: float,
    ) -> bool:
        """Return whether another host should be offered the call."""
        if code in (results.DEADLINE_PASSED, results.QUARANTINED):
            return False
        if code.not_run and not result.arrived:
            useful = call.deadline - now > REPEAT_USEFUL_S
            return useful and call.offers < GATES_MAX
        if not code.not_run and not call.idempotent:
            return False
        return self._repeat_pays(call, route, result, now)

    def _repeat_pays(
        self,
        call: calls.Call,
        route: catalog.Route,
        result: frames.Result,
        now: float,
    ) -> bool:
        """Return whether a repeat is allowed and may still be answered."""
        if result.answered and not call.idempotent:
            return False
        if call.offers >= OFFERS_MAX:
            return False
        ran = not results.by_number(result.code).not_run
        if ran and len(call.reached) >= route.attempts:
            return False
        if call.deadline - now < max(REPEAT_USEFUL_S, result.run_ms / 1000):
            return False
        progress = 0.0
        if call.parent is not None:
            expected = self._gate.below.calls(call.parent.route)
            progress = min(1.0, call.parent.answered / expected)
        claim = repeatbudget.Claim(call.rank % terms.ROUTE_RANKS, progress)
        return self.repeats.spend(call.service, claim, now)

    def _repeat(self, call: calls.Call, counted: bool = True) -> None:
        if counted:
            call.flags |= frames.Flag.REPEAT
        self._offer(call)

    def _answer(self, call: calls.Call, result: frames.Result) -> None:
        """End a call with its upstream's answer."""
        if result.status in _PROMISES and not call.idempotent:
            # Without the upstream's mark, the request may have run.
            self._fail(call, results.REFUSAL_UNPROVED)
            return
        self._close(call, results.ANSWERED, result.status)
        headers = [(bytes(name), bytes(v)) for name, v in result.headers]
        call.request.respond(result.status, headers, result.body)

    def _fail(
        self,
        call: calls.Call,
        code: results.ResultCode,
        retry_after_ms: int = 0,
    ) -> None:
        """End a call with the node's own answer."""
        status = code.http_status
        if code is results.QUARANTINED or (
            code.not_run and status >= _SERVER_ERROR
        ):
            # Callers may repeat what is sure not to have run.
            status = 503
        self._close(call, code, status)
        headers: callers.Headers = [(b"content-type", b"application/json")]
        if status in (429, 503):
            back_s = self._come_back_s(call, retry_after_ms)
            headers.append((b"retry-after", b"%.3f" % back_s))
        if call.request_id:
            headers.append((self._dialect.request_id, call.request_id))
        body = b'{"code":%d,"name":"%s"}' % (code.number, code.name.encode())
        call.request.respond(status, headers, body)

    def _come_back_s(self, call: calls.Call, retry_after_ms: int) -> float:
        """Return when a refused caller should come back.

        Spread over a time that grows with the wait at the host that refused
        it, so that callers return when there is room and not together.
        """
        left_s = max(0.0, call.deadline - self._loop.time())
        if call.clients_ms:
            left_s = call.clients_ms / 1000
        base_s = max(COME_BACK_MIN_S, retry_after_ms / 1000)
        base_s = max(base_s, call.objective_s / 4)
        return min(
            base_s * (0.5 + self._random.random()), left_s * COME_BACK_PART
        )

    def _close(
        self, call: calls.Call, code: results.ResultCode, status: int
    ) -> None:
        """Count and log the end of a call."""
        call.done = True
        self.active -= 1
        if call.timer is not None:
            call.timer.cancel()
        call.request.abandoned = None
        now = self._loop.time()
        served = code is results.ANSWERED and status < _SERVER_ERROR
        if call.parent is not None:
            self._gate.lineage.answered(call.parent, served, now)
        taken_s = now - call.started
        route = call.route.name if call.route is not None else ""
        self._counts.ended(route, code, taken_s)
        if code.not_run:
            self._counts.not_run(call.ground)
        if not served or self._log.samples_served():
            self._log.event("request", **self._described(call, code, status))

    def _described(
        self, call: calls.Call, code: results.ResultCode, status: int
    ) -> dict[str, t.Any]:
        """Return the fields of the line on the end of a call."""
        now = self._loop.time()
        route = call.route.name if call.route is not None else ""
        taken_s = now - call.started
        fields: dict[str, t.Any] = {
            "id": call.request_id.decode("latin-1"),
            "route": route,
            "code": code.number,
            "outcome": code.name,
            "ground": call.ground.value if code.not_run else "",
            "status": status,
            "took_ms": round(taken_s * 1000, 1),
            "left_ms": call.clients_ms,
            "rank": call.rank,
            "organisation": call.organisation,
            "hosts": call.tried,
            "reached": call.reached,
            "offers": call.offers,
            "version": self._terms.version,
        }
        if call.parent is not None:
            run: gate.Run = call.parent.owner
            fields["parent"] = run.call.request_id.decode("latin-1")
        if code is not results.ANSWERED and call.route is not None:
            wait_s = self.backpressure.wait_s(route, now)
            fields["below_ms"] = round(wait_s * 1000, 1)
        return fields

    def _abandoned(self, call: calls.Call) -> None:
        """Withdraw a call whose caller has left."""
        if call.done:
            return
        self._withdraw(call)
        self._close(call, results.CANCELLED_AFTER_START, 499)

    def _expired(self, call: calls.Call) -> None:
        if call.done:
            return
        now = self._loop.time()
        route = t.cast(catalog.Route, call.route)
        # No result came that could tell how long the chain waits.
        taken_s = now - call.started
        if call.parent is not None:
            self._gate.below.called(call.parent.route, taken_s, now)
        elif self.backpressure.wait_s(route.name, now) > 0.0:
            self.backpressure.note(route.name, taken_s, now)
        # Until then, it may still wait for the keeper of a rate.
        not_sent = self._withdraw(call) or not call.offers
        if not_sent and (call.known is None or call.known.not_run):
            call.ground = _Ground.WITHDRAWN
            self._fail(call, results.DEADLINE_TOO_SHORT)
        else:
            self._fail(call, results.DEADLINE_UNKNOWN)

    def _withdraw(self, call: calls.Call) -> bool:
        """Withdraw a call; return whether it is sure not to have run."""
        withdraw, call.withdraw = call.withdraw, None
        if withdraw is None:
            return False
        not_sent = withdraw()
        self.placement.ended(call.instance_id)
        return not_sent
