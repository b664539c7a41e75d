"""Messages that spread publications and notes on hosts between nodes."""

import dataclasses
import typing as t
import zlib

import msgpack

from ..world import publication
from . import messages

SECTIONS_MAX_BYTES = 64 << 20

Versions = tuple[tuple[str, int], ...]


@messages.message(20)
@dataclasses.dataclass(frozen=True, slots=True)
class Notice(messages.Message):
    """Announces a newer version of a publication to the next level.

    :param root: the reader whose tree carries it, empty outside a tree.
    :param name: the publication.
    :param version: its version, which the sender can deliver.
    """

    root: str
    name: str
    version: int


@messages.message(21)
@dataclasses.dataclass(frozen=True, slots=True)
class Pull(messages.Message):
    """Asks for the sections that changed.

    :param name: the publication.
    :param after: the version that the sender holds, 0 for none.
    :param part: the first part of the delta that is wanted.
    """

    name: str
    after: int
    part: int = 0


@messages.message(22)
@dataclasses.dataclass(frozen=True, slots=True)
class Delta(messages.Message):
    """Carries what changed in a publication between two versions.

    :param name: the publication.
    :param after: the older version.
    :param version: the newer version.
    :param part: number of this part, from 0.
    :param parts: number of messages that carry the delta.
    :param sections: this part of the sections that changed, see
        :func:`pack`.
    :param removed: name and version of removal of each removed section.
    """

    name: str
    after: int
    version: int
    part: int
    parts: int
    sections: bytes
    removed: Versions


@messages.message(23)
@dataclasses.dataclass(frozen=True, slots=True)
class Summary(messages.Message):
    """Says which versions the sender holds.

    :param nonce: repeated in the reply, 0 if no reply is wanted.
    :param reply: whether this is the reply.
    :param reader_age_ms: time since any reader that the sender knows of was
        active, -1 if it knows of none.
    :param versions: each publication's version, 0 left out.
    """

    nonce: int
    reply: bool
    reader_age_ms: int
    versions: Versions


@messages.message(24)
@dataclasses.dataclass(frozen=True, slots=True)
class Reading(messages.Message):
    """Tells the other candidates that the sender acts as a reader.

    :param succeeds: whether its last read of the platform succeeded.
    :param version: the configuration that it holds.
    """

    succeeds: bool
    version: int


@messages.message(25)
@dataclasses.dataclass(frozen=True, slots=True)
class AgeQuestion(messages.Message):
    """Asks how old the receiver's host list is.

    :param nonce: repeated in the answer.
    :param version: the host list that the sender holds.
    """

    nonce: int
    version: int


@messages.message(26)
@dataclasses.dataclass(frozen=True, slots=True)
class ListAge(messages.Message):
    """Answers :class:`AgeQuestion`.

    :param nonce: repeats the question's.
    :param version: the host list that the sender holds.
    :param age_ms: time since it was confirmed to be the newest, -1 if it
        never was.
    """

    nonce: int
    version: int
    age_ms: int


@messages.message(30)
@dataclasses.dataclass(frozen=True, slots=True)
class HostNote(messages.Message):
    """Says that a host is leaving, or that it has started anew.

    :param root: the host whose tree carries it, empty outside a tree.
    :param host_id: the host.
    :param incarnation: its node's incarnation; a greater one overrides.
    :param leaving: whether it takes no new work.
    """

    root: str
    host_id: str
    incarnation: int
    leaving: bool


@messages.message(31)
@dataclasses.dataclass(frozen=True, slots=True)
class HostNotes(messages.Message):
    """Repeats recent notes to a random peer.

    :param notes: host, incarnation and whether it is leaving.
    """

    notes: tuple[tuple[str, int, bool], ...]


def pack(sections: t.Iterable[publication.Section]) -> bytes:
    """Return the compressed form of sections."""
    listed = [
        (item.name, item.version, item.digest, item.body) for item in sections
    ]
    return zlib.compress(msgpack.packb(listed), 1)


def unpack(packed: bytes) -> tuple[publication.Section, ...]:
    """Return the sections of a compressed form.

    :raises ValueError: if it is malformed or too long.
    """
    reader = zlib.decompressobj()
    try:
        text = reader.decompress(packed, SECTIONS_MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"sections: {error}") from error
    if not reader.eof:
        raise ValueError("sections are cut off or too long")
    listed = msgpack.unpackb(text, use_list=False)
    return tuple(_section(item) for item in listed)


def _section(item: t.Any) -> publication.Section:
    name, version, digest, body = item
    if type(name) is not str or type(body) is not bytes:
        raise ValueError("malformed section")
    if type(version) is not int or type(digest) is not int:
        raise ValueError("malformed section")
    return publication.Section(name, version, digest, body)
