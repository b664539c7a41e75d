"""Shed levels received from gates with their results."""

import dataclasses

from . import shedding


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    level: int
    at: float


class HeardLevels:
    """The latest shed level of each host and route; it decays with age.

    Levels are kept by route, because a gate's level includes the services
    downstream of the route.
    """

    def __init__(self) -> None:
        self._heard: dict[str, dict[str, _Heard]] = {}

    def note(
        self, host_id: str, route_id: str, level: int, now: float
    ) -> None:
        """Record the shed level that was received with a result."""
        routes = self._heard.setdefault(host_id, {})
        if level > 0:
            routes[route_id] = _Heard(level, now)
        else:
            routes.pop(route_id, None)

    def level(self, host_id: str, route_id: str, now: float) -> int:
        """Return the host's latest shed level for the route after decay."""
        heard = self._heard.get(host_id, {}).get(route_id)
        if heard is None:
            return 0
        return shedding.faded(heard.level, now - heard.at)

    def forget(self, present: frozenset[str]) -> None:
        """Drop all hosts that are not in the host list.

        :param present: identifiers of the hosts in the host list.
        """
        for host_id in set(self._heard) - present:
            del self._heard[host_id]
