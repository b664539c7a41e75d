"""Frames between nodes: MessagePack arrays that start with their kind."""

import enum
import math
import typing as t

import msgpack

from .. import results

Headers = list[tuple[bytes, bytes]]

FRAME_MAX_BYTES = 1 << 27


class Kind(enum.IntEnum):
    """Kinds of frames."""

    CALL = 1
    RESULT = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    VERSION = 6
    PULL = 7
    CONFIGURATION = 8
    LEAVING = 9
    TOKEN_REQUEST = 10
    TOKEN_GRANT = 11
    DEMAND_REPORT = 12
    CRASHED = 13
    POISON_REQUEST = 14
    FOLLOW = 15
    FRESH = 16
    CHANGES = 17
    WAIT_SAMPLES = 18
    MEAN_WAITS = 19
    ADVERTISEMENT = 20
    # Only sent in reply to a crash report, which older builds don't send.
    CRASH_COUNTED = 21
    # Only sent in reply to :data:`ASK_STATE`.
    STATE = 22


# Sent as a version to ask a host for its own and for what only running hosts
# know. Older builds ask for the former by -1, and reply to both with it.
ASK_STATE = -2


class Flag:
    """Properties of a call, as bits of one number."""

    IDEMPOTENT = 1
    # An upstream has made the call for another request.
    CHILD = 2
    # An earlier attempt may have reached another upstream, or the call belongs
    # to a retried request.
    RETRY = 4
    # Its caller retries after a refusal.
    CALLER_RETRY = 8
    # The host list no longer contains its upstream; the gate checks whether
    # the upstream still serves.
    UNLISTED = 16
    # The sender reads the optional last fields of results.
    OPTIONAL_FIELDS = 32
    # Its deadline lies before its caller's: the upstream's own response to the
    # end of the time is waited for.
    SHORTENED = 64


class Call(t.NamedTuple):
    """A request for the upstream on the receiving host.

    :param number: identifies the call on its stream.
    :param instance_id: the upstream instance that should run it.
    :param route: the route's name.
    :param method: the HTTP method.
    :param target: the request target, with the query.
    :param headers: the end-to-end headers.
    :param body: the complete body.
    :param remaining_ms: milliseconds until its response is useless.
    :param objective_ms: milliseconds until its response has less value.
    :param rank: its urgency; 0 is the most urgent.
    :param flags: bits of :class:`Flag`.
    :param organisation: holder of the caller's key, empty if none.
    :param caller_service: service of the host where the request started.
    :param request_id: the caller's identifier of this attempt.
    :param limit_per_s: the upstream's rate limit as the sender knows it, in
        requests per second, ``None`` if unknown.
    """

    number: int
    instance_id: str
    route: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    remaining_ms: int
    objective_ms: int
    rank: int
    flags: int
    organisation: str
    caller_service: str
    request_id: bytes
    limit_per_s: float | None = None


class Result(t.NamedTuple):
    """The result of a call.

    :param number: the number of the call.
    :param code: number of the result code.
    :param status: the upstream's HTTP status, 0 without a response.
    :param headers: headers of the upstream's response.
    :param body: body of the upstream's response.
    :param retry_after_ms: milliseconds until a retry makes sense, 0 if
        unknown.
    :param arrived: whether the request reached the upstream.
    :param wait_ms: expected wait of such a call at this gate, in milliseconds.
    :param child_wait_ms: expected wait of the calls that the upstream makes
        for it, in milliseconds.
    :param child_failed: whether a call that the upstream made for it failed.
    :param run_ms: time that the upstream took, in milliseconds.
    :param load: number of requests that run or wait at the gate.
    :param limit: number of requests that the gate lets run at once.
    :param limit_per_s: the upstream's rate limit in requests per second,
        infinite if it advertises none, ``None`` if the gate does not report
        it.
    :param share_per_s: the part of that limit that one sender may use.
    :param leaving: whether the upstream advertises that it is draining.
    :param slowdown: how long work takes at the upstream at the moment, in
        percent of the usual time, ``None`` if it does not report that.
    """

    number: int
    code: int
    status: int = 0
    headers: Headers = []  # noqa: RUF012, never changed
    body: bytes = b""
    retry_after_ms: int = 0
    arrived: bool = False
    wait_ms: int = 0
    child_wait_ms: int = 0
    child_failed: bool = False
    run_ms: int = 0
    load: int = 0
    limit: int = 0
    limit_per_s: float | None = None
    share_per_s: float = 0.0
    leaving: bool = False
    slowdown: int | None = None

    @property
    def encoded_fields(self) -> tuple[t.Any, ...]:
        """The fields that a frame contains.

        Builds without the optional last field reject frames that contain it.
        """
        return self[:-1] if self.slowdown is None else self

    @property
    def answered(self) -> bool:
        """Whether it contains the upstream's complete response."""
        return self.code == results.ANSWERED.number

    @property
    def not_run(self) -> bool:
        """Whether the request has certainly not run."""
        return results.by_number(self.code).not_run


