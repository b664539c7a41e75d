"""The entry: accepts requests, routes them to upstreams and responds."""

import asyncio
import json
import random
import typing as t

from .. import results
from ..decisions import backpressure
from ..decisions import comeback
from ..decisions import lineage
from ..decisions import placement
from ..decisions import ratepool
from ..decisions import slowest
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
from . import progress
from . import rates
from . import repeats
from . import requestlog
from . import stopping
from . import terms

if t.TYPE_CHECKING:
    from . import peers

# How long an unreachable host gets no new calls.
UNREACHED_S = 0.6
# How long requests are kept while the first configuration is being read.
FIRST_READ_S = 0.3
_SERVER_ERROR = 500
# Callers take these statuses to mean that the request has not run and will not
# run.
_PROMISES = frozenset((408, 421, 429, 503))
# Results that are typical while hosts start or stop. A retry is likely to get
# the same result until that is over.
_COMING_UP = frozenset(
    (
        results.NOT_CONFIGURED,
        results.INSTANCE_GONE,
        results.HOST_LEAVING,
        results.NODE_STOPPING,
        results.NO_HOST,
    )
)
_Ground = grounds.Ground


class Entry:
    """Handles requests from callers and from the local upstream.

    :param chosen: the node's options.
    :param spoken: the header names.
    :param others: sends calls to the gates of other hosts.
    :param own: the gate of this host.
    :param limits: admits requests within their organisations' rates.
    :param counts: counts requests.
    :param log: logs requests.
    :param source: random source.
    """

    def __init__(
        self,
        chosen: options.Options,
        spoken: dialect.Dialect,
        others: "peers.Peers",
        own: gate.Gate,
        limits: rates.Rates,
        counts: counters.Counters,
        log: journal.Journal,
        source: random.Random,
    ) -> None:
        self._options = chosen
        self._dialect = spoken
        self._hidden = spoken.set_by_node
        self._peers = others
        self._gate = own
        self._rates = limits
        self._counts = counts
        self._log = log
        self._random = source
        self._loop = asyncio.get_running_loop()
        self._terms = terms.Terms(spoken, own)
        self._limits = catalog.RequestLimits()
        self.placement = placement.Placement(
            chosen.data_centre,
            chosen.regions,
            source,
            chosen.bounds.drain_s,
        )
        self.splits = splits.Splits(source)
        self._repeats = repeats.Repeats(own.budget, own, counts)
        self.backpressure = backpressure.Backpressure()
        self._slowest = slowest.SlowestTimes()
        self.progress = progress.Progress(spoken, counts, log)
        # The schedule of the planned stop, set when the stop signal arrives.
        self.stop: stopping.Schedule | None = None

    @property
    def active(self) -> int:
        """Number of requests that were read and have no response yet."""
        return len(self.progress)

    @property
    def closing(self) -> bool:
        """Whether each response should end its connection."""
        return self.stop is not None

    @property
    def limits(self) -> catalog.RequestLimits:
        """The limits of callers' requests that are in force."""
        return self._limits

    def learn_options(self, chosen: options.Options) -> None:
        """Apply changed settings."""
        self._options = chosen

    def learn_catalog(self, newest: catalog.Catalog) -> None:
        """Apply a newer configuration."""
        self._terms.learn_catalog(newest)
        self._limits = newest.limits

    def refuse(self, request: callers.Request, status: int, why: str) -> None:
        """Respond with an error to a malformed or oversized request."""
        self._log.event("malformed", status=status, why=why)
        body = json.dumps({"detail": why}).encode()
        headers = [(b"content-type", b"application/json")]
        request.respond(status, headers, body, close=True)

    def handle(self, request: callers.Request) -> None:
        """Handle a complete request.

        While the first configuration is being read, the request is kept for a
        moment instead of being refused, since callers retry only a few times.
        """
        if self._terms.in_force is not None:
            self._take(request)
            return
        if self.progress.hold(request, self._loop.time()):
            self._loop.call_later(FIRST_READ_S, self.release)

    def release(self) -> None:
        """Handle the requests that were kept for the first configuration."""
        for request in self.progress.release():
            self._take(request)

    def turn_away(self, request: callers.Request) -> None:
        """Reject a request that is still being read when the node stops."""
        now = self._loop.time()
        call = self._begun(request, now)
        self._fail(call, self._terms.set(call, now) or results.NODE_STOPPING)

    def cut(self, requests: t.Iterable[callers.Request]) -> None:
        """Note requests whose connection ends before they got a response."""
        now = self._loop.time()
        stopping_s = now - self.stop.began if self.stop is not None else None
        self.progress.cut(requests, now, stopping_s)

    def give_up(self) -> None:
        """Send the final response to each request in progress."""
        self.release()
        for call in self.progress.unanswered:
            if not call.done:
                self._give_up(call)

    def _give_up(self, call: calls.Call) -> None:
        known = call.known
        # A call that waits for its organisation's rate has not been sent to
        # any host.
        not_sent = self._withdraw(call) or not call.instance_id
        if known is not None and not known.not_run:
            self._fail(call, known)
        elif not_sent:
            call.ground = _Ground.WITHDRAWN
            self._fail(call, results.NODE_STOPPING)
        else:
            self._fail(call, results.STOPPED_UNANSWERED)

    def _take(self, request: callers.Request) -> None:
        now = self._loop.time()
        call = self._begun(request, now)
        refused = self._terms.set(call, now)
        if refused is None and self.stop is not None:
            route = t.cast(catalog.Route, call.route)
            needed_s = self._slowest.needed_s(route.name, now)
            refused = self.stop.refuse(call, needed_s, now)
        refused = refused or self._shed(call, now)
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

    def _begun(self, request: callers.Request, now: float) -> calls.Call:
        call = calls.Call(request, now)
        call.request_id = request.header(self._dialect.request_id)
        self.progress.begin(call)
        return call

    def _admitted(self, call: calls.Call, grant: ratepool.Grant) -> None:
        if call.done:
            return
        if grant.granted:
            self._begin(call)
        else:
            self._fail(call, results.OVER_RATE, grant.wait_ms)

    def _begin(self, call: calls.Call) -> None:
        """Choose the service of a call and offer the call to its hosts."""
        call.service = self.splits.choose(t.cast(catalog.Route, call.route))
        if self._repeats.begin(call, self._loop.time()):
            self._offer(call)
        else:
            self._fail(call, results.RETRIES_SPENT)

    def _shed(self, call: calls.Call, now: float) -> results.ResultCode | None:
        """Refuse a new request whose call chain is overloaded further down."""
        if call.child:
            return None
        route = t.cast(catalog.Route, call.route)
        returned = bool(call.flags & frames.Flag.RETURNED)
        draw = self._random.random()
        useful_s = min(route.objective_s, route.timeout_s)
        if self.backpressure.refuses(call.kind, useful_s, returned, draw, now):
            return results.SHED_FOR_CHAIN
        return None

    def _offer(self, call: calls.Call) -> None:
        """Send a call to the best upstream that it was not offered to yet."""
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
        call.run = None
        self.placement.sent(instance.instance_id, now)
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
            limit_per_s=self.placement.limit_per_s(instance.instance_id),
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
        """Return the best upstream within the attempts that the route allows.

        A call that has used up its attempts may only go to an upstream that it
        has reached already.
        """
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
        """Pass a call to the gate of this host."""
        run: gate.Run | None = None

        def withdraw() -> bool:
            if run is None:
                return False
            before = run.state in (gate.State.WAITING, gate.State.CONNECTING)
            self._gate.cancel(run)
            return before

        call.withdraw = withdraw
        run = self._gate.run(
            sent, lambda result: self._result(call, instance, result)
        )
        if run.state is not gate.State.DONE:
            call.run = run

    def _result(
        self,
        call: calls.Call,
        instance: catalog.Instance,
        result: frames.Result,
    ) -> None:
        """Handle the result of an offer: respond, retry or fail."""
        now = self._loop.time()
        route = t.cast(catalog.Route, call.route)
        code = results.by_number(result.code)
        self._learn(route.name, instance, result, code, now)
        if call.done:
            return
        call.withdraw = None
        if result.arrived or not code.not_run:
            self._repeats.settle(call, True, now)
        # If another instance has the upstream's address, the intended one was
        # not reached.
        arrived = result.arrived and code is not results.INSTANCE_GONE
        if arrived and call.instance_id not in call.reached:
            call.reached.append(call.instance_id)
        self.backpressure.note(call.kind, result.below_ms / 1000, now)
        final = self.stop is not None and now >= self.stop.work_ends
        if call.parent is not None:
            wait_s = (result.below_ms + result.wait_ms) / 1000
            self._waited(call, wait_s, now)
        if result.answered:
            # If a call below has failed, a retry would fail again and repeat
            # all other calls below it.
            failed = result.status >= _SERVER_ERROR and not result.chained
            again = failed and not final
            if again and self._repeats.pays(call, route, result, now):
                self._repeat(call)
                return
            self._answer(call, result)
            return
        if code.not_run:
            # Only results that a gate has sent contain its limit.
            told = result.limit > 0
            call.ground = _Ground.GATE if told else _Ground.UNSENT
        if not code.not_run:
            call.known = code
        elif call.known is None:
            call.known = code
        if final and call.known.not_run:
            self._fail(call, results.NODE_STOPPING)
            return
        if not final and self._repeats.worth_another(call, route, result, now):
            self._repeat(call, counted=result.arrived or not code.not_run)
            return
        self._fail(call, call.known or code, result.retry_after_ms)

    def _waited(self, call: calls.Call, wait_s: float, now: float) -> None:
        """Note the wait of a call that a request in progress has made.

        The entries at the top of the call chain get this wait before the
        request has ended.
        """
        below, parent = self._gate.below, t.cast(lineage.Parent, call.parent)
        kind = (parent.route, call.rank)
        below.called(kind, wait_s, now)
        self.backpressure.note(kind, wait_s * below.calls(parent.route), now)

    def _learn(
        self,
        route: str,
        instance: catalog.Instance,
        result: frames.Result,
        code: results.ResultCode,
        now: float,
    ) -> None:
        """Update the placement with what a result shows about its host."""
        where, name = self.placement, instance.instance_id
        where.ended(name)
        self._learn_standing(name, result, code, now)
        if code is results.HOST_LEAVING or code is results.INSTANCE_GONE:
            where.leaving(name, now)
            return
        if code in (results.NOT_DISPATCHED, results.OUTCOME_UNKNOWN):
            where.avoid(name, now + UNREACHED_S)
        if result.limit:
            run_s = result.run_ms / 1000 if result.run_ms else None
            where.report(name, route, run_s, result.load, result.limit, now)
        if code is results.SHED_AT_GATE or code is results.RETRIES_SPENT:
            return
        good = result.answered and result.status < _SERVER_ERROR
        where.outcome(name, good, now)

    def _learn_standing(
        self,
        instance_id: str,
        result: frames.Result,
        code: results.ResultCode,
        now: float,
    ) -> None:
        """Update the placement with what an upstream advertises."""
        limit_per_s = result.limit_per_s
        if limit_per_s is None:
            return
        where = self.placement
        where.learn_standing(
            instance_id, limit_per_s, result.share_per_s, result.leaving, now
        )
        if code is results.SHED_AT_GATE:
            where.hold_back(instance_id, result.wait_ms / 1000, now)

    def _repeat(self, call: calls.Call, counted: bool = True) -> None:
        if counted:
            self._repeats.again(call)
        self._offer(call)

    def _answer(self, call: calls.Call, result: frames.Result) -> None:
        """End a call with its upstream's response."""
        if result.status in _PROMISES and not call.idempotent:
            # Without the header that an upstream sets on requests it did not
            # run, the request may have run.
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
        """End a call with a response that the node makes itself."""
        status = code.http_status
        if code is results.QUARANTINED or (
            code.not_run and status >= _SERVER_ERROR
        ):
            # Callers may safely retry a request that has certainly not run.
            status = 503
        self._close(call, code, status)
        headers: callers.Headers = [(b"content-type", b"application/json")]
        if status in (429, 503):
            back_s = self._come_back_s(call, code, retry_after_ms)
            headers.append((b"retry-after", b"%.3f" % back_s))
        if call.request_id:
            headers.append((self._dialect.request_id, call.request_id))
        body = b'{"code":%d,"name":"%s"}' % (code.number, code.name.encode())
        call.request.respond(status, headers, body)

    def _come_back_s(
        self, call: calls.Call, code: results.ResultCode, wait_ms: int
    ) -> float:
        """Return the retry-after time of a refused caller, in seconds."""
        now = self._loop.time()
        left_s = max(0.0, call.deadline - now)
        if call.clients_ms:
            left_s = call.clients_ms / 1000
        draw = self._random.random()
        if code in _COMING_UP:
            back_s = comeback.COMES_UP_S
            if self.stop is not None:
                back_s = self.stop.back_s(call.objective_s, now)
            return comeback.after_restart_s(left_s, back_s, draw)
        return comeback.after_s(left_s, call.objective_s, wait_ms / 1000, draw)

    def _close(
        self, call: calls.Call, code: results.ResultCode, status: int
    ) -> None:
        """Count and log the end of a call."""
        call.done = True
        self.progress.end(call)
        if call.timer is not None:
            call.timer.cancel()
        call.request.abandoned = None
        now = self._loop.time()
        self._repeats.settle(call, False, now)
        served = code is results.ANSWERED and status < _SERVER_ERROR
        if call.parent is not None:
            self._gate.lineage.answered(call.parent, served, now)
        taken_s = now - call.started
        route = call.route.name if call.route is not None else ""
        if not code.not_run:
            self._slowest.note(route, taken_s, now)
        self._counts.ended(route, code, taken_s)
        if code.not_run:
            self._counts.not_run(call.ground)
        if not served or self._log.samples_served():
            below_s = self.backpressure.wait_s((route, call.rank), now)
            fields = requestlog.describe(
                call, code, status, self._terms.version, below_s, now
            )
            self._log.event("request", **fields)

    def _abandoned(self, call: calls.Call) -> None:
        """Withdraw a call whose caller has disconnected."""
        if call.done:
            return
        self._withdraw(call)
        self._close(call, results.CANCELLED_AFTER_START, 499)

    def _expired(self, call: calls.Call) -> None:
        """Fail a call whose deadline has passed."""
        if call.done:
            return
        now = self._loop.time()
        # No result with the wait of the chain has arrived; the time that has
        # passed is a lower bound of it.
        taken_s = now - call.started
        if call.parent is not None:
            self._waited(call, taken_s, now)
        elif self.backpressure.wait_s(call.kind, now) > 0.0:
            self.backpressure.note(call.kind, taken_s, now)
        # Before its first offer, the call may still be waiting for the owner
        # of its organisation's rate.
        not_sent = self._withdraw(call) or not call.offers
        if not_sent and (call.known is None or call.known.not_run):
            call.ground = _Ground.WITHDRAWN
            self._fail(call, results.DEADLINE_TOO_SHORT)
        else:
            self._fail(call, results.DEADLINE_UNKNOWN)

    def _withdraw(self, call: calls.Call) -> bool:
        """Withdraw a call; return whether it has certainly not run."""
        withdraw, call.withdraw = call.withdraw, None
        if withdraw is None:
            return False
        not_sent = withdraw()
        self._repeats.settle(call, not not_sent, self._loop.time())
        self.placement.ended(call.instance_id)
        return not_sent
