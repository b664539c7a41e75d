"""The three naming schemes of services, organisations and routes."""

import dataclasses
import typing as t

SCHEME_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Clash:
    """Two objects that claim one name.

    :param name: the name in dispute.
    :param first: identifier of the object that holds it.
    :param second: identifier of the object that claims it too.
    """

    name: str
    first: str
    second: str


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
    named: t.Iterable[tuple[str, t.Mapping[str, str]]],
) -> tuple[NameTable, list[Clash]]:
    """Collect the names of objects of one kind.

    :param named: pairs of an identifier and its names by scheme.
    :return: the table and the names that more than one object claims.
    """
    by_name: dict[str, str] = {}
    clashes: list[Clash] = []
    for identifier, names in named:
        for name in {identifier, *names.values()}:
            holder = by_name.setdefault(name, identifier)
            if holder != identifier:
                clashes.append(Clash(name, holder, identifier))
    return NameTable(by_name), clashes
