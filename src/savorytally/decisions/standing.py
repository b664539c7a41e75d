"""What an upstream advertises about itself in its answers.

An upstream can advertise a rate limit, that is the requests per second that
it accepts from all hosts together, and that it is leaving. Answers may arrive
out of order, and an older answer may not contain a limit that was advertised
since. So a higher limit, or none, is applied only if the answered request was
sent after the lower limit was received.
"""

import dataclasses
import math
import re
import typing as t

NO_LIMIT = math.inf
# A limit is a decimal number; one with more digits is ignored.
_DECIMAL = re.compile(r"\d{1,15}(\.\d{0,15})?|\.\d{1,15}")
_LEAVES = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """What one answer advertises about its upstream.

    :param limit_per_s: requests per second that the upstream accepts,
        :data:`NO_LIMIT` without a limit, ``None`` if the limit is invalid.
    :param leaving: whether the upstream is leaving.
    """

    limit_per_s: float | None = NO_LIMIT
    leaving: bool = False


def read(limits: t.Sequence[str], leaving: t.Sequence[str]) -> Said:
    """Parse the advertisement headers of an answer.

    :param limits: all values of the rate limit header.
    :param leaving: all values of the leaving header.
    """
    limit_per_s: float | None = NO_LIMIT
    if limits:
        texts = {text.strip() for text in limits}
        text = texts.pop()
        alone = not texts and _DECIMAL.fullmatch(text) is not None
        limit_per_s = float(text) if alone else None
    leaves = any(text.strip() == _LEAVES for text in leaving)
    return Said(limit_per_s, leaves)


class Standing:
    """What one instance of the local upstream advertises."""

    def __init__(self) -> None:
        self._limit_per_s = NO_LIMIT
        # When a limit was last received from the upstream.
        self._named_at = -math.inf
        # Whether a limit, or its absence, was received from the upstream.
        self._heard = False
        self._leaving_since: float | None = None

    @property
    def limit_per_s(self) -> float:
        """Requests per second that it accepts from all hosts together."""
        return self._limit_per_s

    @property
    def heard(self) -> bool:
        """Whether an answer of the upstream itself was applied."""
        return self._heard

    @property
    def leaving_since(self) -> float | None:
        """When it first advertised that it is leaving, or ``None``."""
        return self._leaving_since

    def hear(self, said: Said, sent_at: float, now: float) -> bool:
        """Apply what an answer advertises; return whether it is a change.

        :param said: the advertisement in the answer.
        :param sent_at: when the answered request was sent.
        """
        before = (self._limit_per_s, self._leaving_since)
        if said.leaving and self._leaving_since is None:
            self._leaving_since = now
        limit_per_s = said.limit_per_s
        if limit_per_s is not None:
            looser = limit_per_s > self._limit_per_s
            if not looser or sent_at >= self._named_at or not self._heard:
                self._heard = True
                self._limit_per_s = limit_per_s
                if limit_per_s != NO_LIMIT:
                    self._named_at = now
        return before != (self._limit_per_s, self._leaving_since)

    def restarted(self) -> None:
        """Record that the upstream was restarted under its identifier."""
        self._leaving_since = None

    def tell(self, limit_per_s: float) -> bool:
        """Apply a limit that another host received; return if it is new.

        It is ignored once an answer of the upstream itself was applied.
        """
        if self._heard or limit_per_s == self._limit_per_s:
            return False
        self._limit_per_s = limit_per_s
        return True
