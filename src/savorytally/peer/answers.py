"""Turns outcomes into answer messages and puts them together again."""

import dataclasses
import typing as t

import xxhash

from .. import defaults
from .. import outcomes
from .. import results
from . import messages


def digest(body: bytes) -> int:
    """Return the digest that an answer's body is checked against."""
    return xxhash.xxh3_64_intdigest(body)


def to_messages(
    call_id: int, outcome: outcomes.Outcome, level: int
) -> t.Iterator[messages.Message]:
    """Yield the messages that carry an outcome.

    :param call_id: the call that it ends.
    :param level: the gate's shed level.
    """
    if isinstance(outcome, outcomes.Failure):
        yield messages.CallFailed(
            call_id=call_id,
            code=outcome.code.number,
            detail=outcome.detail,
            retry_after_ms=outcome.retry_after_ms,
            retries_unused=outcome.retries_unused,
            load=level,
        )
        return
    body = outcome.body
    size = defaults.ANSWER_PIECE_BYTES
    yield messages.AnswerHead(
        call_id=call_id,
        status=outcome.status,
        headers=outcome.headers,
        length=len(body),
        digest=digest(body),
        retries_unused=outcome.retries_unused,
        repeated=outcome.repeated,
        load=level,
        body=body[:size],
    )
    for start in range(size, len(body), size):
        yield messages.AnswerPiece(call_id, body[start : start + size])


def to_failure(failed: messages.CallFailed) -> outcomes.Failure:
    """Return the failure that a message carries."""
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


@dataclasses.dataclass(slots=True)
class Assembly:
    """An answer whose pieces are arriving.

    :param head: its first message.
    """

    head: messages.AnswerHead
    _pieces: list[bytes] = dataclasses.field(default_factory=list)
    _received: int = 0

    def __post_init__(self) -> None:
        self.add(self.head.body)

    @property
    def complete(self) -> bool:
        """Whether as many bytes arrived as were announced."""
        return self._received >= self.head.length

    def add(self, piece: bytes) -> None:
        """Append the next piece of the body."""
        self._pieces.append(piece)
        self._received += len(piece)

    def outcome(self) -> outcomes.Outcome:
        """Return the whole answer, or a failure if it is damaged."""
        head = self.head
        body = b"".join(self._pieces)
        if len(body) != head.length or digest(body) != head.digest:
            return outcomes.Failure(
                results.ANSWER_TRUNCATED,
                retries_unused=head.retries_unused,
            )
        return outcomes.Answer(
            status=head.status,
            headers=head.headers,
            body=body,
            retries_unused=head.retries_unused,
            repeated=head.repeated,
        )
