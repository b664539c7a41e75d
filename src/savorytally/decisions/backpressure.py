"""Refuses requests at the top of a chain whose lower end is overloaded.

Answers an overload of a deep service that many routes end in: results tell
how long calls below waited, and a part of the route's new requests that
grows with that wait is refused before any of the chain has run. A request
that comes back after a refusal is refused half as often as a new one.
"""

import dataclasses
import math

# Waits below, as parts of the objective, between which the refused part
# grows from none to all but a floor.
WAIT_FROM = 0.03
WAIT_TO = 0.14
# Refused at most, so that the route learns when the wait has gone.
REFUSED_MAX = 0.92
RETURNED_FACTOR = 0.5
# Weight of the latest result in the mean wait.
WEIGHT = 0.25
# Time in which a mean without new results falls to a third.
FADE_S = 0.8


@dataclasses.dataclass(slots=True)
class _Wait:
    mean_s: float = 0.0
    at: float = 0.0


class Backpressure:
    """Expected waits below each route, as one node has seen them."""

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}

    def note(self, route: str, wait_s: float, now: float) -> None:
        """Note how long calls below a request of the route waited."""
        wait = self._waits.setdefault(route, _Wait())
        mean_s = self._mean_s(wait, now)
        wait.mean_s = mean_s + WEIGHT * (wait_s - mean_s)
        wait.at = now

    def wait_s(self, route: str, now: float) -> float:
        """Return the expected wait below a route."""
        wait = self._waits.get(route)
        return self._mean_s(wait, now) if wait is not None else 0.0

    def refuses(
        self,
        route: str,
        objective_s: float,
        returned: bool,
        draw: float,
        now: float,
    ) -> bool:
        """Return whether a new request of the route is refused.

        :param returned: whether its caller came back after a refusal.
        :param draw: a random number from 0 to 1.
        """
        wait_s = self.wait_s(route, now)
        if not wait_s:
            return False
        low_s, high_s = WAIT_FROM * objective_s, WAIT_TO * objective_s
        part = (wait_s - low_s) / (high_s - low_s)
        part = min(REFUSED_MAX, max(0.0, part))
        if returned:
            part *= RETURNED_FACTOR
        return draw < part

    @staticmethod
    def _mean_s(wait: _Wait, now: float) -> float:
        return wait.mean_s * math.exp(-(now - wait.at) / FADE_S)
