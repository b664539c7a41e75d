"""Cache, at the entry, of requests that gates refuse as quarantined."""

ENTRIES_MAX = 1_000


class RefusalCache:
    """Fingerprints of quarantined requests until the quarantine expires."""

    def __init__(self) -> None:
        self._until: dict[int, float] = {}

    def note(self, fingerprint: int, remaining_ms: int, now: float) -> None:
        """Record that a gate refuses a request for the given time."""
        if len(self._until) >= ENTRIES_MAX:
            self._until.pop(next(iter(self._until)))
        self._until[fingerprint] = now + remaining_ms / 1000

    def remaining_ms(self, fingerprint: int, now: float) -> int:
        """Return for how many more ms a request is refused, or 0."""
        until = self._until.get(fingerprint)
        if until is None:
            return 0
        if now >= until:
            del self._until[fingerprint]
            return 0
        return int((until - now) * 1000) + 1
