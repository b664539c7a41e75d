"""Parses the regions and links of a configuration document."""

import typing as t

from .. import fields
from . import names
from . import region

BITS_PER_S_MAX = 10**15

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
