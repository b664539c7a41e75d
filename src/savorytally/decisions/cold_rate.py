"""Bounds the requests per second that a cold upstream receives.

An upstream that has just started during traffic, or that returns after it was
down, crashes at a rate that it serves easily once it is warm. The gate beside
it sees all its requests, so the bound needs no other host.

In each window the requests in the last :data:`WINDOW_S` and those that are
about to be sent are counted. That covers any one-second window as the
upstream sees it, also if connections open late.
"""

import collections
import enum
import math

from ..world import catalog

# Window in which requests are counted: one second, and a margin for the
# network delay, which differs between requests.
WINDOW_S = 1.1
# Requests that may be sent at once; the others are spread evenly, so that an
# urgent request finds room soon.
BURST = 2
# Health checks also count as requests. This part of the bound is left for
# them; a bound below PROBED_BOUND_MIN allows none.
PROBES_RESERVED = 2
PROBED_BOUND_MIN = 4
# Time between two health checks while it is not known whether the upstream is
# cold, and while it is known to be.
PROBE_INTERVAL_S = 0.55
COLD_PROBE_INTERVAL_S = 2.0
# How long an upstream that may have restarted is assumed to be cold if no
# health check responds.
UNVERIFIED_S = 1.0
# The same beside a gate that has just started: within that time, the entry of
# a cold upstream is written (each 1.5 s) and read (up to 1 s later).
START_UNVERIFIED_S = 3.0
# Age up to which an entry may have been written before an event that this
# gate has seen itself.
ENTRY_LAG_S = 2.5
# Time without a response after which the upstream may have restarted unseen.
CONTACT_MAX_S = 2.0
# How long a request waits for a health check that is in progress, and how
# long a health check is awaited before requests are refused.
PROBE_WAIT_S = 0.02
PROBE_MAX_S = 0.2
# Number of instances that are remembered.
INSTANCES_KEPT = 8
# Time of one slot of the bound less a tolerance for rounding errors.
_TOLERANCE_S = 1e-9


class Reason(enum.Enum):
    """Why the bound applies."""

    NONE = "none"
    UNVERIFIED = "unverified"
    COLD = "cold"
    DOWN = "down"


