"""The versioned configuration of a node."""

import dataclasses
import typing as t

from .. import results
from . import catalog
from . import names
from . import organisation
from . import region
from . import route
from . import upstream

Organisation = organisation.Organisation

KEY_ID_LENGTH = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits on retries.

    :param per_root: maximum number of retries in the call tree of one root
        request.
    :param ratio: maximum ratio of retries to first attempts that a node
        sends.
    """

    per_root: int = 3
    ratio: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A complete, validated configuration.

    :param version: number of the configuration; a higher one replaces a
        lower one.
    :param schemes: the three naming schemes.
    :param organisations: organisations by identifier.
    :param services: services by identifier.
    :param routes: routes by identifier.
    :param regions: regions by identifier.
    :param links: links by the sorted pair of region identifiers.
    :param retries: limits on retries.
    :param organisation_names: resolves names of organisations.
    :param service_names: resolves names of services.
    :param route_names: resolves names of routes, by service identifier.
    :param keys: organisation identifiers by digest of the API key.
    :param evacuated: data centres to which no requests are sent.
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
    evacuated: frozenset[region.Place] = frozenset()
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

        :param key_id: the first :data:`KEY_ID_LENGTH` digits of the key's
            digest.
        """
        return (organisation_id, key_id) in self._grants

    def organisation_of_key(self, digest: str) -> Organisation | None:
        """Return the organisation that a key is granted to.

        :param digest: SHA-256 digest of the key, hexadecimal.
        """
        organisation_id = self.keys.get(digest)
        if organisation_id is None:
            return None
        return self.organisations[organisation_id]

    def permitted_regions(
        self, route_id: str, organisation_id: str
    ) -> frozenset[str] | None:
        """Return the regions in which a request may run.

        :param route_id: the called route; an unknown one has no homes.
        :param organisation_id: the organisation on whose behalf it is
            called, empty if none.
        :return: ``None`` for all regions; empty if the homes of route and
            organisation exclude each other.
        """
        called = self.routes.get(route_id)
        caller = self.organisations.get(organisation_id)
        return catalog.permitted_regions(
            called.homes if called else frozenset(),
            caller.contract.homes if caller else frozenset(),
        )

    def misplaced(
        self, place: region.Place, route_id: str, organisation_id: str
    ) -> results.ResultCode | None:
        """Return why a request may not run in a data centre.

        :return: ``NOT_AT_HOME`` or ``DATA_CENTRE_EVACUATED``, ``None`` if it
            may run there.
        """
        regions = self.permitted_regions(route_id, organisation_id)
        if regions is not None and place.region_id not in regions:
            return results.NOT_AT_HOME
        if place in self.evacuated:
            return results.DATA_CENTRE_EVACUATED
        return None

    def find_route(self, service: str, name: str) -> route.Route | None:
        """Return the route with these names, ``None`` if there is none.

        :param service: name of the service in any naming scheme.
        :param name: name of the route in any naming scheme.
        """
        service_id = self.service_names.resolve(service)
        if service_id is None:
            return None
        route_id = self.route_names[service_id].resolve(name)
        if route_id is None:
            return None
        return self.routes[route_id]
