"""Shed levels of the routes downstream of a route.

A gate reports the higher of its own shed level and the highest one that it
has received from downstream, so that requests for an overloaded service deep
in a chain are shed at the top of the chain.
"""

import dataclasses
import typing as t

from ..world import route

# Time without calls after which a downstream route is dropped.
CALLEE_KEPT_S = 30.0

RouteLevel = t.Callable[[route.Route, float], int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Callee:
    route: route.Route
    called_at: float


class DownstreamLevels:
    """Tracks which routes the calls on each route have called.

    :param route_level: returns the lowest shed level for a route.
    """

    def __init__(self, route_level: RouteLevel) -> None:
        self._route_level = route_level
        self._callees: dict[str, dict[str, _Callee]] = {}

    def called(self, route_id: str, child: route.Route, now: float) -> None:
        """Record that a call on a route has called another route."""
        callees = self._callees.setdefault(route_id, {})
        callees[child.route_id] = _Callee(child, now)

    def level(self, route_id: str, now: float) -> int:
        """Return the highest shed level among the downstream routes."""
        callees = self._callees.get(route_id)
        if not callees:
            return 0
        highest = 0
        for child in list(callees.values()):
            if now - child.called_at > CALLEE_KEPT_S:
                del callees[child.route.route_id]
                continue
            highest = max(highest, self._route_level(child.route, now))
        return highest
