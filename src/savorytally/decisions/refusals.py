"""Verdicts that gates gave, remembered where requests enter the fleet."""

ENTRIES_MAX = 1_000


class Refusals:
    """Fingerprints of quarantined requests until their verdict expires."""

    def __init__(self) -> None:
        self._until: dict[int, float] = {}

    def note(self, fingerprint: int, remaining_ms: int, now: float) -> None:
        """Remember that a gate refused a request for a time."""
        if len(self._until) >= ENTRIES_MAX:
            self._until.pop(next(iter(self._until)))
        self._until[fingerprint] = now + remaining_ms / 1000

    def remaining_ms(self, fingerprint: int, now: float) -> int:
        """Return how long a request is still refused, 0 if it is not."""
        until = self._until.get(fingerprint)
        if until is None:
            return 0
        if now >= until:
            del self._until[fingerprint]
            return 0
        return int((until - now) * 1000) + 1
