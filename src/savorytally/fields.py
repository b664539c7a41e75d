"""Reads JSON objects field by field and collects all faults."""

import dataclasses
import json
import typing as t

_MISSING = object()
_FAULTY = object()
_KINDS = {
    dict: "an object",
    list: "an array",
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    float: "a number",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a document.

    :param place: JSON pointer (RFC 6901) to the faulty value, empty for
        the whole document.
    :param text: what is wrong with it.
    """

    place: str
    text: str

    def __str__(self) -> str:
        """Return the place and the text, the whole document as ``/``."""
        return f"{self.place or '/'}: {self.text}"


def pointer(place: str, key: str) -> str:
    """Return the JSON pointer to a member of an object.

    :param place: JSON pointer to the object.
    :param key: the member's key, not escaped.
    """
    escaped = key.replace("~", "~0").replace("/", "~1")
    return f"{place}/{escaped}"


def _decode(body: bytes) -> t.Any:
    """Return a JSON value, ``None`` if the text is malformed."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return None


class Section:
    """A JSON object that is read field by field.

    :param value: the parsed JSON value.
    :param place: JSON pointer to it.
    :param faults: receives what is wrong.
    :param given: whether the document holds the section.
    """

    def __init__(
        self,
        value: t.Any,
        place: str,
        faults: list[Fault],
        given: bool = True,
    ) -> None:
        self._place = place
        self._faults = faults
        self._given = given
        self._left = dict(value) if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            faults.append(Fault(place, f"must be {_KINDS[dict]}"))

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
        """Whether the document holds the section."""
        return self._given

    def has(self, key: str) -> bool:
        """Whether a field is present and not taken yet."""
        return key in self._left

    def fault(self, key: str, text: str) -> None:
        """Record a fault at one of the section's fields."""
        self._faults.append(Fault(pointer(self._place, key), text))

    def take(self, key: str, kind: type, default: t.Any = _MISSING) -> t.Any:
        """Return one field and mark it as known.

        :param kind: the JSON type; ``float`` admits whole numbers.
        :param default: used if the field is absent.
        :return: the value, or the kind's empty value if it is faulty.
        """
        value = self._take(key, kind, default)
        return kind() if value is _FAULTY else value

    def children(self, key: str) -> dict[str, "Section"]:
        """Return the members of an object field as sections."""
        return {
            name: self.member(key, name, value)
            for name, value in self.take(key, dict, {}).items()
        }

    def member(self, key: str, name: str, value: t.Any) -> "Section":
        """Return a member of an object field that was taken as a section.

        :param value: its JSON value, parsed or still encoded as bytes.
        """
        place = pointer(pointer(self._place, key), name)
        if isinstance(value, bytes):
            value = _decode(value)
        return Section(value, place, self._faults)

    def child(self, key: str) -> "Section":
        """Return an object field as a section; an absent one is empty."""
        given = self.has(key)
        value = self.take(key, dict, {})
        place = pointer(self._place, key)
        return Section(value, place, self._faults, given)

    def strings(self, key: str, default: t.Any = _MISSING) -> list[str]:
        """Return a field that is a list of strings, each at most once."""
        value = self.take(key, list, default)
        place = pointer(self._place, key)
        found: dict[str, int] = {}
        for index, item in enumerate(value):
            text = "is repeated"
            if not isinstance(item, str):
                text = f"must be {_KINDS[str]}"
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
        """Return a number field and check its range."""
        value = self._take(key, kind, default)
        if value is _FAULTY:
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
        """Return a string field and check its form.

        :param test: whether a string has the form.
        :param rule: what is said of a string that has not.
        """
        value = self._take(key, str, default)
        if value is _FAULTY:
            return ""
        if value is not default and not test(value):
            self.fault(key, rule)
        return value

    def choice(
        self, key: str, known: t.Mapping[str, t.Any], default: t.Any = _MISSING
    ) -> t.Any:
        """Return what one of several words stands for.

        :param known: values by word.
        :param default: the word that an absent field stands for.
        """
        rule = f"must be one of {', '.join(known)}"
        word = self.text(key, known.__contains__, rule, default)
        return known.get(word)

    def finish(self) -> None:
        """Report every field that was not taken."""
        for key in self._left:
            self.fault(key, "is unknown")

    def _take(self, key: str, kind: type, default: t.Any) -> t.Any:
        value = self._left.pop(key, _MISSING)
        if value is _MISSING and default is not _MISSING:
            return default
        if value is _MISSING:
            self.fault(key, "is missing")
            return _FAULTY
        if kind is float and type(value) is int:
            value = _as_float(value)
        if type(value) is not kind:
            self.fault(key, f"must be {_KINDS[kind]}")
            return _FAULTY
        return value


def _as_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        return float("inf") if value > 0 else float("-inf")
