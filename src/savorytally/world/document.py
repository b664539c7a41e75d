"""Parses configuration documents and reports every fault in them."""

import collections
import dataclasses
import json
import typing as t

from .. import defaults
from .. import fields
from . import configuration
from . import member_cache
from . import names
from . import reading_organisations
from . import reading_regions
from . import reading_routes
from . import reading_services
from . import route
from . import upstream

VERSION_MAX = 1 << 53
RETRIES_PER_ROOT_MAX = 16
RETRY_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A document with faults, from which no configuration was made.

    :param faults: every fault in the document.
    """

    faults: tuple[fields.Fault, ...]


def parse(body: bytes) -> configuration.Configuration | Refused:
    """Parse the JSON text of a document into a configuration."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Refused((fields.Fault("", f"is not JSON: {error}"),))
    return read(value)


def read(value: t.Any) -> configuration.Configuration | Refused:
    """Convert a parsed document into a configuration.

    :param value: the parsed JSON value.
    :return: the configuration, or every fault in the document.
    """
    return Reader().read(value)


class Reader:
    """Converts successive versions of a document.

    Members whose JSON value is the same object as in the last accepted
    version are reused.
    """

    def __init__(self) -> None:
        self._cache = member_cache.MemberCache()
        self._last: configuration.Configuration | None = None

    def read(self, value: t.Any) -> configuration.Configuration | Refused:
        """Convert a parsed document into a configuration.

        :return: the configuration, or every fault in the document.
        """
        read = _read(value, self._cache, self._last)
        if isinstance(read, Refused):
            self._cache.discard_pending()
            return read
        self._cache.accept()
        self._last = read
        return read


def _read(
    value: t.Any,
    cache: member_cache.MemberCache,
    last: configuration.Configuration | None,
) -> configuration.Configuration | Refused:
    faults: list[fields.Fault] = []
    root = fields.Section(value, "", faults)
    version = root.number("version", int, 1, VERSION_MAX)
    schemes = names.read_schemes(root)
    if last is not None and schemes != last.schemes:
        cache.clear()
    services = reading_services.read(root, schemes, cache)
    regions = reading_regions.read(root)
    routes = reading_routes.read(root, schemes, services, regions, cache)
    organisations = reading_organisations.read(
        root, schemes, routes, regions, cache
    )
    built = configuration.Configuration(
        version=version,
        schemes=schemes,
        organisations=organisations,
        services=services,
        routes=routes,
        regions=regions,
        links=reading_regions.read_links(root, regions),
        retries=_read_retries(root),
        organisation_names=_resolve("organisations", organisations, faults),
        service_names=(
            last.service_names
            if last is not None and cache.unchanged("services")
            else _resolve("services", services, faults)
        ),
        route_names=(
            last.route_names
            if last is not None
            and cache.unchanged("services")
            and cache.unchanged("routes")
            else _resolve_routes(services, routes, faults)
        ),
        keys=reading_organisations.index_keys(organisations, faults),
        evacuated=reading_regions.read_evacuated(root, regions),
    )
    root.reject_unknown()
    return Refused(tuple(faults)) if faults else built


def _read_retries(root: fields.Section) -> configuration.RetryPolicy:
    section = root.child("retries")
    retries = configuration.RetryPolicy(
        per_root=section.number(
            "per_root",
            int,
            0,
            RETRIES_PER_ROOT_MAX,
            defaults.RETRIES_PER_ROOT,
        ),
        ratio=section.number("ratio", float, 0.0, 1.0, RETRY_RATIO),
    )
    section.reject_unknown()
    return retries


class _Named(t.Protocol):
    @property
    def names(self) -> t.Mapping[str, str]: ...


def _resolve(
    kind: str, named: t.Mapping[str, _Named], faults: list[fields.Fault]
) -> names.NameTable:
    table, conflicts = names.build_table(
        {identifier: item.names for identifier, item in named.items()}
    )
    names.report_conflicts(kind, conflicts, faults)
    return table


def _resolve_routes(
    services: t.Mapping[str, upstream.Service],
    routes: t.Mapping[str, route.Route],
    faults: list[fields.Fault],
) -> dict[str, names.NameTable]:
    by_service: dict[str, dict[str, route.Route]] = collections.defaultdict(
        dict
    )
    for route_id, item in routes.items():
        by_service[item.service_id][route_id] = item
    return {
        service_id: _resolve("routes", by_service[service_id], faults)
        for service_id in services
    }
