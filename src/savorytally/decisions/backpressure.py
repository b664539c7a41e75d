"""Refuses requests at the entry when a service deep in their chain is slow.

Protects against overload of a deep service that many routes depend on. Each
gate estimates how long the calls made by its upstream's requests wait, and
how many calls a request of each route makes. The product is the wait of a
request downstream of the gate; it is reported with each result, so that the
waits add up along the chain. The entry refuses a fraction of the route's new
requests before any part of the chain has run; the fraction grows with that
wait. A request that its caller retries after a refusal is refused half as
often as a new one.
"""

from . import shared_waits

# The refused fraction grows linearly between these two downstream waits, each
# given as a fraction of the time in which a response is useful.
WAIT_MIN_FRACTION = 0.12
WAIT_MAX_FRACTION = 0.42
# Upper bound of the refused fraction: the remaining requests show when the
# wait has gone.
REFUSED_FRACTION_MAX = 0.92
# Factor on the refused fraction for requests retried after a refusal.
RETRIED_FACTOR = 0.5
# Weight of the latest request in the mean number of calls.
CALLS_WEIGHT = 0.1

Kind = shared_waits.Kind


class DownstreamWaits:
    """Estimates how long requests of each kind wait downstream of a gate."""

    def __init__(self) -> None:
        self.waits = shared_waits.SharedWaits()
        self._calls: dict[str, float] = {}

    def record_wait(self, kind: Kind, wait_s: float, now: float) -> None:
        """Record the wait of one call made by a request of the kind."""
        self.waits.add(kind, wait_s, now)

    def record_calls(self, route: str, calls: int) -> None:
        """Record how many calls one request of the route made."""
        mean = self._calls.get(route, float(calls))
        self._calls[route] = mean + CALLS_WEIGHT * (calls - mean)

    def calls(self, route: str) -> float:
        """Return the mean calls per request of the route, at least 1."""
        return max(1.0, self._calls.get(route, 1.0))

    def expected_s(self, kind: Kind, now: float) -> float:
        """Return the expected downstream wait of a request of the kind."""
        return self.waits.value_s(kind, now) * self.calls(kind[0])


class Backpressure:
    """Expected downstream wait of each kind of request at one entry.

    Less urgent requests wait longer downstream and are thus refused first.
    """

    def __init__(self) -> None:
        self.waits = shared_waits.SharedWaits()

    def note(self, kind: Kind, wait_s: float, now: float) -> None:
        """Record the downstream wait of a request of the kind."""
        self.waits.add(kind, wait_s, now)

    def wait_s(self, kind: Kind, now: float) -> float:
        """Return the expected downstream wait for a kind of request."""
        return self.waits.value_s(kind, now)

    def refuses(
        self,
        kind: Kind,
        useful_s: float,
        retried: bool,
        draw: float,
        now: float,
    ) -> bool:
        """Return whether to refuse a request of the kind.

        :param useful_s: time within which the response is useful.
        :param retried: whether its caller retries it after a refusal.
        :param draw: a random number from 0 to 1.
        """
        return draw < self.refused_fraction(kind, useful_s, retried, now)

    def refused_fraction(
        self, kind: Kind, useful_s: float, retried: bool, now: float
    ) -> float:
        """Return the fraction of the requests of a kind that is refused.

        :param useful_s: time within which the response is useful.
        :param retried: whether their callers retry them after a refusal.
        """
        wait_s = self.wait_s(kind, now)
        if not wait_s:
            return 0.0
        low_s, high_s = (
            WAIT_MIN_FRACTION * useful_s,
            WAIT_MAX_FRACTION * useful_s,
        )
        fraction = (wait_s - low_s) / (high_s - low_s)
        fraction = min(REFUSED_FRACTION_MAX, max(0.0, fraction))
        return fraction * RETRIED_FACTOR if retried else fraction
