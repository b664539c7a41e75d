"""Which request in progress at an upstream made one of its calls.

Answers chains whose calls do not name their parent: a call inherits its
root's rank and tells its parent how long it waited, so that an overload at
the lower end of a chain is seen at its top. A call that ends exactly with a
request's own time belongs to it; otherwise upstreams that call one after
the other are recognised by a call that follows the answer to the last one,
among the routes that were seen to make such calls.
"""

import dataclasses
import typing as t

# An upstream hands down whole milliseconds of what is left of its time.
EXACT_S = 0.0025
# Exact matches after which only routes that were seen to call are taken.
EVIDENCE_MIN = 4
# Part of the matches below which a route's matches are taken for chance.
EVIDENCE_PART = 0.15


@dataclasses.dataclass(slots=True, eq=False)
class Parent:
    """A request in progress.

    :param route: its route's name.
    :param deadline: when the upstream was told to give up.
    :param owner: what the gate knows it by.
    :param last: when it was started or got its latest answer.
    :param calls: calls of it that have no answer yet.
    """

    route: str
    deadline: float
    owner: t.Any
    last: float
    calls: int = 0


class Lineage:
    """The requests in progress at one upstream."""

    def __init__(self) -> None:
        self._parents: set[Parent] = set()
        self._evidence: dict[str, dict[str, int]] = {}

    def begin(
        self, route: str, deadline: float, owner: t.Any, now: float
    ) -> Parent:
        """Note that a request was handed to the upstream."""
        parent = Parent(route, deadline, owner, now)
        self._parents.add(parent)
        return parent

    def end(self, parent: Parent) -> None:
        """Note that a request has ended."""
        self._parents.discard(parent)

    def call(
        self, route: str, deadline: float, exact_only: bool
    ) -> Parent | None:
        """Return the request that a new call belongs to.

        :param route: the called route.
        :param deadline: when the upstream gives the call up.
        :param exact_only: whether callers' own requests may look alike.
        """
        parent = self._exact(deadline)
        if parent is not None:
            seen = self._evidence.setdefault(route, {})
            seen[parent.route] = seen.get(parent.route, 0) + 1
        elif not exact_only:
            parent = self._latest(route, deadline)
        if parent is not None:
            parent.calls += 1
        return parent

    def answered(self, parent: Parent, now: float) -> None:
        """Note that a call of a request has been answered."""
        parent.calls -= 1
        parent.last = now

    def _exact(self, deadline: float) -> Parent | None:
        best: Parent | None = None
        best_s = EXACT_S
        for parent in self._parents:
            off_s = abs(parent.deadline - deadline)
            if off_s < best_s:
                best, best_s = parent, off_s
        return best

    def _latest(self, route: str, deadline: float) -> Parent | None:
        """Return the idle request with the latest event that may call."""
        seen = self._evidence.get(route, {})
        total = sum(seen.values())
        best: Parent | None = None
        for parent in self._parents:
            if parent.calls or parent.deadline < deadline - EXACT_S:
                continue
            if total >= EVIDENCE_MIN:
                if seen.get(parent.route, 0) < EVIDENCE_PART * total:
                    continue
            if best is None or parent.last > best.last:
                best = parent
        return best
