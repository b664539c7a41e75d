"""What travels in a replay: root requests, their calls and the replies."""

import dataclasses
import typing as t

from .. import results
from ..decisions import retry
from . import stand_in
from . import trace


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What became of a call.

    :param ok: whether a whole, good answer came.
    :param code: the result code; an error of the upstream itself is an
        answer that is not ``ok``.
    :param retry_after_ms: when the caller may come back.
    :param level: the gate's shed level.
    """

    ok: bool
    code: results.ResultCode
    retry_after_ms: int = 0
    level: int = 0


Done = t.Callable[[Reply], None]


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request over all times that it is sent.

    :param arrival: the recorded arrival.
    """

    arrival: trace.Arrival
    sends: int = 0
    calls: int = 0
    calls_max: int = 0
    answered_at: float | None = None
    hung_up: bool = False


@dataclasses.dataclass(slots=True)
class Root:
    """A request as it is sent once.

    :param request: the caller's request.
    :param deadline: when its caller stops waiting.
    :param budget: retries over its whole call tree.
    :param number: by which shed levels judge it.
    """

    request: Request
    deadline: float
    budget: retry.RetryBudget
    number: int
    calls: int = 0
    worked_s: float = 0.0
    ended: bool = False
    ok: bool = False
    hung_up_at: float | None = None


@dataclasses.dataclass(slots=True)
class Call:
    """One call at one gate.

    :param root: the root request.
    :param hop: index of the service in the route's chain.
    :param budget: retries lent to it.
    :param done: told of the reply.
    """

    root: Root
    hop: int
    budget: retry.RetryBudget
    done: Done
    ticket: int = 0
    arrived_at: float = 0.0
    execution: stand_in.Execution | None = None
    child: t.Any = None
    ended: bool = False

    @property
    def route(self) -> trace.Route:
        """The route of the root request."""
        return self.root.request.arrival.route

    @property
    def service_s(self) -> float:
        """Recorded service time at this hop."""
        return self.root.request.arrival.service_s[self.hop]

    @property
    def last(self) -> bool:
        """Whether it calls no further service."""
        return self.hop + 1 == len(self.route.services)
