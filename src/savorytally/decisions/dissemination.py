"""Distributes publications from a few readers to every node.

A publication is a versioned document: the configuration or the host list. A
reader that finds a newer version on the platform sends a notice down its relay
tree. Each receiver pulls the changes from the notice's sender, activates them
and forwards the notice. Summaries exchanged with random peers repair lost
messages and carry versions between data centres.
"""

import random
import typing as t

from .. import defaults
from ..peer import dissemination_messages
from ..peer import messages
from . import heartbeats
from . import list_age
from . import participant
from . import pause_detection
from . import relay_tree
from . import replica
from . import startup_sync
from . import version_hold

CONFIGURATION = replica.CONFIGURATION
HOSTS = replica.HOSTS

Outgoing = participant.Outgoing


class Dissemination:
    """Keeps the newest publications and exchanges them with peers.

    :param host_id: this node's host.
    :param tree: ranks and relay trees of the data centre, shared.
    :param source: seeded random source.
    :param acceptor: checks and activates publications.
    :param usable: returns whether a host is usable.
    :param age: receives confirmations that the host list is current.
    """

    handles: tuple[type[messages.Message], ...] = (
        dissemination_messages.Notice,
        dissemination_messages.Pull,
        dissemination_messages.Delta,
        dissemination_messages.VersionSummary,
        dissemination_messages.ReaderHeartbeat,
        dissemination_messages.ListAgeQuery,
        dissemination_messages.ListAgeReply,
    )

    def __init__(
        self,
        host_id: str,
        tree: relay_tree.RelayTree,
        source: random.Random,
        acceptor: replica.Acceptor,
        usable: t.Callable[[str], bool],
        age: list_age.ListAge,
    ) -> None:
        self._own = host_id
        self._relay = tree
        self._random = source
        self._usable = usable
        self._list_age = age
        self._summaries = heartbeats.Heartbeats(
            host_id, tree, source, usable, age
        )
        self._startup = startup_sync.StartupSync(source)
        self._delayed: dict[str, version_hold.VersionHold] = {}
        self._notified_versions: dict[tuple[str, str], int] = {}
        self._awaited_roots: dict[str, set[str]] = {}
        self._platform_read_at = float("-inf")
        self.pause_detector = pause_detection.PauseDetector(source)
        self.replicas = {
            name: replica.Replica(name, acceptor)
            for name in (CONFIGURATION, HOSTS)
        }

    @property
    def starting(self) -> bool:
        """Whether the startup phase is still in progress."""
        return self._startup.active

    @property
    def versions(self) -> dict[str, int]:
        """Version of each publication that this node holds, by name."""
        return {
            name: item.version
            for name, item in self.replicas.items()
            if item.version
        }

    @property
    def lagging(self) -> bool:
        """Whether a newer configuration than the active one is known."""
        return self.replicas[CONFIGURATION].lagging

    def reading(self, name: str, now: float) -> bool:
        """Return whether this node must read a publication's value."""
        if not self.replicas[name].version and name == HOSTS:
            return True
        if not self.replicas[name].version and self._startup.no_peer_replied(
            now
        ):
            return True
        return self._summaries.reading(now)

    def published(
        self,
        name: str,
        version: int,
        bodies: t.Mapping[str, bytes],
        now: float,
    ) -> list[Outgoing]:
        """Process a publication that this node read from the platform.

        :param bodies: encoded sections by name.
        """
        if name == CONFIGURATION and self._startup.active:
            self._startup.keep_copy(version, bodies)
            return []
        item = self.replicas[name]
        if not item.apply_snapshot(version, bodies):
            return []
        if name == HOSTS and self._startup.active:
            item.activate(now)
            return []
        children = self._children(self._own)
        self._delayed[name] = version_hold.VersionHold(
            version, len(children), now
        )
        self._activate_if_due(name, now)
        return self._notices(self._own, name)

    def platform_read(self, name: str, started_at: float, now: float) -> None:
        """Record that a read of the platform succeeded.

        Must be called after the publication that was read has been processed.

        :param started_at: when the read started.
        """
        self._summaries.record_platform_answer(name, now)
        if name == CONFIGURATION:
            self._platform_read_at = started_at
            self._confirm_by_platform()

    def list_confirmed(self, version: int, started_at: float) -> None:
        """Confirm the host list if the platform holds the same version.

        :param version: version of the platform's host list.
        :param started_at: when its read started.
        """
        if version == self.replicas[HOSTS].version:
            self._list_age.confirm(started_at)

    def platform_failed(self, name: str) -> None:
        """Record that a read of a value failed."""
        self._summaries.record_platform_failure(name)

    def answer_age_s(self, now: float) -> float:
        """Return the time since the platform answered, in seconds.

        It is that of the value whose last successful read is the oldest,
        infinite before the first.
        """
        return self._summaries.answer_age_s(now)

    def newer_version_seen(
        self, sender: str, version: int, now: float
    ) -> list[Outgoing]:
        """Pull a configuration whose newer version a peer's frame showed."""
        return self._pull_if_newer(sender, CONFIGURATION, version, now)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[Outgoing]:
        """Process one message and return the messages to send."""
        if isinstance(message, dissemination_messages.Notice):
            return self._handle_notice(sender, message, now)
        if isinstance(message, dissemination_messages.Pull):
            return self._handle_pull(sender, message)
        if isinstance(message, dissemination_messages.Delta):
            return self._handle_delta(sender, message, now)
        if isinstance(message, dissemination_messages.VersionSummary):
            return self._handle_summary(sender, message, now)
        if isinstance(message, dissemination_messages.ReaderHeartbeat):
            self._summaries.handle_reading(sender, message, now)
            return self._pull_if_newer(
                sender, CONFIGURATION, message.version, now
            )
        if isinstance(message, dissemination_messages.ListAgeQuery):
            return self._handle_age_query(sender, message, now)
        if isinstance(message, dissemination_messages.ListAgeReply):
            return self._handle_list_age(sender, message, now)
        return []

    def tick(self, now: float) -> list[Outgoing]:
        """Run the tasks that are due and return the messages to send."""
        self.pause_detector.tick(now)
        outgoing = self._query_after_pause(now)
        outgoing += self._run_startup(now)
        outgoing += self._summaries.due(self.versions, now)
        for name, item in self.replicas.items():
            source = item.overdue_source(now)
            if source:
                outgoing.append(Outgoing(source, item.pull()))
            outgoing += self._retry_delayed(name, now)
        return outgoing

    def _handle_notice(
        self, sender: str, notice: dissemination_messages.Notice, now: float
    ) -> list[Outgoing]:
        """Pull a newer version, or forward the notice of the version held."""
        item = self.replicas.get(notice.name)
        if item is None:
            return []
        if notice.version > item.version:
            self._awaited_roots.setdefault(notice.name, set()).add(notice.root)
            return self._pull_if_newer(
                sender, notice.name, notice.version, now
            )
        outgoing = []
        if sender == notice.root:
            outgoing.append(Outgoing(sender, self._summary(0, True, now)))
        if notice.root and item.version == notice.version:
            outgoing += self._notices(notice.root, notice.name)
        return outgoing

    def _handle_pull(
        self, sender: str, pull: dissemination_messages.Pull
    ) -> list[Outgoing]:
        """Send the parts of a delta that a peer pulls."""
        item = self.replicas.get(pull.name)
        if item is None or item.version <= pull.after:
            return []
        deltas = item.since(max(pull.after, 0), max(pull.part, 0))
        return [Outgoing(sender, delta) for delta in deltas]

    def _handle_delta(
        self, sender: str, delta: dissemination_messages.Delta, now: float
    ) -> list[Outgoing]:
        """Apply a part of a delta; forward notices once it is complete."""
        item = self.replicas.get(delta.name)
        if item is None:
            return []
        if not item.apply(sender, delta, now):
            next_pull = item.next_pull(delta.part)
            return [Outgoing(sender, next_pull)] if next_pull else []
        self._delayed.pop(delta.name, None)
        if delta.name == HOSTS or not self._startup.active:
            item.activate(now)
        self._versions_changed()
        roots = self._awaited_roots.pop(delta.name, set())
        outgoing = []
        if sender in roots:
            outgoing.append(Outgoing(sender, self._summary(0, True, now)))
        for root in sorted(roots - {""}):
            outgoing += self._notices(root, delta.name)
        if not roots - {""}:
            outgoing += self._notices_without_tree(delta.name)
        return outgoing

    def _notices_without_tree(self, name: str) -> list[Outgoing]:
        """Return notices of a version that arrived outside any relay tree."""
        if self._own in self._relay.candidates:
            return self._notices(self._own, name)
        notice = dissemination_messages.Notice(
            "", name, self.replicas[name].version
        )
        return [
            Outgoing(reader, notice)
            for reader in self._relay.readers
            if reader != self._own
        ]

    def _notices(self, root: str, name: str) -> list[Outgoing]:
        """Return notices to the children in a tree, once for each version."""
        version = self.replicas[name].version
        if self._notified_versions.get((root, name), 0) >= version:
            return []
        self._notified_versions[root, name] = version
        notice = dissemination_messages.Notice(root, name, version)
        return [Outgoing(child, notice) for child in self._children(root)]

    def _children(self, root: str) -> list[str]:
        return self._relay.children(root, self._usable)

    def _pull_if_newer(
        self, sender: str, name: str, version: int, now: float
    ) -> list[Outgoing]:
        """Return a pull request if the announced version is newer."""
        item = self.replicas[name]
        if not item.record_announcement(sender, version, now):
            return []
        return [
            Outgoing(sender, dissemination_messages.Pull(name, item.version))
        ]

    def _handle_summary(
        self,
        sender: str,
        summary: dissemination_messages.VersionSummary,
        now: float,
    ) -> list[Outgoing]:
        """Pull the peer's newer versions; announce this node's newer ones."""
        peer_versions = dict(summary.versions)
        self._summaries.handle_summary(summary, now)
        outgoing: list[Outgoing] = []
        for name, item in self.replicas.items():
            version = peer_versions.get(name, 0)
            outgoing += self._pull_if_newer(sender, name, version, now)
            if summary.reply:
                self._record_copy(sender, name, version, now)
            elif version < item.version:
                notice = dissemination_messages.Notice("", name, item.version)
                outgoing.append(Outgoing(sender, notice))
        if summary.reply:
            self._handle_version_reply(sender, summary)
        elif summary.nonce and self._may_reply(now):
            reply = self._summary(summary.nonce, True, now)
            outgoing.append(Outgoing(sender, reply))
        return outgoing

    def _handle_age_query(
        self,
        sender: str,
        query: dissemination_messages.ListAgeQuery,
        now: float,
    ) -> list[Outgoing]:
        """Reply to a query about the age of the host list."""
        own_list = self.replicas[HOSTS].version
        reply = self._summaries.reply_to_age_query(query, own_list, now)
        pull = self._pull_if_newer(sender, HOSTS, query.version, now)
        return [Outgoing(sender, reply), *pull]

    def _handle_list_age(
        self,
        sender: str,
        reply: dissemination_messages.ListAgeReply,
        now: float,
    ) -> list[Outgoing]:
        """Process a peer's reply about the age of its host list."""
        own_list = self.replicas[HOSTS].version
        self._summaries.handle_list_age(reply, own_list)
        return self._pull_if_newer(sender, HOSTS, reply.version, now)

    def _may_reply(self, now: float) -> bool:
        """Return whether this node may reply to version queries.

        A node that was paused may hold outdated versions.
        """
        return self.pause_detector.confirmed(now)

    def _handle_version_reply(
        self, sender: str, summary: dissemination_messages.VersionSummary
    ) -> None:
        """Process a reply to a version query."""
        self._startup.handle_reply(sender, summary)
        query = self.pause_detector.query
        if query is not None and query.nonce == summary.nonce:
            query.record_reply(sender, summary.versions)
            self.pause_detector.check_peer_replies(self._active_versions())

    def _summary(
        self, nonce: int, reply: bool, now: float
    ) -> dissemination_messages.VersionSummary:
        return self._summaries.make(nonce, reply, self.versions, now)

    def _query_after_pause(self, now: float) -> list[Outgoing]:
        """Query peers for their versions while the view is unconfirmed."""
        if self.pause_detector.confirmed(now):
            return []
        query = self.pause_detector.query
        assert query is not None
        self.pause_detector.check_peer_replies(self._active_versions())
        peers = [item for item in self._relay.readers if item != self._own]
        peers += self._relay.neighbours(self._usable)[: defaults.CONFIRM_PEERS]
        summary = self._summary(query.nonce, False, now)
        return [
            Outgoing(peer, summary) for peer in query.due_peers(peers, now)
        ]

    def _run_startup(self, now: float) -> list[Outgoing]:
        """Query peers during startup; activate held versions at its end."""
        if not self._startup.active or not self.replicas[HOSTS].version:
            return []
        peers = self._startup.query_targets(self._relay, self._own)
        due = self._startup.due_peers(peers, now)
        summary = self._summary(self._startup.nonce, False, now)
        outgoing = [Outgoing(peer, summary) for peer in due]
        if not self._startup.finish(self.versions, now):
            return outgoing
        for item in self.replicas.values():
            item.activate(now)
        self._versions_changed()
        copy = self._startup.copy
        if copy is not None:
            outgoing += self.published(
                CONFIGURATION, copy.version, copy.bodies, now
            )
        return outgoing

    def _versions_changed(self) -> None:
        """Update the dependent state after a version has changed."""
        self._relay.learn_version(self.replicas[CONFIGURATION].version)
        self.pause_detector.check_peer_replies(self._active_versions())
        self._confirm_by_platform()

    def _confirm_by_platform(self) -> None:
        """Confirm the view by the last read of the platform."""
        item = self.replicas[CONFIGURATION]
        if item.active_version == item.version:
            self.pause_detector.platform_read(self._platform_read_at)

    def _active_versions(self) -> dict[str, int]:
        """Return the active version of each publication."""
        return {
            name: item.active_version for name, item in self.replicas.items()
        }

    def _record_copy(
        self, sender: str, name: str, version: int, now: float
    ) -> None:
        """Record that another node holds a version that is delayed here."""
        delayed = self._delayed.get(name)
        if delayed is not None:
            delayed.acknowledge(sender, version)
            self._activate_if_due(name, now)

    def _retry_delayed(self, name: str, now: float) -> list[Outgoing]:
        """Activate a delayed version, or send its notice again."""
        delayed = self._delayed.get(name)
        if delayed is None:
            return []
        self._activate_if_due(name, now)
        if name not in self._delayed or not delayed.notice_due(now):
            return []
        notice = dissemination_messages.Notice(
            self._own, name, delayed.version
        )
        children = self._children(self._own)
        return [Outgoing(child, notice) for child in children]

    def _activate_if_due(self, name: str, now: float) -> None:
        """Activate a version if its delay is over."""
        if self._delayed[name].may_activate(now):
            del self._delayed[name]
            self.replicas[name].activate(now)
            self._versions_changed()
