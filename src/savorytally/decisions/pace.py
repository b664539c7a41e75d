"""When an upstream that names a limit takes its next request.

Answers upstreams in need: requests go to them evenly, at the rate that they
name, however many wait. What was not used is kept for a moment only, so that
no window holds much more than the limit allows.
"""

import typing as t

from . import standing

# Requests that may go at once, as time at the limit.
BURST_S = 0.5
# Of a lower limit a request is let through this often all the same: only
# answers tell that the limit has changed.
TRIAL_PER_S = 0.2
# How long a host counts as one that sends.
SENDER_KEPT_S = 2.0
# A request's worth, but for what rounding may take of it.
_WHOLE = 1.0 - 1e-6


class Pace:
    """Requests that an upstream takes by time."""

    def __init__(self) -> None:
        self._rate_per_s = standing.NO_LIMIT
        self._tokens = 0.0
        self._filled_at = 0.0

    @property
    def limited(self) -> bool:
        """Whether there is a limit."""
        return self._rate_per_s != standing.NO_LIMIT

    @property
    def interval_s(self) -> float:
        """Time from one request to the next, 0 if there is no limit."""
        return 1.0 / self._rate_per_s if self.limited else 0.0

    def learn(self, limit_per_s: float, now: float) -> None:
        """Apply the limit in force, :data:`standing.NO_LIMIT` for none."""
        if limit_per_s == standing.NO_LIMIT:
            self._rate_per_s = limit_per_s
            return
        if self.limited:
            self._fill(now)
        else:
            self._tokens, self._filled_at = 1.0, now
        self._rate_per_s = max(TRIAL_PER_S, limit_per_s)
        self._tokens = min(self._tokens, self._burst)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return when a request may go if so many others go before it."""
        if not self.limited:
            return 0.0
        self._fill(now)
        return max(0.0, (ahead + _WHOLE - self._tokens) / self._rate_per_s)

    def take(self, now: float) -> bool:
        """Return whether a request may go now, and count it."""
        if not self.limited:
            return True
        self._fill(now)
        if self._tokens < _WHOLE:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Take back a request that did not go."""
        if self.limited:
            self._tokens = min(self._tokens + 1.0, self._burst)

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _fill(self, now: float) -> None:
        earned = (now - self._filled_at) * self._rate_per_s
        self._tokens = min(self._tokens + max(0.0, earned), self._burst)
        self._filled_at = now


class Shares:
    """What each host that sends may count on of a limit.

    Answers fleets in which all hosts would send at the whole limit: most of
    their requests would be refused after a way in vain.
    """

    def __init__(self) -> None:
        self._seen: dict[t.Hashable, float] = {}

    def note(self, sender: t.Hashable, now: float) -> None:
        """Note that a host has sent a request."""
        self._seen[sender] = now

    def share_per_s(self, limit_per_s: float, now: float) -> float:
        """Return the part of a limit that one host may count on."""
        self.forget(now)
        return max(TRIAL_PER_S, limit_per_s) / max(1, len(self._seen))

    def forget(self, now: float) -> None:
        """Forget the hosts that have not sent anything for a while."""
        if len(self._seen) < 2:
            return
        self._seen = {
            sender: at
            for sender, at in self._seen.items()
            if now - at <= SENDER_KEPT_S
        }
