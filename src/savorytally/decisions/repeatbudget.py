"""How many requests may be sent a second time, over all hosts together.

Answers retries that multiply along a chain: each service has a budget that
its first arrivals fill, each host keeps its part of it, and arrivals below a
request that is itself a repeat are charged to it.
"""

# Part of the users' ratio and slack that is used; arrivals below repeats
# are charged only after they happened.
RATIO_USED = 0.5
SLACK_USED = 0.5


class RepeatBudget:
    """Repeats by service.

    :param ratio: repeats per first arrival that all hosts may send.
    :param slack: repeats beyond that in a window, over all hosts.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self._earned = ratio * RATIO_USED
        self._slack = slack * SLACK_USED
        self._size = self._slack
        self._tokens: dict[str, float] = {}

    def learn_hosts(self, hosts: int) -> None:
        """Apply the number of hosts that share the budget."""
        self._size = max(1.0, self._slack / max(1, hosts))

    def first(self, service: str) -> None:
        """Note the first arrival of a request at a service."""
        tokens = self._tokens.get(service, self._size) + self._earned
        self._tokens[service] = min(self._size, tokens)

    def charge(self, service: str) -> None:
        """Note an arrival that repeats one, allowed or not."""
        tokens = self._tokens.get(service, self._size)
        self._tokens[service] = tokens - 1.0

    def spend(self, service: str) -> bool:
        """Return whether one more repeat may be sent, and charge it."""
        if self._tokens.get(service, self._size) < 1.0:
            return False
        self.charge(service)
        return True
