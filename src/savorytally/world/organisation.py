"""Organisations that call services, and the contracts they hold."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """What an organisation may call and how much it may send.

    :param routes: identifiers of the permitted routes.
    :param rate_per_s: requests a second over the whole fleet.
    :param burst: requests that may come at once over the whole fleet.
    :param weight: share among organisations when capacity is short.
    """

    routes: frozenset[str]
    rate_per_s: float
    burst: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation that calls services.

    :param organisation_id: the identifier used by the nodes.
    :param names: its name in each naming scheme.
    :param key_digests: SHA-256 digests of its keys, hexadecimal.
    :param contract: its rights and limits.
    """

    organisation_id: str
    names: t.Mapping[str, str]
    key_digests: frozenset[str]
    contract: Contract
