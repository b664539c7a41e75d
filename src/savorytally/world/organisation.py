"""Organisations that call services, and their contracts."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """Permitted routes and limits of an organisation.

    :param routes: identifiers of the permitted routes.
    :param rate_per_s: permitted requests per second over the whole fleet.
    :param burst: requests that may arrive at once over the whole fleet.
    :param weight: relative share of capacity under overload.
    :param homes: regions in which its requests may run, empty for all.
    """

    routes: frozenset[str]
    rate_per_s: float
    burst: float
    weight: float = 1.0
    homes: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that calls services.

    :param organisation_id: the identifier used by the nodes.
    :param names: its name in each naming scheme.
    :param key_digests: SHA-256 digests of its API keys, hexadecimal.
    :param contract: its permitted routes and limits.
    """

    organisation_id: str
    names: t.Mapping[str, str]
    key_digests: frozenset[str]
    contract: Contract
