"""Decides which calls an entry may retry, within the retry budget."""

from .. import results
from ..decisions import repeatbudget
from ..world import catalog
from . import calls
from . import counters
from . import frames
from . import gate
from . import terms

# Maximum number of offers of a request to hosts. Only upstreams that it
# reached count as attempts of its route.
OFFERS_MAX = 8
# Maximum number of offers that gates refuse before the request reaches an
# upstream.
GATES_MAX = 3
# A retry is useless if less than this time is left.
USEFUL_S = 0.03


class Repeats:
    """Decides on retries for an entry.

    :param budget: the retry budget of this host.
    :param own: the gate of this host, whose runs make calls.
    :param counts: counts sent requests and refused retries.
    """

    def __init__(
        self,
        budget: repeatbudget.RepeatBudget,
        own: gate.Gate,
        counts: counters.Counters,
    ) -> None:
        self._budget = budget
        self._gate = own
        self._counts = counts

    def begin(self, call: calls.Call, now: float) -> bool:
        """Charge a new call to the budget; return whether it may be sent.

        A call below a retry counts as a retry at the service that it is sent
        to.
        """
        if call.matched is not None:
            self._counts.matched(call.matched)
        parent = call.parent
        if parent is not None:
            parent.made = made = parent.made or {}
            made[call.service] = made.get(call.service, 0) + 1
        if parent is None or not call.flags & frames.Flag.REPEAT:
            self._budget.first(call.service, now)
            self._counts.sent(call.service, counters.Sent.FIRST)
            return True
        if self._gate.chain.take(parent.reserved, call.service, now):
            call.charged = counters.Sent.BELOW_RETRY
            return True
        call.repeats_refused = True
        self._counts.refused(call.service, counters.Sent.BELOW_RETRY)
        return False

    def worth_another(
        self,
        call: calls.Call,
        route: catalog.Route,
        result: frames.Result,
        now: float,
    ) -> bool:
        """Return whether a failed call may be offered to another host."""
        code = results.by_number(result.code)
        if code in (results.DEADLINE_PASSED, results.QUARANTINED):
            return False
        if code.not_run and not result.arrived:
            useful = call.deadline - now > USEFUL_S
            return useful and call.offers < GATES_MAX
        if not code.not_run and not call.idempotent:
            return False
        return self.pays(call, route, result, now)

    def pays(
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
        ran = not results.by_number(result.code).not_run
        if ran and len(call.reached) >= route.attempts:
            return False
        if call.deadline - now < max(USEFUL_S, result.run_ms / 1000):
            return False
        progress = 0.0
        if call.parent is not None:
            expected = self._gate.below.calls(call.parent.route)
            progress = min(1.0, call.parent.answered / expected)
        claim = repeatbudget.Claim(call.rank % terms.ROUTE_RANKS, progress)
        if self._budget.spend(call.service, claim, now):
            call.charged = counters.Sent.RETRY
            return True
        call.repeats_refused = True
        self._counts.refused(call.service, counters.Sent.RETRY)
        return False

    def settle(self, call: calls.Call, arrived: bool, now: float) -> None:
        """Settle the charge of a retry once its fate is known.

        :param arrived: whether it may have reached an upstream.
        """
        if not call.charged:
            return
        if arrived:
            self._budget.arrived(call.service, now)
            self._counts.sent(call.service, call.charged)
        else:
            self._budget.unused(call.service, now)
        call.charged = ""

    def again(self, call: calls.Call) -> None:
        """Note the retry of a call that may have reached an upstream."""
        call.flags |= frames.Flag.REPEAT
        call.repeats += 1
