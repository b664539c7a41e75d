"""What an upstream says of itself in its answers.

Answers upstreams in need, which name the requests a second that they take
from all hosts together, and upstreams that leave. Answers overtake each
other: one says nothing of what the upstream has said since it was made, so
that a higher limit, or none, is believed only of a request that was sent
after the lower one was heard.
"""

import dataclasses
import math
import re
import typing as t

NO_LIMIT = math.inf
# A limit is a decimal number; longer ones are no answer of use.
_DECIMAL = re.compile(r"\d{1,15}(\.\d{0,15})?|\.\d{1,15}")
_LEAVES = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """What one answer says of its upstream.

    :param limit_per_s: requests a second that the upstream takes,
        :data:`NO_LIMIT` if the answer names none, ``None`` if what it names
        is no limit.
    :param leaving: whether the upstream leaves.
    """

    limit_per_s: float | None = NO_LIMIT
    leaving: bool = False


def read(limits: t.Sequence[str], leaving: t.Sequence[str]) -> Said:
    """Read what an answer says.

    :param limits: all values of the header that names the limit.
    :param leaving: all values of the header that says that it leaves.
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
    """What one start of an upstream has said, as the host beside it knows."""

    def __init__(self) -> None:
        self._limit_per_s = NO_LIMIT
        # When the limit in force was last named, and when one was ever heard.
        self._named_at = -math.inf
        self._heard = False
        self._leaving_since: float | None = None

    @property
    def limit_per_s(self) -> float:
        """Requests a second that it takes from all hosts together."""
        return self._limit_per_s

    @property
    def heard(self) -> bool:
        """Whether it has said anything itself."""
        return self._heard

    @property
    def leaving_since(self) -> float | None:
        """When it was first heard to leave, ``None`` if it was not."""
        return self._leaving_since

    def hear(self, said: Said, sent_at: float, now: float) -> bool:
        """Take in an answer; return whether anything has changed.

        :param sent_at: when the request that it answers was sent.
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
        """Note that the upstream has started again under its identifier."""
        self._leaving_since = None

    def tell(self, limit_per_s: float) -> bool:
        """Take in what another host was told; return whether it is news.

        It counts until the upstream itself has been heard.
        """
        if self._heard or limit_per_s == self._limit_per_s:
            return False
        self._limit_per_s = limit_per_s
        return True
