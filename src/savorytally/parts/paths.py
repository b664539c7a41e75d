"""Resolves the path of a request to a route."""

import dataclasses
import urllib.parse

from ..world import configuration
from ..world import route
from . import context


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The route that a path resolves to.

    :param route: the route.
    :param tail: the path after the route's name.
    """

    route: route.Route
    tail: str


def find_route(
    version: configuration.Configuration, request: context.Request
) -> Found | None:
    """Resolve ``/service/route/tail``; names may be of any naming scheme.

    :return: ``None`` if no route has that name and the request's method.
    """
    parts = request.path.split("/", 3)
    if len(parts) < 3 or parts[0]:
        return None
    service, name = map(urllib.parse.unquote, parts[1:3])
    found = version.find_route(service, name)
    if found is None or found.method != request.method:
        return None
    return Found(found, parts[3] if len(parts) > 3 else "")
