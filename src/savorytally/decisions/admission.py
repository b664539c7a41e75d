"""Interface of the gate's admission policies.

A policy decides which calls run, wait or are refused. It identifies calls by
ticket only; their content stays with the gate's I/O code.
"""

import dataclasses
import enum
import typing as t

from .. import registry
from .. import results
from ..world import route
from ..world import upstream


class CallEnd(enum.Enum):
    """How a started call ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    LATE = "late"
    REJECTED = "rejected"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """The properties of a call that admission depends on.

    :param ticket: identifies the call at this gate.
    :param organisation_id: the caller's organisation, may be empty.
    :param weight: the organisation's weight in fair queueing.
    :param priority: the priority class of the call's route.
    :param route_id: the call's route.
    :param deadline: when the caller stops waiting for the response.
    :param isolated: whether it must run in isolation, that is with no other
        call at the upstream.
    """

    ticket: int
    organisation_id: str
    weight: float
    priority: route.Priority
    route_id: str
    deadline: float
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Send the call to the upstream now."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the call, which has not run.

    :param ticket: the call.
    :param code: a result code of the *not run* range.
    :param retry_after_ms: delay after which the caller may retry.
    """

    ticket: int
    code: results.ResultCode
    retry_after_ms: int


Decision = Start | Refuse


class Admission(t.Protocol):
    """Decides which calls run at one upstream."""

    def learn_capacity(self, capacity: "Capacity") -> None:
        """Apply the capacity in a newer configuration."""

    def learn_rate_limit(
        self, limit_per_s: float, now: float
    ) -> list[Decision]:
        """Apply the rate limit that the upstream advertises.

        :param limit_per_s: requests per second, infinite without a limit.
        """

    def arrive(self, arrival: Arrival, now: float) -> list[Decision]:
        """Start, queue or refuse a new call."""

    def learn_report(self, report: upstream.LoadReport, now: float) -> None:
        """Apply the load that the upstream reports."""

    def finish(self, ticket: int, end: CallEnd, now: float) -> list[Decision]:
        """Record the end of a started call.

        :param end: ``ANSWERED`` for a complete response in time, ``FAILED`` if
            that response reports an error, ``LATE`` if the deadline passed,
            ``REJECTED`` if the upstream itself shed the call, ``BROKEN`` if
            the upstream failed or could not be reached, ``WITHDRAWN`` if the
            caller gave up.
        """

    def cancel(self, ticket: int, now: float) -> list[Decision]:
        """Remove a waiting call; a started one runs until finished."""

    def tick(self, now: float) -> list[Decision]:
        """Start due calls; refuse those that would be answered too late."""

    def level(self, now: float) -> int:
        """Return the shed level to publish, see ``decisions.shedding``."""

    @property
    def running(self) -> int:
        """Number of calls that were started and have not finished."""

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """An upstream's capacity as stated in the configuration.

    :param slots: requests that it can process concurrently.
    :param connections: connections that it accepts.
    """

    slots: int
    connections: int


AdmissionFactory = t.Callable[[Capacity], Admission]

policies: registry.Registry[AdmissionFactory] = registry.Registry(
    "admission policy"
)
