"""Decides which calls an entry may retry, within the retry budget."""

from .. import results
from ..decisions import retry_budget
from ..world import catalog
from . import calls
from . import counters
from . import frames
from . import gate
from . import request_terms

# Maximum number of hosts that a request is sent to. Only upstreams that it
# reached count as attempts of its route.
OFFERS_MAX = 8
# Maximum number of attempts that end before the request reaches an upstream.
GATE_REFUSALS_MAX = 3
# A retry is useless if less than this time is left.
MIN_USEFUL_S = 0.03


class Retries:
    """Decides on retries for an entry.

    :param budget: the retry budget of this host.
    :param own_gate: the gate of this host, whose runs make calls.
    :param counts: counts sent requests and refused retries.
    """

    def __init__(
        self,
        budget: retry_budget.FleetRetryBudget,
        own_gate: gate.Gate,
        counts: counters.Counters,
    ) -> None:
        self._budget = budget
        self._gate = own_gate
        self._counts = counts

    def begin(self, call: calls.Call, now: float) -> bool:
        """Charge a new call to the budget; return whether it may be sent.

        A call below a retry counts as a retry at the service that it is sent
        to.
        """
        if call.matched_by is not None:
            self._counts.matched(call.matched_by)
        parent = call.parent
        if parent is not None:
            parent.made = made = parent.made or {}
            made[call.service] = made.get(call.service, 0) + 1
        if parent is None or not call.flags & frames.Flag.RETRY:
            self._budget.record_request(call.service, now)
            self._counts.sent(call.service, counters.SendKind.FIRST)
            return True
        if self._gate.subtree_budget.charge_call(
            parent.reserved, call.service, now
        ):
            call.charged_as = counters.SendKind.BELOW_RETRY
            return True
        call.retry_refused = True
        self._counts.retry_refused(call.service, counters.SendKind.BELOW_RETRY)
        return False

    def may_offer_again(
        self,
        call: calls.Call,
        route: catalog.Route,
        result: frames.Result,
        now: float,
    ) -> bool:
        """Return whether a failed call may be sent to another host."""
        code = results.by_number(result.code)
        if code in (results.DEADLINE_PASSED, results.QUARANTINED):
            return False
        if code.not_run and not result.arrived:
            useful = call.upstream_deadline - now > MIN_USEFUL_S
            return useful and call.offers < GATE_REFUSALS_MAX
        if not code.not_run and not call.idempotent:
            return False
        return self.may_retry(call, route, result, now)

    def may_retry(
        self,
        call: calls.Call,
        route: catalog.Route,
        result: frames.Result,
        now: float,
    ) -> bool:
        """Return whether a retry is allowed and may still get a response."""
        if result.answered and not call.idempotent:
            return False
        if call.offers >= OFFERS_MAX:
            return False
        code = results.by_number(result.code)
        # Most unproved refusals are true; the entry sends no request to more
        # upstreams than the route's attempts.
        ran = not code.not_run and code is not results.REFUSAL_UNPROVED
        if ran and len(call.reached) >= route.attempts:
            return False
        remaining_s = call.upstream_deadline - now
        if remaining_s < max(MIN_USEFUL_S, result.run_ms / 1000):
            return False
        progress = 0.0
        if call.parent is not None:
            expected = self._gate.child_waits.calls(call.parent.route)
            progress = min(1.0, call.parent.answered / expected)
        claim = retry_budget.RetryClaim(
            call.rank % request_terms.ROUTE_RANKS, progress
        )
        if self._budget.spend(call.service, claim, now):
            call.charged_as = counters.SendKind.RETRY
            return True
        if not call.retry_refused:
            self._counts.retry_refused(call.service, counters.SendKind.RETRY)
        call.retry_refused = True
        return False

    def settle(self, call: calls.Call, arrived: bool, now: float) -> None:
        """Settle the charge of a retry once its fate is known.

        :param arrived: whether it may have reached an upstream.
        """
        if not call.charged_as:
            return
        if arrived:
            self._budget.record_arrival(call.service, now)
            self._counts.sent(call.service, call.charged_as)
        else:
            self._budget.refund(call.service, now)
        call.charged_as = ""

    def note_retry(self, call: calls.Call) -> None:
        """Note the retry of a call that may have reached an upstream."""
        call.flags |= frames.Flag.RETRY
        call.retries += 1
