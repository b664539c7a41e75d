"""Encodes and decodes the frames of a peer stream.

A frame is a 32-bit big-endian length and a msgpack array of the message's
kind, the sender's configuration version and the message's fields in the
order of their definition.
"""

import dataclasses
import itertools
import operator
import struct
import types
import typing as t

import msgpack

from .. import defaults
from . import messages

LENGTH = struct.Struct(">I")

# Preserves bytes of HTTP headers that are not UTF-8.
_TEXT_ERRORS = "surrogateescape"

Check = t.Callable[[t.Any], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame.

    :param configuration_version: version of the configuration in force at
        the sender.
    :param message: the message.
    """

    configuration_version: int
    message: messages.Message


class FrameError(Exception):
    """A frame is too long, malformed or of an unknown kind.

    Only the stream that received the frame is closed.
    """


class _Layout:
    """Order and types of the fields of a message class."""

    def __init__(self, cls: type[messages.Message]) -> None:
        hints = t.get_type_hints(cls)
        self.cls = cls
        self.names = tuple(field.name for field in dataclasses.fields(cls))
        self.fields = _fields_getter(self.names)
        self._checks = tuple(_type_check(hints[name]) for name in self.names)
        self._types = [_exact_type(hints[name]) for name in self.names]
        # Fields whose type alone does not show that their value is valid.
        # All others are checked by one comparison of lists, for speed.
        self._nested = [
            (index, self._checks[index])
            for index, name in enumerate(self.names)
            if self._types[index] is not hints[name]
        ]

    def first_mistyped_field(self, fields: tuple[t.Any, ...]) -> str | None:
        """Return the name of the first field of a wrong type, if any."""
        if list(map(type, fields)) == self._types:
            for index, check in self._nested:
                if not check(fields[index]):
                    return self.names[index]
            return None
        for name, check, value in zip(
            self.names, self._checks, fields, strict=True
        ):
            if not check(value):
                return name
        return None


def _exact_type(hint: t.Any) -> type | None:
    if t.get_origin(hint) is tuple:
        return tuple
    return hint if isinstance(hint, type) and hint is not object else None


def _type_check(hint: t.Any) -> Check:
    """Return a function that checks whether a value matches a type hint."""
    if hint in (t.Any, object):
        return lambda value: True
    if hint == messages.Pairs:
        return _is_pairs
    origin = t.get_origin(hint)
    if origin is tuple:
        return _check_tuple(t.get_args(hint))
    if origin in (t.Union, types.UnionType):
        checks = [_type_check(item) for item in t.get_args(hint)]
        return lambda value: any(check(value) for check in checks)
    kind = origin or hint
    return lambda value: type(value) is kind


def _is_pairs(value: t.Any) -> bool:
    if type(value) is not tuple:
        return False
    if not value:
        return True
    # Every call has headers: building sets of types in C is faster than
    # checking each item in Python.
    if set(map(type, value)) != {tuple} or set(map(len, value)) != {2}:
        return False
    return set(map(type, itertools.chain.from_iterable(value))) == {str}


def _check_tuple(arguments: tuple[t.Any, ...]) -> Check:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        check = _type_check(arguments[0])
        return lambda value: type(value) is tuple and all(map(check, value))
    checks = [_type_check(item) for item in arguments]

    def fits(value: t.Any) -> bool:
        if type(value) is not tuple or len(value) != len(checks):
            return False
        return all(
            check(item) for check, item in zip(checks, value, strict=True)
        )

    return fits


def _fields_getter(names: tuple[str, ...]) -> t.Callable[[t.Any], tuple]:
    if not names:
        return lambda item: ()
    get = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda item: (get(item),)
    return get


_LAYOUTS: dict[int, _Layout] = {}


def _layout(kind: t.Any) -> _Layout:
    if type(kind) is not int:
        raise FrameError("message kind is not an integer")
    layout = _LAYOUTS.get(kind)
    if layout is not None:
        return layout
    cls = messages.by_kind(kind)
    if cls is None:
        raise FrameError(f"unknown message kind {kind}")
    _LAYOUTS[kind] = _Layout(cls)
    return _LAYOUTS[kind]


def encode(message: messages.Message, configuration_version: int) -> bytes:
    """Encode a message as a frame.

    :param configuration_version: version of the configuration in force.
    """
    values = _layout(message.kind).fields(message)
    payload = msgpack.packb(
        (message.kind, configuration_version, *values),
        use_bin_type=True,
        unicode_errors=_TEXT_ERRORS,
    )
    return LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Frame:
    """Decode the payload of a frame.

    :param payload: the frame without its length.
    :raises FrameError: if the payload is malformed or its kind is unknown.
    """
    try:
        values = msgpack.unpackb(
            payload, use_list=False, raw=False, unicode_errors=_TEXT_ERRORS
        )
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"payload is not msgpack: {error}") from error
    if type(values) is not tuple or len(values) < 2:
        raise FrameError("payload is not an array of kind, version and fields")
    layout = _layout(values[0])
    version = values[1]
    fields = values[2:]
    if type(version) is not int or len(fields) != len(layout.names):
        raise FrameError(f"{layout.cls.__name__}: wrong number of fields")
    mistyped = layout.first_mistyped_field(fields)
    if mistyped is not None:
        raise FrameError(f"{layout.cls.__name__}.{mistyped}: wrong type")
    return Frame(version, layout.cls(*fields))


class FrameSplitter:
    """Splits a byte stream into frames.

    :param max_bytes: maximum length of a frame's payload.
    """

    def __init__(self, max_bytes: int = defaults.FRAME_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._needed_bytes = LENGTH.size

    def feed(self, data: bytes) -> t.Iterator[Frame]:
        """Add received bytes and yield the frames that are complete.

        :raises FrameError: if a frame is too long or malformed, after the
            frames before it have been yielded.
        """
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes < self._needed_bytes:
            return
        data = b"".join(self._buffered)
        start = 0
        needed = LENGTH.size
        while len(data) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(data, start)
            if length > self._max_bytes:
                raise FrameError(f"frame of {length} bytes is too long")
            needed = LENGTH.size + length
            if len(data) - start < needed:
                break
            yield decode(data[start + LENGTH.size : start + needed])
            start += needed
            needed = LENGTH.size
        self._buffered = [data[start:]]
        self._buffered_bytes = len(data) - start
        self._needed_bytes = needed
