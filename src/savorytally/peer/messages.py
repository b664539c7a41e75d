"""Typed messages that nodes exchange.

Each message class is a frozen data class with a number that identifies it on
the wire, its kind. Fields have types that msgpack can encode; sequences are
tuples.
"""

import dataclasses
import typing as t

PROTOCOL_VERSION = 1

Pairs = tuple[tuple[str, str], ...]

_BY_KIND: dict[int, type["Message"]] = {}

M = t.TypeVar("M", bound="type[Message]")


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base class of all messages."""

    kind: t.ClassVar[int] = 0


def message(kind: int) -> t.Callable[[M], M]:
    """Return a decorator that registers a message class.

    :param kind: the number that identifies the class on the wire.
    :raises ValueError: if another class has that number.
    """

    def decorate(cls: M) -> M:
        if kind in _BY_KIND:
            raise ValueError(f"message kind {kind} is registered twice")
        cls.kind = kind
        _BY_KIND[kind] = cls
        return cls

    return decorate


def by_kind(kind: int) -> type[Message] | None:
    """Return the message class of a number, ``None`` if there is none."""
    return _BY_KIND.get(kind)


def all_kinds() -> dict[int, type[Message]]:
    """Return all message classes by number."""
    return dict(_BY_KIND)


@message(1)
@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Message):
    """Introduces the sender; the first message of either end of a stream.

    :param protocol: :data:`PROTOCOL_VERSION` of the sender.
    :param host_id: identifier of the sender's host.
    :param incarnation: distinguishes runs of a node; a later run has a
        greater number.
    """

    protocol: int
    host_id: str
    incarnation: int


@message(2)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Tests whether the stream and the node at its other end are alive.

    :param sequence: number that the reply repeats.
    :param reply: whether this is the reply.
    """

    sequence: int
    reply: bool


@message(3)
@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye(Message):
    """Announces that no more calls are to follow on a stream.

    A caller sends no call after it. A serving node that is leaving sends it
    first. The caller replies with one, and the serving node still answers
    the calls that precede the reply.

    :param leaving: whether the sender's host accepts no new work.
    """

    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDisconnected(Message):
    """Reports that no stream to a peer is open; never sent to other nodes."""


@message(10)
@dataclasses.dataclass(frozen=True, slots=True)
class Call(Message):
    """Requests that the receiving node's gate run a call.

    :param call_id: unique among the calls of the sending incarnation.
    :param root_id: identifier of the call tree's root request.
    :param route_id: the route to call.
    :param organisation_id: the caller's organisation, empty if none.
    :param key_id: prefix of the key's digest, empty if none.
    :param priority: priority class of the root request's route.
    :param path_suffix: the request's path after the route's path.
    :param query: the query string without the question mark.
    :param headers: end-to-end request headers without secrets.
    :param body: the whole request body.
    :param remaining_ms: time left until the deadline.
    :param retries: retries that the call and its child calls may use.
    :param depth: number of ancestors in the call tree.
    :param attempt: number of earlier attempts at this call.
    :param idempotency_key: identifies the logical request, may be empty.
    :param fingerprint: digest of the request's content.
    :param suspect: whether an earlier attempt may have crashed an upstream,
        so that the call must run in isolation.
    :param traceparent: W3C trace context.
    :param limit_per_s: rate limit that the upstream last advertised to the
        sender, infinite if none.
    """

    call_id: int
    root_id: str
    route_id: str
    organisation_id: str
    key_id: str
    priority: int
    path_suffix: str
    query: str
    headers: Pairs
    body: bytes
    remaining_ms: int
    retries: int
    depth: int
    attempt: int
    idempotency_key: str
    fingerprint: int
    suspect: bool
    traceparent: str
    limit_per_s: float


@message(11)
@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Cancels a call whose answer is no longer needed.

    :param call_id: the call.
    """

    call_id: int


@message(12)
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead(Message):
    """First message of the answer to a call.

    :param call_id: the call.
    :param status: the upstream's HTTP status.
    :param headers: end-to-end response headers.
    :param length: length of the whole body in bytes.
    :param digest: XXH3 64-bit digest of the whole body, seeded with the
        call's identifier.
    :param retries_unused: number of the call's retries that the caller gets
        back.
    :param repeated: whether the answer is the recorded one of an earlier
        call.
    :param shed_level: the gate's shed level, see ``decisions.shedding``.
    :param body: the first piece of the body, the whole body if it is short.
    """

    call_id: int
    status: int
    headers: Pairs
    length: int
    digest: int
    retries_unused: int
    repeated: bool
    shed_level: int
    body: bytes


@message(13)
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPiece(Message):
    """A later piece of an answer's body.

    :param call_id: the call.
    :param offset: position of the piece in the body, in bytes.
    :param body: the piece.
    """

    call_id: int
    offset: int
    body: bytes


@message(14)
@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed(Message):
    """Reports that a call ended without an answer.

    :param call_id: the call.
    :param code: number of the result code.
    :param detail: where or why the call failed.
    :param retry_after_ms: time after which the caller may retry.
    :param retries_unused: number of the call's retries that the caller gets
        back.
    :param shed_level: the gate's shed level, -1 if unknown.
    """

    call_id: int
    code: int
    detail: str
    retry_after_ms: int
    retries_unused: int
    shed_level: int


@message(15)
@dataclasses.dataclass(frozen=True, slots=True)
class Resolve(Message):
    """Requests the state of a call that was sent on a lost stream.

    The receiver sends the call's outcome or ``StillRunning``. If it has not
    received the call, it rejects the call for good and sends ``CallFailed``
    with a result code for *not run*.

    :param call_id: the call.
    :param incarnation: the receiver's incarnation when the call was sent.
    """

    call_id: int
    incarnation: int


@message(16)
@dataclasses.dataclass(frozen=True, slots=True)
class StillRunning(Message):
    """Answers ``Resolve``: the call is queued or running.

    :param call_id: the call.
    """

    call_id: int


@message(17)
@dataclasses.dataclass(frozen=True, slots=True)
class CallsSettled(Message):
    """Allows the receiver to forget calls that the sender has settled.

    The sender no longer requests the state of these calls.

    :param before_call_id: all calls with smaller identifiers are settled.
    """

    before_call_id: int
