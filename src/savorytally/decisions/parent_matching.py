"""Matches each call of an upstream to the request in progress that made it.

A call inherits the rank of its root request, and its wait is added to its
parent's, so that overload at the end of a chain is visible at its top. This
needs the parent of each call, which not all upstreams state:

- A call that names a request in progress belongs to that request.
- A call with less remaining time than usual had its deadline cut to its
  parent's. It belongs to the request with the same deadline. The call's
  deadline appears later by the delay of the event loops of upstream and node.
- Any other call is matched to the request with the latest event among those
  without an open call: an upstream that makes its calls in sequence sends the
  next one once the previous one was answered.

Only requests on routes that make calls to the called route are considered.
"""

import collections
import dataclasses
import enum
import math
import typing as t

from . import call_fanout

# Upstreams pass on their remaining time in whole milliseconds. Without event
# loop delay, a call's deadline is at most this much before or after that of
# its parent.
EARLY_MAX_S = 0.002
LATE_MAX_S = 0.001
# Largest shift of a call's deadline by event loop delay.
LAG_MAX_S = 0.15
# Weight of the latest call in the mean delay.
LAG_WEIGHT = 0.05
# Decay per call of the usual (largest) remaining time of a route's calls.
USUAL_DECAY = 0.999


class MatchMethod(enum.Enum):
    """How the parent of a call was determined.

    :cvar NAMED: the call names its parent.
    :cvar EXACT: the deadlines of call and parent coincide.
    :cvar ORDER: the parent is the request with the latest event among those
        without an open call.
    :cvar NONE: no parent was found.
    """

    NAMED = "named"
    EXACT = "exact"
    ORDER = "order"
    NONE = "none"


class ObservedCall(t.NamedTuple):
    """The properties of a call by which it is matched.

    :param route: the called route.
    :param deadline: when the upstream stops waiting for the response.
    :param left_s: time until then as stated in the call.
    :param named: identifier of the parent that the call names, or empty.
    :param exact_only: whether matches by order are ruled out, because the
        request may come from an external client instead of the upstream.
    """

    route: str
    deadline: float
    left_s: float
    named: bytes = b""
    exact_only: bool = False


class Match(t.NamedTuple):
    """The request that made a call.

    :param parent: the request, ``None`` if it is unknown.
    :param method: how it was determined.
    """

    parent: "Parent | None"
    method: MatchMethod


NO_MATCH = Match(None, MatchMethod.NONE)


@dataclasses.dataclass(slots=True, eq=False)
class Parent:
    """A request in progress at the upstream.

    :param route: name of the route.
    :param deadline: the deadline that was sent to the upstream.
    :param context: the gate's own object for the request.
    :param name: identifier of the request.
    :param last_event_at: when it was started or its latest call ended.
    :param calls: number of its open calls.
    :param answered: number of its calls that were answered.
    :param failed: number of its calls that failed.
    :param made: number of its calls by service.
    :param reserved: retry budget reserved for its calls by service, ``None``
        if it is not a retry.
    """

    route: str
    deadline: float
    context: t.Any
    name: bytes
    last_event_at: float
    calls: int = 0
    answered: int = 0
    failed: int = 0
    made: dict[str, int] | None = None
    reserved: dict[str, int] | None = None


class ParentMatcher:
    """The requests in progress at one upstream."""

    def __init__(self) -> None:
        self._parents: set[Parent] = set()
        self._by_name: dict[bytes, Parent] = {}
        self._ended: collections.deque[Parent] = collections.deque()
        # Largest remaining time of calls to each route, decayed per call.
        self._usual_left_s: dict[str, float] = {}
        self._lag_s = 0.0
        self._model = call_fanout.CallFanout()

    def request_started(
        self,
        route: str,
        deadline: float,
        context: t.Any,
        now: float,
        name: bytes = b"",
    ) -> Parent:
        """Record that a request was forwarded to the upstream.

        :param deadline: the deadline that is sent with it.
        :param context: the gate's own object for the request.
        :param name: identifier that its calls may name, or empty.
        """
        parent = Parent(route, deadline, context, name, now)
        self._parents.add(parent)
        if name:
            self._by_name[name] = parent
        self._model.record_request(route, now)
        return parent

    def request_ended(
        self, parent: Parent, now: float, at_work: bool = False
    ) -> None:
        """Record that a request has ended.

        :param at_work: whether the upstream may still process it, and make
            calls that name it until its deadline.
        """
        self._parents.discard(parent)
        if at_work:
            self._ended.append(parent)
        else:
            self._remove_name(parent)
        while self._ended and self._ended[0].deadline < now:
            self._remove_name(self._ended.popleft())
        self._model.record_request(parent.route, now)

    def match_call(self, seen: ObservedCall, now: float) -> Match:
        """Return the request that made a new call."""
        parent = self._by_name.get(seen.named)
        if parent is None:
            match = self._match_unnamed(seen)
        else:
            match = Match(parent, MatchMethod.NAMED)
        if match.parent is not None:
            match.parent.calls += 1
            self._model.record_call(seen.route, now)
        return match

    def call_ended(self, parent: Parent, good: bool, now: float) -> None:
        """Record that a call of a request has ended.

        :param good: whether it was answered.
        """
        parent.calls -= 1
        parent.last_event_at = now
        if good:
            parent.answered += 1
        else:
            parent.failed += 1

    def _remove_name(self, parent: Parent) -> None:
        if self._by_name.get(parent.name) is parent:
            del self._by_name[parent.name]

    def _match_unnamed(self, seen: ObservedCall) -> Match:
        usual_s = self._usual_left_s.get(seen.route, 0.0) * USUAL_DECAY
        self._usual_left_s[seen.route] = max(seen.left_s, usual_s)
        # A call with its full time may share a request's deadline by chance.
        cut = seen.left_s < usual_s and not seen.exact_only
        lag_max_s = LAG_MAX_S if cut else LATE_MAX_S
        lag_s = self._lag_s if cut else 0.0
        nearest: Parent | None = None
        latest: Parent | None = None
        nearest_s = math.inf
        for parent in self._parents:
            late_s = seen.deadline - parent.deadline
            if late_s > LAG_MAX_S:
                continue
            if not self._model.makes_calls(parent.route, seen.route):
                continue
            if -EARLY_MAX_S <= late_s <= lag_max_s:
                offset_s = abs(late_s - lag_s)
                if offset_s < nearest_s:
                    nearest, nearest_s = parent, offset_s
            if parent.calls:
                continue
            if latest is None or parent.last_event_at > latest.last_event_at:
                latest = parent
        if nearest is not None:
            late_s = seen.deadline - nearest.deadline
            self._lag_s += LAG_WEIGHT * (late_s - self._lag_s)
            return Match(nearest, MatchMethod.EXACT)
        if latest is None or seen.exact_only:
            return NO_MATCH
        return Match(latest, MatchMethod.ORDER)
