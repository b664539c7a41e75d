"""How many requests may be sent a second time, over all hosts together.

Answers retries that multiply along a chain, and upstreams that reject a part
of all requests: each service has a budget in proportion to its first
arrivals in a sliding window, each host keeps its own account of it, and
arrivals below a request that is itself a repeat are charged to it.

Where the budget is short, it is spent on the chains that have got furthest,
since a chain is lost with the first of its calls that fails; urgent chains
go first. The others leave a part of the budget.
"""

import dataclasses

from . import slackshare

# Steps into which the window is divided.
STEPS = 40
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


class _Account:
    """Requests and repeats at a service by step, the latest one last."""

    __slots__ = ("arrived", "firsts", "on_way", "step")

    def __init__(self, step: int) -> None:
        self.step = step
        self.firsts = [0] * (2 * STEPS)
        # Repeats by the step in which they were known to have arrived.
        self.arrived = [0] * (STEPS + 1)
        # Repeats that were sent and may not have arrived yet.
        self.on_way = 0

    def advance(self, step: int) -> None:
        """Move on to a later step."""
        passed = min(step - self.step, 2 * STEPS)
        self.step = step
        for counts in (self.firsts, self.arrived):
            del counts[:passed]
            counts += [0] * passed
        del self.arrived[: -STEPS - 1]


class RepeatBudget:
    """Repeats by service.

    A repeat belongs to every window that begins before it is known to have
    arrived. It is sent if, in each of these, the repeats are at most the
    host's part of the slack and half the ratio of the requests that came
    since a window before. The requests of two windows that follow each other
    are at most twice those of the larger one, so that the bound holds for all
    hosts together however the load changes.

    :param ratio: repeats per request that all hosts may send.
    :param window_s: the window.
    :param share: the host's part of what is allowed beyond the ratio.
    """

    def __init__(
        self, ratio: float, window_s: float, share: slackshare.SlackShare
    ) -> None:
        self._half_ratio = ratio / 2
        self._step_s = window_s / STEPS
        self._share = share
        self._accounts: dict[str, _Account] = {}

    def first(self, service: str, now: float) -> None:
        """Note a new request for a service."""
        self._at(service, now).firsts[-1] += 1

    def charge(self, service: str, now: float) -> None:
        """Note an arrival that repeats one, allowed or not."""
        self._at(service, now).arrived[-1] += 1

    def spend(self, service: str, claim: Claim, now: float) -> bool:
        """Return whether one more repeat may be sent, and charge it.

        It counts until a window after :meth:`arrived`, or until
        :meth:`unused`.
        """
        account = self._at(service, now)
        part = self._share.part(now)
        left = 1.0 - claim.leaves
        repeats = account.on_way + 1
        firsts = sum(account.firsts[1 - STEPS :])
        # For windows that begin in each step, from now back.
        for steps in range(STEPS + 1):
            repeats += account.arrived[-1 - steps]
            if steps:
                # The step at the far end is left out: it is not whole, and
                # requests are noted a moment after they were sent.
                firsts += account.firsts[1 - STEPS - steps]
            allowed = self._half_ratio * firsts + part
            # What is too little to be divided goes to who comes first.
            if repeats > max(min(1.0, allowed), allowed * left):
                return False
        account.on_way += 1
        return True

    def arrived(self, service: str, now: float) -> None:
        """Note that a repeat that was charged has arrived by now."""
        account = self._at(service, now)
        account.on_way -= 1
        account.arrived[-1] += 1

    def unused(self, service: str, now: float) -> None:
        """Note that a repeat that was charged will not arrive."""
        self._at(service, now).on_way -= 1

    def _at(self, service: str, now: float) -> _Account:
        """Return a service's account with its steps moved to now."""
        step = int(now / self._step_s)
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(step)
        elif account.step != step:
            account.advance(step)
        return account
