"""Baseline admission: a fixed limit and a first-in first-out queue."""

import collections

from .. import results
from ..world import upstream
from . import admission
from . import pacing

QUEUE_LENGTH_PER_SLOT = 20


@admission.policies.register("fifo")
class FifoAdmission:
    """Runs as many calls as there are slots, oldest first.

    :param capacity: the slots and connections in the configuration.
    """

    def __init__(self, capacity: admission.Capacity) -> None:
        self.learn_capacity(capacity)
        self._running: set[int] = set()
        self._pacer = pacing.Pacer()
        self._queue: collections.OrderedDict[int, admission.Arrival]
        self._queue = collections.OrderedDict()

    @property
    def running(self) -> int:
        """Number of calls that were started and have not finished."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""
        return self._slots

    def learn_capacity(self, capacity: admission.Capacity) -> None:
        """Apply the slots of a newer configuration."""
        self._slots = capacity.slots
        self._queue_max = capacity.slots * QUEUE_LENGTH_PER_SLOT

    def learn_rate_limit(
        self, limit_per_s: float, now: float
    ) -> list[admission.Decision]:
        """Apply the rate limit that the upstream advertises."""
        self._pacer.set_limit(limit_per_s, now)
        return self._start(now)

    def arrive(
        self, arrival: admission.Arrival, now: float
    ) -> list[admission.Decision]:
        """Start or queue the call; refuse it if the queue is full."""
        if len(self._queue) >= self._queue_max:
            return [admission.Refuse(arrival.ticket, results.SHED_AT_GATE, 0)]
        self._queue[arrival.ticket] = arrival
        return self._start(now)

    def learn_report(self, report: upstream.LoadReport, now: float) -> None:
        """Ignore the report; the baseline has a fixed limit."""

    def finish(
        self, ticket: int, end: admission.CallEnd, now: float
    ) -> list[admission.Decision]:
        """Free the call's slot and start the next call."""
        self._running.discard(ticket)
        return self._start(now)

    def cancel(self, ticket: int, now: float) -> list[admission.Decision]:
        """Remove a waiting call."""
        self._queue.pop(ticket, None)
        return []

    def tick(self, now: float) -> list[admission.Decision]:
        """Start the calls that the rate limit allows; ignore deadlines."""
        return self._start(now)

    def level(self, now: float) -> int:
        """Return 0, since the baseline publishes no shed level."""
        return 0

    def _start(self, now: float) -> list[admission.Decision]:
        started: list[admission.Decision] = []
        while self._queue and len(self._running) < self._slots:
            if not self._pacer.try_acquire(now):
                break
            ticket, _ = self._queue.popitem(last=False)
            self._running.add(ticket)
            started.append(admission.Start(ticket))
        return started
