"""Shed levels received from gates with their results."""

import dataclasses

from . import shedding


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    level: int
    received_at: float


class ReceivedLevels:
    """The latest shed level of each host and route; it decays with age.

    Levels are kept by route, because a gate's level includes the services
    downstream of the route.
    """

    def __init__(self) -> None:
        self._received: dict[str, dict[str, _Received]] = {}

    def note(
        self, host_id: str, route_id: str, level: int, now: float
    ) -> None:
        """Record the shed level that was received with a result."""
        routes = self._received.setdefault(host_id, {})
        if level > 0:
            routes[route_id] = _Received(level, now)
        else:
            routes.pop(route_id, None)

    def level(self, host_id: str, route_id: str, now: float) -> int:
        """Return the host's latest shed level for the route after decay."""
        received = self._received.get(host_id, {}).get(route_id)
        if received is None:
            return 0
        return shedding.decayed(received.level, now - received.received_at)

    def retain(self, present: frozenset[str]) -> None:
        """Drop all hosts that are not in the host list.

        :param present: identifiers of the hosts in the host list.
        """
        for host_id in set(self._received) - present:
            del self._received[host_id]
