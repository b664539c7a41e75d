"""Requests, calls and replies of a replay."""

import dataclasses
import typing as t

from .. import results
from ..decisions import retry
from . import simulated_upstream
from . import trace


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of a call.

    :param ok: whether the response is complete and successful.
    :param code: the result code; an error response of the upstream is
        ``ANSWERED`` but not ``ok``.
    :param retry_after_ms: time after which the caller may retry.
    :param level: the gate's shed level.
    """

    ok: bool
    code: results.ResultCode
    retry_after_ms: int = 0
    level: int = 0


Done = t.Callable[[Reply], None]


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller, including all times that it is resent.

    :param arrival: the recorded arrival.
    :param sends: number of times that the caller has sent it.
    :param calls: number of calls at gates made for it.
    :param calls_max: most calls at gates made for one sending.
    :param answered_at: time of the successful response, if there is one.
    :param hung_up: whether the caller has disconnected.
    """

    arrival: trace.Arrival
    sends: int = 0
    calls: int = 0
    calls_max: int = 0
    answered_at: float | None = None
    hung_up: bool = False


@dataclasses.dataclass(slots=True)
class Root:
    """A root request: one sending of a caller's request.

    :param request: the caller's request.
    :param deadline: time at which the caller stops waiting.
    :param budget: retry budget of the whole call tree.
    :param number: number that decides which of the requests a shed level
        admits.
    :param calls: number of calls at gates made for it.
    :param worked_s: slot time that upstreams have spent on it.
    :param ended: whether it has a result.
    :param ok: whether the result is a successful response.
    :param hung_up_at: time at which the caller disconnected, if it did.
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
    """A call at a gate.

    :param root: the root request.
    :param hop: index of the called service in the route's chain.
    :param budget: part of the retry budget reserved for the call.
    :param done: called with the reply.
    :param ticket: number of the call in the gate's admission policy.
    :param arrived_at: time of its arrival at the gate.
    :param execution: its execution at the upstream, ``None`` while it waits.
    :param child: the upstream's call to the next service, if any.
    :param ended: whether it has a result or was cancelled.
    """

    root: Root
    hop: int
    budget: retry.RetryBudget
    done: Done
    ticket: int = 0
    arrived_at: float = 0.0
    execution: simulated_upstream.Execution | None = None
    child: t.Any = None
    ended: bool = False

    @property
    def route(self) -> trace.Route:
        """The route of the root request."""
        return self.root.request.arrival.route

    @property
    def service_s(self) -> float:
        """Recorded service time at this hop in seconds."""
        return self.root.request.arrival.service_s[self.hop]

    @property
    def last(self) -> bool:
        """Whether the service is the last of the chain."""
        return self.hop + 1 == len(self.route.services)
