"""Shed levels that gates sent with their results."""

import dataclasses

from . import shedding


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    level: int
    at: float


class HeardLevels:
    """The last level of each host and route; silence makes it fade.

    A gate's level counts in the services below a route, so that the routes
    of one host differ.
    """

    def __init__(self) -> None:
        self._heard: dict[str, dict[str, _Heard]] = {}

    def note(
        self, host_id: str, route_id: str, level: int, now: float
    ) -> None:
        """Take in the level that came with a result."""
        routes = self._heard.setdefault(host_id, {})
        if level > 0:
            routes[route_id] = _Heard(level, now)
        else:
            routes.pop(route_id, None)

    def level(self, host_id: str, route_id: str, now: float) -> int:
        """Return what is left of the host's last level for the route."""
        heard = self._heard.get(host_id, {}).get(route_id)
        if heard is None:
            return 0
        return shedding.faded(heard.level, now - heard.at)

    def forget(self, present: frozenset[str]) -> None:
        """Drop hosts that are not listed any more."""
        for host_id in set(self._heard) - present:
            del self._heard[host_id]
