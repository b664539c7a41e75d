"""Memory budget of a process for upstream answers that are being read.

If many upstreams send large answers at once, the largest answer is aborted
when the budget is exceeded, so that small ones can complete.
"""

import typing as t

# Upper bound of the budget, whatever the process's memory limit.
BUDGET_MAX_BYTES = 48 << 20
# Fraction of the process's memory limit that the budget may use.
MEMORY_FRACTION = 0.25


class MemoryHolder(t.Protocol):
    """Buffers bytes that count against the budget."""

    def give_up(self) -> None:
        """Free the buffered bytes; it must release them from the budget."""


class MemoryBudget:
    """Bytes buffered by each holder and in total.

    :param limit_bytes: limit of the total.
    """

    def __init__(self, limit_bytes: int = BUDGET_MAX_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._sizes: dict[MemoryHolder, int] = {}
        self._total_bytes = 0

    @classmethod
    def within(cls, memory_bytes: int) -> "MemoryBudget":
        """Return a budget for a process with the given memory limit."""
        return cls(min(BUDGET_MAX_BYTES, int(memory_bytes * MEMORY_FRACTION)))

    @property
    def total_bytes(self) -> int:
        """Number of bytes buffered by all holders."""
        return self._total_bytes

    def grow(self, holder: MemoryHolder, size_bytes: int) -> None:
        """Add bytes to a holder; abort the largest ones over the limit."""
        held = self._sizes.get(holder, 0)
        self._sizes[holder] = held + size_bytes
        self._total_bytes += size_bytes
        while self._total_bytes > self._limit_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            largest.give_up()

    def release(self, holder: MemoryHolder) -> None:
        """Remove a holder and its bytes from the budget."""
        self._total_bytes -= self._sizes.pop(holder, 0)
