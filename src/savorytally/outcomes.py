"""Outcomes of a request: the upstream's response or a failure."""

import dataclasses

from . import results

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete response of an upstream.

    :param status: the HTTP status.
    :param headers: the end-to-end headers as pairs of name and value.
    :param body: the whole body.
    :param retries_unused: number of retries reserved for the call that it
        did not use.
    :param replayed: whether it is a stored response to an earlier request
        with the same idempotency key.
    """

    status: int
    headers: Headers
    body: bytes
    retries_unused: int = 0
    replayed: bool = False

    @property
    def code(self) -> results.ResultCode:
        """The result code, which is always :data:`results.ANSWERED`."""
        return results.ANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The reason why a request has no response.

    :param code: the result code.
    :param detail: place or cause of the failure, free of secrets.
    :param retry_after_ms: time after which the caller may retry, 0 if
        unknown.
    :param retries_unused: number of retries reserved for the call that it
        did not use.
    """

    code: results.ResultCode
    detail: str = ""
    retry_after_ms: int = 0
    retries_unused: int = 0


Outcome = Answer | Failure
