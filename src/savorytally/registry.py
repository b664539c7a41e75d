"""Registries of implementations, filled by decorators."""

import typing as t

T = t.TypeVar("T")


class Registry(t.Generic[T]):
    """Maps names to implementations of one kind.

    :param kind: what an entry is called in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> t.Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``.

        :raises ValueError: if the name is already in use.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry with a name.

        :raises KeyError: if there is none.
        """
        return self._entries[name]

    def names(self) -> list[str]:
        """Return all names in alphabetical order."""
        return sorted(self._entries)
