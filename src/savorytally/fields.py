"""Reads and validates JSON objects field by field, collecting all faults."""

import dataclasses
import json
import typing as t

_MISSING = object()
_INVALID = object()
_TYPE_NAMES = {
    dict: "an object",
    list: "an array",
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    float: "a number",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault in a JSON document.

    :param place: JSON pointer (RFC 6901) to the invalid value, empty for
        the whole document.
    :param text: description of the fault.
    """

    place: str
    text: str

    def __str__(self) -> str:
        """Return the place, ``/`` for the whole document, and the text."""
        return f"{self.place or '/'}: {self.text}"


def pointer(place: str, key: str) -> str:
    """Return the JSON pointer to a member of an object.

    :param place: JSON pointer to the object.
    :param key: the member's key, not escaped.
    """
    escaped = key.replace("~", "~0").replace("/", "~1")
    return f"{place}/{escaped}"


def _decode(body: bytes) -> t.Any:
    """Return the decoded JSON value, ``None`` if it is malformed."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return None


class Section:
    """A JSON object that is read field by field.

    :param value: the parsed JSON value.
    :param place: JSON pointer to the object.
    :param faults: list that receives the faults.
    :param present: whether the document contains the object.
    """

    def __init__(
        self,
        value: t.Any,
        place: str,
        faults: list[Fault],
        present: bool = True,
    ) -> None:
        self._place = place
        self._faults = faults
        self._present = present
        self._unread = dict(value) if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            faults.append(Fault(place, f"must be {_TYPE_NAMES[dict]}"))

    @property
    def place(self) -> str:
        """JSON pointer to the object."""
        return self._place

    @property
    def faults(self) -> list[Fault]:
        """The list that receives the faults."""
        return self._faults

    @property
    def present(self) -> bool:
        """Whether the document contains the object."""
        return self._present

    def has(self, key: str) -> bool:
        """Return whether a field is present and has not been read yet."""
        return key in self._unread

    def fault(self, key: str, text: str) -> None:
        """Record a fault of a field."""
        self._faults.append(Fault(pointer(self._place, key), text))

    def take(self, key: str, kind: type, default: t.Any = _MISSING) -> t.Any:
        """Read a field and check its type.

        :param key: name of the field.
        :param kind: the Python type of its JSON type; ``float`` accepts whole
            numbers.
        :param default: value of an absent field; without one the field is
            required.
        :return: the value, or the type's empty value if there is a fault.
        """
        value = self._take(key, kind, default)
        return kind() if value is _INVALID else value

    def children(self, key: str) -> dict[str, "Section"]:
        """Read an object field and return its members as sections."""
        return {
            name: self.member(key, name, value)
            for name, value in self.take(key, dict, {}).items()
        }

    def member(self, key: str, name: str, value: t.Any) -> "Section":
        """Return a member of an object field as a section.

        :param key: name of the field.
        :param name: name of the member.
        :param value: the member's JSON value, parsed or encoded as bytes.
        """
        place = pointer(pointer(self._place, key), name)
        if isinstance(value, bytes):
            value = _decode(value)
        return Section(value, place, self._faults)

    def child(self, key: str) -> "Section":
        """Read an object field as a section, which is empty if absent."""
        present = self.has(key)
        value = self.take(key, dict, {})
        place = pointer(self._place, key)
        return Section(value, place, self._faults, present)

    def strings(self, key: str, default: t.Any = _MISSING) -> list[str]:
        """Read a field that is a list of distinct strings.

        :param key: name of the field.
        :param default: value of an absent field; without one the field is
            required.
        """
        value = self.take(key, list, default)
        place = pointer(self._place, key)
        found: dict[str, int] = {}
        for index, item in enumerate(value):
            text = "is repeated"
            if not isinstance(item, str):
                text = f"must be {_TYPE_NAMES[str]}"
            elif found.setdefault(item, index) == index:
                continue
            self._faults.append(Fault(f"{place}/{index}", text))
        return list(found)

    def number(
        self,
        key: str,
        kind: type,
        low: float,
        high: float,
        default: t.Any = _MISSING,
    ) -> t.Any:
        """Read a number field and check its range.

        :param key: name of the field.
        :param kind: ``int`` or ``float``.
        :param low: least valid value.
        :param high: greatest valid value.
        :param default: value of an absent field; without one the field is
            required.
        """
        value = self._take(key, kind, default)
        if value is _INVALID:
            return kind()
        if value is not default and not low <= value <= high:
            self.fault(key, f"must lie between {low} and {high}")
            return kind()
        return value

    def text(
        self,
        key: str,
        test: t.Callable[[str], t.Any],
        rule: str,
        default: t.Any = _MISSING,
    ) -> str:
        """Read a string field and validate it.

        :param key: name of the field.
        :param test: returns a true value for a valid string.
        :param rule: text of the fault of an invalid string.
        :param default: value of an absent field; without one the field is
            required.
        """
        value = self._take(key, str, default)
        if value is _INVALID:
            return ""
        if value is not default and not test(value):
            self.fault(key, rule)
        return value

    def choice(
        self, key: str, known: t.Mapping[str, t.Any], default: t.Any = _MISSING
    ) -> t.Any:
        """Read a string field with a fixed set of values.

        :param key: name of the field.
        :param known: the returned value for each valid string.
        :param default: string that an absent field is read as; without one
            the field is required.
        """
        rule = f"must be one of {', '.join(known)}"
        name = self.text(key, known.__contains__, rule, default)
        return known.get(name)

    def reject_unknown(self) -> None:
        """Record a fault for each field that has not been read."""
        for key in self._unread:
            self.fault(key, "is unknown")

    def _take(self, key: str, kind: type, default: t.Any) -> t.Any:
        value = self._unread.pop(key, _MISSING)
        if value is _MISSING and default is not _MISSING:
            return default
        if value is _MISSING:
            self.fault(key, "is missing")
            return _INVALID
        if kind is float and type(value) is int:
            value = _as_float(value)
        if type(value) is not kind:
            self.fault(key, f"must be {_TYPE_NAMES[kind]}")
            return _INVALID
        return value


def _as_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        return float("inf") if value > 0 else float("-inf")
