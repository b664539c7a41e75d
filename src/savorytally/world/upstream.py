"""Services and their upstreams."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams.

    :param service_id: the identifier used by the nodes.
    :param names: its name in each naming scheme.
    :param slots: requests that one upstream can work on at once.
    :param connections: connections that one upstream accepts.
    """

    service_id: str
    names: t.Mapping[str, str]
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's own statement about its load, which may mislead.

    :param in_use: slots that it claims to use.
    :param healthy: whether it claims to be healthy.
    :param at: when the report was read, on the node's clock.
    """

    in_use: int
    healthy: bool
    at: float
