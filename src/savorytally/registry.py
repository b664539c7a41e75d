"""Registries that decorators fill."""

import typing as t

T = t.TypeVar("T")


class Registry(t.Generic[T]):
    """Maps names to implementations of one kind of behaviour.

    :param kind: what the entries are, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> t.Callable[[T], T]:
        """Return a decorator that files its argument under ``name``.

        :raises ValueError: if the name is taken.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry of that name.

        :raises KeyError: if there is none.
        """
        return self._entries[name]

    def names(self) -> list[str]:
        """Return all names in alphabetical order."""
        return sorted(self._entries)
