"""Retry budget of each service, as a bound over all hosts together.

Protects against retries that multiply along a chain, and against upstreams
that reject a fraction of all requests. Each service has a budget in
proportion to the requests for it. Each host accounts for its own part without
coordination. A call below a retry is charged like a retry, before it is sent.

When the budget is short, urgent chains and chains that have progressed
furthest are preferred, since all work of a chain is lost when one of its
calls fails. Other retries must leave a fraction of the budget unused.
"""

import dataclasses
import typing as t

from . import retry_slack

# Number of steps that the window is divided into.
STEPS = 40
# Fraction of the budget that a retry must leave unused: for each step of
# urgency below the most urgent, for a chain without progress, and at most.
RESERVED_PER_URGENCY = 0.35
RESERVED_NO_PROGRESS = 0.4
RESERVED_MAX = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class RetryClaim:
    """The chain of a request that is to be retried.

    :param urgency: priority of the root request, 0 is the most urgent.
    :param progress: fraction of the parent's calls that were answered.
    """

    urgency: int = 0
    progress: float = 0.0

    @property
    def reserved_fraction(self) -> float:
        """Fraction of the budget that is left to other retries."""
        early = RESERVED_NO_PROGRESS * (1.0 - self.progress)
        return min(RESERVED_MAX, RESERVED_PER_URGENCY * self.urgency + early)


class _Allowance(t.NamedTuple):
    """Retries that are still allowed in the windows that overlap now.

    The host's share of the slack is not included. Requests and retries later
    in the same step belong to all of these windows.

    :param least: smallest allowance of any of the windows.
    :param allowed: retries allowed in total in the longest window.
    :param retries: retries that have arrived in the longest window.
    :param requests: requests in the latest step at the time of measurement.
    :param arrived: retries that had arrived in the latest step by then.
    """

    least: float
    allowed: float
    retries: int
    requests: int
    arrived: int


class _ServiceCounts:
    """Requests and retries for a service by step, the latest step last."""

    __slots__ = ("allowance", "arrived", "in_transit", "requests", "step")

    def __init__(self, step: int) -> None:
        self.step = step
        self.requests = [0] * (2 * STEPS)
        # Retries by the step in which their arrival was confirmed.
        self.arrived = [0] * (STEPS + 1)
        # Retries that were charged and whose arrival is not confirmed.
        self.in_transit = 0
        # ``None`` until it is computed in this step.
        self.allowance: _Allowance | None = None

    def advance(self, step: int) -> None:
        """Advance to a later step and drop the expired ones."""
        passed = min(step - self.step, 2 * STEPS)
        self.step = step
        self.allowance = None
        for counts in (self.requests, self.arrived):
            del counts[:passed]
            counts += [0] * passed
        del self.arrived[: -STEPS - 1]


class FleetRetryBudget:
    """Budget of retries by service.

    A retry belongs to every window that begins before its arrival is
    confirmed. It may be sent if, in each of these windows, the number of
    retries is at most the host's share of the slack plus half the ratio times
    the requests since one window before the window's start. Two consecutive
    windows have at most twice the requests of the larger one, so that the
    bound holds for all hosts together however the load changes.

    :param ratio: retries per request that all hosts may send.
    :param window_s: length of the window in seconds.
    :param share: this host's share of the slack, that is of the retries
        allowed in addition to the ratio.
    """

    def __init__(
        self, ratio: float, window_s: float, share: retry_slack.SlackShare
    ) -> None:
        self._half_ratio = ratio / 2
        self._step_s = window_s / STEPS
        self._share = share
        self._services: dict[str, _ServiceCounts] = {}

    def record_request(self, service: str, now: float) -> None:
        """Record a new request for a service."""
        self._counts_at(service, now).requests[-1] += 1

    def spend(self, service: str, claim: RetryClaim, now: float) -> bool:
        """Charge one retry; return whether it may be sent."""
        if not self.allows(service, claim, now):
            return False
        self.charge(service, now)
        return True

    def charge(self, service: str, now: float, count: int = 1) -> None:
        """Charge retries that will be sent.

        Each one counts until one window after :meth:`record_arrival`, or
        until :meth:`refund`.
        """
        self._counts_at(service, now).in_transit += count

    def allows(
        self, service: str, claim: RetryClaim, now: float, count: int = 1
    ) -> bool:
        """Return whether ``count`` more retries may be sent."""
        counts = self._counts_at(service, now)
        if counts.allowance is None:
            counts.allowance = self._compute_allowance(counts)
        allowance = counts.allowance
        earned = self._half_ratio * (counts.requests[-1] - allowance.requests)
        arrived_since = counts.arrived[-1] - allowance.arrived
        slack = self._share.share(now)
        if (
            counts.in_transit + arrived_since + count
            > allowance.least + earned + slack
        ):
            return False
        # An allowance of up to one retry can't be divided: the first retry
        # gets it, whatever its chain.
        allowed = allowance.allowed + earned + slack
        allowed = max(
            min(1.0, allowed), allowed * (1.0 - claim.reserved_fraction)
        )
        return (
            counts.in_transit + allowance.retries + arrived_since + count
            <= allowed
        )

    def record_arrival(self, service: str, now: float) -> None:
        """Record that a charged retry is known to have arrived."""
        counts = self._counts_at(service, now)
        counts.in_transit -= 1
        counts.arrived[-1] += 1

    def refund(self, service: str, now: float, count: int = 1) -> None:
        """Refund charged retries that will not arrive."""
        self._counts_at(service, now).in_transit -= count

    def _compute_allowance(self, counts: _ServiceCounts) -> _Allowance:
        """Compute the allowance of the windows that begin in each step."""
        requests_by_step, arrived = counts.requests, counts.arrived
        requests = sum(requests_by_step[1 - STEPS :])
        retries = arrived[-1]
        least = self._half_ratio * requests - retries
        for steps in range(1, STEPS + 1):
            # The oldest step is left out: it is incomplete, and requests are
            # recorded slightly after they were sent.
            requests += requests_by_step[1 - STEPS - steps]
            retries += arrived[-1 - steps]
            least = min(least, self._half_ratio * requests - retries)
        allowed = self._half_ratio * requests
        return _Allowance(
            least, allowed, retries, requests_by_step[-1], arrived[-1]
        )

    def _counts_at(self, service: str, now: float) -> _ServiceCounts:
        """Return a service's counts, advanced to the current step."""
        step = int(now / self._step_s)
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts(step)
        elif step > counts.step:
            counts.advance(step)
        return counts
