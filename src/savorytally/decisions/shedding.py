"""Shed levels: what an overloaded gate tells those above it to refuse.

Every request has a rank: its priority class first, then an evenly spread
number that its root request received at the entry. A gate publishes a level
with its results, and whatever ranks below the level is refused before it is
sent. All calls of one root request share the number, so that all gates of a
chain refuse the same requests and a chain is refused at its top (compare
H. Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC
2018).
"""

import random

from ..world import route

STEPS = 1024
NUMBER_STRIDE = 633
LEVEL_MAX = (route.Priority.CRITICAL + 1) * STEPS - STEPS // 8
HOLD_S = 0.3
FADE_PER_S = 4.0 * STEPS


class RootNumbers:
    """Numbers the root requests of an entry.

    Within a class and an organisation the numbers advance by about the
    golden section of their range, so that any few requests in a row are
    spread evenly and a level refuses an even part of them.
    """

    def __init__(self) -> None:
        self._last: dict[tuple[route.Priority, str], int] = {}

    def next(self, priority: route.Priority, organisation_id: str) -> int:
        """Return the number of the next root request."""
        key = (priority, organisation_id)
        number = (self._last.get(key, 0) + NUMBER_STRIDE) % STEPS
        self._last[key] = number
        return number


def root_id(source: random.Random, number: int) -> str:
    """Return a new identifier of a root request that carries its number."""
    return f"{source.getrandbits(48):012x}{number % STEPS:04x}"


def root_number(identifier: str) -> int:
    """Return the number that the identifier of a root request carries."""
    return int(identifier[-4:], 16) % STEPS


def rank(priority: route.Priority, root_hash: int) -> int:
    """Return a request's rank.

    :param root_hash: evenly spread number of the root request.
    """
    return priority * STEPS + root_hash % STEPS


def admits(level: int, priority: route.Priority, root_hash: int) -> bool:
    """Return whether a gate with that level would take the request."""
    return rank(priority, root_hash) >= level


def faded(level: int, silent_s: float) -> int:
    """Return what is left of a level that was heard some time ago.

    :param silent_s: time since the level was heard.
    """
    if silent_s <= HOLD_S:
        return level
    return max(level - int((silent_s - HOLD_S) * FADE_PER_S), 0)


def load(level: int) -> float:
    """Return how many calls in flight a level outweighs in routing."""
    return level / STEPS


def admitted(level: int, priority: route.Priority) -> float:
    """Return the fraction of a class that a level admits."""
    refused = (level - priority * STEPS) / STEPS
    return 1.0 - min(max(refused, 0.0), 1.0)


def level_for(priority: route.Priority, fraction: float) -> int:
    """Return the level that admits a fraction of a class.

    Lower classes are refused whole, higher ones admitted.
    """
    refused = int((1.0 - min(max(fraction, 0.0), 1.0)) * STEPS)
    return min(priority * STEPS + refused, LEVEL_MAX)
