"""Shed levels of the services that a route's calls call in turn.

A gate reports the higher of its own level and of what it has seen below, so
that an overloaded service deep in a chain sheds at the top of the chain.
"""

import typing as t

FORGET_S = 30.0

ServiceLevel = t.Callable[[str, float], int]


class DownstreamLevels:
    """Remembers which services the calls on each route have called.

    :param service_level: returns a service's lowest shed level.
    """

    def __init__(self, service_level: ServiceLevel) -> None:
        self._service_level = service_level
        self._called: dict[str, dict[str, float]] = {}

    def called(self, route_id: str, service_id: str, now: float) -> None:
        """Note that a call on a route has called a service."""
        self._called.setdefault(route_id, {})[service_id] = now

    def level(self, route_id: str, now: float) -> int:
        """Return the highest level among the services below a route."""
        services = self._called.get(route_id)
        if not services:
            return 0
        highest = 0
        for service_id, at in list(services.items()):
            if now - at > FORGET_S:
                del services[service_id]
                continue
            highest = max(highest, self._service_level(service_id, now))
        return highest
