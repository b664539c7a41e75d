"""Reads configuration documents and reports every fault in them."""

import dataclasses
import re
import typing as t

from .. import fields
from . import configuration
from . import names
from . import organisation
from . import region
from . import route
from . import upstream

_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A document that was refused whole.

    :param faults: everything that is wrong with it.
    """

    faults: tuple[fields.Fault, ...]


def read(value: t.Any) -> configuration.Configuration | Refused:
    """Turn a parsed document into a configuration.

    :param value: the parsed JSON value.
    :return: the configuration, or all faults if there is any.
    """
    faults: list[fields.Fault] = []
    root = fields.Section(value, "", faults)
    version = root.number("version", int, 1, 1 << 53)
    schemes = tuple(root.strings("schemes"))
    if len(set(schemes)) != names.SCHEME_COUNT:
        root.fault("schemes", f"must name {names.SCHEME_COUNT} schemes")
    services = _read_services(root, schemes)
    routes = _read_routes(root, schemes, services)
    organisations = _read_organisations(root, schemes, routes)
    regions = _read_regions(root)
    links = _read_links(root, regions)
    retries = _read_retries(root)
    root.finish()
    tables = _read_names(services, routes, organisations, faults)
    keys = _index_keys(organisations, faults)
    if faults:
        return Refused(tuple(faults))
    return configuration.Configuration(
        version=version,
        schemes=schemes,
        organisations=organisations,
        services=services,
        routes=routes,
        regions=regions,
        links=links,
        retries=retries,
        organisation_names=tables.organisations,
        service_names=tables.services,
        route_names=tables.routes,
        keys=keys,
    )


def _read_object_names(
    section: fields.Section, schemes: tuple[str, ...]
) -> dict[str, str]:
    value = section.take("names", dict)
    for scheme in schemes:
        if not isinstance(value.get(scheme), str) or not value[scheme]:
            section.fault(f"names/{scheme}", "must be a name")
    for scheme in value:
        if scheme not in schemes:
            section.fault(f"names/{scheme}", "is not a naming scheme")
    return {key: str(name) for key, name in value.items()}


def _read_services(
    root: fields.Section, schemes: tuple[str, ...]
) -> dict[str, upstream.Service]:
    services = {}
    for service_id, section in root.children("services").items():
        services[service_id] = upstream.Service(
            service_id=service_id,
            names=_read_object_names(section, schemes),
            slots=section.number("slots", int, 1, 100_000),
            connections=section.number("connections", int, 1, 100_000),
        )
        section.finish()
    return services


def _read_routes(
    root: fields.Section,
    schemes: tuple[str, ...],
    services: dict[str, upstream.Service],
) -> dict[str, route.Route]:
    routes = {}
    for route_id, section in root.children("routes").items():
        service_id = section.take("service", str)
        if service_id not in services:
            section.fault("service", "names no service")
        routes[route_id] = route.Route(
            route_id=route_id,
            service_id=service_id,
            names=_read_object_names(section, schemes),
            method=section.take("method", str, "GET"),
            path=section.take("path", str),
            priority=_read_priority(section),
            idempotent=section.take("idempotent", bool, True),
            open=section.take("open", bool, False),
            timeout_ms=section.number("timeout_ms", int, 1, 30_000, 2_000),
        )
        section.finish()
    return routes


def _read_priority(section: fields.Section) -> route.Priority:
    name = section.take("priority", str, "normal")
    known = {priority.name.lower(): priority for priority in route.Priority}
    if name not in known:
        section.fault("priority", f"must be one of {', '.join(known)}")
    return known.get(name, route.Priority.NORMAL)


def _read_organisations(
    root: fields.Section,
    schemes: tuple[str, ...],
    routes: dict[str, route.Route],
) -> dict[str, organisation.Organisation]:
    found = {}
    for identifier, section in root.children("organisations").items():
        digests = section.strings("key_digests")
        for digest in digests:
            if not _DIGEST.fullmatch(digest):
                section.fault("key_digests", "must hold SHA-256 digests")
        found[identifier] = organisation.Organisation(
            organisation_id=identifier,
            names=_read_object_names(section, schemes),
            key_digests=frozenset(digests),
            contract=_read_contract(section, routes),
        )
        section.finish()
    return found


def _read_contract(
    section: fields.Section, routes: dict[str, route.Route]
) -> organisation.Contract:
    permitted = section.strings("routes")
    for route_id in permitted:
        if route_id not in routes:
            section.fault("routes", f"names no route: {route_id}")
    return organisation.Contract(
        routes=frozenset(permitted),
        rate_per_s=section.number("rate_per_s", float, 0.0, 1e9),
        burst=section.number("burst", float, 0.0, 1e9),
        weight=section.number("weight", float, 0.001, 1e6, 1.0),
    )


def _read_regions(root: fields.Section) -> dict[str, region.Region]:
    regions = {}
    for region_id, section in root.children("regions").items():
        centres = tuple(section.strings("data_centres"))
        regions[region_id] = region.Region(region_id, centres)
        section.finish()
    return regions


def _read_links(
    root: fields.Section, regions: dict[str, region.Region]
) -> dict[tuple[str, str], region.Link]:
    links = {}
    for name, section in root.children("links").items():
        ends = sorted(section.strings("ends"))
        if len(set(ends)) != 2 or not set(ends) <= set(regions):
            section.fault("ends", "must name two regions")
            ends = [name, name]
        pair = (ends[0], ends[1])
        if pair in links:
            section.fault("ends", "are joined by another link already")
        links[pair] = region.Link(
            ends=pair,
            bits_per_s=section.number("bits_per_s", int, 1, 1 << 50),
            call_share=section.number("call_share", float, 0.0, 1.0, 0.5),
        )
        section.finish()
    return links


def _read_retries(root: fields.Section) -> configuration.RetryPolicy:
    section = root.child("retries")
    retries = configuration.RetryPolicy(
        per_root=section.number("per_root", int, 0, 16, 3),
        ratio=section.number("ratio", float, 0.0, 1.0, 0.1),
    )
    section.finish()
    return retries


@dataclasses.dataclass(frozen=True, slots=True)
class _Tables:
    organisations: names.NameTable
    services: names.NameTable
    routes: dict[str, names.NameTable]


def _read_names(
    services: dict[str, upstream.Service],
    routes: dict[str, route.Route],
    organisations: dict[str, organisation.Organisation],
    faults: list[fields.Fault],
) -> _Tables:
    def table(kind: str, named: dict[str, t.Any]) -> names.NameTable:
        built, clashes = names.build(
            (identifier, item.names) for identifier, item in named.items()
        )
        for clash in clashes:
            text = f"name {clash.name!r} belongs to {clash.first} already"
            faults.append(fields.Fault(f"/{kind}/{clash.second}/names", text))
        return built

    route_tables = {}
    for service_id in services:
        own = {
            route_id: item
            for route_id, item in routes.items()
            if item.service_id == service_id
        }
        route_tables[service_id] = table("routes", own)
    return _Tables(
        organisations=table("organisations", organisations),
        services=table("services", services),
        routes=route_tables,
    )


def _index_keys(
    organisations: dict[str, organisation.Organisation],
    faults: list[fields.Fault],
) -> dict[str, str]:
    keys: dict[str, str] = {}
    for identifier, item in organisations.items():
        for digest in sorted(item.key_digests):
            holder = keys.setdefault(digest, identifier)
            if holder != identifier:
                place = f"/organisations/{identifier}/key_digests"
                faults.append(
                    fields.Fault(place, f"is granted to {holder} already")
                )
    return keys
