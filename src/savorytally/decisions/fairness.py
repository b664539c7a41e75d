"""The gate's queue: strict priority classes, fair between organisations.

Inside a class, organisations are served by start-time fair queueing
(Goyal, Vin and Cheng, 1996): each has a virtual start time that advances by
cost over weight, and the organisation with the least is served next. Calls
are evicted from the lowest class, and there from the organisation with the
most work, served and waiting, in proportion to its weight.
"""

import dataclasses
import heapq

from ..world import route
from . import admission

# Heap entries allowed beyond four per organisation before a compaction.
HEAP_SLACK = 64
# Slot time per slot that organisations without waiting calls may make up for.
CREDIT_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A call in the queue.

    :param arrival: the call.
    :param cost_s: its expected slot time.
    :param since: when it arrived.
    """

    arrival: admission.Arrival
    cost_s: float
    since: float


@dataclasses.dataclass(slots=True)
class _Line:
    """Waiting calls of one organisation in one class, oldest first.

    :param weight: weight of the organisation.
    :param start: virtual start time of the next call.
    :param work_s: expected slot time of all waiting calls.
    :param calls: the waiting calls by ticket.
    """

    weight: float
    start: float = 0.0
    work_s: float = 0.0
    calls: dict[int, Waiting] = dataclasses.field(default_factory=dict)

    @property
    def load(self) -> float:
        """Virtual time at which the last waiting call will be served."""
        return self.start + self.work_s / self.weight


class ClassQueue:
    """Waiting calls of one class.

    Both heaps hold stale entries. These are skipped when they are popped, and
    removed once they outnumber the organisations' queues.
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
        """Add a call to an organisation's queue.

        :param credit: slot time that organisations which had no calls
            waiting may make up for, divided among all organisations.
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
        """Remove and return a call of the organisation that is due.

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

    def charge(self, organisation_id: str, extra_s: float) -> None:
        """Correct the expected cost of a served call to its actual cost.

        :param extra_s: actual minus expected slot time.
        """
        line = self._lines.get(organisation_id)
        if line is None:
            return
        line.start += extra_s / line.weight
        if line.calls:
            heapq.heappush(self._by_start, (line.start, organisation_id))
            self._reload(organisation_id, line, 0.0)

    def evict(self) -> Waiting:
        """Remove and return the oldest call of the most loaded organisation.

        :raises IndexError: if the class is empty.
        """
        while True:
            load, name = self._by_load[0]
            line = self._lines.get(name)
            if line is not None and line.calls and line.load == -load:
                return self.remove(name, next(iter(line.calls)))
            heapq.heappop(self._by_load)

    def remove(self, organisation_id: str, ticket: int) -> Waiting:
        """Remove and return one call of an organisation."""
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

    :param fair: whether each organisation has a queue of its own.
    :param strict: whether higher classes are served strictly first.
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
        """Expected slot time of all waiting calls."""
        return self._work_s

    def top(self) -> route.Priority | None:
        """Return the highest class with a waiting call."""
        for priority in self._descending:
            if self._classes[priority]:
                return priority
        return None

    def lowest(self) -> route.Priority | None:
        """Return the lowest class with a waiting call."""
        for priority in reversed(self._descending):
            if self._classes[priority]:
                return priority
        return None

    def push(self, waiting: Waiting, slots: int = 1) -> None:
        """Add a call.

        :param slots: maximum number of concurrent calls.
        """
        arrival = waiting.arrival
        priority, name = self._place(arrival)
        self._places[arrival.ticket] = (priority, name)
        self._classes[priority].push(name, waiting, slots * CREDIT_S)
        self._work_s += waiting.cost_s

    def pop(self, newest_first: bool) -> Waiting | None:
        """Remove and return the next call to serve, if any is waiting."""
        top = self.top()
        if top is None:
            return None
        return self._forget(self._classes[top].pop(newest_first))

    def charge(self, arrival: admission.Arrival, extra_s: float) -> None:
        """Correct the expected cost of a served call to its actual cost.

        :param extra_s: actual minus expected slot time.
        """
        priority, name = self._place(arrival)
        self._classes[priority].charge(name, extra_s)

    def evict(self) -> Waiting | None:
        """Remove and return the call to shed first, if any is waiting."""
        lowest = self.lowest()
        if lowest is None:
            return None
        return self._forget(self._classes[lowest].evict())

    def remove(self, ticket: int) -> Waiting | None:
        """Remove and return one call if it is waiting."""
        place = self._places.get(ticket)
        if place is None:
            return None
        priority, name = place
        return self._forget(self._classes[priority].remove(name, ticket))

    def _place(self, arrival: admission.Arrival) -> tuple[route.Priority, str]:
        priority = arrival.priority if self._strict else route.Priority.NORMAL
        return priority, arrival.organisation_id if self._fair else ""

    def _forget(self, waiting: Waiting) -> Waiting:
        del self._places[waiting.arrival.ticket]
        self._work_s -= waiting.cost_s
        if not self._places:
            self._work_s = 0.0
        return waiting
