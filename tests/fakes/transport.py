"""Simulated message transport between participants on a virtual clock.

Messages may be delayed, reordered, dropped and duplicated. Hosts may be
paused, crashed and disconnected.
"""

import dataclasses
import heapq
import itertools
import random
import typing as t

from savorytally import clock
from savorytally import defaults
from savorytally.decisions import participant


@dataclasses.dataclass(frozen=True)
class NetworkConditions:
    """Delays and losses of the network.

    Messages with different delays may be reordered. ``loss_rate`` and
    ``duplication_rate`` are probabilities for each message.
    """

    delay_min_s: float = 0.001
    delay_max_s: float = 0.02
    loss_rate: float = 0.0
    duplication_rate: float = 0.0


class Transport:
    """Delivers messages and ticks in order of time.

    :param source: seeded random source for delays and losses.
    :param conditions: delays and losses of the network; may be replaced.
    """

    def __init__(
        self,
        source: random.Random,
        conditions: NetworkConditions = NetworkConditions(),
    ) -> None:
        self.clock = clock.VirtualClock()
        self.conditions = conditions
        self.sent: dict[str, int] = {}
        self._random = source
        self._order = itertools.count()
        self._due: list[tuple[float, int, t.Callable[[], None]]] = []
        self._members: dict[str, list[participant.Participant]] = {}
        self._paused: dict[str, list[t.Callable[[], None]]] = {}
        self._cuts: set[frozenset[str]] = set()
        self._run_ids: dict[str, int] = {}

    def join(
        self, host_id: str, members: t.Sequence[participant.Participant]
    ) -> None:
        """Add a host, possibly one that crashed before."""
        self._members[host_id] = list(members)
        run_id = next(self._order)
        self._run_ids[host_id] = run_id
        first_tick_s = self._random.uniform(0, defaults.CONTROL_TICK_S)
        self.at(first_tick_s, lambda: self._tick(host_id, run_id))

    def crash(self, host_id: str) -> None:
        """Remove a host; messages in transit to it are lost."""
        self._members.pop(host_id, None)
        self._paused.pop(host_id, None)
        self._run_ids.pop(host_id, None)

    def pause(self, host_id: str) -> None:
        """Pause a host; messages to it are delayed until it resumes."""
        self._paused.setdefault(host_id, [])

    def is_paused(self, host_id: str) -> bool:
        """Return whether a host is paused."""
        return host_id in self._paused

    def resume(self, host_id: str) -> None:
        """Resume a paused host and deliver its delayed messages."""
        for work in self._paused.pop(host_id, []):
            work()

    def cut(
        self, group: t.Iterable[str], other_group: t.Iterable[str]
    ) -> None:
        """Drop every message between the two groups until healed."""
        self._cuts |= {
            frozenset((one, other))
            for one, other in itertools.product(group, other_group)
        }

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def at(self, delay_s: float, work: t.Callable[[], None]) -> None:
        """Run a function after a delay."""
        when = self.clock.now() + delay_s
        heapq.heappush(self._due, (when, next(self._order), work))

    def send(
        self, sender: str, outgoing: t.Iterable[participant.Outgoing]
    ) -> None:
        """Send messages from a host."""
        for item in outgoing:
            self.sent[sender] = self.sent.get(sender, 0) + 1
            copies = 1 + (
                self._random.random() < self.conditions.duplication_rate
            )
            for _ in range(copies):
                self._carry(sender, item)

    def run(self, seconds: float) -> None:
        """Advance the clock and run what is due."""
        end = self.clock.now() + seconds
        while self._due and self._due[0][0] <= end:
            when, _, work = heapq.heappop(self._due)
            self.clock.move_to(when)
            work()
        self.clock.move_to(end)

    def _carry(self, sender: str, item: participant.Outgoing) -> None:
        if self._random.random() < self.conditions.loss_rate:
            return
        delay_s = self._random.uniform(
            self.conditions.delay_min_s, self.conditions.delay_max_s
        )
        self.at(delay_s, lambda: self._arrive(sender, item))

    def _arrive(self, sender: str, item: participant.Outgoing) -> None:
        if frozenset((sender, item.host_id)) in self._cuts:
            return
        if item.host_id in self._paused:
            waiting = self._paused[item.host_id]
            waiting.append(lambda: self._arrive(sender, item))
            return
        for member in self._members.get(item.host_id, ()):
            if isinstance(item.message, tuple(member.handles)):
                now = self.clock.now()
                replies = member.receive(sender, item.message, now)
                self.send(item.host_id, replies)

    def _tick(self, host_id: str, run_id: int) -> None:
        if self._run_ids.get(host_id) != run_id:
            return
        if host_id not in self._paused:
            for member in self._members[host_id]:
                self.send(host_id, member.tick(self.clock.now()))
        self.at(defaults.CONTROL_TICK_S, lambda: self._tick(host_id, run_id))
