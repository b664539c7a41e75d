"""Simulated retry budgets of several hosts, and a check of their bound."""

import bisect
import collections
import random

from savorytally.decisions import retry_budget
from savorytally.decisions import retry_slack
from savorytally.decisions import subtree_budget

RATIO = 0.2
SLACK = 50.0
WINDOW_S = 10.0
# A retry that leaves no budget to more urgent ones.
USUAL = retry_budget.RetryClaim(progress=1.0)
# Hosts that a request is sent to in turn.
GATES = 8


class BoundChecker:
    """Counts requests and retries by service, to check the bound.

    :param slack: retries allowed in addition to the ratio.
    """

    def __init__(self, slack: float = SLACK) -> None:
        self._slack = slack
        self._requests: dict[str, list[float]]
        self._requests = collections.defaultdict(list)
        self._retries: dict[str, list[float]]
        self._retries = collections.defaultdict(list)

    def request(self, service: str, now: float) -> None:
        """Record a request for a service at the time it was sent."""
        self._requests[service].append(now)

    def retry(self, service: str, now: float) -> None:
        """Record a retry at the time it arrived at an upstream."""
        self._retries[service].append(now)

    def retries(self, service: str) -> int:
        """Return the number of retries at a service."""
        return len(self._retries[service])

    def excess(self) -> dict[str, float]:
        """Return the largest number of retries beyond the bound, by service.

        Each retry starts a window. The bound is computed from the requests
        in that window, one window before or half a window before, whichever
        has the most.
        """
        return {
            service: max(
                (
                    self._excess(service, index)
                    for index in range(len(self._retries[service]))
                ),
                default=0.0,
            )
            for service in list(self._retries)
        }

    def _excess(self, service: str, index: int) -> float:
        retries = sorted(self._retries[service])
        requests = sorted(self._requests[service])
        begin = retries[index]
        count = bisect.bisect_right(retries, begin + WINDOW_S) - index
        most = max(
            bisect.bisect_right(requests, begin - shift_s + WINDOW_S)
            - bisect.bisect_left(requests, begin - shift_s)
            for shift_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        return count - RATIO * most - self._slack


class Host:
    """A host with its retry budget.

    :param name: its address.
    :param service: the service of its upstream.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.start(first_start=True)

    def start(self, first_start: bool) -> None:
        """Start with empty counts."""
        self.share = retry_slack.SlackShare(
            SLACK, self.name, WINDOW_S, first_start
        )
        self.budget = retry_budget.FleetRetryBudget(
            RATIO, WINDOW_S, self.share
        )
        self.chain = subtree_budget.SubtreeBudget(self.budget)

    def learn_hosts(self, listed: list[str], now: float) -> None:
        """Apply a host list."""
        self.share.learn_hosts(listed, now)

    def retry(self, service: str, now: float) -> bool:
        """Charge a retry; return whether it may be sent."""
        return self.budget.spend(service, USUAL, now)

    def arrived(self, service: str, now: float) -> None:
        """Record that a retry has arrived."""
        self.budget.record_arrival(service, now)


class Fleet:
    """Hosts of a chain of services.

    :param services: number of hosts by service, from the top down.
    :param source: random number generator.
    """

    def __init__(
        self, services: dict[str, int], source: random.Random
    ) -> None:
        self.checker = BoundChecker()
        self.random = source
        self.served = 0
        # Calls below retries that the budget refused.
        self.refused_below = 0
        self.hosts = [
            Host(f"10.0.{index}.{number}", service)
            for index, (service, count) in enumerate(services.items())
            for number in range(count)
        ]
        self._order = list(services)
        self._confirmed = 0.0

    def learn(self, now: float, fraction: float = 1.0) -> None:
        """Give each host a list with a random fraction of the hosts."""
        names = [host.name for host in self.hosts]
        for host in self.hosts:
            listed = self.random.sample(names, int(fraction * len(names)))
            host.learn_hosts(listed, now)

    def confirm(self, now: float) -> None:
        """Confirm to each host that its list is unchanged."""
        if now - self._confirmed < 1.0:
            return
        self._confirmed = now
        for host in self.hosts:
            host.share.confirm_list(now)

    def restart(self, host: Host, now: float) -> None:
        """Restart a host's node."""
        host.start(first_start=False)
        host.learn_hosts([other.name for other in self.hosts], now)

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

        :param calls: calls that each request makes to the next service, for
            all services or by service.
        :param rejected: fraction of the arrivals that each service rejects.
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
        retry: bool,
        reserved: dict[str, int] | None,
    ) -> bool:
        service = self._order[depth]
        if not retry:
            sender.budget.record_request(service, now)
            self.checker.request(service, now)
        elif not sender.chain.charge_call(reserved, service, now):
            self.refused_below += 1
            return False
        charged = retry
        for _ in range(GATES):
            target = self.random.choice(self.of(service))
            below = None
            if retry:
                below = target.chain.reserve(service, now)
                if below is None:
                    continue
            if charged:
                self.checker.retry(service, now)
                sender.arrived(service, now)
                charged = False
            if self.random.random() >= rejected.get(service, 0.0):
                return self._run(
                    target, depth, now, calls, rejected, retry, below
                )
            if below:
                target.chain.release(below, now)
            if not sender.retry(service, now):
                return False
            charged = retry = True
        if charged:
            sender.budget.refund(service, now)
        return False

    def _run(
        self,
        host: Host,
        depth: int,
        now: float,
        calls: dict[str, int],
        rejected: dict[str, float],
        retry: bool,
        reserved: dict[str, int] | None,
    ) -> bool:
        service = self._order[depth]
        if depth + 1 == len(self._order):
            return True
        called = self._order[depth + 1]
        good = all(
            self._send(host, depth + 1, now, calls, rejected, retry, reserved)
            for _ in range(calls[service])
        )
        if good:
            host.chain.record_calls(service, {called: calls[service]}, True)
        if reserved:
            host.chain.release(reserved, now)
        return good
