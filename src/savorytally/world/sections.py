"""Splits a configuration document into values that the platform can store.

A platform value holds at most a megabyte. A larger document is published as
a *head* and *sections*. The members of organisations, services and routes
are distributed over sections by a stable hash. The head lists each section's
version and digest and holds all other fields, so that a change affects one
section and the head. Sections are published before the head that lists them.
"""

import collections
import dataclasses
import json
import typing as t

import xxhash

from .. import fields

SECTION_TARGET_BYTES = 256 << 10
SECTION_COUNT_MAX = 4096
DIGEST_LENGTH = 32

HEAD = "configuration"

_KINDS = ("organisations", "routes", "services")
_COUNTS = "section_counts"
_SECTIONS = "sections"

_RESERVED = frozenset({"version", _COUNTS, _SECTIONS})

Json = t.Any


@dataclasses.dataclass(frozen=True, slots=True)
class SectionReference:
    """A head's reference to a section.

    :param name: the divided field and the section's number, such as
        ``routes/0``.
    :param version: version of the document that last changed the section.
    :param digest: hexadecimal digest of the section's body.
    """

    name: str
    version: int
    digest: str

    @property
    def value_name(self) -> str:
        """Name of the platform's value that holds the section."""
        return f"{HEAD}/{self.name}"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The value of a divided document that lists its sections.

    :param version: version of the document.
    :param counts: number of sections of each divided field.
    :param sections: references to the sections by name; a section without
        members is not published.
    :param rest: the document's other fields.
    """

    version: int
    counts: t.Mapping[str, int]
    sections: t.Mapping[str, SectionReference]
    rest: t.Mapping[str, Json]


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """A document divided into a head and sections.

    :param head: the head.
    :param bodies: JSON text of each section by name.
    """

    head: Head
    bodies: t.Mapping[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """A document published as one value.

    :param value: the parsed document.
    """

    value: Json


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """An invalid head or section.

    :param faults: every fault in it.
    """

    faults: tuple[fields.Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Sections that are absent or whose digest differs from the head's.

    :param sections: references to the sections to read before assembly.
    """

    sections: tuple[SectionReference, ...]


def encode(value: Json) -> bytes:
    """Return the canonical JSON text of a value, over which digests run."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return text.encode("ascii")


def digest_of(body: bytes) -> str:
    """Return the digest of a section's body."""
    return xxhash.xxh3_128_hexdigest(body)


def split(
    document: t.Mapping[str, Json], previous: Head | None = None
) -> Split:
    """Divide a valid document into a head and sections.

    :param document: the parsed document.
    :param previous: head of the previous version. Its section counts are
        kept as far as sizes allow, and unchanged sections keep their
        version.
    """
    rest = {key: document[key] for key in document if key not in _KINDS}
    counts: dict[str, int] = {}
    bodies: dict[str, bytes] = {}
    for kind in _KINDS:
        if kind not in document:
            continue
        count = previous.counts.get(kind, 1) if previous else 1
        divided = _divide(kind, document[kind], count)
        counts[kind] = divided.count
        bodies |= divided.bodies
    version = rest.pop("version")
    sections = {
        name: _reference(name, body, version, previous)
        for name, body in sorted(bodies.items())
    }
    return Split(Head(version, counts, sections, rest), bodies)


def write_head(head: Head) -> bytes:
    """Return a head as JSON text."""
    listed = {
        item.name: {"version": item.version, "digest": item.digest}
        for item in head.sections.values()
    }
    value = {
        **head.rest,
        "version": head.version,
        _COUNTS: dict(head.counts),
        _SECTIONS: listed,
    }
    return encode(value)


