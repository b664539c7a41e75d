"""Paces the requests to an upstream that advertises a rate limit.

Requests are spread evenly at the advertised rate, however many are waiting.
Unused tokens accumulate over a short time only, so that no window holds many
more requests than the limit allows.
"""

import typing as t

from . import advertised_state

# Size of the token bucket, as time at the advertised rate.
BURST_S = 0.5
# Minimum rate. It applies even if the advertised limit is lower: the upstream
# advertises a change of the limit in its responses only.
RATE_MIN_PER_S = 0.2
# How long a host counts as a sender after its last request.
SENDER_KEPT_S = 2.0
# One token less a tolerance for rounding errors.
_ONE_TOKEN = 1.0 - 1e-6


class Pacer:
    """Token bucket at the rate that an upstream advertises."""

    def __init__(self) -> None:
        self._rate_per_s = advertised_state.NO_LIMIT
        self._tokens = 0.0
        self._refilled_at = 0.0

    @property
    def limited(self) -> bool:
        """Whether a rate limit is in force."""
        return self._rate_per_s != advertised_state.NO_LIMIT

    @property
    def interval_s(self) -> float:
        """Time between two requests, 0 if there is no limit."""
        return 1.0 / self._rate_per_s if self.limited else 0.0

    def set_limit(self, limit_per_s: float, now: float) -> None:
        """Apply the advertised limit.

        :param limit_per_s: requests per second, ``NO_LIMIT`` without a limit.
        """
        if limit_per_s == advertised_state.NO_LIMIT:
            self._rate_per_s = limit_per_s
            return
        if self.limited:
            self._refill(now)
        else:
            self._tokens, self._refilled_at = 1.0, now
        self._rate_per_s = max(RATE_MIN_PER_S, limit_per_s)
        self._tokens = min(self._tokens, self._burst)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the time until the limit allows a request.

        :param ahead: number of requests that are sent before it.
        """
        if not self.limited:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + _ONE_TOKEN - self._tokens) / self._rate_per_s)

    def try_acquire(self, now: float) -> bool:
        """Take a token for a request; return whether there was one."""
        if not self.limited:
            return True
        self._refill(now)
        if self._tokens < _ONE_TOKEN:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of a request that was not sent."""
        if self.limited:
            self._tokens = min(self._tokens + 1.0, self._burst)

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._tokens + max(0.0, earned), self._burst)
        self._refilled_at = now


class SenderShares:
    """Divides an upstream's limit evenly among the hosts that send to it.

    If every host sent at the whole limit, most of their requests would be
    refused at the upstream's gate.
    """

    def __init__(self) -> None:
        self._last_sent: dict[t.Hashable, float] = {}

    def note(self, sender: t.Hashable, now: float) -> None:
        """Record that a host has sent a request."""
        self._last_sent[sender] = now

    def share_per_s(self, limit_per_s: float, now: float) -> float:
        """Return one sender's share of a limit, in requests per second."""
        self.forget(now)
        return max(RATE_MIN_PER_S, limit_per_s) / max(1, len(self._last_sent))

    def forget(self, now: float) -> None:
        """Drop the hosts that have not sent a request recently."""
        if len(self._last_sent) < 2:
            return
        self._last_sent = {
            sender: at
            for sender, at in self._last_sent.items()
            if now - at <= SENDER_KEPT_S
        }
