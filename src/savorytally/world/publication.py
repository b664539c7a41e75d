"""Versioned publications, divided into opaque sections."""

import dataclasses
import typing as t

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One section of a publication.

    :param name: unique within the publication.
    :param version: version of the publication that last changed the section.
    :param digest: 64-bit XXH3 digest of the body.
    :param body: the content as opaque bytes.
    """

    name: str
    version: int
    digest: int
    body: bytes

    @property
    def is_intact(self) -> bool:
        """Whether the body matches the digest."""
        return xxhash.xxh3_64_intdigest(self.body) == self.digest


def pack(name: str, version: int, body: bytes) -> Section:
    """Return a section with a body and its digest."""
    return Section(name, version, xxhash.xxh3_64_intdigest(body), body)


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes between two versions of a publication.

    :param after: the older version.
    :param version: the newer version.
    :param sections: the sections that changed.
    :param removed: names of the removed sections, each with the version that
        removed it.
    """

    after: int
    version: int
    sections: tuple[Section, ...]
    removed: t.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """One version of a published document.

    :param name: name of the publication.
    :param version: number that increases with every change.
    :param sections: sections by name.
    :param removed: names of the removed sections, each with the version that
        removed it.
    """

    name: str
    version: int
    sections: t.Mapping[str, Section]
    removed: t.Mapping[str, int]

    def since(self, after: int) -> Delta:
        """Return the changes after a version."""
        return Delta(
            after=after,
            version=self.version,
            sections=tuple(
                item for item in self.sections.values() if item.version > after
            ),
            removed={
                name: version
                for name, version in self.removed.items()
                if version > after
            },
        )

    def apply(self, delta: Delta) -> "Publication | None":
        """Return the publication with a delta applied.

        :return: ``None`` if the delta starts after this version, is not
            newer, or has a body that does not match its digest.
        """
        if delta.after > self.version or delta.version <= self.version:
            return None
        if not all(item.is_intact for item in delta.sections):
            return None
        kept = {
            name: item
            for name, item in self.sections.items()
            if name not in delta.removed
        }
        kept.update((item.name, item) for item in delta.sections)
        removed = {**self.removed, **delta.removed}
        for item in delta.sections:
            removed.pop(item.name, None)
        return Publication(self.name, delta.version, kept, removed)

    def replace(
        self, version: int, bodies: t.Mapping[str, bytes]
    ) -> "Publication":
        """Return a newer version with other bodies.

        Sections whose body did not change keep their version.

        :param version: number of the newer version.
        :param bodies: bodies of all its sections by name.
        """
        sections = {}
        for name, body in bodies.items():
            old = self.sections.get(name)
            if old is None or old.body != body:
                old = pack(name, version, body)
            sections[name] = old
        removed = {
            **self.removed,
            **dict.fromkeys(set(self.sections) - set(bodies), version),
        }
        for name in bodies:
            removed.pop(name, None)
        return Publication(self.name, version, sections, removed)

    def bodies(self) -> dict[str, bytes]:
        """Return the bodies of all sections by name."""
        return {name: item.body for name, item in self.sections.items()}


def empty(name: str) -> Publication:
    """Return a publication without sections, of version 0."""
    return Publication(name, 0, {}, {})
