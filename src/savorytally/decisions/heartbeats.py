"""Periodic messages about this node's role, versions and host list age.

Readers announce themselves to the reader candidates. Every node compares
versions with neighbours and queries a node one level higher in the relay order
for the age of its host list.
"""

import math
import random
import typing as t

from .. import defaults
from ..peer import dissemination_messages
from . import list_age
from . import participant
from . import platform_readers
from . import relay_tree
from . import replica

Outgoing = participant.Outgoing


class Heartbeats:
    """Sends summaries and processes those of peers.

    :param host_id: this node's host.
    :param tree: ranks and relay trees of the data centre, shared.
    :param source: seeded random source.
    :param usable: returns whether a host is usable.
    :param age: receives confirmations that the host list is current.
    """

    def __init__(
        self,
        host_id: str,
        tree: relay_tree.RelayTree,
        source: random.Random,
        usable: t.Callable[[str], bool],
        age: list_age.ListAge,
    ) -> None:
        self._own = host_id
        self._relay = tree
        self._random = source
        self._usable = usable
        self._list_age = age
        self._role = platform_readers.PlatformReader(tree)
        self._answered_at = {
            replica.CONFIGURATION: -math.inf,
            replica.HOSTS: -math.inf,
        }
        self._failed: set[str] = set()
        self._last_announced = (False, False)
        self._announce_at = -math.inf
        self._repair_at = -math.inf
        self._age_query_at = -math.inf
        self._pending_queries: dict[int, float] = {}

    def reading(self, now: float) -> bool:
        """Return whether this node's rank makes it a platform reader."""
        return self._role.reading(now)

    def record_platform_answer(self, name: str, now: float) -> None:
        """Record that the platform answered a read of a publication."""
        self._answered_at[name] = now
        self._failed.discard(name)

    def record_platform_failure(self, name: str) -> None:
        """Record that a read of a publication failed."""
        self._failed.add(name)

    def answer_age_s(self, now: float) -> float:
        """Return the time since the platform answered, in seconds.

        It is that of the publication whose last answer is the oldest,
        infinite before the first.
        """
        return now - min(self._answered_at.values())

    def succeeds(self, now: float) -> bool:
        """Return whether the platform answers the reads of this node.

        A read that is not answered in time counts as failed before it ends.
        """
        longest_s = defaults.PLATFORM_WATCH_S + defaults.PLATFORM_RESPONSE_S
        return not self._failed and self.answer_age_s(now) <= longest_s

    def handle_summary(
        self, summary: dissemination_messages.VersionSummary, now: float
    ) -> None:
        """Process the reader age in a peer's summary."""
        if summary.reader_age_ms >= 0:
            self._role.reader_active(now - summary.reader_age_ms / 1000)

    def handle_reading(
        self,
        sender: str,
        message: dissemination_messages.ReaderHeartbeat,
        now: float,
    ) -> None:
        """Record that a peer acts as a reader, and whether it succeeds."""
        self._role.reader_active(now)
        if message.succeeds:
            self._role.record_announcement(sender, now)
        else:
            self._role.withdraw_announcement(sender)

    def reply_to_age_query(
        self,
        query: dissemination_messages.ListAgeQuery,
        own_list: int,
        now: float,
    ) -> dissemination_messages.ListAgeReply:
        """Return the reply to a query about the age of the host list.

        :param own_list: version of this node's host list.
        """
        age_ms = _milliseconds(now - self._list_age.confirmed_at())
        return dissemination_messages.ListAgeReply(
            query.nonce, own_list, age_ms
        )

    def handle_list_age(
        self, reply: dissemination_messages.ListAgeReply, own_list: int
    ) -> None:
        """Process a peer's reply about the age of its host list.

        :param own_list: version of this node's host list.
        """
        queried_at = self._pending_queries.pop(reply.nonce, None)
        if queried_at is None or reply.age_ms < 0 or reply.version != own_list:
            return
        self._list_age.confirm(queried_at - reply.age_ms / 1000)

    def make(
        self,
        nonce: int,
        reply: bool,
        versions: t.Mapping[str, int],
        now: float,
    ) -> dissemination_messages.VersionSummary:
        """Return the summary to send now.

        :param nonce: identifies the query that is sent or answered, 0 for
            none.
        :param reply: whether it answers a peer's message.
        :param versions: version of each publication that this node holds.
        """
        if self._role.reading(now):
            self._role.reader_active(now)
        return dissemination_messages.VersionSummary(
            nonce=nonce,
            reply=reply,
            reader_age_ms=_milliseconds(self._role.reader_age_s(now)),
            versions=tuple(versions.items()),
        )

    def due(self, versions: t.Mapping[str, int], now: float) -> list[Outgoing]:
        """Return the messages that are due.

        :param versions: version of each publication that this node holds.
        """
        configuration_version = versions.get(replica.CONFIGURATION, 0)
        reading = dissemination_messages.ReaderHeartbeat(
            self.succeeds(now), configuration_version
        )
        outgoing = [
            Outgoing(peer, reading) for peer in self._announcement_targets(now)
        ]
        for peer in self._repair_targets(now):
            summary = self.make(0, False, versions, now)
            outgoing.append(Outgoing(peer, summary))
        target = self._age_query_target(now)
        if target:
            nonce = self._random.getrandbits(32) | 1
            self._pending_queries = {nonce: now}
            list_version = versions.get(replica.HOSTS, 0)
            query = dissemination_messages.ListAgeQuery(nonce, list_version)
            outgoing.append(Outgoing(target, query))
        return outgoing

    def _announcement_targets(self, now: float) -> list[str]:
        """Return the candidates that this reader must notify now."""
        active = self._role.reading(now)
        announced = (active, self.succeeds(now))
        changed = announced != self._last_announced
        self._last_announced = announced
        if not active or (now < self._announce_at and not changed):
            return []
        self._announce_at = now + defaults.READER_HEARTBEAT_PERIOD_S
        return [item for item in self._relay.candidates if item != self._own]

    def _repair_targets(self, now: float) -> list[str]:
        """Return the peers with which to compare versions now."""
        if now < self._repair_at:
            return []
        jitter = self._random.uniform(0.8, 1.2)
        self._repair_at = now + defaults.REPAIR_PERIOD_S * jitter
        neighbours = self._relay.neighbours(self._usable)
        peers = self._random.sample(neighbours, min(1, len(neighbours)))
        if self._own in self._relay.candidates and self._relay.remote_hosts:
            place = self._random.choice(sorted(self._relay.remote_hosts))
            peers.append(self._random.choice(self._relay.remote_hosts[place]))
        return peers

    def _age_query_target(self, now: float) -> str:
        """Return the peer to query for its host list's age, empty for none."""
        if now < self._age_query_at:
            return ""
        jitter = self._random.uniform(0.8, 1.0)
        self._age_query_at = now + defaults.LIST_AGE_QUERY_PERIOD_S * jitter
        peer = self._relay.age_query_target()
        if peer and self._usable(peer) and not self._pending_queries:
            return peer
        candidates = set(self._relay.candidates) - {self._own}
        return self._random.choice(sorted(candidates)) if candidates else ""


def _milliseconds(age_s: float | None) -> int:
    """Return an age in milliseconds, rounded up, -1 if it is unknown."""
    if age_s is None or math.isinf(age_s):
        return -1
    return int(age_s * 1000) + 1
