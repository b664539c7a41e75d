"""Tagged outcomes of a request."""

import dataclasses

from . import results

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An upstream's whole answer.

    :param status: the upstream's HTTP status.
    :param headers: its end-to-end headers as pairs.
    :param body: the whole body.
    :param retries_unused: retries given to the call that it did not use.
    :param repeated: whether a retained answer was delivered again.
    """

    status: int
    headers: Headers
    body: bytes
    retries_unused: int = 0
    repeated: bool = False

    @property
    def code(self) -> results.ResultCode:
        """The result code, always :data:`results.ANSWERED`."""
        return results.ANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The reason why a request has no answer.

    :param code: the numbered result.
    :param detail: the place or cause, free of secrets.
    :param retry_after_ms: when the caller may come back, 0 if unknown.
    :param retries_unused: retries given to the call that it did not use.
    """

    code: results.ResultCode
    detail: str = ""
    retry_after_ms: int = 0
    retries_unused: int = 0


Outcome = Answer | Failure
