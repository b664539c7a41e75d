"""What hosts' upstreams have said of themselves in answers, by host.

Answers upstreams that leave or name a limit before the list or their own
host, which may have been started again, tells it.
"""

import dataclasses

from . import standing

# How long an upstream may get new work after it said that it leaves, and how
# long its host is not used for it; another upstream follows it there.
DRAIN_S = 2.0
LEAVING_KEPT_S = 30.0
# How long a limit is handed on after it was named.
LIMIT_KEPT_S = 10.0


@dataclasses.dataclass(slots=True)
class _Host:
    """One host.

    :param limit_per_s: as last named, at ``named_at``.
    :param leaving_at: when its upstream first said that it leaves.
    :param heard_at: when it last said so.
    """

    limit_per_s: float = standing.NO_LIMIT
    named_at: float = 0.0
    leaving_at: float = 0.0
    heard_at: float | None = None


class Stated:
    """The hosts whose answers an entry or a gate has passed on."""

    def __init__(self) -> None:
        self._hosts: dict[str, _Host] = {}

    def note(self, host_id: str, said: standing.Said, now: float) -> None:
        """Note what an answer of a host's upstream says."""
        nothing = said == standing.Said()
        if nothing and host_id not in self._hosts:
            return
        host = self._hosts.setdefault(host_id, _Host())
        if said.limit_per_s is not None:
            host.limit_per_s, host.named_at = said.limit_per_s, now
        if said.leaving:
            if not self._leaves(host, now):
                host.leaving_at = now
            host.heard_at = now

    def limit_per_s(self, host_id: str, now: float) -> float:
        """Return the limit that was named, ``NO_LIMIT`` if there is none."""
        host = self._hosts.get(host_id)
        if host is None or now - host.named_at > LIMIT_KEPT_S:
            return standing.NO_LIMIT
        return host.limit_per_s

    def leaving(self, now: float) -> frozenset[str]:
        """Return the hosts whose upstreams leave."""
        return frozenset(
            host_id
            for host_id, host in self._hosts.items()
            if self._leaves(host, now)
        )

    def drained(self, now: float) -> frozenset[str]:
        """Return those of them that may get nothing new any more."""
        return frozenset(
            host_id
            for host_id in self.leaving(now)
            if now - self._hosts[host_id].leaving_at >= DRAIN_S
        )

    @staticmethod
    def _leaves(host: _Host, now: float) -> bool:
        heard_at = host.heard_at
        return heard_at is not None and now - heard_at < LEAVING_KEPT_S
