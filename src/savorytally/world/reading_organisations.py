"""Parses the organisations of a configuration document."""

import re
import sys
import typing as t

from .. import fields
from . import member_cache
from . import names
from . import organisation
from . import reading_regions
from . import region
from . import route

RATE_MAX_PER_S = 1e9
BURST_MAX = 1e9
WEIGHT_MIN = 0.001
WEIGHT_MAX = 1e6

_DIGEST = re.compile(r"[0-9a-f]{64}")


def read(
    root: fields.Section,
    schemes: tuple[str, ...],
    routes: t.Mapping[str, route.Route],
    regions: t.Mapping[str, region.Region],
    cache: member_cache.MemberCache,
) -> dict[str, organisation.Organisation]:
    """Read the organisations of a document.

    :param root: the document.
    :param schemes: the document's naming schemes.
    :param routes: the document's routes by identifier.
    :param regions: the document's regions by identifier.
    :param cache: cached members of the last accepted document.
    :return: organisations by identifier.
    """

    def read_member(
        identifier: str, section: fields.Section
    ) -> organisation.Organisation:
        return _read_organisation(
            identifier, section, schemes, routes, regions
        )

    def still_valid(cached: organisation.Organisation) -> bool:
        contract = cached.contract
        return (
            contract.routes <= routes.keys()
            and contract.homes <= regions.keys()
        )

    return cache.members(root, "organisations", read_member, still_valid)


def index_keys(
    organisations: t.Mapping[str, organisation.Organisation],
    faults: list[fields.Fault],
) -> dict[str, str]:
    """Return organisation identifiers by digest of the API key.

    :param organisations: organisations by identifier.
    :param faults: list that receives a fault for each digest that two
        organisations have.
    """
    keys: dict[str, str] = {}
    for identifier, item in organisations.items():
        for digest in sorted(item.key_digests):
            holder = keys.setdefault(digest, identifier)
            if holder == identifier:
                continue
            place = fields.pointer("/organisations", identifier)
            text = f"share a key with organisation {holder!r}"
            faults.append(fields.Fault(f"{place}/key_digests", text))
    return keys


def _read_organisation(
    identifier: str,
    section: fields.Section,
    schemes: tuple[str, ...],
    routes: t.Mapping[str, route.Route],
    regions: t.Mapping[str, region.Region],
) -> organisation.Organisation:
    found = organisation.Organisation(
        organisation_id=names.read_identifier(identifier, section),
        names=names.read_names(section, schemes),
        key_digests=frozenset(_read_digests(section)),
        contract=_read_contract(section, routes, regions),
    )
    section.reject_unknown()
    return found


def _read_digests(section: fields.Section) -> list[str]:
    digests = section.strings("key_digests")
    if not all(map(_DIGEST.fullmatch, digests)):
        section.fault(
            "key_digests", "must hold SHA-256 digests in small hexadecimals"
        )
    return digests


def _read_contract(
    section: fields.Section,
    routes: t.Mapping[str, route.Route],
    regions: t.Mapping[str, region.Region],
) -> organisation.Contract:
    permitted = section.strings("routes")
    for route_id in permitted:
        if route_id not in routes:
            section.fault("routes", f"names no route: {route_id!r}")
    contract = organisation.Contract(
        routes=frozenset(map(sys.intern, permitted)),
        rate_per_s=section.number("rate_per_s", float, 0.0, RATE_MAX_PER_S),
        burst=section.number("burst", float, 0.0, BURST_MAX),
        weight=section.number("weight", float, WEIGHT_MIN, WEIGHT_MAX, 1.0),
        homes=reading_regions.read_homes(section, regions),
    )
    if contract.rate_per_s > 0 and contract.burst < 1:
        section.fault("burst", "must be at least 1 to admit any request")
    return contract
