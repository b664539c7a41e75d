"""A simulated upstream: slots, recorded service times and conditions."""

import collections
import dataclasses
import typing as t

from . import timeline
from . import trace


@dataclasses.dataclass(slots=True)
class Execution:
    """The execution of one request at the upstream.

    :param service_s: recorded service time of the upstream's own work.
    :param on_worked: called when the own work is done; it has to call
        :meth:`Upstream.release` eventually.
    :param on_broken: called if the upstream breaks the connection.
    :param started: time at which it got a slot, if it did.
    :param work_end: time at which the own work ends.
    :param ended: whether it has finished, failed or been cancelled.
    """

    service_s: float
    on_worked: t.Callable[[], None]
    on_broken: t.Callable[[], None]
    started: float | None = None
    work_end: float = 0.0
    ended: bool = False


class SimulatedUpstream:
    """Processes as many requests at once as it has slots and queues others.

    :param clock: the virtual clock.
    :param gate: the gate of the trace, which states the slots.
    :param conditions: conditions of all upstreams of the trace.
    """

    def __init__(
        self,
        clock: timeline.Timeline,
        gate: trace.Gate,
        conditions: t.Iterable[trace.Condition],
    ) -> None:
        self._clock = clock
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
                clock.at(item.from_s, self._go_down)

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return len(self._running)

    def start(self, execution: Execution) -> None:
        """Queue a request, or fail it while the upstream is down."""
        if self._active("down"):
            execution.ended = True
            self._clock.after(0.0, execution.on_broken)
            return
        self._queue.append(execution)
        self._start_queued()

    def release(self, execution: Execution) -> float:
        """End a request that finished or was cancelled.

        :return: time in seconds that its own work has held a slot.
        """
        if execution.ended:
            return 0.0
        execution.ended = True
        if execution.started is None:
            return 0.0
        self._running.discard(id(execution))
        self._by_id.pop(id(execution), None)
        worked_s = min(self._clock.now, execution.work_end) - execution.started
        self._start_queued()
        return worked_s

    def active_misreport(self) -> trace.Condition | None:
        """Return the condition that falsifies its load reports, if any."""
        return self._active("report")

    def _active(self, kind: str) -> trace.Condition | None:
        for item in self._conditions:
            if item.kind == kind and (
                item.from_s <= self._clock.now < item.until_s
            ):
                return item
        return None

    def _service_time_factor(self) -> float:
        factor = 1.0
        slow = self._active("slow")
        if slow is not None:
            factor *= slow.factor
        cold = self._active("cold")
        if cold is not None:
            length_s = cold.until_s - cold.from_s
            left = (cold.until_s - self._clock.now) / length_s
            factor *= 1.0 + (cold.factor - 1.0) * left
        return factor

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self._slots:
            execution = self._queue.popleft()
            if execution.ended:
                continue
            now = self._clock.now
            execution.started = now
            execution.work_end = (
                now + execution.service_s * self._service_time_factor()
            )
            self._running.add(id(execution))
            self._by_id[id(execution)] = execution
            self._clock.at(
                execution.work_end, self._finish_callback(execution)
            )

    def _finish_callback(self, execution: Execution) -> timeline.Work:
        def finish() -> None:
            if not execution.ended:
                execution.on_worked()

        return finish

    def _go_down(self) -> None:
        interrupted = [*self._by_id.values(), *self._queue]
        self._queue.clear()
        self._running.clear()
        self._by_id.clear()
        for execution in interrupted:
            if not execution.ended:
                execution.ended = True
                execution.on_broken()
