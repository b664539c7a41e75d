"""Keeps what was read from members that do not change between documents.

Of a large document a change touches one member. Members whose encoded bytes,
or parsed JSON value, are the very object of the last accepted document are
not decoded and read again.
"""

import dataclasses
import typing as t

from .. import fields

KINDS = frozenset({"services", "routes", "organisations", "hosts"})

T = t.TypeVar("T")

Make = t.Callable[[str, fields.Section], T]
Holds = t.Callable[[T], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _Member(t.Generic[T]):
    """A member as it stood in the document, and what was read from it."""

    value: t.Any
    made: T


def always(made: t.Any) -> bool:
    """Return that what was read depends on nothing else."""
    return True


class Earlier:
    """Members of the last accepted document, by kind and identifier."""

    def __init__(self) -> None:
        self._accepted: dict[str, dict[str, _Member[t.Any]]] = {}
        self._offered: dict[str, dict[str, _Member[t.Any]]] = {}
        self._same: set[str] = set()

    def unchanged(self, kind: str) -> bool:
        """Return whether all members of a kind were taken over just now."""
        return kind in self._same

    def members(
        self,
        root: fields.Section,
        kind: str,
        make: Make[T],
        holds: Holds[T] = always,
    ) -> dict[str, T]:
        """Return what stands for the members of one of a document's objects.

        :param kind: the field that holds the object.
        :param make: reads a member that is new or changed.
        :param holds: whether what was read from an unchanged member still
            agrees with the rest of the document; if not, it is read again.
        """
        known = self._accepted.get(kind, {})
        offered: dict[str, _Member[T]] = {}
        taken_over = 0
        for identifier, value in root.take(kind, dict, {}).items():
            member = known.get(identifier)
            reused = member is not None and member.value is value
            if reused and holds(member.made):
                taken_over += 1
            else:
                section = root.member(kind, identifier, value)
                member = _Member(value, make(identifier, section))
            offered[identifier] = member
        self._offered[kind] = offered
        self._same.discard(kind)
        if taken_over == len(offered) == len(known):
            self._same.add(kind)
        return {name: member.made for name, member in offered.items()}

    def accept(self) -> None:
        """Keep the members that were read last; they are without fault."""
        self._accepted = self._offered
        self._offered = {}

    def refuse(self) -> None:
        """Forget the members that were read last."""
        self._offered = {}

    def forget(self) -> None:
        """Forget all members, so that the next document is read whole."""
        self._accepted = {}
        self._offered = {}
