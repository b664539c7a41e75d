"""A stand-in for an upstream: slots, recorded service times, conditions."""

import collections
import dataclasses
import typing as t

from . import timeline
from . import trace


@dataclasses.dataclass(slots=True)
class Execution:
    """One request at the upstream.

    :param service_s: recorded service time of its own work.
    :param below: called when the own work is done; it must call
        :meth:`Upstream.release` in the end.
    :param broken: called if the upstream fails it.
    """

    service_s: float
    below: t.Callable[[], None]
    broken: t.Callable[[], None]
    started: float | None = None
    work_end: float = 0.0
    ended: bool = False


class Upstream:
    """Works on as many requests as it has slots; more wait inside it.

    :param line: the virtual clock.
    :param gate: its slots.
    :param conditions: what befalls it.
    """

    def __init__(
        self,
        line: timeline.Timeline,
        gate: trace.Gate,
        conditions: t.Iterable[trace.Condition],
    ) -> None:
        self._line = line
        self._slots = gate.slots
        self._conditions = [
            item for item in conditions if item.gate_id == gate.gate_id
        ]
        self._running: set[int] = set()
        self._by_id: dict[int, Execution] = {}
        self._queue: collections.deque[Execution] = collections.deque()
        self.worked_s = 0.0
        for item in self._conditions:
            if item.kind == "down":
                line.at(item.from_s, self._break)

    @property
    def in_use(self) -> int:
        """Slots in use."""
        return len(self._running)

    def start(self, execution: Execution) -> None:
        """Take in a request."""
        if self._active("down"):
            execution.ended = True
            self._line.after(0.0, execution.broken)
            return
        self._queue.append(execution)
        self._fill()

    def release(self, execution: Execution) -> float:
        """End a request, finished or cancelled.

        :return: how long its own work has held a slot.
        """
        if execution.ended:
            return 0.0
        execution.ended = True
        if execution.started is None:
            return 0.0
        self._running.discard(id(execution))
        self._by_id.pop(id(execution), None)
        worked_s = min(self._line.now, execution.work_end) - execution.started
        self._fill()
        return worked_s

    def misleading(self) -> trace.Condition | None:
        """Return the condition that falsifies its reports, if any."""
        return self._active("report")

    def _active(self, kind: str) -> trace.Condition | None:
        for item in self._conditions:
            if item.kind == kind and (
                item.from_s <= self._line.now < item.until_s
            ):
                return item
        return None

    def _factor(self) -> float:
        factor = 1.0
        slow = self._active("slow")
        if slow is not None:
            factor *= slow.factor
        cold = self._active("cold")
        if cold is not None:
            length_s = cold.until_s - cold.from_s
            left = (cold.until_s - self._line.now) / length_s
            factor *= 1.0 + (cold.factor - 1.0) * left
        return factor

    def _fill(self) -> None:
        while self._queue and len(self._running) < self._slots:
            execution = self._queue.popleft()
            if execution.ended:
                continue
            now = self._line.now
            execution.started = now
            execution.work_end = now + execution.service_s * self._factor()
            self._running.add(id(execution))
            self._by_id[id(execution)] = execution
            self._line.at(execution.work_end, self._finisher(execution))

    def _finisher(self, execution: Execution) -> timeline.Work:
        def finish() -> None:
            if not execution.ended:
                execution.below()

        return finish

    def _break(self) -> None:
        struck = [*self._by_id.values(), *self._queue]
        self._queue.clear()
        self._running.clear()
        self._by_id.clear()
        for execution in struck:
            if not execution.ended:
                execution.ended = True
                execution.broken()
