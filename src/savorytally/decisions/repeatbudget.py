"""How many requests may be sent a second time, over all hosts together.

Answers retries that multiply along a chain, and upstreams that reject a part
of all requests: each service has a budget in proportion to its first
arrivals in a sliding window, each host keeps its own account of it, and
arrivals below a request that is itself a repeat are charged to it.

Where the budget is short, it is spent on the chains that have got furthest,
since a chain is lost with the first of its calls that fails; urgent chains
go first. The others leave a part of the budget.
"""

import collections
import dataclasses

from . import slackshare

# Part of the users' ratio that is used; arrivals below repeats are charged
# only after they happened.
RATIO_USED = 0.8
# Steps into which the window is divided.
STEPS = 20
# Part of the budget that a request leaves, by steps of urgency, and one
# whose chain has only begun.
LEFT_URGENCY = 0.35
LEFT_EARLY = 0.4
LEFT_MAX = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a request that would be repeated belongs to.

    :param urgency: priority at the top of the chain, 0 is the most urgent.
    :param progress: part of its parent's calls that were answered, 0 to 1.
    """

    urgency: int = 0
    progress: float = 0.0

    @property
    def leaves(self) -> float:
        """Part of the budget that is left to others."""
        early = LEFT_EARLY * (1.0 - self.progress)
        return min(LEFT_MAX, LEFT_URGENCY * self.urgency + early)


@dataclasses.dataclass(slots=True)
class _Step:
    number: int
    firsts: int = 0
    repeats: int = 0


@dataclasses.dataclass(slots=True)
class _Account:
    """Arrivals at a service in the last window."""

    steps: collections.deque[_Step]
    firsts: int = 0
    repeats: int = 0


class RepeatBudget:
    """Repeats by service.

    :param ratio: repeats per first arrival that all hosts may send.
    :param window_s: the window.
    :param share: the host's part of what is allowed beyond the ratio.
    """

    def __init__(
        self, ratio: float, window_s: float, share: slackshare.SlackShare
    ) -> None:
        self._ratio = ratio * RATIO_USED
        self._step_s = window_s / STEPS
        self._share = share
        self._accounts: dict[str, _Account] = {}

    def first(self, service: str, now: float) -> None:
        """Note the first arrival of a request at a service."""
        account = self._at(service, now)
        account.steps[-1].firsts += 1
        account.firsts += 1

    def charge(self, service: str, now: float) -> None:
        """Note an arrival that repeats one, allowed or not."""
        account = self._at(service, now)
        account.steps[-1].repeats += 1
        account.repeats += 1

    def spend(self, service: str, claim: Claim, now: float) -> bool:
        """Return whether one more repeat may be sent, and charge it."""
        account = self._at(service, now)
        allowed = self._ratio * account.firsts + self._share.part(now)
        # What is too little to be divided goes to who comes first.
        allowed = max(min(1.0, allowed), allowed * (1.0 - claim.leaves))
        if account.repeats + 1 > allowed:
            return False
        self.charge(service, now)
        return True

    def _at(self, service: str, now: float) -> _Account:
        """Return a service's account with its window moved to now."""
        account = self._accounts.get(service)
        if account is None:
            account = _Account(collections.deque())
            self._accounts[service] = account
        number = int(now / self._step_s)
        steps = account.steps
        if not steps or steps[-1].number != number:
            steps.append(_Step(number))
            while steps[0].number <= number - STEPS:
                steps.popleft()
            account.firsts = sum(step.firsts for step in steps)
            account.repeats = sum(step.repeats for step in steps)
        return account
