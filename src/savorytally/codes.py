"""What a numbered result code is, and the register of all codes."""

import dataclasses
import enum


class Knowledge(enum.Enum):
    """What a result code says about the execution of its request."""

    NOT_RUN = 1
    RAN = 2
    UNKNOWN = 3
    OPERATOR = 9


@dataclasses.dataclass(frozen=True, slots=True)
class ResultCode:
    """One numbered result.

    :param number: the code itself, stable across releases.
    :param name: its identifier in logs and metrics.
    :param http_status: the status that comes with it, 0 if it never
        travels over HTTP.
    :param summary: what happened.
    :param advice: what the caller should do next.
    """

    number: int
    name: str
    http_status: int
    summary: str
    advice: str

    @property
    def knowledge(self) -> Knowledge:
        """What the code says about the execution of the request."""
        return Knowledge(self.number // 1000)

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.knowledge is Knowledge.NOT_RUN


_BY_NUMBER: dict[int, ResultCode] = {}


def define(
    number: int, name: str, http_status: int, summary: str, advice: str
) -> ResultCode:
    """Define a code.

    :raises ValueError: if the number is taken.
    """
    if number in _BY_NUMBER:
        raise ValueError(f"result code {number} is defined twice")
    code = ResultCode(number, name, http_status, summary, advice)
    _BY_NUMBER[number] = code
    return code


def by_number(number: int) -> ResultCode:
    """Return the code of that number.

    :raises KeyError: if no such code is defined.
    """
    return _BY_NUMBER[number]


def all_codes() -> list[ResultCode]:
    """Return every code in numerical order."""
    return [_BY_NUMBER[number] for number in sorted(_BY_NUMBER)]
