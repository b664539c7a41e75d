"""The local replica of a publication and the transfer of its deltas."""

import typing as t

from .. import defaults
from ..peer import dissemination_messages
from ..world import publication

CONFIGURATION = "configuration"
HOSTS = "hosts"


class Acceptor(t.Protocol):
    """Checks and activates publications on this node."""

    def check(self, offered: publication.Publication) -> bool:
        """Return whether the publication is valid; report any faults."""

    def activate(self, name: str, now: float) -> None:
        """Activate the publication that was last found valid."""


class Replica:
    """The newest valid version of one publication.

    The version never decreases. The number of an invalid version is kept, so
    that it is neither requested again nor forwarded.

    :param name: name of the publication.
    :param acceptor: checks and activates versions.
    """

    def __init__(self, name: str, acceptor: Acceptor) -> None:
        self._publication = publication.empty(name)
        self._acceptor = acceptor
        self._active_version = 0
        self._rejected = 0
        self._announced = 0
        self._source = ""
        self._pulled_at = float("-inf")
        self._announced_at = float("-inf")
        self._assembly: _Assembly | None = None
        self._parts_key = (-1, -1)
        self._delta_parts: list[dissemination_messages.Delta] = []

    @property
    def name(self) -> str:
        """Name of the publication."""
        return self._publication.name

    @property
    def version(self) -> int:
        """The newest valid version that this node holds."""
        return self._publication.version

    @property
    def active_version(self) -> int:
        """The active version on this node."""
        return self._active_version

    @property
    def lagging(self) -> bool:
        """Whether a newer version than the active one is known."""
        return self._announced > max(self._active_version, self._rejected)

    def apply_snapshot(
        self, version: int, bodies: t.Mapping[str, bytes]
    ) -> bool:
        """Process a version read from the platform; return if it is new."""
        if version <= max(self.version, self._rejected):
            return False
        return self._accept(self._publication.replace(version, bodies))

    def apply(
        self, sender: str, message: dissemination_messages.Delta, now: float
    ) -> bool:
        """Process a part of a delta; return whether it completed a version."""
        if message.version <= max(self.version, self._rejected):
            return False
        if not 0 <= message.part < message.parts <= defaults.DELTA_PARTS_MAX:
            return False
        if self._assembly is None or not self._assembly.matches(
            sender, message
        ):
            self._assembly = _Assembly(sender, message)
        self._pulled_at = now
        delta = self._assembly.add(message)
        if delta is None:
            return False
        self._assembly = None
        offered = self._publication.apply(delta)
        return offered is not None and self._accept(offered)

    def since(
        self, after: int, part: int = 0
    ) -> list[dissemination_messages.Delta]:
        """Return the messages with the changes since a version.

        :param after: the version that the receiver holds.
        :param part: index of the first part wanted. The parts that one pull
            may transfer are returned.
        """
        key = (after, self.version)
        if self._parts_key != key:
            self._parts_key = key
            self._delta_parts = to_messages(
                self.name, self._publication.since(after)
            )
        return self._delta_parts[part : part + defaults.DELTA_PARTS_PER_PULL]

    def next_pull(self, part: int) -> dissemination_messages.Pull | None:
        """Return the request for the next parts, ``None`` if not due.

        :param part: index of the part that was just received.
        """
        assembly = self._assembly
        if assembly is None or (part + 1) % defaults.DELTA_PARTS_PER_PULL:
            return None
        return self.pull()

    def pull(self) -> dissemination_messages.Pull:
        """Return the request for the missing changes."""
        assembly = self._assembly
        part = assembly.missing if assembly is not None else 0
        return dissemination_messages.Pull(self.name, self.version, part)

    def activate(self, now: float) -> None:
        """Activate the version that this node holds."""
        if self.version > self._active_version:
            self._active_version = self.version
            self._acceptor.activate(self.name, now)

    def record_announcement(
        self, sender: str, version: int, now: float
    ) -> bool:
        """Record a version that a peer holds; return whether to pull it."""
        if version <= max(self.version, self._rejected):
            return False
        newer = version > self._announced
        self._announced = max(self._announced, version)
        self._announced_at = now
        self._source = sender
        if not newer and now - self._pulled_at < defaults.PULL_RETRY_S:
            return False
        self._pulled_at = now
        return True

    def overdue_source(self, now: float) -> str:
        """Return the peer to pull from again, empty if no pull is overdue."""
        if self._announced <= max(self.version, self._rejected):
            return ""
        if now - self._announced_at > defaults.ANNOUNCED_MAX_S:
            self._announced = 0
            return ""
        if now - self._pulled_at < defaults.PULL_RETRY_S:
            return ""
        self._pulled_at = now
        return self._source

    def _accept(self, offered: publication.Publication) -> bool:
        """Keep a publication if it is valid."""
        if not self._acceptor.check(offered):
            self._rejected = max(self._rejected, offered.version)
            return False
        self._publication = offered
        return True


def to_messages(
    name: str, delta: publication.Delta
) -> list[dissemination_messages.Delta]:
    """Return the messages that carry a delta, one for each part."""
    packed = dissemination_messages.pack(delta.sections)
    size = defaults.DELTA_PART_BYTES
    parts = [packed[at : at + size] for at in range(0, len(packed), size)]
    return [
        dissemination_messages.Delta(
            name=name,
            after=delta.after,
            version=delta.version,
            part=part,
            parts=len(parts),
            sections=sections,
            removed=tuple(delta.removed.items()),
        )
        for part, sections in enumerate(parts)
    ]


class _Assembly:
    """Reassembles a delta from the parts that one sender transmits.

    :param sender: host that sends the parts.
    :param any_part: any of the parts.
    """

    def __init__(
        self, sender: str, any_part: dissemination_messages.Delta
    ) -> None:
        self._key = _key(sender, any_part)
        self._parts: dict[int, bytes] = {}

    @property
    def missing(self) -> int:
        """Index of the first missing part, rounded down to a pull boundary."""
        size = defaults.DELTA_PARTS_PER_PULL
        first_missing = next(
            part
            for part in range(len(self._parts) + 1)
            if part not in self._parts
        )
        return first_missing // size * size

    def matches(
        self, sender: str, message: dissemination_messages.Delta
    ) -> bool:
        """Return whether a message is a part of this delta."""
        return self._key == _key(sender, message)

    def add(
        self, message: dissemination_messages.Delta
    ) -> publication.Delta | None:
        """Add a part; return the delta if it is complete and well-formed."""
        self._parts[message.part] = message.sections
        if len(self._parts) < message.parts:
            return None
        packed = b"".join(self._parts[at] for at in sorted(self._parts))
        try:
            return publication.Delta(
                after=message.after,
                version=message.version,
                sections=dissemination_messages.unpack(packed),
                removed=dict(message.removed),
            )
        except (ValueError, TypeError):
            return None


def _key(
    sender: str, message: dissemination_messages.Delta
) -> tuple[str, int, int, int]:
    """Return the fields that all parts of one delta have in common."""
    return sender, message.after, message.version, message.parts
