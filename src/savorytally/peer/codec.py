"""Frames of a peer stream: a length, then a msgpack array.

The array holds the message's kind, the sender's configuration version and
the message's fields in order of definition.
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

# HTTP headers may hold bytes that are not UTF-8; they travel unchanged.
_TEXT_ERRORS = "surrogateescape"

Check = t.Callable[[t.Any], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One decoded frame.

    :param configuration_version: the sender's version in force.
    :param message: the message.
    """

    configuration_version: int
    message: messages.Message


class FrameError(Exception):
    """A frame that is too long, malformed or of an unknown kind.

    The stream that carried it is closed; no other is disturbed.
    """


class _Layout:
    """Field order and types of one message class."""

    def __init__(self, cls: type[messages.Message]) -> None:
        hints = t.get_type_hints(cls)
        self.cls = cls
        self.names = tuple(field.name for field in dataclasses.fields(cls))
        self.fields = _getter(self.names)
        self._checks = tuple(_check(hints[name]) for name in self.names)
        self._shape = [_shape(hints[name]) for name in self.names]
        # Comparing all types at once leaves few fields to be looked into.
        self._nested = [
            (index, self._checks[index])
            for index, name in enumerate(self.names)
            if self._shape[index] is not hints[name]
        ]

    def first_fault(self, fields: tuple[t.Any, ...]) -> str | None:
        """Return the name of the first field of a wrong type."""
        if list(map(type, fields)) == self._shape:
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


def _shape(hint: t.Any) -> type | None:
    if t.get_origin(hint) is tuple:
        return tuple
    return hint if isinstance(hint, type) and hint is not object else None


def _check(hint: t.Any) -> Check:
    """Return a function that tells whether a value fits a type hint."""
    if hint in (t.Any, object):
        return lambda value: True
    if hint == messages.Pairs:
        return _is_pairs
    origin = t.get_origin(hint)
    if origin is tuple:
        return _check_tuple(t.get_args(hint))
    if origin in (t.Union, types.UnionType):
        checks = [_check(item) for item in t.get_args(hint)]
        return lambda value: any(check(value) for check in checks)
    kind = origin or hint
    return lambda value: type(value) is kind


def _is_pairs(value: t.Any) -> bool:
    if type(value) is not tuple:
        return False
    if not value:
        return True
    # Sets of types are built in C; headers come with every call.
    if set(map(type, value)) != {tuple} or set(map(len, value)) != {2}:
        return False
    return set(map(type, itertools.chain.from_iterable(value))) == {str}


def _check_tuple(arguments: tuple[t.Any, ...]) -> Check:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        check = _check(arguments[0])
        return lambda value: type(value) is tuple and all(map(check, value))
    checks = [_check(item) for item in arguments]

    def fits(value: t.Any) -> bool:
        if type(value) is not tuple or len(value) != len(checks):
            return False
        return all(
            check(item) for check, item in zip(checks, value, strict=True)
        )

    return fits


def _getter(names: tuple[str, ...]) -> t.Callable[[t.Any], tuple]:
    if not names:
        return lambda item: ()
    get = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda item: (get(item),)
    return get


_LAYOUTS: dict[int, _Layout] = {}


def _layout(kind: t.Any) -> _Layout:
    if type(kind) is not int:
        raise FrameError("kind is not a number")
    layout = _LAYOUTS.get(kind)
    if layout is not None:
        return layout
    cls = messages.by_kind(kind)
    if cls is None:
        raise FrameError(f"unknown message kind {kind}")
    _LAYOUTS[kind] = _Layout(cls)
    return _LAYOUTS[kind]


def encode(message: messages.Message, configuration_version: int) -> bytes:
    """Return the frame that carries a message."""
    values = _layout(message.kind).fields(message)
    payload = msgpack.packb(
        (message.kind, configuration_version, *values),
        use_bin_type=True,
        unicode_errors=_TEXT_ERRORS,
    )
    return LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Frame:
    """Turn a frame's payload into a message.

    :param payload: the frame without its length.
    :raises FrameError: if it is malformed.
    """
    try:
        values = msgpack.unpackb(
            payload, use_list=False, raw=False, unicode_errors=_TEXT_ERRORS
        )
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"not a msgpack value: {error}") from error
    if type(values) is not tuple or len(values) < 2:
        raise FrameError("not an array of kind, version and fields")
    layout = _layout(values[0])
    version = values[1]
    fields = values[2:]
    if type(version) is not int or len(fields) != len(layout.names):
        raise FrameError(f"{layout.cls.__name__}: wrong number of fields")
    fault = layout.first_fault(fields)
    if fault is not None:
        raise FrameError(f"{layout.cls.__name__}.{fault}: wrong type")
    return Frame(version, layout.cls(*fields))


class Splitter:
    """Cuts a byte stream into frames.

    :param max_bytes: longest payload that is accepted.
    """

    def __init__(self, max_bytes: int = defaults.FRAME_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._chunks: list[bytes] = []
        self._held_bytes = 0
        self._needed_bytes = LENGTH.size

    def feed(self, data: bytes) -> t.Iterator[Frame]:
        """Add received bytes and yield the frames that are complete.

        :raises FrameError: if a frame is too long or malformed; the frames
            before it have been yielded.
        """
        self._chunks.append(data)
        self._held_bytes += len(data)
        if self._held_bytes < self._needed_bytes:
            return
        data = b"".join(self._chunks)
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
        self._chunks = [data[start:]]
        self._held_bytes = len(data) - start
        self._needed_bytes = needed
