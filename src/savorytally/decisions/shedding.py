"""Shed levels: what an overloaded gate tells those above it to refuse.

Every request has a rank: its priority class first, then an evenly spread
number of its root request. A gate publishes a level with its results, and
whatever ranks below the level is refused before it is sent. All calls of one
root request share the number, so that all gates of a chain refuse the same
requests and a chain is refused at its top (compare H. Zhou et al., "Overload
Control for Scaling WeChat Microservices", SoCC 2018).
"""

from ..world import route

STEPS = 128
LEVEL_MAX = (route.Priority.CRITICAL + 1) * STEPS - STEPS // 8
HOLD_S = 1.0
FADE_PER_S = 2.0 * STEPS


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
    refused = round((1.0 - min(max(fraction, 0.0), 1.0)) * STEPS)
    return min(priority * STEPS + refused, LEVEL_MAX)
