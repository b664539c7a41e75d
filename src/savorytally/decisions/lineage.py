"""Which request in progress at an upstream made one of its calls.

Answers chains whose calls do not name their parent: a call inherits its
root's rank and tells its parent how long it waited, so that an overload at
the lower end of a chain is seen at its top. A call that names a request in
progress belongs to it; not all upstreams have their calls do so. A call that
has less time than usual was cut to its parent's time: it belongs to the
request that ends when it ends. It seems to end later by as much as the loops
of upstream and node were late. Other calls are given to the idle request with
the latest event, since upstreams that call one after the other send the next
call when the last one was answered. Only routes that make such calls are
considered.
"""

import collections
import dataclasses
import enum
import math
import typing as t

from . import callmodel

# Upstreams hand down whole milliseconds of what is left of their time: a call
# ends by so much before its parent, or after it, if no loop is late.
EARLY_S = 0.002
LATE_S = 0.001
# The most by which loops that are late make a call end later.
LAG_MAX_S = 0.15
# Weight of the latest call in the mean lag.
LAG_WEIGHT = 0.05
# What the most time that calls of a route had keeps with each call.
USUAL_KEPT = 0.999


class How(enum.Enum):
    """How the request that made a call was told.

    :cvar NAMED: the call names it.
    :cvar EXACT: both end together.
    :cvar ORDER: it is the idle request with the latest event.
    :cvar NONE: not at all.
    """

    NAMED = "named"
    EXACT = "exact"
    ORDER = "order"
    NONE = "none"


class Seen(t.NamedTuple):
    """What is seen of a call.

    :param route: the called route.
    :param deadline: when the upstream gives it up.
    :param left_s: time until then as the call says.
    :param named: the request that the call names, empty if none.
    :param exact_only: whether callers' own requests may look alike.
    """

    route: str
    deadline: float
    left_s: float
    named: bytes = b""
    exact_only: bool = False


class Match(t.NamedTuple):
    """The request that made a call.

    :param parent: the request, ``None`` if it is not known.
    :param how: how it was told.
    """

    parent: "Parent | None"
    how: How


NO_MATCH = Match(None, How.NONE)


@dataclasses.dataclass(slots=True, eq=False)
class Parent:
    """A request in progress.

    :param route: its route's name.
    :param deadline: when the upstream was told to give up.
    :param owner: what the gate knows it by.
    :param name: its identifier.
    :param last: when it was started or got its latest answer.
    :param calls: calls of it that have no answer yet.
    :param answered: calls of it that were answered.
    :param failed: calls of it that failed.
    :param made: calls that it has made by service.
    :param reserved: calls by service that it may make as a repeat, ``None``
        if it is none.
    """

    route: str
    deadline: float
    owner: t.Any
    name: bytes
    last: float
    calls: int = 0
    answered: int = 0
    failed: int = 0
    made: dict[str, int] | None = None
    reserved: dict[str, int] | None = None


class Lineage:
    """The requests in progress at one upstream."""

    def __init__(self) -> None:
        self._parents: set[Parent] = set()
        self._names: dict[bytes, Parent] = {}
        self._given_up: collections.deque[Parent] = collections.deque()
        # The most time that calls of a route had.
        self._usual_s: dict[str, float] = {}
        self._lag_s = 0.0
        self._model = callmodel.CallModel()

    def begin(
        self,
        route: str,
        deadline: float,
        owner: t.Any,
        now: float,
        name: bytes = b"",
    ) -> Parent:
        """Note that a request was handed to the upstream."""
        parent = Parent(route, deadline, owner, name, now)
        self._parents.add(parent)
        if name:
            self._names[name] = parent
        self._model.ran(route, now)
        return parent

    def end(self, parent: Parent, now: float, at_work: bool = False) -> None:
        """Note that a request has ended.

        :param at_work: whether the upstream may go on with it and make
            calls that name it, at most until its deadline.
        """
        self._parents.discard(parent)
        if at_work:
            self._given_up.append(parent)
        else:
            self._forget(parent)
        while self._given_up and self._given_up[0].deadline < now:
            self._forget(self._given_up.popleft())
        self._model.ran(parent.route, now)

    def call(self, seen: Seen, now: float) -> Match:
        """Return the request that a new call belongs to."""
        parent = self._names.get(seen.named)
        if parent is None:
            match = self._choose(seen)
        else:
            match = Match(parent, How.NAMED)
        if match.parent is not None:
            match.parent.calls += 1
            self._model.called(seen.route, now)
        return match

    def answered(self, parent: Parent, good: bool, now: float) -> None:
        """Note that a call of a request has ended."""
        parent.calls -= 1
        parent.last = now
        if good:
            parent.answered += 1
        else:
            parent.failed += 1

    def _forget(self, parent: Parent) -> None:
        if self._names.get(parent.name) is parent:
            del self._names[parent.name]

    def _choose(self, seen: Seen) -> Match:
        usual_s = self._usual_s.get(seen.route, 0.0) * USUAL_KEPT
        self._usual_s[seen.route] = max(seen.left_s, usual_s)
        # One with all its time may end with any request by chance.
        cut = seen.left_s < usual_s and not seen.exact_only
        lag_max_s = LAG_MAX_S if cut else LATE_S
        lag_s = self._lag_s if cut else 0.0
        nearest: Parent | None = None
        latest: Parent | None = None
        nearest_s = math.inf
        for parent in self._parents:
            late_s = seen.deadline - parent.deadline
            if late_s > LAG_MAX_S:
                continue
            if not self._model.calls(parent.route, seen.route):
                continue
            if -EARLY_S <= late_s <= lag_max_s:
                off_s = abs(late_s - lag_s)
                if off_s < nearest_s:
                    nearest, nearest_s = parent, off_s
            if parent.calls:
                continue
            if latest is None or parent.last > latest.last:
                latest = parent
        if nearest is not None:
            late_s = seen.deadline - nearest.deadline
            self._lag_s += LAG_WEIGHT * (late_s - self._lag_s)
            return Match(nearest, How.EXACT)
        if latest is None or seen.exact_only:
            return NO_MATCH
        return Match(latest, How.ORDER)
