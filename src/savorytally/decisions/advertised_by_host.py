"""What the upstreams of other hosts advertise in their responses, by host.

Covers upstreams that leave or advertise a rate limit before this is known
from the host list or from their own host, which may have been restarted.
"""

import dataclasses

from . import advertised_state

# How long an upstream may get new requests after it advertised that it is
# leaving.
DRAIN_S = 2.0
# How long its host then counts as leaving; afterwards another upstream may
# have started there.
LEAVING_KEPT_S = 30.0
# How long a limit is passed on after it was last advertised.
LIMIT_KEPT_S = 10.0


@dataclasses.dataclass(slots=True)
class _HostState:
    """Advertisements of one host's upstream.

    :param limit_per_s: the rate limit last advertised, at ``limit_at``.
    :param leaving_since: when the upstream first advertised that it is
        leaving.
    :param leaving_last_at: when it last advertised that, ``None`` if never.
    """

    limit_per_s: float = advertised_state.NO_LIMIT
    limit_at: float = 0.0
    leaving_since: float = 0.0
    leaving_last_at: float | None = None


class HostAdvertisements:
    """Advertisements in the responses that pass an entry or a gate."""

    def __init__(self) -> None:
        self._hosts: dict[str, _HostState] = {}

    def note(
        self,
        host_id: str,
        advertisement: advertised_state.Advertisement,
        now: float,
    ) -> None:
        """Apply what a response of a host's upstream advertises."""
        empty = advertisement == advertised_state.Advertisement()
        if empty and host_id not in self._hosts:
            return
        host = self._hosts.setdefault(host_id, _HostState())
        if advertisement.limit_per_s is not None:
            host.limit_per_s, host.limit_at = advertisement.limit_per_s, now
        if advertisement.leaving:
            if not self._is_leaving(host, now):
                host.leaving_since = now
            host.leaving_last_at = now

    def limit_per_s(self, host_id: str, now: float) -> float:
        """Return the advertised limit, ``NO_LIMIT`` without one."""
        host = self._hosts.get(host_id)
        if host is None or now - host.limit_at > LIMIT_KEPT_S:
            return advertised_state.NO_LIMIT
        return host.limit_per_s

    def leaving(self, now: float) -> frozenset[str]:
        """Return the hosts whose upstreams are leaving."""
        return frozenset(
            host_id
            for host_id, host in self._hosts.items()
            if self._is_leaving(host, now)
        )

    def drained(self, now: float) -> frozenset[str]:
        """Return the leaving hosts whose drain time has passed."""
        return frozenset(
            host_id
            for host_id in self.leaving(now)
            if now - self._hosts[host_id].leaving_since >= DRAIN_S
        )

    @staticmethod
    def _is_leaving(host: _HostState, now: float) -> bool:
        heard_at = host.leaving_last_at
        return heard_at is not None and now - heard_at < LEAVING_KEPT_S
