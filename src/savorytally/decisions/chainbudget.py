"""Room for the calls that a repeat brings about below it.

Answers chains: a run that is a repeat makes its calls again, and each of them
is a repeat at the service that is called. How many calls a run of a route
makes of which service is learned from earlier runs. Before a repeat
is run, all that it is expected to call is set aside in the budget; a repeat
for which there is no room is refused before it has run, so that no work is
lost and no chain breaks off in its middle.
"""

import math
import typing as t

from . import repeatbudget

# Weight of the latest run in the mean number of calls.
WEIGHT = 0.1
# Part of a call in the mean that is not set aside.
IGNORED = 0.05
# What a repeat calls goes before new repeats.
CLAIM = repeatbudget.Claim(progress=1.0)

Reserved = dict[str, int]


class ChainBudget:
    """Calls below the repeats that run at one upstream.

    :param budget: repeats that this host may send.
    """

    def __init__(self, budget: repeatbudget.RepeatBudget) -> None:
        self._budget = budget
        self._made: dict[str, dict[str, float]] = {}

    def ran(self, route: str, made: t.Mapping[str, int], whole: bool) -> None:
        """Note the calls by service that a run has made.

        :param whole: whether it has ended well, so that it made all calls.
        """
        known = self._made.get(route)
        if known is None:
            if made:
                self._made[route] = {name: float(made[name]) for name in made}
            return
        for service in known.keys() | made.keys():
            mean = known.get(service, 0.0)
            count = made.get(service, 0)
            if whole or count > mean:
                known[service] = mean + WEIGHT * (count - mean)

    def expected(self, route: str) -> Reserved:
        """Return the calls by service that a run of a route makes."""
        return {
            service: math.ceil(mean - IGNORED)
            for service, mean in self._made.get(route, {}).items()
            if mean > IGNORED
        }

    def has_room(self, route: str, now: float) -> bool:
        """Return whether a repeat of a route could be run."""
        return all(
            self._budget.has_room(service, CLAIM, now, count)
            for service, count in self.expected(route).items()
        )

    def reserve(self, route: str, now: float) -> Reserved | None:
        """Set aside what a repeat will call; ``None`` if there is no room."""
        if not self.has_room(route, now):
            return None
        reserved = self.expected(route)
        for service, count in reserved.items():
            self._budget.charge(service, now, count)
        return reserved

    def take(
        self, reserved: Reserved | None, service: str, now: float
    ) -> bool:
        """Return whether a repeat may call a service once more.

        :param reserved: what was set aside for it.
        """
        if reserved and reserved.get(service):
            reserved[service] -= 1
            return True
        return self._budget.spend(service, CLAIM, now)

    def release(self, reserved: Reserved, now: float) -> None:
        """Give back what a repeat that has ended did not call."""
        for service, count in reserved.items():
            self._budget.unused(service, now, count)
        reserved.clear()
