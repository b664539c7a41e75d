"""The three naming schemes of services, organisations and routes."""

import dataclasses
import typing as t

from .. import fields

SCHEME_COUNT = 3
NAME_MAX_LENGTH = 200

NAME_RULE = (
    f"must be a name: 1 to {NAME_MAX_LENGTH} printable characters "
    "without spaces and slashes"
)


def is_valid_name(name: t.Any) -> bool:
    """Return whether a value is a valid name: one segment of a URL path."""
    if not isinstance(name, str) or not 0 < len(name) <= NAME_MAX_LENGTH:
        return False
    if name in (".", ".."):
        return False
    return name.isprintable() and "/" not in name and " " not in name


@dataclasses.dataclass(frozen=True, slots=True)
class NameConflict:
    """A name that two objects use.

    :param name: the duplicate name.
    :param first: identifier of the first object with the name.
    :param second: identifier of the second object with the name.
    :param scheme: the naming scheme of the second object's name.
    """

    name: str
    first: str
    second: str
    scheme: str


@dataclasses.dataclass(frozen=True, slots=True)
class NameTable:
    """Resolves the names of all schemes to identifiers.

    :param by_name: identifiers by name, of all schemes.
    """

    by_name: t.Mapping[str, str]

    def resolve(self, name: str) -> str | None:
        """Return the identifier of the object with a name, if there is one."""
        return self.by_name.get(name)


def build_table(
    named: t.Mapping[str, t.Mapping[str, str]],
) -> tuple[NameTable, list[NameConflict]]:
    """Build the name table of all objects of one kind.

    An object may have the same name in several schemes. Requests do not
    state their scheme, so a name must identify one object over all schemes.
    An identifier is also a name of its object.

    :param named: for each identifier, the object's names by scheme.
    :return: the table and the names that more than one object uses.
    """
    by_name = {identifier: identifier for identifier in named}
    conflicts: list[NameConflict] = []
    for identifier, names in named.items():
        for scheme, name in names.items():
            holder = by_name.setdefault(name, identifier)
            if holder != identifier:
                conflicts.append(
                    NameConflict(name, holder, identifier, scheme)
                )
    return NameTable(by_name), conflicts


def read_schemes(root: fields.Section) -> tuple[str, ...]:
    """Read the naming schemes of a document."""
    schemes = tuple(root.strings("schemes"))
    if len(schemes) != SCHEME_COUNT:
        root.fault("schemes", f"must name {SCHEME_COUNT} schemes")
    return schemes


def read_identifier(identifier: str, section: fields.Section) -> str:
    """Return an object's identifier; record a fault if it is malformed."""
    if not is_valid_name(identifier):
        section.faults.append(fields.Fault(section.place, NAME_RULE))
    return identifier


def read_names(
    section: fields.Section, schemes: tuple[str, ...]
) -> dict[str, str]:
    """Read an object's name in each scheme."""
    child = section.child("names")
    if not child.present:
        section.fault("names", "is missing")
        return {}
    names = {
        scheme: child.text(scheme, is_valid_name, NAME_RULE)
        for scheme in schemes
    }
    child.reject_unknown()
    return {scheme: name for scheme, name in names.items() if name}


def report_conflicts(
    kind: str, conflicts: t.Iterable[NameConflict], faults: list[fields.Fault]
) -> None:
    """Record a fault at the second object's name for each conflict.

    :param kind: field of the document that holds the objects.
    :param conflicts: names that two objects use.
    :param faults: list that receives the faults.
    """
    for conflict in conflicts:
        place = fields.pointer(f"/{kind}", conflict.second)
        place = fields.pointer(f"{place}/names", conflict.scheme)
        text = f"name {conflict.name!r} belongs to {conflict.first!r} already"
        faults.append(fields.Fault(place, text))
