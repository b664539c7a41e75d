"""Reads JSON objects field by field and collects all faults."""

import dataclasses
import typing as t

_MISSING = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a document.

    :param place: JSON pointer to the faulty value.
    :param text: what is wrong with it.
    """

    place: str
    text: str


class Section:
    """A JSON object that is read field by field.

    :param value: the parsed JSON value.
    :param place: JSON pointer to it.
    :param faults: receives what is wrong.
    """

    def __init__(self, value: t.Any, place: str, faults: list[Fault]) -> None:
        self._place = place
        self._faults = faults
        self._left = dict(value) if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            faults.append(Fault(place or "/", "must be an object"))

    @property
    def place(self) -> str:
        """JSON pointer to this section."""
        return self._place

    @property
    def faults(self) -> list[Fault]:
        """Receives what is wrong."""
        return self._faults

    @property
    def given(self) -> bool:
        """Whether any field is left to take."""
        return bool(self._left)

    def fault(self, key: str, text: str) -> None:
        """Record a fault at one of the section's fields."""
        self._faults.append(Fault(f"{self._place}/{key}", text))

    def take(self, key: str, kind: type, default: t.Any = _MISSING) -> t.Any:
        """Return one field and mark it as known.

        :param kind: the JSON type; ``float`` admits whole numbers.
        :param default: used if the field is absent.
        :return: the value, or the kind's empty value if it is faulty.
        """
        value = self._left.pop(key, _MISSING)
        if value is _MISSING:
            if default is not _MISSING:
                return default
            self.fault(key, "is missing")
            return kind()
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            self.fault(key, f"must be of type {kind.__name__}")
            return kind()
        return value

    def children(self, key: str) -> dict[str, "Section"]:
        """Return the members of an object field as sections."""
        value = self.take(key, dict, {})
        return {
            name: Section(child, f"{self._place}/{key}/{name}", self._faults)
            for name, child in value.items()
        }

    def child(self, key: str) -> "Section":
        """Return an object field as a section; an absent one is empty."""
        value = self.take(key, dict, {})
        return Section(value, f"{self._place}/{key}", self._faults)

    def strings(self, key: str, default: t.Any = _MISSING) -> list[str]:
        """Return a field that is a list of strings."""
        value = self.take(key, list, default)
        if all(isinstance(item, str) for item in value):
            return list(value)
        self.fault(key, "must hold strings only")
        return []

    def number(
        self,
        key: str,
        kind: type,
        low: float,
        high: float,
        default: t.Any = _MISSING,
    ) -> t.Any:
        """Return a number field and check its range."""
        value = self.take(key, kind, default)
        if not low <= value <= high:
            self.fault(key, f"must lie between {low:g} and {high:g}")
        return value

    def finish(self) -> None:
        """Report every field that was not taken."""
        for key in self._left:
            self.fault(key, "is unknown")
