"""Messages by which owners of shards learn what their peers know."""

import dataclasses

from . import messages


@messages.message(50)
@dataclasses.dataclass(frozen=True, slots=True)
class ListQuestion(messages.Message):
    """Asks a witness which host list it holds, and since when.

    :param nonce: repeated in the answer.
    :param version: the list that is asked about.
    """

    nonce: int
    version: int


@messages.message(51)
@dataclasses.dataclass(frozen=True, slots=True)
class ListAnswer(messages.Message):
    """Answers ``ListQuestion``.

    :param nonce: of the question.
    :param list_version: the list that the sender holds.
    :param held_ms: how long it has held the list that was asked about or a
        newer one, -1 if it has none.
    """

    nonce: int
    list_version: int
    held_ms: int
