"""What an upstream advertises about itself in its responses.

An upstream can advertise a rate limit, that is the requests per second that
it accepts from all hosts together, and that it is leaving. Responses may
arrive out of order, and an older one may not contain a limit that was
advertised since. So a higher limit, or none, is applied only if the answered
request was sent after the lower limit was received.
"""

import dataclasses
import math
import re
import typing as t

NO_LIMIT = math.inf
# A limit is a decimal number; one with more digits is ignored.
_DECIMAL = re.compile(r"\d{1,15}(\.\d{0,15})?|\.\d{1,15}")
_LEAVING = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class Advertisement:
    """What one response advertises about its upstream.

    :param limit_per_s: requests per second that the upstream accepts,
        :data:`NO_LIMIT` without a limit, ``None`` if the limit is invalid.
    :param leaving: whether the upstream is leaving.
    """

    limit_per_s: float | None = NO_LIMIT
    leaving: bool = False


def parse(limits: t.Sequence[str], leaving: t.Sequence[str]) -> Advertisement:
    """Parse the advertisement headers of a response.

    :param limits: all values of the rate limit header.
    :param leaving: all values of the leaving header.
    """
    limit_per_s: float | None = NO_LIMIT
    if limits:
        values = {value.strip() for value in limits}
        value = values.pop()
        valid = not values and _DECIMAL.fullmatch(value) is not None
        limit_per_s = float(value) if valid else None
    is_leaving = any(value.strip() == _LEAVING for value in leaving)
    return Advertisement(limit_per_s, is_leaving)


class AdvertisedState:
    """What one instance of the local upstream advertises."""

    def __init__(self) -> None:
        self._limit_per_s = NO_LIMIT
        # When a limit was last received from the upstream.
        self._limit_received_at = -math.inf
        # Whether a limit, or its absence, was received from the upstream.
        self._received = False
        self._leaving_since: float | None = None

    @property
    def limit_per_s(self) -> float:
        """Requests per second that it accepts from all hosts together."""
        return self._limit_per_s

    @property
    def received(self) -> bool:
        """Whether a response of the upstream itself was applied."""
        return self._received

    @property
    def leaving_since(self) -> float | None:
        """When it began to leave at the earliest, or ``None``."""
        return self._leaving_since

    def apply(
        self,
        advertisement: Advertisement,
        sent_at: float,
        now: float,
        changed_at: float | None = None,
    ) -> bool:
        """Apply what a response advertises; return whether it is a change.

        :param advertisement: the advertisement in the response.
        :param sent_at: when the answered request was sent.
        :param changed_at: the earliest time at which the upstream can have
            begun to leave, ``None`` for now.
        """
        before = (self._limit_per_s, self._leaving_since)
        if advertisement.leaving and self._leaving_since is None:
            self._leaving_since = now if changed_at is None else changed_at
        limit_per_s = advertisement.limit_per_s
        if limit_per_s is not None:
            higher = limit_per_s > self._limit_per_s
            if (
                not higher
                or sent_at >= self._limit_received_at
                or not self._received
            ):
                self._received = True
                self._limit_per_s = limit_per_s
                if limit_per_s != NO_LIMIT:
                    self._limit_received_at = now
        return before != (self._limit_per_s, self._leaving_since)

    def instance_restarted(self) -> None:
        """Record that the upstream was restarted under its identifier."""
        self._leaving_since = None

    def adopt_limit(self, limit_per_s: float) -> bool:
        """Apply a limit that another host received; return if it is new.

        It is ignored once a response of the upstream itself was applied.
        """
        if self._received or limit_per_s == self._limit_per_s:
            return False
        self._limit_per_s = limit_per_s
        return True