class MalformedFrame(ValueError):
    """The bytes on a stream are not a valid frame."""


_NUMBER = (int, float)
# Types of the fields of each kind.
_FIELD_TYPES: dict[int, tuple[type | tuple[type, ...], ...]] = {
    Kind.CALL: (
        *(int, str, str, bytes, bytes, list, bytes),
        *(int, int, int, int, str, str, bytes),
        (int, float, type(None)),
    ),
    Kind.RESULT: (
        *(int, int, int, list, bytes, int, bool),
        *(int, int, bool, int, int, int),
        *((int, float, type(None)), _NUMBER, bool),
        (int, type(None)),
    ),
    Kind.CANCEL: (int,),
    Kind.PING: (),
    Kind.PONG: (),
    Kind.VERSION: (int,),
    Kind.PULL: (),
    Kind.CONFIGURATION: (bytes,),
    Kind.LEAVING: (),
    Kind.TOKEN_REQUEST: (int, str, int),
    Kind.TOKEN_GRANT: (int, int, bool, int),
    Kind.DEMAND_REPORT: (str, dict),
    Kind.CRASHED: (list,),
    Kind.POISON_REQUEST: (int, int),
    Kind.FOLLOW: (int,),
    Kind.FRESH: ((int, list), bool, int, int),
    Kind.CHANGES: (
        *((int, list, type(None)), (int, list)),
        *(bool, int, list, list, int),
    ),
    Kind.WAIT_SAMPLES: (list,),
    Kind.MEAN_WAITS: (list,),
    Kind.ADVERTISEMENT: (str, _NUMBER, _NUMBER, bool),
    Kind.CRASH_COUNTED: (int, list),
    Kind.STATE: (list, list),
}
# Indexes of the fields that are or contain floating point numbers.
_FLOAT_INDEXES = {
    kind: [
        index
        for index, expected in enumerate(types, start=1)
        if expected is dict
        or (isinstance(expected, tuple) and float in expected)
    ]
    for kind, types in _FIELD_TYPES.items()
}
# Number of last fields that frames of older builds lack.
_OPTIONAL_FIELDS = {Kind.CHANGES: 1, Kind.RESULT: 1}
# Index of the headers in the frames that contain them.
_HEADERS_INDEX = {Kind.CALL: 6, Kind.RESULT: 4}


def _validate(frame: t.Any) -> None:
    """Check the kind of a frame, and the number and types of its fields.

    :raises MalformedFrame: if the frame is invalid.
    """
    if not isinstance(frame, list) or not frame:
        raise MalformedFrame("a frame is not an array")
    kind = frame[0]
    types = _FIELD_TYPES.get(kind) if isinstance(kind, int) else None
    if types is None:
        raise MalformedFrame(f"unknown frame kind {kind!r}")
    missing = len(types) + 1 - len(frame)
    if not 0 <= missing <= _OPTIONAL_FIELDS.get(kind, 0):
        raise MalformedFrame(
            f"frame kind {kind} has {len(frame) - 1} fields, not {len(types)}"
        )
    for value, expected in zip(frame[1:], types, strict=False):
        if not isinstance(value, expected):
            raise MalformedFrame(
                f"frame kind {kind} has a field of another type"
            )
    for index in _FLOAT_INDEXES[kind]:
        if index < len(frame) and not _is_usable(frame[index]):
            raise MalformedFrame(f"frame kind {kind} has no usable number")
    for pair in frame[_HEADERS_INDEX[kind]] if kind in _HEADERS_INDEX else ():
        match pair:
            case [bytes(), bytes()]:
                continue
        raise MalformedFrame(f"frame kind {kind} has a header of another type")


def _is_usable(value: t.Any) -> bool:
    """Return whether a number, or each value of a table, is a usable number.

    Results of comparisons with other numbers would be arbitrary.
    """
    if isinstance(value, dict):
        return all(
            isinstance(item, _NUMBER) and math.isfinite(item)
            for item in value.values()
        )
    return not (isinstance(value, float) and math.isnan(value))


class Decoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            use_list=True,
            max_buffer_size=FRAME_MAX_BYTES,
            strict_map_key=True,
        )

    def feed(self, data: bytes) -> list[list[t.Any]]:
        """Return the frames that are complete.

        :raises MalformedFrame: if the bytes are not valid frames.
        """
        try:
            self._unpacker.feed(data)
            frames = list(self._unpacker)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise MalformedFrame(str(error)) from error
        for frame in frames:
            _validate(frame)
        return frames


_packer = msgpack.Packer(use_bin_type=True, autoreset=True)


def encode(kind: Kind, *fields: t.Any) -> bytes:
    """Return the bytes of a frame."""
    return _packer.pack((int(kind), *fields))
