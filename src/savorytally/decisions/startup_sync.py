"""Synchronises a starting node with its peers before it serves requests.

The node queries peers for the highest version of each publication and serves
only once it holds that version, so that a stale copy on the platform cannot
replace a newer configuration.
"""

import dataclasses
import random
import typing as t

from .. import defaults
from ..peer import dissemination_messages
from . import relay_tree
from . import version_query


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCopy:
    """A configuration version read from the platform during startup.

    :param version: its version number.
    :param bodies: encoded sections by name.
    """

    version: int
    bodies: t.Mapping[str, bytes]


class StartupSync:
    """State of the startup phase, from process start until the node serves.

    :param source: seeded random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._nonce = source.getrandbits(32) | 1
        self._query: version_query.VersionQuery | None = None
        self._peers: tuple[str, ...] = ()
        self._platform_copy: PlatformCopy | None = None
        self._active = True

    @property
    def active(self) -> bool:
        """Whether the startup phase is still in progress."""
        return self._active

    @property
    def nonce(self) -> int:
        """The nonce that peers repeat in replies to startup queries."""
        return self._nonce

    @property
    def copy(self) -> PlatformCopy | None:
        """The newest copy that was read from the platform."""
        return self._platform_copy

    def no_peer_replied(self, now: float) -> bool:
        """Return whether no peer replied within ``STARTUP_WAIT_S``."""
        query = self._query
        if query is None or query.replies:
            return False
        return query.age_s(now) >= defaults.STARTUP_WAIT_S

    def keep_copy(self, version: int, bodies: t.Mapping[str, bytes]) -> None:
        """Keep a platform copy until the version query has ended."""
        if (
            self._platform_copy is None
            or version > self._platform_copy.version
        ):
            self._platform_copy = PlatformCopy(version, bodies)

    def query_targets(
        self, tree: relay_tree.RelayTree, own: str
    ) -> tuple[str, ...]:
        """Return the hosts to query.

        These are the candidates for reading the platform, random hosts of the
        data centre and one reader of each other data centre.

        :param tree: ranks and relay trees of the data centre.
        :param own: this node's host.
        """
        if not self._peers:
            candidates = [item for item in tree.candidates if item != own]
            others = sorted(set(tree.local_hosts) - set(candidates))
            remaining = max(defaults.STARTUP_PEERS - len(candidates), 0)
            sampled = self._random.sample(others, min(remaining, len(others)))
            self._peers = (*candidates, *sampled, *tree.remote_readers())
        return self._peers

    def due_peers(self, peers: t.Iterable[str], now: float) -> list[str]:
        """Return the peers to which a query must be sent now."""
        if self._query is None:
            self._query = version_query.VersionQuery(
                self._nonce, now, defaults.STARTUP_QUERY_PERIOD_S
            )
        return self._query.due_peers(peers, now)

    def handle_reply(
        self, sender: str, summary: dissemination_messages.VersionSummary
    ) -> None:
        """Process a peer's reply."""
        if self._query is not None and summary.nonce == self._nonce:
            self._query.record_reply(sender, summary.versions)

    def finish(self, versions: t.Mapping[str, int], now: float) -> bool:
        """End the startup phase if possible; return whether it has ended.

        It ends when every queried peer has replied or the wait has elapsed,
        and this node holds the highest version reported; at the latest after
        ``defaults.STARTUP_TIMEOUT_S``.

        :param versions: version of each publication that this node holds.
        """
        query = self._query
        if query is None:
            return False
        age_s = query.age_s(now)
        wait_elapsed = age_s >= defaults.STARTUP_WAIT_S
        up_to_date = query.satisfied_by(versions)
        query_ended = not self._peers or query.complete or wait_elapsed
        timed_out = age_s >= defaults.STARTUP_TIMEOUT_S
        self._active = not (query_ended and up_to_date) and not timed_out
        return not self._active
