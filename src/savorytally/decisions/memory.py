"""What a process holds of answers that are still being read.

Answers upstreams that send without end, many at a time: past the limit the
largest answer is given up, so that small ones beside it go on.
"""

import typing as t

# What is held at most where the settings allow more.
HELD_MAX_BYTES = 48 << 20
# Part of the process's memory that may be held.
MEMORY_PART = 0.25


class Holder(t.Protocol):
    """What holds bytes."""

    def give_up(self) -> None:
        """Let go of what is held; it must be released."""


class Held:
    """Bytes that are held, by holder.

    :param limit_bytes: what may be held together.
    """

    def __init__(self, limit_bytes: int = HELD_MAX_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._sizes: dict[Holder, int] = {}
        self._total_bytes = 0

    @classmethod
    def within(cls, memory_bytes: int) -> "Held":
        """Return an account for a process with a limit of memory."""
        return cls(min(HELD_MAX_BYTES, int(memory_bytes * MEMORY_PART)))

    @property
    def total_bytes(self) -> int:
        """What is held by all."""
        return self._total_bytes

    def grow(self, holder: Holder, size_bytes: int) -> None:
        """Note that a holder holds more; give up the largest if need be."""
        known = self._sizes.get(holder, 0)
        self._sizes[holder] = known + size_bytes
        self._total_bytes += size_bytes
        while self._total_bytes > self._limit_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            largest.give_up()

    def release(self, holder: Holder) -> None:
        """Note that a holder holds nothing any more."""
        self._total_bytes -= self._sizes.pop(holder, 0)
