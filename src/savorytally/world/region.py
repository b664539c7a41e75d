"""Regions, data centres and the links between regions."""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True, slots=True)
class Region:
    """A group of data centres with low latency between them.

    :param region_id: the identifier.
    :param data_centres: identifiers of its data centres.
    """

    region_id: str
    data_centres: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """A data centre in a region.

    :param region_id: identifier of the region.
    :param data_centre_id: identifier of the data centre, unique within the
        region.
    """

    region_id: str
    data_centre_id: str


@functools.cache
def place(region_id: str, data_centre_id: str) -> Place:
    """Return the shared object of a place.

    All hosts of a place share one object, which saves memory on a node that
    holds many thousand hosts.
    """
    return Place(region_id, data_centre_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """A network link between two regions, billed by volume.

    :param ends: identifiers of the two regions, sorted.
    :param bits_per_s: capacity in each direction.
    :param call_share: fraction of the capacity that calls may use.
    """

    ends: tuple[str, str]
    bits_per_s: int
    call_share: float = 0.5
