"""Parses the services of a configuration document."""

from .. import fields
from . import member_cache
from . import names
from . import upstream

SLOTS_MAX = 100_000
CONNECTIONS_MAX = 100_000


def read(
    root: fields.Section,
    schemes: tuple[str, ...],
    cache: member_cache.MemberCache,
) -> dict[str, upstream.Service]:
    """Read the services of a document.

    :param root: the document.
    :param schemes: the document's naming schemes.
    :param cache: cached members of the last accepted document.
    :return: services by identifier.
    """

    def read_member(
        service_id: str, section: fields.Section
    ) -> upstream.Service:
        return _read_service(service_id, section, schemes)

    return cache.members(root, "services", read_member)


def _read_service(
    service_id: str, section: fields.Section, schemes: tuple[str, ...]
) -> upstream.Service:
    service = upstream.Service(
        service_id=names.read_identifier(service_id, section),
        names=names.read_names(section, schemes),
        slots=section.number("slots", int, 1, SLOTS_MAX),
        connections=section.number("connections", int, 1, CONNECTIONS_MAX),
    )
    section.reject_unknown()
    return service
