"""Repeat budgets of several hosts, and the users' bound to judge them by."""

import bisect
import collections
import random

from savorytally.decisions import chainbudget
from savorytally.decisions import repeatbudget
from savorytally.decisions import slackshare

RATIO = 0.2
SLACK = 50.0
WINDOW_S = 10.0
# A repeat that leaves nothing to more urgent ones.
USUAL = repeatbudget.Claim(progress=1.0)
# Hosts that a request is offered to.
GATES = 8


class Judge:
    """Counts requests and repeats by service and window.

    :param slack: repeats allowed beyond the ratio.
    """

    def __init__(self, slack: float = SLACK) -> None:
        self._slack = slack
        self._requests: dict[str, list[float]]
        self._requests = collections.defaultdict(list)
        self._repeats: dict[str, list[float]]
        self._repeats = collections.defaultdict(list)

    def request(self, service: str, now: float) -> None:
        """Note a request for a service, when it was sent."""
        self._requests[service].append(now)

    def repeat(self, service: str, now: float) -> None:
        """Note an arrival beyond the first, when it arrived."""
        self._repeats[service].append(now)

    def repeats(self, service: str) -> int:
        """Return all repeats at a service."""
        return len(self._repeats[service])

    def excess(self) -> dict[str, float]:
        """Return the most repeats beyond what is allowed, by service.

        Windows slide; the requests are those of the window, the one before
        or the one half a window before, whichever has most.
        """
        return {
            service: max(
                (
                    self._excess(service, place)
                    for place in range(len(self._repeats[service]))
                ),
                default=0.0,
            )
            for service in list(self._repeats)
        }

    def _excess(self, service: str, place: int) -> float:
        repeats = sorted(self._repeats[service])
        requests = sorted(self._requests[service])
        begin = repeats[place]
        count = bisect.bisect_right(repeats, begin + WINDOW_S) - place
        most = max(
            bisect.bisect_right(requests, begin - shift_s + WINDOW_S)
            - bisect.bisect_left(requests, begin - shift_s)
            for shift_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        return count - RATIO * most - self._slack


class Host:
    """A host's budget.

    :param name: its address.
    :param service: the service of its upstream.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.start(first_start=True)

    def start(self, first_start: bool) -> None:
        """Begin with an empty account."""
        self.share = slackshare.SlackShare(
            SLACK, self.name, WINDOW_S, first_start
        )
        self.budget = repeatbudget.RepeatBudget(RATIO, WINDOW_S, self.share)
        self.chain = chainbudget.ChainBudget(self.budget)

    def learn(self, listed: list[str], now: float) -> None:
        """Apply the list of hosts."""
        self.share.learn(listed, now)

    def repeat(self, service: str, now: float) -> bool:
        """Return whether a repeat may be sent."""
        return self.budget.spend(service, USUAL, now)

    def arrived(self, service: str, now: float) -> None:
        """Note that a repeat has arrived."""
        self.budget.arrived(service, now)


class Fleet:
    """Hosts of a chain of services.

    :param services: hosts by service, from the top down.
    :param source: random source.
    """

    def __init__(
        self, services: dict[str, int], source: random.Random
    ) -> None:
        self.judge = Judge()
        self.random = source
        self.served = 0
        # Calls below repeats that were refused.
        self.turned_away = 0
        self.hosts = [
            Host(f"10.0.{place}.{number}", service)
            for place, (service, count) in enumerate(services.items())
            for number in range(count)
        ]
        self._order = list(services)
        self._confirmed = 0.0

    def learn(self, now: float, part: float = 1.0) -> None:
        """Have each host read a list of a part of the hosts."""
        names = [host.name for host in self.hosts]
        for host in self.hosts:
            listed = self.random.sample(names, int(part * len(names)))
            host.learn(listed, now)

    def confirm(self, now: float) -> None:
        """Have each host read that its list has not changed."""
        if now - self._confirmed < 1.0:
            return
        self._confirmed = now
        for host in self.hosts:
            host.share.confirm(now)

    def restart(self, host: Host, now: float) -> None:
        """Start a host's node anew."""
        host.start(first_start=False)
        host.learn([other.name for other in self.hosts], now)

    def of(self, service: str) -> list[Host]:
        """Return the hosts of a service."""
        return [host for host in self.hosts if host.service == service]

    def run(
        self,
        now: float,
        calls: int | dict[str, int],
        rejected: dict[str, float],
    ) -> bool:
        """Send a request from the top down the chain.

        :param calls: calls that each run makes of the next service, by its
            own service if they differ.
        :param rejected: part of the arrivals that each service rejects.
        :return: whether it was served.
        """
        self.confirm(now)
        if isinstance(calls, int):
            calls = dict.fromkeys(self._order, calls)
        sender = self.random.choice(self.hosts)
        served = self._send(sender, 0, now, calls, rejected, False, None)
        self.served += served
        return served

    def _send(
        self,
        sender: Host,
        depth: int,
        now: float,
        calls: dict[str, int],
        rejected: dict[str, float],
        repeat: bool,
        reserved: dict[str, int] | None,
    ) -> bool:
        service = self._order[depth]
        if not repeat:
            sender.budget.first(service, now)
            self.judge.request(service, now)
        elif not sender.chain.take(reserved, service, now):
            self.turned_away += 1
            return False
        charged = repeat
        for _ in range(GATES):
            target = self.random.choice(self.of(service))
            below = None
            if repeat:
                below = target.chain.reserve(service, now)
                if below is None:
                    continue
            if charged:
                self.judge.repeat(service, now)
                sender.arrived(service, now)
                charged = False
            if self.random.random() >= rejected.get(service, 0.0):
                return self._run(
                    target, depth, now, calls, rejected, repeat, below
                )
            if below:
                target.chain.release(below, now)
            if not sender.repeat(service, now):
                return False
            charged = repeat = True
        if charged:
            sender.budget.unused(service, now)
        return False

    def _run(
        self,
        host: Host,
        depth: int,
        now: float,
        calls: dict[str, int],
        rejected: dict[str, float],
        repeat: bool,
        reserved: dict[str, int] | None,
    ) -> bool:
        service = self._order[depth]
        if depth + 1 == len(self._order):
            return True
        called = self._order[depth + 1]
        good = all(
            self._send(host, depth + 1, now, calls, rejected, repeat, reserved)
            for _ in range(calls[service])
        )
        if good:
            host.chain.ran(service, {called: calls[service]}, True)
        if reserved:
            host.chain.release(reserved, now)
        return good
