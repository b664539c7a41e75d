"""Typed messages that nodes exchange.

Every message is a frozen data class with a number that stands for it on the
wire. Fields are of the types that msgpack carries; sequences are tuples.
"""

import dataclasses
import typing as t

PROTOCOL_VERSION = 1

Pairs = tuple[tuple[str, str], ...]

_BY_KIND: dict[int, type["Message"]] = {}

M = t.TypeVar("M", bound="type[Message]")


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base of all messages."""

    kind: t.ClassVar[int] = 0


def message(kind: int) -> t.Callable[[M], M]:
    """Return a decorator that files a message class under a number.

    :raises ValueError: if the number is taken.
    """

    def decorate(cls: M) -> M:
        if kind in _BY_KIND:
            raise ValueError(f"message kind {kind} is registered twice")
        cls.kind = kind
        _BY_KIND[kind] = cls
        return cls

    return decorate


def by_kind(kind: int) -> type[Message] | None:
    """Return the message class of that number, if there is one."""
    return _BY_KIND.get(kind)


def all_kinds() -> dict[int, type[Message]]:
    """Return every message class by its number."""
    return dict(_BY_KIND)


@message(1)
@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of either side on a stream.

    :param protocol: :data:`PROTOCOL_VERSION` of the sender.
    :param host_id: the sending node's host.
    :param incarnation: distinguishes a restarted node from its predecessor;
        later starts have greater numbers.
    """

    protocol: int
    host_id: str
    incarnation: int


@message(2)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Shows that the sender and the stream are alive.

    :param sequence: repeated in the reply.
    :param reply: whether this is the reply.
    """

    sequence: int
    reply: bool


@message(3)
@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye(Message):
    """Ends the calls on a stream in good order.

    A caller sends no call after it. A serving node that is leaving sends it
    first, is answered with one and goes on to answer the calls before that.

    :param leaving: whether the sender's host takes no new work.
    """

    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lost(Message):
    """Says that no stream to a peer is open; only handed on locally."""


@message(10)
@dataclasses.dataclass(frozen=True, slots=True)
class Call(Message):
    """Asks the receiving node's gate to run a request.

    :param call_id: unique among the calls of the sending incarnation.
    :param root_id: identifies the root request of the call tree.
    :param route_id: the route to run.
    :param organisation_id: the caller's organisation, empty if none.
    :param key_id: prefix of the key's digest, empty if none.
    :param priority: the class of the root request's route.
    :param tail: what follows the route's path.
    :param query: the query string without the question mark.
    :param headers: end-to-end request headers, free of secrets.
    :param body: the whole request body.
    :param remaining_ms: time left until the deadline.
    :param retries: retries that the call and its children may use.
    :param depth: calls above this one in the tree.
    :param attempt: number of earlier attempts at this call.
    :param idempotency_key: identifies the logical request, may be empty.
    :param fingerprint: digest of the request's content.
    :param suspect: whether the fingerprint is under suspicion of crashing
        upstreams and the call must run alone.
    :param traceparent: W3C trace context.
    :param limit_per_s: what the sender was told of the upstream's limit,
        infinite if nothing.
    """

    call_id: int
    root_id: str
    route_id: str
    organisation_id: str
    key_id: str
    priority: int
    tail: str
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
    """Withdraws a call whose answer is no longer wanted.

    :param call_id: the call.
    """

    call_id: int


@message(12)
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead(Message):
    """Begins the answer to a call.

    :param call_id: the call.
    :param status: the upstream's HTTP status.
    :param headers: end-to-end response headers.
    :param length: length of the whole body in bytes.
    :param digest: XXH3 64-bit digest of the whole body, seeded with the
        call's identifier.
    :param retries_unused: retries that come back to the caller.
    :param repeated: whether it is a retained answer.
    :param load: the gate's shed level, see ``decisions.shedding``.
    :param body: the first piece of the body, all of it if it is short.
    """

    call_id: int
    status: int
    headers: Pairs
    length: int
    digest: int
    retries_unused: int
    repeated: bool
    load: int
    body: bytes


@message(13)
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPiece(Message):
    """Continues the body of an answer.

    :param call_id: the call.
    :param offset: bytes of the body before this piece.
    :param body: the next piece.
    """

    call_id: int
    offset: int
    body: bytes


@message(14)
@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed(Message):
    """Ends a call without an answer.

    :param call_id: the call.
    :param code: number of the result code.
    :param detail: the place or cause.
    :param retry_after_ms: when the caller may come back.
    :param retries_unused: retries that come back to the caller.
    :param load: the gate's shed level.
    """

    call_id: int
    code: int
    detail: str
    retry_after_ms: int
    retries_unused: int
    load: int


@message(15)
@dataclasses.dataclass(frozen=True, slots=True)
class Resolve(Message):
    """Asks what became of a call that was sent on a lost stream.

    The receiver sends the answer, or ``StillRunning``, or makes sure that
    the call can never run and sends ``CallFailed`` with *not run*.

    :param call_id: the call.
    :param incarnation: the receiver's incarnation when it was sent.
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
class Settled(Message):
    """Tells that the sender will not ask about earlier calls any more.

    :param below: calls with a smaller identifier are settled.
    """

    below: int
