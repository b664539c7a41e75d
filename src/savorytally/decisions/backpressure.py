"""Refuses requests at the top of a chain whose lower end is overloaded.

Answers an overload of a deep service that many routes end in. Each gate
learns how long the calls of its upstream's requests wait, and how many calls
a request of a route makes; the product is what a request waits below it, and
is told with each result, so that it adds up along the chain. At the top a
part of the route's new requests is refused before any of the chain has run;
the part grows with that wait. A request that comes back after a refusal is
refused half as often as a new one.
"""

from . import pooledwaits

# Waits below, as parts of the time in which an answer is of use, between
# which the refused part grows from none to all but a floor.
WAIT_FROM = 0.12
WAIT_TO = 0.42
# Refused at most, so that the route learns when the wait has gone.
REFUSED_MAX = 0.92
RETURNED_FACTOR = 0.5
# Weight of the latest run in the mean number of calls.
CALLS_WEIGHT = 0.1

Kind = pooledwaits.Kind


class ChainWaits:
    """What the requests of each kind wait for below one gate."""

    def __init__(self) -> None:
        self.waits = pooledwaits.PooledWaits()
        self._calls: dict[str, float] = {}

    def called(self, kind: Kind, wait_s: float, now: float) -> None:
        """Note how long a call of one of the kind's requests waited."""
        self.waits.add(kind, wait_s, now)

    def ran(self, route: str, calls: int) -> None:
        """Note how many calls a request of the route has made."""
        known = self._calls.get(route, float(calls))
        self._calls[route] = known + CALLS_WEIGHT * (calls - known)

    def calls(self, route: str) -> float:
        """Return how many calls a request of the route makes, at least 1."""
        return max(1.0, self._calls.get(route, 1.0))

    def expected_s(self, kind: Kind, now: float) -> float:
        """Return how long a request of the kind waits below."""
        return self.waits.value_s(kind, now) * self.calls(kind[0])


class Backpressure:
    """Expected waits below each kind of request, as one entry knows them.

    Less urgent requests wait longer below, so that they are refused first.
    """

    def __init__(self) -> None:
        self.waits = pooledwaits.PooledWaits()

    def note(self, kind: Kind, wait_s: float, now: float) -> None:
        """Note how long a request of the kind waited below."""
        self.waits.add(kind, wait_s, now)

    def wait_s(self, kind: Kind, now: float) -> float:
        """Return the expected wait below a kind of request."""
        return self.waits.value_s(kind, now)

    def refuses(
        self,
        kind: Kind,
        useful_s: float,
        returned: bool,
        draw: float,
        now: float,
    ) -> bool:
        """Return whether a new request of the kind is refused.

        :param useful_s: time in which its answer is of use.
        :param returned: whether its caller came back after a refusal.
        :param draw: a random number from 0 to 1.
        """
        wait_s = self.wait_s(kind, now)
        if not wait_s:
            return False
        low_s, high_s = WAIT_FROM * useful_s, WAIT_TO * useful_s
        part = (wait_s - low_s) / (high_s - low_s)
        part = min(REFUSED_MAX, max(0.0, part))
        if returned:
            part *= RETURNED_FACTOR
        return draw < part
