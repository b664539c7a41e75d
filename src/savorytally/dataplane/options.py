"""Options of a node on the data plane."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the users expect within which time.

    :param drain_s: new work reaches no leaving upstream after it.
    :param grace_s: from the signal to stop to the end by force.
    :param retry_ratio: repeats per first arrival at a service.
    :param retry_window_s: over which the ratio counts.
    :param retry_slack: repeats beyond the ratio in a window.
    :param rate_overage: fraction by which a rate may be passed.
    :param rate_slack: requests by which a rate may be passed besides.
    :param rate_window_s: the time over which that is measured.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    rate_overage: float = 0.25
    rate_slack: float = 20.0
    rate_window_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """All options of a node.

    :param host_id: the host's name.
    :param service: the service of the local upstream.
    :param address: the host's IP number.
    :param data_centre: the host's data centre.
    :param regions: region of each data centre.
    :param upstream: the local upstream.
    :param entry: where callers and the local upstream send requests.
    :param ready: where readiness is asked.
    :param peer_port: port of the peer streams, the same on all hosts.
    :param metrics_port: port of the metrics.
    :param store: the platform's store.
    :param memory_bytes: limit of the process.
    :param descriptors: limit of the process.
    :param first_start: whether the whole fleet starts for the first time.
    :param bounds: what the users expect.
    """

    host_id: str
    service: str
    address: str
    data_centre: str
    regions: dict[str, str]
    upstream: Address
    entry: Address
    ready: Address
    peer_port: int
    metrics_port: int
    store: Address
    memory_bytes: int
    descriptors: int
    first_start: bool
    bounds: Bounds

    @property
    def region(self) -> str:
        """The host's region."""
        return self.regions.get(self.data_centre, "")
