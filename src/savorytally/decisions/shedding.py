"""Shed levels: which requests an overloaded gate wants its callers to refuse.

Every request has a rank, composed of its priority class and of an evenly
distributed number that its root request received at the entry. A gate
publishes a shed level with its results, and its callers refuse requests with
a rank below the level before sending them. All calls of one root request have
the same number, so that all gates of a chain refuse the same requests and a
chain is refused at its top (see H. Zhou et al., "Overload Control for Scaling
WeChat Microservices", SoCC 2018).
"""

import random

from ..world import route

# Number of levels per priority class.
STEPS = 1024
# About the golden section of STEPS, see RootNumbers.
NUMBER_STRIDE = 633
# The highest level admits an eighth of the critical class.
LEVEL_MAX = (route.Priority.CRITICAL + 1) * STEPS - STEPS // 8
# A received level stays in force for this long and then decays at this rate.
HOLD_S = 0.3
DECAY_PER_S = 4.0 * STEPS


class RootNumbers:
    """Assigns numbers to the root requests of an entry.

    Within a class and an organisation, the numbers advance by about the
    golden section of their range. Thus any few consecutive requests are
    spread evenly over the range, and a level refuses an even fraction of
    them.
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
    """Return a new identifier of a root request that contains its number."""
    return f"{source.getrandbits(48):012x}{number % STEPS:04x}"


def root_number(identifier: str) -> int:
    """Return the number in the identifier of a root request."""
    return int(identifier[-4:], 16) % STEPS


def rank(priority: route.Priority, root_hash: int) -> int:
    """Return a request's rank.

    :param priority: its priority class.
    :param root_hash: number of its root request.
    """
    return priority * STEPS + root_hash % STEPS


def admits(level: int, priority: route.Priority, root_hash: int) -> bool:
    """Return whether a shed level admits a request."""
    return rank(priority, root_hash) >= level


def decayed(level: int, age_s: float) -> int:
    """Return a received level after decay.

    :param age_s: time since the level was received.
    """
    if age_s <= HOLD_S:
        return level
    return max(level - int((age_s - HOLD_S) * DECAY_PER_S), 0)


def routing_cost(level: int) -> float:
    """Return the routing cost of a level in units of calls in flight."""
    return level / STEPS


def admitted(level: int, priority: route.Priority) -> float:
    """Return the fraction of a class that a level admits."""
    refused = (level - priority * STEPS) / STEPS
    return 1.0 - min(max(refused, 0.0), 1.0)


def level_for(priority: route.Priority, fraction: float) -> int:
    """Return the level that admits a fraction of a class.

    It refuses all lower classes and admits all higher ones.
    """
    refused = int((1.0 - min(max(fraction, 0.0), 1.0)) * STEPS)
    return min(priority * STEPS + refused, LEVEL_MAX)
