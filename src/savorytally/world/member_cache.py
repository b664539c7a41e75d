"""Caches the objects read from unchanged members of a document.

A change usually affects one member of a large document. A member whose
encoded bytes, or whose parsed JSON value, is the same object as in the last
accepted document is not decoded and read again.
"""

import dataclasses
import typing as t

from .. import fields

KINDS = frozenset({"services", "routes", "organisations", "hosts"})

T = t.TypeVar("T")

ReadMember = t.Callable[[str, fields.Section], T]
StillValid = t.Callable[[T], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _Member(t.Generic[T]):
    """A member of a document and the object read from it.

    :param value: the member's encoded bytes or parsed JSON value.
    :param parsed: the object read from the value.
    """

    value: t.Any
    parsed: T


def always_valid(parsed: t.Any) -> bool:
    """Return true: the object depends on no other part of the document."""
    return True


class MemberCache:
    """Cache of the last accepted document's members.

    Members are keyed by kind and identifier. Those read from a new document
    are cached once :meth:`accept` is called.
    """

    def __init__(self) -> None:
        self._accepted: dict[str, dict[str, _Member[t.Any]]] = {}
        self._pending: dict[str, dict[str, _Member[t.Any]]] = {}
        self._unchanged: set[str] = set()

    def unchanged(self, kind: str) -> bool:
        """Return whether the last read reused all members of a kind."""
        return kind in self._unchanged

    def members(
        self,
        root: fields.Section,
        kind: str,
        read: ReadMember[T],
        still_valid: StillValid[T] = always_valid,
    ) -> dict[str, T]:
        """Return the objects read from the members of a document's field.

        :param root: the document.
        :param kind: name of the field, an object that holds members.
        :param read: reads a member that is new or changed.
        :param still_valid: returns whether the object of an unchanged
            member is still valid for the rest of the document; if not, the
            member is read again.
        """
        accepted = self._accepted.get(kind, {})
        pending: dict[str, _Member[T]] = {}
        reused_count = 0
        for identifier, value in root.take(kind, dict, {}).items():
            member = accepted.get(identifier)
            reused = member is not None and member.value is value
            if reused and still_valid(member.parsed):
                reused_count += 1
            else:
                section = root.member(kind, identifier, value)
                member = _Member(value, read(identifier, section))
            pending[identifier] = member
        self._pending[kind] = pending
        self._unchanged.discard(kind)
        if reused_count == len(pending) == len(accepted):
            self._unchanged.add(kind)
        return {name: member.parsed for name, member in pending.items()}

    def accept(self) -> None:
        """Cache the members read last, from a document without faults."""
        self._accepted = self._pending
        self._pending = {}

    def discard_pending(self) -> None:
        """Discard the members read last."""
        self._pending = {}

    def clear(self) -> None:
        """Discard all members, so that the next document is read in full."""
        self._accepted = {}
        self._pending = {}
