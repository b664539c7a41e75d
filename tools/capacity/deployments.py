"""Deployments whose costs the capacity page shows."""

import dataclasses

from . import sample_documents

DAY_S = 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of one deployment.

    :param name: name of the deployment.
    :param hosts: number of hosts, each with one node and one upstream.
    :param services: number of services.
    :param regions: number of regions.
    :param data_centres: number of data centres in all regions.
    :param organisations: number of organisations.
    :param organisations_active: number of organisations that one node
        serves.
    :param calls_per_s: calls per second, counted at every hop.
    :param calls_per_root: mean number of calls per root request, including
        the root request.
    :param services_called: number of services that one upstream calls.
    :param callers: number of nodes that call one node.
    :param calls_in_progress: concurrent calls of one upstream.
    :param changes_per_s: configuration changes per second.
    :param host_changes_per_s: hosts that start, drain or fail per second.
    """

    name: str
    hosts: int
    services: int
    regions: int
    data_centres: int
    organisations: int
    organisations_active: int
    calls_per_s: float
    calls_per_root: float
    services_called: int
    callers: int
    calls_in_progress: int
    changes_per_s: float
    host_changes_per_s: float

    @property
    def hosts_per_service(self) -> float:
        """Mean number of hosts of a service."""
        return self.hosts / self.services

    @property
    def hosts_per_data_centre(self) -> float:
        """Mean number of hosts of a data centre."""
        return self.hosts / self.data_centres

    @property
    def calls_per_node(self) -> float:
        """Calls per second that one gate runs."""
        return self.calls_per_s / self.hosts

    @property
    def members(self) -> int:
        """Number of organisations, services and routes."""
        routes = self.services * sample_documents.ROUTES_PER_SERVICE
        return self.organisations + self.services + routes

    @property
    def roots_per_node(self) -> float:
        """Root requests per second that one entry accepts."""
        return self.calls_per_node / self.calls_per_root

    @property
    def streams(self) -> float:
        """Number of peer streams of one node, opened by either side."""
        called = self.services_called * self.hosts_per_service
        return min(called, self.hosts) + self.callers


HIMALI = Deployment(
    name="Himali",
    hosts=18,
    services=4,
    regions=2,
    data_centres=4,
    organisations=8,
    organisations_active=8,
    calls_per_s=2_000,
    calls_per_root=2,
    services_called=3,
    callers=17,
    calls_in_progress=35,
    changes_per_s=0.01,
    host_changes_per_s=0.001,
)

PETTIGREW = Deployment(
    name="Pettigrew",
    hosts=16,
    services=4,
    regions=2,
    data_centres=2,
    organisations=8,
    organisations_active=8,
    calls_per_s=2_000,
    calls_per_root=2,
    services_called=3,
    callers=15,
    calls_in_progress=75,
    changes_per_s=0.01,
    host_changes_per_s=0.001,
)

IN_TWO_YEARS = Deployment(
    name="In two years",
    hosts=31_000,
    services=1_800,
    regions=8,
    data_centres=25,
    organisations=1_000,
    organisations_active=100,
    calls_per_s=6_500_000,
    calls_per_root=10,
    services_called=6,
    callers=100,
    calls_in_progress=40,
    changes_per_s=79_000 / DAY_S,
    host_changes_per_s=2 * (3_500 + 65) / DAY_S,
)

ALL = (HIMALI, PETTIGREW, IN_TWO_YEARS)
