"""How many requests may be sent a second time, over all hosts together.

Answers retries that multiply along a chain, and upstreams that reject a part
of all requests: each service has a budget in proportion to the requests for
it, each host keeps its own account of it, and what is sent below a request
that is itself a repeat is charged like one, before it is sent.

Where the budget is short, it is spent on the chains that have got furthest,
since a chain is lost with the first of its calls that fails; urgent chains
go first. The others leave a part of the budget.
"""

import dataclasses
import typing as t

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


class _Room(t.NamedTuple):
    """What the windows that begin by now leave, without the slack.

    What comes later in the same step belongs to all of them.

    :param least: the least that one of them leaves.
    :param allowed: repeats in the longest of them.
    :param repeats: repeats that have arrived in it.
    :param firsts: requests in the latest step when this was measured.
    :param arrived: repeats in the latest step then.
    """

    least: float
    allowed: float
    repeats: int
    firsts: int
    arrived: int


class _Account:
    """Requests and repeats at a service by step, the latest one last."""

    __slots__ = ("arrived", "firsts", "on_way", "room", "step")

    def __init__(self, step: int) -> None:
        self.step = step
        self.firsts = [0] * (2 * STEPS)
        # Repeats by the step in which they were known to have arrived.
        self.arrived = [0] * (STEPS + 1)
        # Repeats that were sent and may not have arrived yet.
        self.on_way = 0
        # ``None`` until it is asked for in this step.
        self.room: _Room | None = None

    def advance(self, step: int) -> None:
        """Move on to a later step."""
        passed = min(step - self.step, 2 * STEPS)
        self.step = step
        self.room = None
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

    def spend(self, service: str, claim: Claim, now: float) -> bool:
        """Return whether one more repeat may be sent, and charge it."""
        if not self.has_room(service, claim, now):
            return False
        self.charge(service, now)
        return True

    def charge(self, service: str, now: float, count: int = 1) -> None:
        """Charge repeats that will be sent.

        Each counts until a window after :meth:`arrived`, or until
        :meth:`unused`.
        """
        self._at(service, now).on_way += count

    def has_room(
        self, service: str, claim: Claim, now: float, count: int = 1
    ) -> bool:
        """Return whether so many more repeats may be sent."""
        account = self._at(service, now)
        if account.room is None:
            account.room = self._measure(account)
        room = account.room
        earned = self._half_ratio * (account.firsts[-1] - room.firsts)
        came = account.arrived[-1] - room.arrived
        part = self._share.part(now)
        if account.on_way + came + count > room.least + earned + part:
            return False
        # What is too little to be divided goes to who comes first.
        allowed = room.allowed + earned + part
        allowed = max(min(1.0, allowed), allowed * (1.0 - claim.leaves))
        return account.on_way + room.repeats + came + count <= allowed

    def arrived(self, service: str, now: float) -> None:
        """Note that a repeat that was charged has arrived by now."""
        account = self._at(service, now)
        account.on_way -= 1
        account.arrived[-1] += 1

    def unused(self, service: str, now: float, count: int = 1) -> None:
        """Note that repeats that were charged will not arrive."""
        self._at(service, now).on_way -= count

    def _measure(self, account: _Account) -> _Room:
        """Return the room in the windows that begin in each step."""
        firsts, arrived = account.firsts, account.arrived
        requests = sum(firsts[1 - STEPS :])
        repeats = arrived[-1]
        least = self._half_ratio * requests - repeats
        for steps in range(1, STEPS + 1):
            # The step at the far end is left out: it is not whole, and
            # requests are noted a moment after they were sent.
            requests += firsts[1 - STEPS - steps]
            repeats += arrived[-1 - steps]
            least = min(least, self._half_ratio * requests - repeats)
        allowed = self._half_ratio * requests
        return _Room(least, allowed, repeats, firsts[-1], arrived[-1])

    def _at(self, service: str, now: float) -> _Account:
        """Return a service's account with its steps moved to now."""
        step = int(now / self._step_s)
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(step)
        elif step > account.step:
            account.advance(step)
        return account
