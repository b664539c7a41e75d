"""Decides when a starting host may use the configuration of the store.

The store may have been restored from a copy that holds an older configuration
than the one in force. A host that has just started can't tell, so it asks some
hosts for their versions and keeps the store's configuration back for a moment.
"""

import math
import random
import typing as t

# Number of hosts asked in the own region and in others.
NEAR_ASKED = 3
FAR_ASKED = 2
# Number of replies of hosts with a configuration that are enough.
REPLIES_NEEDED = 2
# How long to wait for replies, and for a newer configuration from a host.
REPLY_TIMEOUT_S = 0.5
NEWER_TIMEOUT_S = 1.5


class StartupCheck:
    """The versions of some hosts, compared with the store's.

    :param source: random source for the choice of hosts.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._held = b""
        self._held_version = 0
        # Version of each host that was asked, ``None`` without a reply.
        self._versions: dict[str, int | None] | None = None
        self._asked_at = math.inf

    @property
    def held(self) -> bytes:
        """The newest configuration of the store, empty for none."""
        return self._held

    @property
    def waiting_for(self) -> list[str]:
        """The hosts that have not replied."""
        versions = self._versions or {}
        return [name for name, found in versions.items() if found is None]

    def hold(self, raw: bytes, version: int) -> None:
        """Keep back a configuration of the store."""
        if version > self._held_version:
            self._held, self._held_version = raw, version

    def choose_hosts(
        self, near: t.Sequence[str], far: t.Sequence[str], now: float
    ) -> list[str]:
        """Return the hosts to ask, none if that has been done.

        :param near: addresses of hosts in the region.
        :param far: addresses of hosts in other regions.
        """
        if self._versions is not None:
            return []
        chosen = [
            *self._random.sample(near, min(NEAR_ASKED, len(near))),
            *self._random.sample(far, min(FAR_ASKED, len(far))),
        ]
        self._versions = dict.fromkeys(chosen)
        self._asked_at = now
        return chosen

    def replied(self, host: str, version: int) -> None:
        """Record the version of a host, 0 if it has none or can't be asked."""
        if self._versions is not None and host in self._versions:
            self._versions[host] = version

    def finished(self, in_force: int, now: float) -> bool:
        """Return whether the newest known configuration may be used.

        :param in_force: version in force on this host, 0 for none.
        """
        if self._versions is None:
            return False
        found = [v for v in self._versions.values() if v is not None]
        if max(found, default=0) > max(in_force, self._held_version):
            return now - self._asked_at >= NEWER_TIMEOUT_S
        if now - self._asked_at >= REPLY_TIMEOUT_S:
            return True
        informed = sum(version > 0 for version in found)
        return informed >= REPLIES_NEEDED or not self.waiting_for
