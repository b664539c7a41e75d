"""Resolves the path of a request to a route."""

import dataclasses
import urllib.parse

from ..world import configuration
from ..world import route
from . import context


@dataclasses.dataclass(frozen=True, slots=True)
class ResolvedRoute:
    """The route that a path resolves to.

    :param route: the route.
    :param path_suffix: the path after the route's name.
    """

    route: route.Route
    path_suffix: str


def find_route(
    version: configuration.Configuration, request: context.Request
) -> ResolvedRoute | None:
    """Resolve a request's path, ``/service/route`` and an optional suffix.

    The names of service and route may be of any naming scheme.

    :return: ``None`` if no route has that name and the request's method.
    """
    parts = request.path.split("/", 3)
    if len(parts) < 3 or parts[0]:
        return None
    service, name = map(urllib.parse.unquote, parts[1:3])
    called_route = version.find_route(service, name)
    if called_route is None or called_route.method != request.method:
        return None
    return ResolvedRoute(called_route, parts[3] if len(parts) > 3 else "")
