"""What a node holds of one publication, and what it still misses."""

import typing as t

from .. import defaults
from ..peer import spread
from ..world import publication

CONFIGURATION = "configuration"
HOSTS = "hosts"


class Acceptor(t.Protocol):
    """Checks publications and puts them in force on this node."""

    def check(self, offered: publication.Publication) -> bool:
        """Return whether it is without fault; report every fault if not."""

    def enforce(self, name: str, now: float) -> None:
        """Put the publication that was last found good in force."""


class Shelf:
    """The newest good version of one publication.

    Versions only rise. A faulty version is remembered by its number, so
    that it is neither asked for again nor passed on.

    :param name: the publication.
    :param acceptor: checks versions and puts them in force.
    """

    def __init__(self, name: str, acceptor: Acceptor) -> None:
        self._held = publication.empty(name)
        self._acceptor = acceptor
        self._enforced = 0
        self._refused = 0
        self._known = 0
        self._source = ""
        self._asked = float("-inf")
        self._known_at = float("-inf")
        self._assembly: _Assembly | None = None
        self._cut_for = (-1, -1)
        self._cut: list[spread.Delta] = []

    @property
    def name(self) -> str:
        """The publication's name."""
        return self._held.name

    @property
    def version(self) -> int:
        """The newest good version that is held."""
        return self._held.version

    @property
    def enforced(self) -> int:
        """The version that this node has put in force."""
        return self._enforced

    @property
    def lagging(self) -> bool:
        """Whether a version is known of that is not in force."""
        return self._known > max(self._enforced, self._refused)

    def read_whole(self, version: int, bodies: t.Mapping[str, bytes]) -> bool:
        """Take in a version read from the platform; return if it is new."""
        if version <= max(self.version, self._refused):
            return False
        return self._take(self._held.replace(version, bodies))

    def apply(self, sender: str, message: spread.Delta, now: float) -> bool:
        """Take in a part of a delta; return whether it brought news."""
        if message.version <= max(self.version, self._refused):
            return False
        if not 0 <= message.part < message.parts <= defaults.DELTA_PARTS_MAX:
            return False
        if self._assembly is None or not self._assembly.fits(sender, message):
            self._assembly = _Assembly(sender, message)
        self._asked = now
        delta = self._assembly.add(message)
        if delta is None:
            return False
        self._assembly = None
        offered = self._held.apply(delta)
        return offered is not None and self._take(offered)

    def since(self, after: int, part: int = 0) -> list[spread.Delta]:
        """Return messages that carry what changed after a version.

        :param part: the first of the parts that are wanted; as many follow
            as one pull may bring.
        """
        key = (after, self.version)
        if self._cut_for != key:
            self._cut_for = key
            self._cut = to_messages(self.name, self._held.since(after))
        return self._cut[part : part + defaults.DELTA_PARTS_PER_PULL]

    def next_pull(self, part: int) -> spread.Pull | None:
        """Return the question that follows a part, if there is one.

        :param part: the part that has just arrived.
        """
        assembly = self._assembly
        if assembly is None or (part + 1) % defaults.DELTA_PARTS_PER_PULL:
            return None
        return self.pull()

    def pull(self) -> spread.Pull:
        """Return the question for what this node misses."""
        assembly = self._assembly
        part = assembly.missing if assembly is not None else 0
        return spread.Pull(self.name, self.version, part)

    def enforce(self, now: float) -> None:
        """Put what is held in force."""
        if self.version > self._enforced:
            self._enforced = self.version
            self._acceptor.enforce(self.name, now)

    def announced(self, sender: str, version: int, now: float) -> bool:
        """Note a version that a peer holds; return whether to pull it."""
        if version <= max(self.version, self._refused):
            return False
        fresh = version > self._known
        self._known = max(self._known, version)
        self._known_at = now
        self._source = sender
        if not fresh and now - self._asked < defaults.PULL_RETRY_S:
            return False
        self._asked = now
        return True

    def overdue(self, now: float) -> str:
        """Return whom to pull from again, empty if nothing is overdue."""
        if self._known <= max(self.version, self._refused):
            return ""
        if now - self._known_at > defaults.ANNOUNCED_MAX_S:
            self._known = 0
            return ""
        if now - self._asked < defaults.PULL_RETRY_S:
            return ""
        self._asked = now
        return self._source

    def _take(self, offered: publication.Publication) -> bool:
        if not self._acceptor.check(offered):
            self._refused = max(self._refused, offered.version)
            return False
        self._held = offered
        return True


def to_messages(name: str, delta: publication.Delta) -> list[spread.Delta]:
    """Return the messages that carry a delta."""
    packed = spread.pack(delta.sections)
    size = defaults.DELTA_PART_BYTES
    cut = [packed[at : at + size] for at in range(0, len(packed), size)]
    return [
        spread.Delta(
            name=name,
            after=delta.after,
            version=delta.version,
            part=part,
            parts=len(cut),
            sections=sections,
            removed=tuple(delta.removed.items()),
        )
        for part, sections in enumerate(cut)
    ]


class _Assembly:
    """The parts of one delta as they arrive from one sender.

    :param sender: who sends it.
    :param first: any of its parts.
    """

    def __init__(self, sender: str, first: spread.Delta) -> None:
        self._key = _key(sender, first)
        self._parts: dict[int, bytes] = {}

    @property
    def missing(self) -> int:
        """The first part that has not arrived, cut to whole pulls."""
        size = defaults.DELTA_PARTS_PER_PULL
        first = next(
            part
            for part in range(len(self._parts) + 1)
            if part not in self._parts
        )
        return first // size * size

    def fits(self, sender: str, message: spread.Delta) -> bool:
        """Return whether a message is one of its parts."""
        return self._key == _key(sender, message)

    def add(self, message: spread.Delta) -> publication.Delta | None:
        """Add a part; return the delta when it is whole and well formed."""
        self._parts[message.part] = message.sections
        if len(self._parts) < message.parts:
            return None
        packed = b"".join(self._parts[at] for at in sorted(self._parts))
        try:
            return publication.Delta(
                after=message.after,
                version=message.version,
                sections=spread.unpack(packed),
                removed=dict(message.removed),
            )
        except (ValueError, TypeError):
            return None


def _key(sender: str, message: spread.Delta) -> tuple[str, int, int, int]:
    return sender, message.after, message.version, message.parts
