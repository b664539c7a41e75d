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
CREDIT_PER_SLOT_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call in the queue.

    :param arrival: the call.
    :param cost_s: its expected slot time.
    :param arrived_at: when it arrived at the gate.
    """

    arrival: admission.Arrival
    cost_s: float
    arrived_at: float


@dataclasses.dataclass(slots=True)
class _OrganisationQueue:
    """Waiting calls of one organisation in one class, oldest first.

    :param weight: weight of the organisation.
    :param start: virtual start time of the next call.
    :param work_s: expected slot time of all waiting calls.
    :param calls: the waiting calls by ticket.
    """

    weight: float
    start: float = 0.0
    work_s: float = 0.0
    calls: dict[int, QueuedCall] = dataclasses.field(default_factory=dict)

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
        self._queues: dict[str, _OrganisationQueue] = {}
        self._by_start: list[tuple[float, str]] = []
        self._by_load: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self, organisation_id: str, call: QueuedCall, credit: float
    ) -> None:
        """Add a call to an organisation's queue.

        :param credit: slot time that organisations which had no calls
            waiting may make up for, divided among all organisations.
        """
        weight = max(call.arrival.weight, 1e-6)
        queue = self._queues.get(organisation_id)
        if queue is None:
            queue = _OrganisationQueue(weight, start=self._virtual_time)
            self._queues[organisation_id] = queue
        queue.weight = weight
        if not queue.calls:
            earliest = self._virtual_time - credit / len(self._queues)
            queue.start = max(queue.start, earliest)
            heapq.heappush(self._by_start, (queue.start, organisation_id))
        queue.calls[call.arrival.ticket] = call
        self._length += 1
        self._update_load(organisation_id, queue, call.cost_s)

    def pop(self, newest_first: bool) -> QueuedCall:
        """Remove and return a call of the organisation that is due.

        :raises IndexError: if the class is empty.
        """
        while True:
            start, name = heapq.heappop(self._by_start)
            queue = self._queues.get(name)
            if queue is not None and queue.calls and queue.start == start:
                break
        calls = queue.calls
        ticket = next(reversed(calls)) if newest_first else next(iter(calls))
        call = calls[ticket]
        self._virtual_time = max(self._virtual_time, start)
        queue.start = start + call.cost_s / queue.weight
        self.remove(name, ticket)
        if calls:
            heapq.heappush(self._by_start, (queue.start, name))
        return call

    def charge(self, organisation_id: str, extra_s: float) -> None:
        """Correct the expected cost of a served call to its actual cost.

        :param extra_s: actual minus expected slot time.
        """
        queue = self._queues.get(organisation_id)
        if queue is None:
            return
        queue.start += extra_s / queue.weight
        if queue.calls:
            heapq.heappush(self._by_start, (queue.start, organisation_id))
            self._update_load(organisation_id, queue, 0.0)

    def evict(self) -> QueuedCall:
        """Remove and return the oldest call of the most loaded organisation.

        :raises IndexError: if the class is empty.
        """
        while True:
            load, name = self._by_load[0]
            queue = self._queues.get(name)
            if queue is not None and queue.calls and queue.load == -load:
                return self.remove(name, next(iter(queue.calls)))
            heapq.heappop(self._by_load)

    def remove(self, organisation_id: str, ticket: int) -> QueuedCall:
        """Remove and return one call of an organisation."""
        queue = self._queues[organisation_id]
        call = queue.calls.pop(ticket)
        self._length -= 1
        if not queue.calls:
            queue.work_s = 0.0
        else:
            self._update_load(organisation_id, queue, -call.cost_s)
        self._compact_heaps()
        return call

    def _update_load(
        self, name: str, queue: _OrganisationQueue, change_s: float
    ) -> None:
        queue.work_s += change_s
        heapq.heappush(self._by_load, (-queue.load, name))

    def _compact_heaps(self) -> None:
        limit = 4 * len(self._queues) + HEAP_SLACK
        if len(self._by_load) <= limit and len(self._by_start) <= limit:
            return
        self._queues = {
            name: queue
            for name, queue in self._queues.items()
            if queue.calls
            or queue.start > self._virtual_time - CREDIT_PER_SLOT_S
        }
        active = [item for item in self._queues.items() if item[1].calls]
        self._by_start = [(queue.start, name) for name, queue in active]
        self._by_load = [(-queue.load, name) for name, queue in active]
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
        self._queue_keys: dict[int, tuple[route.Priority, str]] = {}
        self._work_s = 0.0

    def __len__(self) -> int:
        return len(self._queue_keys)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._queue_keys

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

    def push(self, call: QueuedCall, slots: int = 1) -> None:
        """Add a call.

        :param slots: maximum number of concurrent calls.
        """
        arrival = call.arrival
        priority, name = self._queue_key(arrival)
        self._queue_keys[arrival.ticket] = (priority, name)
        self._classes[priority].push(name, call, slots * CREDIT_PER_SLOT_S)
        self._work_s += call.cost_s

    def pop(self, newest_first: bool) -> QueuedCall | None:
        """Remove and return the next call to serve, if any is waiting."""
        top = self.top()
        if top is None:
            return None
        return self._untrack(self._classes[top].pop(newest_first))

    def charge(self, arrival: admission.Arrival, extra_s: float) -> None:
        """Correct the expected cost of a served call to its actual cost.

        :param extra_s: actual minus expected slot time.
        """
        priority, name = self._queue_key(arrival)
        self._classes[priority].charge(name, extra_s)

    def evict(self) -> QueuedCall | None:
        """Remove and return the call to shed first, if any is waiting."""
        lowest = self.lowest()
        if lowest is None:
            return None
        return self._untrack(self._classes[lowest].evict())

    def remove(self, ticket: int) -> QueuedCall | None:
        """Remove and return one call if it is waiting."""
        key = self._queue_keys.get(ticket)
        if key is None:
            return None
        priority, name = key
        return self._untrack(self._classes[priority].remove(name, ticket))

    def _queue_key(
        self, arrival: admission.Arrival
    ) -> tuple[route.Priority, str]:
        priority = arrival.priority if self._strict else route.Priority.NORMAL
        return priority, arrival.organisation_id if self._fair else ""

    def _untrack(self, call: QueuedCall) -> QueuedCall:
        del self._queue_keys[call.arrival.ticket]
        self._work_s -= call.cost_s
        if not self._queue_keys:
            self._work_s = 0.0
        return call
