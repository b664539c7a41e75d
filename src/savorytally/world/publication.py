"""Numbered publications, held as opaque sections."""

import dataclasses
import typing as t

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One part of a publication.

    :param name: unique within the publication.
    :param version: the publication's version that last changed it.
    :param digest: XXH3 64-bit digest of the body.
    :param body: its opaque bytes.
    """

    name: str
    version: int
    digest: int
    body: bytes

    @property
    def intact(self) -> bool:
        """Whether the body matches the digest."""
        return xxhash.xxh3_64_intdigest(self.body) == self.digest


def pack(name: str, version: int, body: bytes) -> Section:
    """Return a section that carries some bytes."""
    return Section(name, version, xxhash.xxh3_64_intdigest(body), body)


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """What changed between two versions of a publication.

    :param after: the older version.
    :param version: the newer version.
    :param sections: those that changed.
    :param removed: versions of removal by name of section.
    """

    after: int
    version: int
    sections: tuple[Section, ...]
    removed: t.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """One version of a published document.

    :param name: what is published.
    :param version: rises with every change.
    :param sections: its parts by name.
    :param removed: versions of removal by name of removed section.
    """

    name: str
    version: int
    sections: t.Mapping[str, Section]
    removed: t.Mapping[str, int]

    def since(self, after: int) -> Delta:
        """Return what changed after a version."""
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
        """Return the newer version, ``None`` if the delta does not fit."""
        if delta.after > self.version or delta.version <= self.version:
            return None
        if not all(item.intact for item in delta.sections):
            return None
        kept = {
            name: item
            for name, item in self.sections.items()
            if name not in delta.removed
        }
        kept.update((item.name, item) for item in delta.sections)
        gone = {**self.removed, **delta.removed}
        for item in delta.sections:
            gone.pop(item.name, None)
        return Publication(self.name, delta.version, kept, gone)

    def replace(
        self, version: int, bodies: t.Mapping[str, bytes]
    ) -> "Publication":
        """Return a newer version that was read whole.

        Sections whose bytes did not change keep their version.

        :param bodies: the bytes of every section by name.
        """
        sections = {}
        for name, body in bodies.items():
            old = self.sections.get(name)
            if old is None or old.body != body:
                old = pack(name, version, body)
            sections[name] = old
        gone = {
            **self.removed,
            **dict.fromkeys(set(self.sections) - set(bodies), version),
        }
        for name in bodies:
            gone.pop(name, None)
        return Publication(self.name, version, sections, gone)

    def bodies(self) -> dict[str, bytes]:
        """Return the bytes of every section by name."""
        return {name: item.body for name, item in self.sections.items()}


def empty(name: str) -> Publication:
    """Return the state before the first version."""
    return Publication(name, 0, {}, {})
