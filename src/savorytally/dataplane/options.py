"""Options of a node on the data plane."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The limits and periods that the users require.

    :param change_s: time within which a confirmed change must be in force, in
        seconds.
    :param drain_s: time after which a leaving upstream gets no new work, in
        seconds.
    :param grace_s: time from the stop signal until the process is killed, in
        seconds.
    :param retry_ratio: retries per first attempt at a service.
    :param retry_window_s: window in which the ratio applies, in seconds.
    :param retry_slack: retries allowed per window beyond the ratio.
    :param rate_overage: fraction by which a rate may be exceeded.
    :param rate_slack: further requests by which a rate may be exceeded.
    :param rate_window_s: window in which a rate is measured, in seconds.
    :param cold_overage: fraction of a cold upstream's rate that it may get.
    :param cold_slack: further requests that a cold upstream may get.
    """

    change_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    rate_overage: float = 0.25
    rate_slack: float = 20.0
    rate_window_s: float = 5.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """All options of a node.

    :param host_id: the host's name.
    :param service: the service of the local upstream.
    :param address: the host's IP address.
    :param data_centre: the host's data centre.
    :param regions: the region of each data centre.
    :param upstream: address of the local upstream.
    :param entry: address for requests of callers and the local upstream.
    :param ready: address of the readiness probe.
    :param peer_port: port of the peer streams, the same on all hosts.
    :param metrics_port: port of the metrics.
    :param store: address of the platform's store.
    :param memory_bytes: memory limit of the process.
    :param descriptors: limit of the process's open file descriptors.
    :param first_start: whether all hosts start for the first time.
    :param bounds: the limits and periods that the users require.
    :param heartbeat_s: interval at which upstreams renew their entries in the
        store, in seconds.
    :param ramp_up: whether upstreams that start or return ramp up, if their
        service states a cold start.
    :param refuse_failing_chains: whether requests are refused whose call
        chains hardly ever succeed.
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
    heartbeat_s: float = 1.5
    ramp_up: bool = False
    refuse_failing_chains: bool = False

    @property
    def region(self) -> str:
        """The host's region."""
        return self.regions.get(self.data_centre, "")
