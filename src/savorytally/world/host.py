"""Hosts and the host list that the platform publishes."""

import dataclasses
import enum
import typing as t

from . import region


class HostState(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host, which runs one upstream and one node.

    :param host_id: the identifier, unique in the fleet.
    :param service_id: the service that its upstream belongs to.
    :param place: its region and data centre.
    :param address: its IP address.
    :param peer_port: port on which its node accepts peer streams.
    :param state: its state in the platform's host list.
    """

    host_id: str
    service_id: str
    place: region.Place
    address: str
    peer_port: int
    state: HostState = HostState.LIVE

    @property
    def live(self) -> bool:
        """Whether the host accepts new work, according to the platform."""
        return self.state is HostState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """One version of the platform's host list.

    :param version: number that increases with every change of the list.
    :param hosts: all hosts by identifier.
    """

    version: int
    hosts: t.Mapping[str, Host]

    def of_service(self, service_id: str) -> list[Host]:
        """Return the hosts of one service, sorted by identifier."""
        found = [
            host
            for host in self.hosts.values()
            if host.service_id == service_id
        ]
        return sorted(found, key=lambda host: host.host_id)

    def in_place(self, place: region.Place) -> list[Host]:
        """Return the hosts of one data centre, sorted by identifier."""
        found = [host for host in self.hosts.values() if host.place == place]
        return sorted(found, key=lambda host: host.host_id)


EMPTY = HostList(0, {})
