"""Splits outcomes of calls into messages and reassembles them."""

import typing as t

import xxhash

from .. import defaults
from .. import http_rules
from .. import outcomes
from .. import results
from . import messages


def digest(call_id: int, body: bytes) -> int:
    """Return the digest that verifies the body of an answer.

    It is seeded with the call's identifier, so that the body of another
    call's answer does not match.
    """
    return xxhash.xxh3_64_intdigest(body, call_id)


def to_messages(
    call_id: int, outcome: outcomes.Outcome, shed_level: int
) -> t.Iterator[messages.Message]:
    """Yield the messages that carry the outcome of a call.

    :param call_id: identifier of the call.
    :param shed_level: the gate's shed level, -1 if unknown.
    """
    if isinstance(outcome, outcomes.Failure):
        yield messages.CallFailed(
            call_id=call_id,
            code=outcome.code.number,
            detail=outcome.detail,
            retry_after_ms=outcome.retry_after_ms,
            retries_unused=outcome.retries_unused,
            shed_level=shed_level,
        )
        return
    body = outcome.body
    size = defaults.RESPONSE_CHUNK_BYTES
    yield messages.AnswerHead(
        call_id=call_id,
        status=outcome.status,
        headers=outcome.headers,
        length=len(body),
        digest=digest(call_id, body),
        retries_unused=outcome.retries_unused,
        repeated=outcome.replayed,
        shed_level=shed_level,
        body=body[:size],
    )
    for start in range(size, len(body), size):
        piece = body[start : start + size]
        yield messages.AnswerPiece(call_id, start, piece)


def to_failure(failed: messages.CallFailed) -> outcomes.Failure:
    """Return the failure that a message carries.

    A result code that this node's version lacks becomes *outcome unknown*.
    """
    try:
        code = results.by_number(failed.code)
    except KeyError:
        code = results.OUTCOME_UNKNOWN
    return outcomes.Failure(
        code=code,
        detail=failed.detail,
        retry_after_ms=failed.retry_after_ms,
        retries_unused=failed.retries_unused,
    )


class Assembly:
    """Reassembles an answer; its messages may be reordered or duplicated."""

    def __init__(self) -> None:
        self._head: messages.AnswerHead | None = None
        self._pieces: dict[int, bytes] = {}
        self._received = 0

    @property
    def shed_level(self) -> int:
        """The shed level sent with the answer, -1 if none was received."""
        return self._head.shed_level if self._head else -1

    @property
    def complete(self) -> bool:
        """Whether the announced number of body bytes was received."""
        head = self._head
        return head is not None and self._received >= head.length

    def add_head(self, head: messages.AnswerHead) -> None:
        """Add the first message of the answer."""
        self._head = head
        self._add_bytes(0, head.body)

    def add_piece(self, piece: messages.AnswerPiece) -> None:
        """Add a later piece of the body.

        A piece that would exceed the maximum size of an answer is dropped,
        so that the answer never becomes complete.
        """
        self._add_bytes(piece.offset, piece.body)

    def outcome(self) -> outcomes.Outcome:
        """Return the answer, or a failure if it is truncated or corrupt."""
        head = self._head
        if head is None:
            return outcomes.Failure(results.ANSWER_TRUNCATED)
        pieces = self._pieces
        body = b"".join(pieces[start] for start in sorted(pieces))
        full_length = len(body) == head.length
        if not full_length or digest(head.call_id, body) != head.digest:
            return outcomes.Failure(
                results.ANSWER_TRUNCATED,
                "digest",
                retries_unused=head.retries_unused,
            )
        if not http_rules.is_final(head.status):
            return outcomes.Failure(
                results.UPSTREAM_BROKEN,
                "status",
                retries_unused=head.retries_unused,
            )
        return outcomes.Answer(
            status=head.status,
            headers=head.headers,
            body=body,
            retries_unused=head.retries_unused,
            replayed=head.repeated,
        )

    def _add_bytes(self, offset: int, body: bytes) -> None:
        free_bytes = defaults.RESPONSE_MAX_BYTES - self._received
        if offset in self._pieces or len(body) > free_bytes:
            return
        self._pieces[offset] = body
        self._received += len(body)
