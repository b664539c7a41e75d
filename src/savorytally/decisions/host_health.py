"""Health of a called host: calls in flight, failures, circuit breaker."""

import dataclasses

FAILURE_HALF_LIFE_S = 2.0
# Decayed failure count from which the circuit breaker opens.
FAILURES_TO_OPEN = 3.0
# How long the breaker stays open; doubles with each failed probe.
OPEN_MIN_S = 0.5
OPEN_MAX_S = 8.0


@dataclasses.dataclass(slots=True)
class HostHealth:
    """One host's calls in flight, failures and circuit breaker.

    No calls are sent to the host while its circuit breaker is open. After
    that a single call probes it; others are sent once the probe has
    succeeded.
    """

    in_flight: int = 0
    _failures: float = 0.0
    _failures_at: float = 0.0
    _open_until: float = 0.0
    _open_s: float = OPEN_MIN_S
    _probing: bool = False

    def failures(self, now: float) -> float:
        """Return the number of recent failures, decayed exponentially."""
        passed = (now - self._failures_at) / FAILURE_HALF_LIFE_S
        return self._failures * 0.5 ** max(passed, 0.0)

    def available(self, now: float) -> bool:
        """Return whether the circuit breaker lets a call through."""
        if self._open_until == 0.0:
            return True
        return now >= self._open_until and not self._probing

    def sent(self, now: float) -> None:
        """Record a sent call; it is the probe if the breaker was open."""
        self.in_flight += 1
        if self._open_until and now >= self._open_until:
            self._probing = True

    def succeeded(self, now: float) -> None:
        """Record a response or a deliberate refusal; close the breaker."""
        self.in_flight = max(self.in_flight - 1, 0)
        self._probing = False
        self._open_until = 0.0
        self._open_s = OPEN_MIN_S

    def failed(self, now: float) -> None:
        """Record a call that was neither answered nor refused."""
        self.in_flight = max(self.in_flight - 1, 0)
        self._failures = self.failures(now) + 1.0
        self._failures_at = now
        if self._probing:
            self._open_s = min(self._open_s * 2, OPEN_MAX_S)
        if self._probing or self._failures >= FAILURES_TO_OPEN:
            self._open_until = now + self._open_s
            self._probing = False
