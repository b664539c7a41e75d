"""Hosts and the platform's list of them."""

import dataclasses
import enum
import typing as t

from . import region


class HostState(enum.Enum):
    """What the platform says about a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host with its upstream and its node.

    :param host_id: the identifier, unique in the fleet.
    :param service_id: the service of its upstream.
    :param place: its region and data centre.
    :param address: its IP number.
    :param peer_port: the port of its node's peer streams.
    :param state: what the platform says about it.
    """

    host_id: str
    service_id: str
    place: region.Place
    address: str
    peer_port: int
    state: HostState = HostState.LIVE

    @property
    def live(self) -> bool:
        """Whether the platform lists it as accepting work."""
        return self.state is HostState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """One reading of the platform's list of hosts.

    :param version: rises with every change of the list.
    :param hosts: all hosts by identifier.
    """

    version: int
    hosts: t.Mapping[str, Host]

    def of_service(self, service_id: str) -> list[Host]:
        """Return the hosts of one service in order of identifier."""
        found = [
            host
            for host in self.hosts.values()
            if host.service_id == service_id
        ]
        return sorted(found, key=lambda host: host.host_id)

    def in_place(self, place: region.Place) -> list[Host]:
        """Return the hosts of one data centre in order of identifier."""
        found = [host for host in self.hosts.values() if host.place == place]
        return sorted(found, key=lambda host: host.host_id)


EMPTY = HostList(0, {})
