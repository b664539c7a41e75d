"""Frames between nodes: MessagePack arrays that begin with their kind."""

import enum
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
    NEWS = 6
    PULL = 7
    CONFIGURATION = 8
    LEAVING = 9
    ASK = 10
    GRANT = 11
    DEMAND = 12
    CRASHED = 13
    CULPRIT = 14
    FOLLOW = 15
    FRESH = 16
    CHANGES = 17
    SAMPLES = 18
    WAITS = 19
    STANDING = 20


class Flag:
    """What is true of a call: bits of one number."""

    IDEMPOTENT = 1
    # Made by an upstream while it runs another request.
    CHILD = 2
    # Sent before to another upstream, or below such a request.
    REPEAT = 4
    # Its caller came back after a refusal.
    RETURNED = 8
    # Its upstream is no longer listed; the gate makes sure that it serves.
    UNLISTED = 16


class Call(t.NamedTuple):
    """A request for the upstream beside the receiver.

    :param number: identifies it on the stream.
    :param instance_id: the start of the upstream that is meant.
    :param route: the route's name.
    :param remaining_ms: time in which an answer is of use.
    :param objective_ms: time in which it is worth most, from now.
    :param rank: 0 is the most urgent.
    :param flags: see :class:`Flag`.
    :param organisation: holder of the caller's key, empty if none.
    :param caller_service: service on the host where the request began.
    :param request_id: the caller's identifier of this attempt.
    :param limit_per_s: what the sender was told of the upstream's limit,
        ``None`` if nothing.
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
    """What became of a call.

    :param number: the call.
    :param code: number of the result code.
    :param status: the upstream's HTTP status, 0 without an answer.
    :param retry_after_ms: when to come back, 0 if unknown.
    :param arrived: whether the request reached the upstream.
    :param wait_ms: expected wait of such a call at this gate.
    :param below_ms: expected wait of calls that the upstream makes for it.
    :param chained: whether a call that the upstream made for it has failed.
    :param run_ms: time that the upstream took.
    :param load: requests that run and wait at the gate.
    :param limit: requests that the gate lets run.
    :param limit_per_s: requests a second that the upstream takes, infinite
        if it names no limit, ``None`` if the gate has nothing to tell.
    :param share_per_s: how many of these one sender may count on.
    :param leaving: whether the upstream has said that it leaves.
    """

    number: int
    code: int
    status: int = 0
    headers: Headers = []  # noqa: RUF012, never changed
    body: bytes = b""
    retry_after_ms: int = 0
    arrived: bool = False
    wait_ms: int = 0
    below_ms: int = 0
    chained: bool = False
    run_ms: int = 0
    load: int = 0
    limit: int = 0
    limit_per_s: float | None = None
    share_per_s: float = 0.0
    leaving: bool = False

    @property
    def answered(self) -> bool:
        """Whether it holds the upstream's whole answer."""
        return self.code == results.ANSWERED.number

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return results.by_number(self.code).not_run


class MalformedFrame(ValueError):
    """Bytes on a stream that are no frame of this protocol."""


_NUMBER = (int, float)
# Types of the fields of each kind.
_SHAPES: dict[int, tuple[type | tuple[type, ...], ...]] = {
    Kind.CALL: (
        *(int, str, str, bytes, bytes, list, bytes),
        *(int, int, int, int, str, str, bytes),
        (int, float, type(None)),
    ),
    Kind.RESULT: (
        *(int, int, int, list, bytes, int, bool),
        *(int, int, bool, int, int, int),
        *((int, float, type(None)), _NUMBER, bool),
    ),
    Kind.CANCEL: (int,),
    Kind.PING: (),
    Kind.PONG: (),
    Kind.NEWS: (int,),
    Kind.PULL: (),
    Kind.CONFIGURATION: (bytes,),
    Kind.LEAVING: (),
    Kind.ASK: (int, str, int),
    Kind.GRANT: (int, int, bool, int),
    Kind.DEMAND: (str, dict),
    Kind.CRASHED: (list,),
    Kind.CULPRIT: (int, int),
    Kind.FOLLOW: (int,),
    Kind.FRESH: (int, bool, int, int),
    Kind.CHANGES: ((int, type(None)), int, bool, int, list, list),
    Kind.SAMPLES: (list,),
    Kind.WAITS: (list,),
    Kind.STANDING: (str, _NUMBER, _NUMBER, bool),
}
# Place of the headers in the frames that have them.
_HEADERS = {Kind.CALL: 6, Kind.RESULT: 4}


def _check(frame: t.Any) -> None:
    """Make sure that a frame is one of this protocol.

    :raises MalformedFrame: if it is not.
    """
    if not isinstance(frame, list) or not frame:
        raise MalformedFrame("a frame is no array")
    kind = frame[0]
    shape = _SHAPES.get(kind) if isinstance(kind, int) else None
    if shape is None:
        raise MalformedFrame(f"kind {kind!r} is not known")
    if len(frame) != len(shape) + 1:
        raise MalformedFrame(f"kind {kind} with {len(frame) - 1} fields")
    for value, wanted in zip(frame[1:], shape, strict=True):
        if not isinstance(value, wanted):
            raise MalformedFrame(f"kind {kind} with a field of another type")
    for pair in frame[_HEADERS[kind]] if kind in _HEADERS else ():
        match pair:
            case [bytes(), bytes()]:
                continue
        raise MalformedFrame(f"kind {kind} with a header of another type")


class Reader:
    """Cuts a stream into frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            use_list=True,
            max_buffer_size=FRAME_MAX_BYTES,
            strict_map_key=True,
        )

    def feed(self, data: bytes) -> list[list[t.Any]]:
        """Return the frames that are whole by now.

        :raises MalformedFrame: if the bytes are no frames.
        """
        try:
            self._unpacker.feed(data)
            frames = list(self._unpacker)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise MalformedFrame(str(error)) from error
        for frame in frames:
            _check(frame)
        return frames


_packer = msgpack.Packer(use_bin_type=True, autoreset=True)


def encode(kind: Kind, *fields: t.Any) -> bytes:
    """Return the bytes of a frame."""
    return _packer.pack((int(kind), *fields))
