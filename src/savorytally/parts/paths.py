"""Finds the route that a request's path names."""

import dataclasses
import urllib.parse

from ..world import configuration
from ..world import route
from . import context


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The route that a path names.

    :param route: the route.
    :param tail: what follows the route's name.
    """

    route: route.Route
    tail: str


def find_route(
    version: configuration.Configuration, request: context.Request
) -> Found | None:
    """Resolve ``/service/route/tail`` in any naming scheme."""
    parts = request.path.split("/", 3)
    if len(parts) < 3 or parts[0]:
        return None
    service, name = map(urllib.parse.unquote, parts[1:3])
    found = version.find_route(service, name)
    if found is None or found.method != request.method:
        return None
    return Found(found, parts[3] if len(parts) > 3 else "")
