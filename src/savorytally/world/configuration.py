"""The numbered configuration that is in force on a node."""

import dataclasses
import typing as t

from . import names
from . import organisation
from . import region
from . import route
from . import upstream

Organisation = organisation.Organisation

KEY_ID_LENGTH = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Bounds on repeated attempts.

    :param per_root: retries over the whole call tree of one request.
    :param ratio: retries for each first attempt that a node may send.
    """

    per_root: int = 3
    ratio: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One whole, checked configuration.

    :param version: its number; a higher one replaces a lower one.
    :param schemes: the three naming schemes.
    :param organisations: by identifier.
    :param services: by identifier.
    :param routes: by identifier.
    :param regions: by identifier.
    :param links: by the sorted pair of region identifiers.
    :param retries: bounds on repeated attempts.
    :param organisation_names: resolves organisations.
    :param service_names: resolves services.
    :param route_names: resolves routes, for each service.
    :param keys: organisation identifiers by key digest.
    """

    version: int
    schemes: tuple[str, ...]
    organisations: t.Mapping[str, Organisation]
    services: t.Mapping[str, upstream.Service]
    routes: t.Mapping[str, route.Route]
    regions: t.Mapping[str, region.Region]
    links: t.Mapping[tuple[str, str], region.Link]
    retries: RetryPolicy
    organisation_names: names.NameTable
    service_names: names.NameTable
    route_names: t.Mapping[str, names.NameTable]
    keys: t.Mapping[str, str]
    _grants: frozenset[tuple[str, str]] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        grants = frozenset(
            (holder, digest[:KEY_ID_LENGTH])
            for digest, holder in self.keys.items()
        )
        object.__setattr__(self, "_grants", grants)

    def granted(self, organisation_id: str, key_id: str) -> bool:
        """Return whether a key is granted to an organisation.

        :param key_id: the first :data:`KEY_ID_LENGTH` digits of its digest.
        """
        return (organisation_id, key_id) in self._grants

    def organisation_of_key(self, digest: str) -> Organisation | None:
        """Return the organisation to which a key digest is granted."""
        organisation_id = self.keys.get(digest)
        if organisation_id is None:
            return None
        return self.organisations[organisation_id]

    def find_route(self, service: str, name: str) -> route.Route | None:
        """Resolve a service name and a route name of any scheme."""
        service_id = self.service_names.resolve(service)
        if service_id is None:
            return None
        route_id = self.route_names[service_id].resolve(name)
        if route_id is None:
            return None
        return self.routes[route_id]
