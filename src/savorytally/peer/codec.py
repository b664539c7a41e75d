"""Frames of a peer stream: a length, then a msgpack array.

The array holds the message's kind, the sender's configuration version and
the message's fields in order of definition.
"""

import dataclasses
import operator
import struct
import typing as t

import msgpack

from .. import defaults
from . import messages

LENGTH = struct.Struct(">I")

_TYPES: dict[str, tuple[type, ...]] = {}


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
        fields = dataclasses.fields(cls)
        self.cls = cls
        self.names = tuple(field.name for field in fields)
        self.types = tuple(_carried(hints[name]) for name in self.names)
        self.fields = _getter(self.names)


def _carried(hint: t.Any) -> type:
    origin = t.get_origin(hint) or hint
    return origin if isinstance(origin, type) else object


def _getter(names: tuple[str, ...]) -> t.Callable[[t.Any], tuple]:
    if not names:
        return lambda item: ()
    get = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda item: (get(item),)
    return get


_LAYOUTS: dict[int, _Layout] = {}


def _layout(kind: t.Any) -> _Layout:
    layout = _LAYOUTS.get(kind)
    if layout is not None:
        return layout
    cls = messages.by_kind(kind) if isinstance(kind, int) else None
    if cls is None:
        raise FrameError(f"unknown message kind {kind!r}")
    _LAYOUTS[kind] = _Layout(cls)
    return _LAYOUTS[kind]


def encode(message: messages.Message, configuration_version: int) -> bytes:
    """Return the frame that carries a message."""
    values = _layout(message.kind).fields(message)
    payload = msgpack.packb(
        (message.kind, configuration_version, *values),
        use_bin_type=True,
    )
    return LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Frame:
    """Turn a frame's payload into a message.

    :param payload: the frame without its length.
    :raises FrameError: if it is malformed.
    """
    try:
        values = msgpack.unpackb(payload, use_list=False, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"not a msgpack value: {error}") from error
    if type(values) is not tuple or len(values) < 2:
        raise FrameError("not an array of kind, version and fields")
    layout = _layout(values[0])
    version = values[1]
    fields = values[2:]
    if type(version) is not int or len(fields) != len(layout.names):
        raise FrameError(f"{layout.cls.__name__}: wrong number of fields")
    for name, kind, value in zip(
        layout.names, layout.types, fields, strict=True
    ):
        if type(value) is not kind and kind is not object:
            text = f"{layout.cls.__name__}.{name}: not {kind.__name__}"
            raise FrameError(text)
    return Frame(version, layout.cls(*fields))


class Splitter:
    """Cuts a byte stream into frames.

    :param max_bytes: longest payload that is accepted.
    """

    def __init__(self, max_bytes: int = defaults.FRAME_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are complete.

        :raises FrameError: if a frame is too long or malformed.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer, start)
            if length > self._max_bytes:
                raise FrameError(f"frame of {length} bytes is too long")
            end = start + LENGTH.size + length
            if end > len(self._buffer):
                break
            payload = bytes(self._buffer[start + LENGTH.size : end])
            frames.append(decode(payload))
            start = end
        del self._buffer[:start]
        return frames
