"""Numbered result codes and their registry."""

import dataclasses
import enum


class Knowledge(enum.Enum):
    """Whether a request ran, as far as its result code states it."""

    NOT_RUN = 1
    RAN = 2
    UNKNOWN = 3
    OPERATOR = 9


@dataclasses.dataclass(frozen=True, slots=True)
class ResultCode:
    """A numbered result code.

    :param number: the code, stable across releases.
    :param name: its identifier in logs and metrics.
    :param http_status: HTTP status of responses with the code, 0 if it is
        never sent over HTTP.
    :param summary: description of the result.
    :param advice: recommended reaction of the caller.
    """

    number: int
    name: str
    http_status: int
    summary: str
    advice: str

    @property
    def knowledge(self) -> Knowledge:
        """Whether the request ran, as far as the code states it."""
        return Knowledge(self.number // 1000)

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.knowledge is Knowledge.NOT_RUN


_BY_NUMBER: dict[int, ResultCode] = {}


def define(
    number: int, name: str, http_status: int, summary: str, advice: str
) -> ResultCode:
    """Define and register a result code.

    :raises ValueError: if the number is already in use.
    """
    if number in _BY_NUMBER:
        raise ValueError(f"result code {number} is defined twice")
    code = ResultCode(number, name, http_status, summary, advice)
    _BY_NUMBER[number] = code
    return code


def by_number(number: int) -> ResultCode:
    """Return the code with a number.

    :raises KeyError: if there is none.
    """
    return _BY_NUMBER[number]


def all_codes() -> list[ResultCode]:
    """Return every code in numerical order."""
    return [_BY_NUMBER[number] for number in sorted(_BY_NUMBER)]
