"""Services and the load that their upstreams report."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams.

    :param service_id: the identifier used by the nodes.
    :param names: its name in each naming scheme.
    :param slots: number of requests that one upstream can process at once.
    :param connections: number of connections that one upstream accepts.
    """

    service_id: str
    names: t.Mapping[str, str]
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reports about itself, which may be wrong.

    :param in_use: number of slots that it reports as in use.
    :param healthy: whether it reports to be healthy.
    :param at: time of the report on the node's clock, in seconds.
    """

    in_use: int
    healthy: bool
    at: float
