"""Parses the routes of a configuration document."""

import re
import sys
import typing as t

from .. import defaults
from .. import fields
from . import member_cache
from . import names
from . import reading_regions
from . import region
from . import route
from . import upstream

_METHOD = re.compile(r"[A-Z]{1,20}")
_PATH = re.compile(r"/(?:[\w.~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*", re.ASCII)
_PRIORITIES = {item.name.lower(): item for item in route.Priority}


def read(
    root: fields.Section,
    schemes: tuple[str, ...],
    services: t.Mapping[str, upstream.Service],
    regions: t.Mapping[str, region.Region],
    cache: member_cache.MemberCache,
) -> dict[str, route.Route]:
    """Read the routes of a document.

    :param root: the document.
    :param schemes: the document's naming schemes.
    :param services: the document's services by identifier.
    :param regions: the document's regions by identifier.
    :param cache: cached members of the last accepted document.
    :return: routes by identifier.
    """

    def read_member(route_id: str, section: fields.Section) -> route.Route:
        return _read_route(route_id, section, schemes, services, regions)

    def still_valid(cached: route.Route) -> bool:
        return cached.service_id in services and cached.homes <= regions.keys()

    return cache.members(root, "routes", read_member, still_valid)


def _read_route(
    route_id: str,
    section: fields.Section,
    schemes: tuple[str, ...],
    services: t.Mapping[str, upstream.Service],
    regions: t.Mapping[str, region.Region],
) -> route.Route:
    found = route.Route(
        route_id=names.read_identifier(route_id, section),
        service_id=sys.intern(
            section.text("service", services.__contains__, "names no service")
        ),
        names=names.read_names(section, schemes),
        method=section.text(
            "method", _METHOD.fullmatch, "must be an HTTP method", "GET"
        ),
        path=section.text(
            "path", _is_path, "must be an absolute, percent-encoded path"
        ),
        priority=section.choice("priority", _PRIORITIES, "normal"),
        idempotent=section.take("idempotent", bool, True),
        open=section.take("open", bool, False),
        timeout_ms=section.number(
            "timeout_ms",
            int,
            1,
            defaults.CALL_TIMEOUT_MAX_MS,
            defaults.CALL_TIMEOUT_MS,
        ),
        homes=reading_regions.read_homes(section, regions),
    )
    if found.open and not found.idempotent:
        section.fault("open", "needs an idempotent route")
    section.reject_unknown()
    return found


def _is_path(text: str) -> bool:
    if not _PATH.fullmatch(text):
        return False
    return not {".", ".."} & set(text.split("/"))
