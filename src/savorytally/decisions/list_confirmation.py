"""Queries peers for the version of the host list that they hold.

A few hosts of a group confirm the host list for each shard. An owner that
cannot read the platform continues only while most of them hold no newer list.
A new owner starts its wait when most of them have received the list that names
it.
"""

import collections
import dataclasses
import random
import typing as t

from ..peer import host_list_messages
from ..peer import messages
from . import participant

QUERY_PERIOD_S = 0.5
REPLY_TIMEOUT_S = 3.0
LISTS_MAX = 256
REPORTS_MAX = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class ListReply:
    """A peer's last reply.

    :param at: when the query was sent, on this node's clock.
    :param list_version: version of the host list that the peer held.
    """

    at: float
    list_version: int


@dataclasses.dataclass(slots=True)
class _Query:
    """The latest query to a peer."""

    nonce: int
    version: int
    sent_at: float


class ListConfirmations:
    """Host list versions that peers report and that this node reports.

    :param source: seeded random source for nonces.
    """

    handles: tuple[type[messages.Message], ...] = (
        host_list_messages.HostListQuery,
        host_list_messages.HostListReply,
    )

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._received_lists: collections.deque[tuple[int, float]]
        self._received_lists = collections.deque(maxlen=LISTS_MAX)
        self._queries: dict[str, _Query] = {}
        self._replies: dict[str, ListReply] = {}
        self._known_times: collections.OrderedDict[tuple[str, int], float]
        self._known_times = collections.OrderedDict()
        self._outbox: list[participant.Outgoing] = []

    def learn(self, version: int, now: float) -> None:
        """Record that this node received a newer host list."""
        self._received_lists.append((version, now))

    def last_reply(self, host_id: str) -> ListReply | None:
        """Return the last reply of a peer."""
        return self._replies.get(host_id)

    def known_since(self, host_id: str, version: int) -> float | None:
        """Return since when a peer has held this version or a newer one."""
        return self._known_times.get((host_id, version))

    def query(
        self, host_ids: t.Iterable[str], version: int, now: float
    ) -> None:
        """Queue queries to peers that were not queried recently.

        :param host_ids: the peers.
        :param version: version of the host list to confirm.
        """
        for host_id in host_ids:
            last = self._queries.get(host_id)
            if last is not None and now - last.sent_at < QUERY_PERIOD_S:
                continue
            nonce = self._random.getrandbits(32)
            self._queries[host_id] = _Query(nonce, version, now)
            query = host_list_messages.HostListQuery(nonce, version)
            self._outbox.append(participant.Outgoing(host_id, query))

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[participant.Outgoing]:
        """Reply to a query or process a reply."""
        if isinstance(message, host_list_messages.HostListQuery):
            return [participant.Outgoing(sender, self._reply(message, now))]
        if isinstance(message, host_list_messages.HostListReply):
            self._handle_reply(sender, message, now)
        return []

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Return the queued queries."""
        outgoing, self._outbox = self._outbox, []
        return outgoing

    def _reply(
        self, query: host_list_messages.HostListQuery, now: float
    ) -> host_list_messages.HostListReply:
        """Return the reply to a query."""
        held_ms = -1
        for version, since in self._received_lists:
            if version >= query.version:
                held_ms = int((now - since) * 1000)
                break
        newest = self._received_lists[-1][0] if self._received_lists else 0
        return host_list_messages.HostListReply(query.nonce, newest, held_ms)

    def _handle_reply(
        self, sender: str, reply: host_list_messages.HostListReply, now: float
    ) -> None:
        """Store a peer's reply."""
        query = self._queries.get(sender)
        if query is None or query.nonce != reply.nonce:
            return
        if now - query.sent_at > REPLY_TIMEOUT_S:
            return
        at = query.sent_at
        self._replies[sender] = ListReply(at, reply.list_version)
        if reply.held_ms < 0:
            return
        key = (sender, query.version)
        self._known_times.setdefault(key, now - reply.held_ms / 1000)
        while len(self._known_times) > REPORTS_MAX:
            self._known_times.popitem(last=False)
