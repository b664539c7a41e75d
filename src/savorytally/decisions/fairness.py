"""The gate's queue: strict between classes, fair between organisations.

Inside a class, organisations are served by start-time fair queueing
(Goyal, Vin and Cheng, 1996): each has a virtual start time that advances by
cost over weight, and the least is served next. What must go is taken from
the lowest class, there from the organisation with the most waiting work for
its weight.
"""

import dataclasses
import heapq

from ..world import route
from . import admission

HEAP_SLACK = 64
CREDIT_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A call in the queue.

    :param arrival: the call.
    :param cost_s: slot time that it is expected to need.
    :param since: when it arrived.
    """

    arrival: admission.Arrival
    cost_s: float
    since: float


@dataclasses.dataclass(slots=True)
class _Line:
    """Waiting calls of one organisation in one class, oldest first."""

    weight: float
    start: float = 0.0
    work_s: float = 0.0
    calls: dict[int, Waiting] = dataclasses.field(default_factory=dict)

    @property
    def load(self) -> float:
        """Waiting work for its weight."""
        return self.work_s / self.weight


class ClassQueue:
    """Waiting calls of one class.

    Both heaps hold stale entries, which are skipped when they surface and
    swept out when they outnumber the lines.
    """

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}
        self._by_start: list[tuple[float, str]] = []
        self._by_load: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self, organisation_id: str, waiting: Waiting, credit: float
    ) -> None:
        """Add a call to an organisation's line.

        :param credit: slot time that an organisation which had nothing
            waiting may make up for, over all organisations.
        """
        weight = max(waiting.arrival.weight, 1e-6)
        line = self._lines.get(organisation_id)
        if line is None:
            line = _Line(weight, start=self._virtual)
            self._lines[organisation_id] = line
        line.weight = weight
        if not line.calls:
            earliest = self._virtual - credit / len(self._lines)
            line.start = max(line.start, earliest)
            heapq.heappush(self._by_start, (line.start, organisation_id))
        line.calls[waiting.arrival.ticket] = waiting
        self._length += 1
        self._reload(organisation_id, line, waiting.cost_s)

    def pop(self, newest_first: bool) -> Waiting:
        """Take the next call out of the line that is due.

        :raises IndexError: if the class is empty.
        """
        while True:
            start, name = heapq.heappop(self._by_start)
            line = self._lines.get(name)
            if line is not None and line.calls and line.start == start:
                break
        calls = line.calls
        ticket = next(reversed(calls)) if newest_first else next(iter(calls))
        waiting = calls[ticket]
        self._virtual = max(self._virtual, start)
        line.start = start + waiting.cost_s / line.weight
        self.remove(name, ticket)
        if calls:
            heapq.heappush(self._by_start, (line.start, name))
        return waiting

    def evict(self) -> Waiting:
        """Take out the oldest call of the line with the most work.

        :raises IndexError: if the class is empty.
        """
        while True:
            load, name = self._by_load[0]
            line = self._lines.get(name)
            if line is not None and line.calls and line.load == -load:
                return self.remove(name, next(iter(line.calls)))
            heapq.heappop(self._by_load)

    def remove(self, organisation_id: str, ticket: int) -> Waiting:
        """Take one call out of its line."""
        line = self._lines[organisation_id]
        waiting = line.calls.pop(ticket)
        self._length -= 1
        if not line.calls:
            line.work_s = 0.0
        else:
            self._reload(organisation_id, line, -waiting.cost_s)
        self._sweep()
        return waiting

    def _reload(self, name: str, line: _Line, change_s: float) -> None:
        line.work_s += change_s
        heapq.heappush(self._by_load, (-line.load, name))

    def _sweep(self) -> None:
        limit = 4 * len(self._lines) + HEAP_SLACK
        if len(self._by_load) <= limit and len(self._by_start) <= limit:
            return
        self._lines = {
            name: line
            for name, line in self._lines.items()
            if line.calls or line.start > self._virtual - CREDIT_S
        }
        active = [item for item in self._lines.items() if item[1].calls]
        self._by_start = [(line.start, name) for name, line in active]
        self._by_load = [(-line.load, name) for name, line in active]
        heapq.heapify(self._by_start)
        heapq.heapify(self._by_load)


class FairQueue:
    """Waiting calls of all classes.

    :param fair: whether organisations have lines of their own.
    :param strict: whether classes are kept apart.
    """

    def __init__(self, fair: bool = True, strict: bool = True) -> None:
        self._fair = fair
        self._strict = strict
        self._classes = {item: ClassQueue() for item in route.Priority}
        self._descending = sorted(self._classes, reverse=True)
        self._places: dict[int, tuple[route.Priority, str]] = {}
        self._work_s = 0.0

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._places

    @property
    def work_s(self) -> float:
        """Slot time that all waiting calls are expected to need."""
        return self._work_s

    def top(self) -> route.Priority | None:
        """Return the highest class in which a call waits."""
        for priority in self._descending:
            if self._classes[priority]:
                return priority
        return None

    def lowest(self) -> route.Priority | None:
        """Return the lowest class in which a call waits."""
        for priority in reversed(self._descending):
            if self._classes[priority]:
                return priority
        return None

    def push(self, waiting: Waiting, slots: int = 1) -> None:
        """Add a call.

        :param slots: how many calls may run at once.
        """
        arrival = waiting.arrival
        priority = arrival.priority if self._strict else route.Priority.NORMAL
        name = arrival.organisation_id if self._fair else ""
        self._places[arrival.ticket] = (priority, name)
        self._classes[priority].push(name, waiting, slots * CREDIT_S)
        self._work_s += waiting.cost_s

    def pop(self, newest_first: bool) -> Waiting | None:
        """Take out the call that is next, if any waits."""
        top = self.top()
        if top is None:
            return None
        return self._forget(self._classes[top].pop(newest_first))

    def evict(self) -> Waiting | None:
        """Take out the call that is to be shed first, if any waits."""
        lowest = self.lowest()
        if lowest is None:
            return None
        return self._forget(self._classes[lowest].evict())

    def remove(self, ticket: int) -> Waiting | None:
        """Take out one call, if it waits."""
        place = self._places.get(ticket)
        if place is None:
            return None
        priority, name = place
        return self._forget(self._classes[priority].remove(name, ticket))

    def _forget(self, waiting: Waiting) -> Waiting:
        del self._places[waiting.arrival.ticket]
        self._work_s -= waiting.cost_s
        if not self._places:
            self._work_s = 0.0
        return waiting
