"""Ranges of values that frames between nodes, sockets and timers carry."""

import dataclasses
import math
import typing as t

# MessagePack, which encodes the frames, has no longer whole numbers.
WHOLE_NUMBER_MAX = (1 << 63) - 1
PORT_MAX = (1 << 16) - 1
# Its milliseconds are a whole number of a frame, and timers accept it.
DURATION_MAX_S = 1e9

Item = t.TypeVar("Item")


def checked(item: Item) -> Item:
    """Return a data class whose fields have values that can be carried.

    :raises ValueError: if a field does not; the message names it.
    """
    for field in dataclasses.fields(t.cast(t.Any, item)):
        value = getattr(item, field.name)
        if not carried(value):
            raise ValueError(f"{field.name} can't be carried: {value!r:.80}")
    return item


def carried(value: t.Any) -> bool:
    """Return whether a value and all values inside it can be carried.

    Whole numbers have at most 64 bits, other numbers are finite. Text has a
    UTF-8 form, and no control characters, since it is sent in headers.
    """
    # Lists have ten thousands of entries, so the usual types come first.
    kind = type(value)
    if kind is str:
        return value.isprintable() or not any(map(_unusable, value))
    if kind is int:
        return -WHOLE_NUMBER_MAX <= value <= WHOLE_NUMBER_MAX
    if kind is bool:
        return True
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, tuple | frozenset):
        return all(map(carried, value))
    if dataclasses.is_dataclass(value):
        return all(
            carried(getattr(value, field.name))
            for field in dataclasses.fields(value)
        )
    return value is None


def _unusable(character: str) -> bool:
    code = ord(character)
    return code < 0x20 or code == 0x7F or 0xD800 <= code < 0xE000
