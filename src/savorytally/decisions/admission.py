"""The gate's decision which calls run, wait or are refused.

The gate's shell owns the calls' contents; decisions name calls by ticket.
"""

import dataclasses
import enum
import typing as t

from .. import registry
from .. import results
from ..world import route
from ..world import upstream


class End(enum.Enum):
    """How a started call ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    LATE = "late"
    REJECTED = "rejected"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """What admission needs to know of a call.

    :param ticket: identifies the call at this gate.
    :param organisation_id: the caller's organisation, may be empty.
    :param weight: the organisation's share when capacity is short.
    :param priority: the class of its route.
    :param route_id: its route.
    :param deadline: when its answer is no longer wanted.
    :param alone: whether it must run while nothing else runs.
    """

    ticket: int
    organisation_id: str
    weight: float
    priority: route.Priority
    route_id: str
    deadline: float
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Send the call to the upstream now."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """End the call, which has not run.

    :param ticket: the call.
    :param code: a result code of the *not run* range.
    :param retry_after_ms: when its caller may come back.
    """

    ticket: int
    code: results.ResultCode
    retry_after_ms: int


Decision = Start | Refuse


class Admission(t.Protocol):
    """Decides which calls run at one upstream."""

    def learn_capacity(self, capacity: "Capacity") -> None:
        """Apply what a newer configuration publishes."""

    def learn_pace(self, limit_per_s: float, now: float) -> list[Decision]:
        """Apply how many requests a second the upstream takes.

        :param limit_per_s: infinite if it names no limit.
        """

    def arrive(self, arrival: Arrival, now: float) -> list[Decision]:
        """Take in a new call; it may start, wait, or be refused."""

    def learn_report(self, report: upstream.LoadReport, now: float) -> None:
        """Note what the upstream says about its own load."""

    def finish(self, ticket: int, end: End, now: float) -> list[Decision]:
        """Note the end of a started call.

        :param end: ``ANSWERED`` with a whole answer in time, ``FAILED`` if
            that reports an error, ``LATE`` if the deadline passed,
            ``REJECTED`` if the upstream shed it itself, ``BROKEN`` if the
            upstream failed or could not be reached, ``WITHDRAWN`` if the
            caller gave up.
        """

    def cancel(self, ticket: int, now: float) -> list[Decision]:
        """Forget a waiting call; a started one goes on until finished."""

    def tick(self, now: float) -> list[Decision]:
        """Remove calls that can no longer be answered in time."""

    def level(self, now: float) -> int:
        """Return the shed level to publish, see ``decisions.shedding``."""

    @property
    def running(self) -> int:
        """Calls that are started and not finished."""

    @property
    def waiting(self) -> int:
        """Calls that wait."""

    @property
    def limit(self) -> int:
        """Calls that may run at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What the configuration publishes about an upstream.

    :param slots: requests that it can work on at once.
    :param connections: connections that it accepts.
    """

    slots: int
    connections: int


AdmissionFactory = t.Callable[[Capacity], Admission]

policies: registry.Registry[AdmissionFactory] = registry.Registry(
    "admission policy"
)
