"""Messages that disseminate publications and the states of hosts.

A publication is a version of the configuration or of the host list. Notices
travel down a tree of hosts; the receivers pull the changes from the sender.
Summaries and repeated updates between random peers repair lost messages.
"""

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
    """Announces a newer version of a publication down the tree.

    :param root: the reader at the root of the tree, empty if the notice
        was not sent along a tree.
    :param name: name of the publication.
    :param version: its version, which the sender holds.
    """

    root: str
    name: str
    version: int


@messages.message(21)
@dataclasses.dataclass(frozen=True, slots=True)
class Pull(messages.Message):
    """Requests the changed sections of a publication.

    :param name: name of the publication.
    :param after: the version that the sender holds, 0 if none.
    :param part: number of the first requested part of the delta, from 0.
    """

    name: str
    after: int
    part: int = 0


@messages.message(22)
@dataclasses.dataclass(frozen=True, slots=True)
class Delta(messages.Message):
    """One part of the difference between two versions of a publication.

    :param name: name of the publication.
    :param after: the older version.
    :param version: the newer version.
    :param part: number of this part, from 0.
    :param parts: number of parts of the delta.
    :param sections: this part's changed sections, encoded by :func:`pack`.
    :param removed: name of each removed section and the version that
        removed it.
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
class VersionSummary(messages.Message):
    """Lists the versions of publications that the sender holds.

    :param nonce: number that the reply repeats, 0 if no reply is requested.
    :param reply: whether this is the reply.
    :param reader_age_ms: time since the sender last learned that a reader
        was active, -1 if it never has.
    :param versions: name and version of each publication that it holds.
    """

    nonce: int
    reply: bool
    reader_age_ms: int
    versions: Versions


@messages.message(24)
@dataclasses.dataclass(frozen=True, slots=True)
class ReaderHeartbeat(messages.Message):
    """Informs the other candidates that the sender acts as a reader.

    :param succeeds: whether its last read of the platform succeeded.
    :param version: version of the configuration that it holds.
    """

    succeeds: bool
    version: int


@messages.message(25)
@dataclasses.dataclass(frozen=True, slots=True)
class ListAgeQuery(messages.Message):
    """Queries the age of the receiver's host list.

    :param nonce: number that the answer repeats.
    :param version: version of the host list that the sender holds.
    """

    nonce: int
    version: int


@messages.message(26)
@dataclasses.dataclass(frozen=True, slots=True)
class ListAgeReply(messages.Message):
    """Answers :class:`ListAgeQuery`.

    :param nonce: the query's nonce.
    :param version: version of the host list that the sender holds.
    :param age_ms: time since that version was last confirmed to be the
        newest, -1 if it never was.
    """

    nonce: int
    version: int
    age_ms: int


@messages.message(30)
@dataclasses.dataclass(frozen=True, slots=True)
class HostUpdate(messages.Message):
    """Announces that a host is leaving or that its node has restarted.

    :param root: the host at the root of the tree that the update is sent
        along, empty outside a tree.
    :param host_id: the host.
    :param incarnation: incarnation of its node; an update with a greater
        one overrides those with smaller ones.
    :param leaving: whether the host accepts no new work.
    """

    root: str
    host_id: str
    incarnation: int
    leaving: bool


@messages.message(31)
@dataclasses.dataclass(frozen=True, slots=True)
class HostUpdates(messages.Message):
    """Repeats recent host updates to a random peer.

    :param updates: identifier, incarnation and leaving state of each host.
    """

    updates: tuple[tuple[str, int, bool], ...]


def pack(sections: t.Iterable[publication.Section]) -> bytes:
    """Encode and compress sections of a publication."""
    entries = [
        (item.name, item.version, item.digest, item.body) for item in sections
    ]
    return zlib.compress(msgpack.packb(entries), 1)


def unpack(packed: bytes) -> tuple[publication.Section, ...]:
    """Decompress and decode sections encoded by :func:`pack`.

    :raises ValueError: if the input is malformed or decompresses to more
        than ``SECTIONS_MAX_BYTES``.
    """
    reader = zlib.decompressobj()
    try:
        unpacked = reader.decompress(packed, SECTIONS_MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"sections: {error}") from error
    if not reader.eof:
        raise ValueError("sections are cut off or too long")
    entries = msgpack.unpackb(unpacked, use_list=False)
    return tuple(_section(item) for item in entries)


def _section(item: t.Any) -> publication.Section:
    name, version, digest, body = item
    if type(name) is not str or type(body) is not bytes:
        raise ValueError("malformed section")
    if type(version) is not int or type(digest) is not int:
        raise ValueError("malformed section")
    return publication.Section(name, version, digest, body)
