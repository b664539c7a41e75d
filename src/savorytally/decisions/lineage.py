"""Which request in progress at an upstream made one of its calls.

Answers chains whose calls do not name their parent: a call inherits its
root's rank and tells its parent how long it waited, so that an overload at
the lower end of a chain is seen at its top. A call that ends exactly with a
request's own time belongs to it. Other calls are given to the idle request
with the latest event, since upstreams that call one after the other send
the next call when the last one was answered. Only routes that make such
calls are considered.
"""

import dataclasses
import enum
import typing as t

from . import callmodel

# Upstreams hand down whole milliseconds of what is left of their time; a
# call is seen up to this time before or after the request's own end.
EARLY_S = 0.001
LATE_S = 0.002


class How(enum.Enum):
    """How the request that made a call was told.

    :cvar EXACT: both end together.
    :cvar ORDER: it is the idle request with the latest event.
    :cvar NONE: not at all.
    """

    EXACT = "exact"
    ORDER = "order"
    NONE = "none"


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
    :param last: when it was started or got its latest answer.
    :param calls: calls of it that have no answer yet.
    :param answered: calls of it that were answered.
    :param failed: calls of it that failed.
    """

    route: str
    deadline: float
    owner: t.Any
    last: float
    calls: int = 0
    answered: int = 0
    failed: int = 0


class Lineage:
    """The requests in progress at one upstream."""

    def __init__(self) -> None:
        self._parents: set[Parent] = set()
        self._model = callmodel.CallModel()

    def begin(
        self, route: str, deadline: float, owner: t.Any, now: float
    ) -> Parent:
        """Note that a request was handed to the upstream."""
        parent = Parent(route, deadline, owner, now)
        self._parents.add(parent)
        self._model.ran(route, now)
        return parent

    def end(self, parent: Parent, now: float) -> None:
        """Note that a request has ended."""
        self._parents.discard(parent)
        self._model.ran(parent.route, now)

    def call(
        self, route: str, deadline: float, exact_only: bool, now: float
    ) -> Match:
        """Return the request that a new call belongs to.

        :param route: the called route.
        :param deadline: when the upstream gives the call up.
        :param exact_only: whether callers' own requests may look alike.
        """
        match = self._choose(route, deadline, exact_only)
        if match.parent is not None:
            match.parent.calls += 1
            self._model.called(route, now)
        return match

    def answered(self, parent: Parent, good: bool, now: float) -> None:
        """Note that a call of a request has ended."""
        parent.calls -= 1
        parent.last = now
        if good:
            parent.answered += 1
        else:
            parent.failed += 1

    def _choose(self, route: str, deadline: float, exact_only: bool) -> Match:
        exact: Parent | None = None
        latest: Parent | None = None
        exact_s = 1.0
        for parent in self._parents:
            off_s = parent.deadline - deadline
            if off_s < -EARLY_S or not self._model.calls(parent.route, route):
                continue
            if off_s <= LATE_S and abs(off_s) < exact_s:
                exact, exact_s = parent, abs(off_s)
            if parent.calls:
                continue
            if latest is None or parent.last > latest.last:
                latest = parent
        if exact is not None:
            return Match(exact, How.EXACT)
        if latest is None or exact_only:
            return NO_MATCH
        return Match(latest, How.ORDER)
