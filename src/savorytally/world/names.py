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


def well_formed(name: t.Any) -> bool:
    """Whether a value can be a name, which is one segment of a URL's path."""
    if not isinstance(name, str) or not 0 < len(name) <= NAME_MAX_LENGTH:
        return False
    if name in (".", ".."):
        return False
    return name.isprintable() and "/" not in name and " " not in name


@dataclasses.dataclass(frozen=True, slots=True)
class Clash:
    """Two objects that claim one name.

    :param name: the name in dispute.
    :param first: identifier of the object that holds it.
    :param second: identifier of the object that claims it too.
    :param scheme: the scheme in which the second claims it.
    """

    name: str
    first: str
    second: str
    scheme: str


@dataclasses.dataclass(frozen=True, slots=True)
class NameTable:
    """Resolves every name of every scheme to one object.

    :param by_name: identifiers by name, over all schemes.
    """

    by_name: t.Mapping[str, str]

    def resolve(self, name: str) -> str | None:
        """Return the identifier that the name stands for, if any."""
        return self.by_name.get(name)


def build(
    named: t.Mapping[str, t.Mapping[str, str]],
) -> tuple[NameTable, list[Clash]]:
    """Collect the names of objects of one kind.

    An object may have one name in several schemes. Callers do not say which
    scheme they use, so that a name stands for one object over all schemes;
    an identifier is a name of its object too.

    :param named: names by scheme, by identifier.
    :return: the table and the names that more than one object claims.
    """
    by_name = {identifier: identifier for identifier in named}
    clashes: list[Clash] = []
    for identifier, names in named.items():
        for scheme, name in names.items():
            holder = by_name.setdefault(name, identifier)
            if holder != identifier:
                clashes.append(Clash(name, holder, identifier, scheme))
    return NameTable(by_name), clashes


def read_schemes(root: fields.Section) -> tuple[str, ...]:
    """Return the naming schemes that a document uses."""
    schemes = tuple(root.strings("schemes"))
    if len(schemes) != SCHEME_COUNT:
        root.fault("schemes", f"must name {SCHEME_COUNT} schemes")
    return schemes


def read_identifier(identifier: str, section: fields.Section) -> str:
    """Check the identifier under which an object stands in a document."""
    if not well_formed(identifier):
        section.faults.append(fields.Fault(section.place, NAME_RULE))
    return identifier


def read_names(
    section: fields.Section, schemes: tuple[str, ...]
) -> dict[str, str]:
    """Return an object's name in each scheme."""
    child = section.child("names")
    if not child.given:
        section.fault("names", "is missing")
        return {}
    names = {
        scheme: child.text(scheme, well_formed, NAME_RULE)
        for scheme in schemes
    }
    child.finish()
    return {scheme: name for scheme, name in names.items() if name}


def report(
    kind: str, clashes: t.Iterable[Clash], faults: list[fields.Fault]
) -> None:
    """Record clashes as faults at the names of the second claimants."""
    for clash in clashes:
        place = fields.pointer(f"/{kind}", clash.second)
        place = fields.pointer(f"{place}/names", clash.scheme)
        text = f"name {clash.name!r} belongs to {clash.first!r} already"
        faults.append(fields.Fault(place, text))
