"""Regions, data centres and the links that join regions."""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True, slots=True)
class Region:
    """A group of data centres with short ways between them.

    :param region_id: the identifier.
    :param data_centres: identifiers of its data centres.
    """

    region_id: str
    data_centres: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """A data centre within its region.

    :param region_id: the region.
    :param data_centre_id: the data centre, unique within the region.
    """

    region_id: str
    data_centre_id: str


@functools.cache
def place(region_id: str, data_centre_id: str) -> Place:
    """Return the one object that stands for a place.

    Hosts of a place share it, since a node may hold many thousand hosts.
    """
    return Place(region_id, data_centre_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """A narrow connection between two regions, billed by volume.

    :param ends: identifiers of the two regions, sorted.
    :param bits_per_s: its capacity in each direction.
    :param call_share: the fraction of it that calls may use.
    """

    ends: tuple[str, str]
    bits_per_s: int
    call_share: float = 0.5