class ColdRate:
    """Bound on the rate of requests to one upstream while it is cold.

    All times are loop times in seconds.

    :param overage: factor on the configured rate.
    :param slack: further requests per second.
    :param now: when the gate has started. What an earlier gate has sent in
        the last second is not known, so that nothing is sent to a cold
        upstream within the first window.
    """

    def __init__(self, overage: float, slack: float, now: float) -> None:
        self._overage = overage
        self._slack = slack
        self._terms: catalog.ColdTerms | None = None
        # Until the configuration is known, the slack is the only part of the
        # bound that is known.
        self._bounded = slack >= 1.0
        self._terms_known = False
        self._probes = False
        self._allowed = 0
        self._sent: collections.deque[float] = collections.deque()
        self._pending = 0
        # When the next request is due if all are spread evenly.
        self._next_at = now
        self._cold_until = -math.inf
        self._unverified_until = now + START_UNVERIFIED_S
        self._down = False
        # When the upstream may last have restarted. What was sent earlier
        # does not show whether it is cold now.
        self._suspected_at = now
        self._contact_at = now
        self._probe_wanted = True
        self._probed_at = -math.inf
        # Start time of each known instance.
        self._known: dict[str, int] = {}
        self._entry: tuple[str, int, float] | None = None
        self._set_bound(0.0, now)

    @property
    def active(self) -> bool:
        """Whether the upstream's service has a bound at all."""
        return self._bounded

    @property
    def allowed(self) -> int:
        """Requests that a window may contain, health checks left out."""
        return self._allowed

    @property
    def per_s(self) -> float:
        """Requests per second that the bound allows in the long run."""
        return 1.0 / self._interval_s if self._allowed else 0.0

    def learn_terms(
        self, terms: catalog.ColdTerms | None, probes: bool, now: float
    ) -> None:
        """Apply the configuration of the upstream's service.

        :param terms: what its cold upstreams tolerate, ``None`` without a
            bound.
        :param probes: whether it has a health check.
        """
        self._probes = probes
        if self._terms_known and terms == self._terms:
            return
        self._terms, self._terms_known = terms, True
        self._bounded = terms is not None and terms.per_s > 0.0
        self._set_bound(terms.per_s if terms is not None else 0.0, now)

    def learn_entry(self, instance: catalog.Instance, now: float) -> None:
        """Apply the upstream's entry in the host list.

        An entry that was written before this gate saw the upstream go down
        does not show that the upstream is warm.
        """
        self._note_instance(instance.instance_id, instance.started_ms, now)
        entry = (instance.instance_id, instance.sequence, instance.cold_s)
        if entry == self._entry:
            return
        self._entry = entry
        until = now + instance.cold_s if instance.cold_s > 0.0 else now
        later = now - self._suspected_at >= ENTRY_LAG_S
        if later and not self._down:
            self._cold_until = until
            self._unverified_until = -math.inf
        else:
            self._cold_until = max(self._cold_until, until)

    def learn_health(
        self,
        instance_id: str,
        cold_s: float | None,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply a response of the health check.

        :param instance_id: the instance that responded, empty if unknown.
        :param cold_s: how long it remains cold, ``None`` if it does not say.
        :param sent_at: when the check was sent.
        """
        suspected_at = self._suspected_at
        self.responded(instance_id, now)
        if cold_s is None:
            if sent_at >= suspected_at:
                self._unverified_until = -math.inf
                self._probe_wanted = False
            return
        until = now + cold_s
        if sent_at < suspected_at:
            self._cold_until = max(self._cold_until, until)
            return
        self._cold_until = until
        self._unverified_until = -math.inf
        self._probe_wanted = False

    def responded(self, instance_id: str, now: float) -> None:
        """Record any response of the upstream.

        :param instance_id: the instance that responded, empty if unknown.
        """
        self._contact_at = now
        if instance_id:
            self._note_instance(instance_id, 0, now)
        if self._down:
            self._down = False
            self._assume_cold(now)
        elif not self._probes:
            self._unverified_until = min(
                self._unverified_until,
                max(now, self._suspected_at + UNVERIFIED_S),
            )

    def failed(self, now: float) -> None:
        """Record that the upstream is down.

        No connection could be opened, all were lost or nothing responds.
        """
        self._down = True
        self._suspected_at = now
        self._probe_wanted = True

    def returns(self, now: float) -> None:
        """Record that the upstream serves again after an evacuation."""
        self._suspected_at = now
        self._probe_wanted = True
        self._assume_cold(now)

    def check_soon(self, now: float) -> None:
        """Record that the upstream may have restarted."""
        self._suspected_at = now
        self._probe_wanted = True
        self._unverified_until = max(
            self._unverified_until, now + UNVERIFIED_S
        )

    def arrived(self, now: float) -> None:
        """Record that a request for the upstream has arrived at the gate."""
        heard_at = max(self._contact_at, self._suspected_at)
        if self._bounded and now - heard_at > CONTACT_MAX_S:
            self.check_soon(now)

    def silent_since(self, at: float) -> bool:
        """Return whether the upstream has not responded since a time."""
        return self._contact_at < at

    def probe_due(self, now: float) -> bool:
        """Return whether a health check should be sent now."""
        if not (self._bounded and self._probes and self._terms_known):
            return False
        if self._bound < PROBED_BOUND_MIN or self._reason(now) is Reason.NONE:
            return False
        interval_s = (
            PROBE_INTERVAL_S if self._probe_wanted else COLD_PROBE_INTERVAL_S
        )
        return now - self._probed_at >= interval_s

    def probed(self, now: float) -> None:
        """Record that a health check is sent or has ended."""
        self._probed_at = now

    def reason(self, now: float) -> Reason:
        """Return why the bound applies."""
        return self._reason(now) if self._bounded else Reason.NONE

    def limited(self, now: float) -> bool:
        """Return whether the bound applies."""
        return self.reason(now) is not Reason.NONE

    def certain(self, now: float) -> bool:
        """Return whether the bound will apply for more than a moment."""
        return self.limited(now) and not self._awaits_probe(now)

    def cold_s(self, now: float) -> float:
        """Return how long the upstream is still cold, in seconds."""
        if not self._bounded:
            return 0.0
        return max(0.0, self._cold_until - now)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the time until the bound allows a request, in seconds.

        :param ahead: number of requests that are sent before it.
        """
        if not self.limited(now):
            return 0.0
        if self._allowed == 0:
            return max(WINDOW_S, self._cold_until - now)
        due = self._next_at - self._burst_s + ahead * self._interval_s
        wait_s = max(0.0, due - now, self._window_wait_s(ahead, now))
        if self._awaits_probe(now):
            return min(wait_s, PROBE_WAIT_S)
        return wait_s

    def try_reserve(self, now: float) -> bool:
        """Reserve room for a request; return whether there is any.

        Each reservation must be followed by :meth:`sent` or :meth:`release`.
        """
        if self._allowed == 0:
            return False
        if self._next_at - self._burst_s > now + _TOLERANCE_S:
            return False
        if self._pending + self._in_window(now) >= self._allowed:
            return False
        self._pending += 1
        self._next_at = max(self._next_at, now) + self._interval_s
        return True

    def sent(self, now: float) -> None:
        """Record that a request with a reservation is sent."""
        self._pending -= 1
        self._sent.append(now)

    def sent_freely(self, now: float) -> None:
        """Record that a request is sent while the bound does not apply."""
        if self._bounded:
            self._sent.append(now)

    def release(self) -> None:
        """Release the reservation of a request that is not sent."""
        self._pending -= 1
        self._next_at -= self._interval_s

    @property
    def _bound(self) -> int:
        per_s = self._terms.per_s if self._terms is not None else 0.0
        # Rounding errors must not lower a whole bound.
        return int(per_s * self._overage + self._slack + 1e-9)

    @property
    def _interval_s(self) -> float:
        # No window exceeds the bound, bursts included.
        return WINDOW_S / max(1, self._allowed - BURST + 1)

    @property
    def _burst_s(self) -> float:
        return (min(BURST, max(1, self._allowed)) - 1) * self._interval_s

    def _set_bound(self, per_s: float, now: float) -> None:
        """Compute the bound; assume that the last window was full."""
        bound = self._bound
        if bound >= PROBED_BOUND_MIN:
            bound -= PROBES_RESERVED
        self._allowed = bound
        self._sent = collections.deque([now] * bound, maxlen=bound)
        self._next_at = now

    def _reason(self, now: float) -> Reason:
        if self._down:
            return Reason.DOWN
        if now < self._cold_until:
            return Reason.COLD
        if now < self._unverified_until or not self._terms_known:
            return Reason.UNVERIFIED
        return Reason.NONE

    def _awaits_probe(self, now: float) -> bool:
        """Return whether a health check will soon tell."""
        return (
            self._probes
            and self._reason(now) is Reason.UNVERIFIED
            and now - self._suspected_at < PROBE_MAX_S
        )

    def _assume_cold(self, now: float) -> None:
        start_s = self._terms.start_s if self._terms is not None else 0.0
        self._cold_until = max(self._cold_until, now + start_s)

    def _note_instance(
        self, instance_id: str, started_ms: int, now: float
    ) -> None:
        """Assume that an instance that was not known before is cold."""
        known_ms = self._known.get(instance_id)
        restarted = bool(known_ms) and started_ms > (known_ms or 0)
        new = known_ms is None and bool(self._known)
        self._known[instance_id] = max(started_ms, known_ms or 0)
        for oldest in list(self._known)[:-INSTANCES_KEPT]:
            del self._known[oldest]
        if new or restarted:
            self._suspected_at = now
            self._probe_wanted = True
            self._assume_cold(now)

    def _in_window(self, now: float) -> int:
        oldest = now - WINDOW_S
        return sum(1 for at in self._sent if at > oldest)

    def _window_wait_s(self, ahead: int, now: float) -> float:
        oldest = now - WINDOW_S
        recent = [at for at in self._sent if at > oldest]
        place = ahead - (self._allowed - self._pending - len(recent))
        if place < 0:
            return 0.0
        if place < len(recent):
            return recent[place] + WINDOW_S - now
        return WINDOW_S
