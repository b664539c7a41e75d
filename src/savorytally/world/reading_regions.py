"""Parses the regions and links of a configuration document."""

import sys
import typing as t

from .. import fields
from . import names
from . import region

BITS_PER_S_MAX = 10**15

_EVACUATED = "evacuated"

Links = dict[tuple[str, str], region.Link]


def read(root: fields.Section) -> dict[str, region.Region]:
    """Read the regions of a document and return them by identifier."""
    regions = {}
    for region_id, section in root.children("regions").items():
        regions[region_id] = region.Region(
            names.read_identifier(region_id, section),
            tuple(section.strings("data_centres")),
        )
        section.reject_unknown()
    return regions


def read_homes(
    section: fields.Section, regions: t.Collection[str]
) -> frozenset[str]:
    """Read the regions in which requests of a member may run.

    :param section: a route or an organisation.
    :param regions: identifiers of the document's regions.
    :return: the regions, empty for all.
    """
    homes = section.strings("regions", [])
    for region_id in homes:
        if region_id not in regions:
            section.fault("regions", f"names no region: {region_id!r}")
    return frozenset(map(sys.intern, homes))


def read_evacuated(
    root: fields.Section, regions: t.Mapping[str, region.Region]
) -> frozenset[region.Place]:
    """Read the evacuated data centres of a document.

    :param root: the document.
    :param regions: the document's regions by identifier.
    """
    found: set[region.Place] = set()
    items = root.take(_EVACUATED, list, [])
    for index, value in enumerate(items):
        section = root.member(_EVACUATED, str(index), value)
        if not isinstance(value, dict):
            continue
        place = _read_place(section, regions)
        if place is None:
            continue
        if place in found:
            section.faults.append(fields.Fault(section.place, "is repeated"))
        found.add(place)
    return frozenset(found)


def _read_place(
    section: fields.Section, regions: t.Mapping[str, region.Region]
) -> region.Place | None:
    """Return a data centre of the document, ``None`` if there is a fault."""
    region_id = section.text("region", regions.__contains__, "names no region")
    known = regions.get(region_id)
    data_centre_id = section.text(
        "data_centre",
        lambda name: known is None or name in known.data_centres,
        "names no data centre of the region",
    )
    section.reject_unknown()
    if known is None or data_centre_id not in known.data_centres:
        return None
    return region.place(region_id, data_centre_id)


def read_links(
    root: fields.Section, regions: t.Mapping[str, region.Region]
) -> Links:
    """Read the links of a document.

    :param root: the document.
    :param regions: the document's regions by identifier.
    :return: links by the sorted pair of regions that they connect.
    """
    links: Links = {}
    for section in root.children("links").values():
        link = _read_link(section, regions)
        if link.ends in links:
            section.fault("ends", "are joined by another link already")
        links[link.ends] = link
    return links


def _read_link(
    section: fields.Section, regions: t.Mapping[str, region.Region]
) -> region.Link:
    ends = sorted(section.strings("ends"))
    if len(ends) != 2 or not set(ends) <= set(regions):
        section.fault("ends", "must name two regions")
        ends = [section.place, section.place]
    link = region.Link(
        ends=(ends[0], ends[1]),
        bits_per_s=section.number("bits_per_s", int, 1, BITS_PER_S_MAX),
        call_share=section.number("call_share", float, 0.0, 1.0, 0.5),
    )
    section.reject_unknown()
    return link