def read_head(value: Json) -> Head | Whole | Refused:
    """Convert a parsed value into a head, or into a whole document.

    :param value: a parsed JSON value; without a list of sections it is a
        whole document.
    """
    if not isinstance(value, dict) or _SECTIONS not in value:
        return Whole(value)
    faults: list[fields.Fault] = []
    root = fields.Section(value, "", faults)
    version = root.number("version", int, 1, 1 << 53)
    count_section = root.child(_COUNTS)
    counts = {
        kind: count_section.number(kind, int, 1, SECTION_COUNT_MAX)
        for kind in _KINDS
        if count_section.has(kind)
    }
    count_section.reject_unknown()
    counted = {
        f"{kind}/{number}"
        for kind, count in counts.items()
        for number in range(count)
    }
    listed = {
        name: _read_reference(name, section, counted)
        for name, section in root.children(_SECTIONS).items()
    }
    other = {key: value[key] for key in value if key not in _RESERVED}
    for kind in _KINDS:
        if kind in other:
            root.fault(kind, "belongs into sections")
    if faults:
        return Refused(tuple(faults))
    return Head(version, counts, listed, other)


def changed(
    head: Head, held: t.Mapping[str, str]
) -> tuple[SectionReference, ...]:
    """Return the sections that a reader has to fetch for a head.

    :param held: digests of the section bodies that the reader has, by name.
    """
    return tuple(
        item
        for item in head.sections.values()
        if held.get(item.name) != item.digest
    )


def assemble(
    head: Head, bodies: t.Mapping[str, bytes]
) -> Whole | Missing | Refused:
    """Assemble a document from its head and sections.

    :param head: the head.
    :param bodies: JSON text of the sections by name; sections that the head
        does not list are ignored.
    """
    held = {
        name: digest_of(body)
        for name, body in bodies.items()
        if name in head.sections
    }
    missing = changed(head, held)
    if missing:
        return Missing(missing)
    faults: list[fields.Fault] = []
    document: dict[str, Json] = {"version": head.version, **head.rest}
    for kind in head.counts:
        document[kind] = {}
    for name in head.sections:
        members = _read_members(name, bodies[name], faults)
        document[_kind_of(name)].update(members)
    return Refused(tuple(faults)) if faults else Whole(document)


@dataclasses.dataclass(frozen=True, slots=True)
class _Divided:
    count: int
    bodies: dict[str, bytes]


def _divide(kind: str, members: t.Mapping[str, Json], count: int) -> _Divided:
    while True:
        shares: dict[str, dict[str, Json]] = collections.defaultdict(dict)
        for identifier, member in members.items():
            number = _section_number(
                _hash_key(kind, identifier, member), count
            )
            shares[f"{kind}/{number}"][identifier] = member
        bodies = {name: encode(share) for name, share in shares.items()}
        largest = max(map(len, bodies.values()), default=0)
        if largest <= SECTION_TARGET_BYTES or count >= SECTION_COUNT_MAX:
            return _Divided(count, bodies)
        count *= 2


def _hash_key(kind: str, identifier: str, member: Json) -> str:
    if kind != "routes" or not isinstance(member, dict):
        return identifier
    service = member.get("service")
    return service if isinstance(service, str) else identifier


def _section_number(key: str, count: int) -> int:
    hashed = xxhash.xxh3_64_intdigest(key.encode("utf-8", "surrogatepass"))
    return hashed % count


def _reference(
    name: str, body: bytes, version: int, previous: Head | None
) -> SectionReference:
    digest = digest_of(body)
    before = previous.sections.get(name) if previous else None
    if before is not None and before.digest == digest:
        return before
    return SectionReference(name, version, digest)


def _kind_of(name: str) -> str:
    return name.partition("/")[0]


def _read_reference(
    name: str, section: fields.Section, counted: t.Container[str]
) -> SectionReference:
    if name not in counted:
        text = "is not among the counted sections"
        section.faults.append(fields.Fault(section.place, text))
    reference = SectionReference(
        name=name,
        version=section.number("version", int, 1, 1 << 53),
        digest=section.text(
            "digest",
            lambda text: len(text) == DIGEST_LENGTH,
            f"must have {DIGEST_LENGTH} digits",
        ),
    )
    section.reject_unknown()
    return reference


def _read_members(
    name: str, body: bytes, faults: list[fields.Fault]
) -> dict[str, Json]:
    place = fields.pointer("/" + _SECTIONS, name)
    try:
        members = json.loads(body)
    except (ValueError, RecursionError) as error:
        faults.append(fields.Fault(place, f"not JSON: {error}"))
        return {}
    if not isinstance(members, dict):
        faults.append(fields.Fault(place, "must be an object"))
        return {}
    return members
