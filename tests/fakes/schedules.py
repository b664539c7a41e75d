"""Generated schedules of faults for simulated nodes."""

import dataclasses
import typing as t

from hypothesis import strategies

from fakes import documents
from fakes import simulated_nodes
from fakes import transport
from savorytally.world import configuration
from savorytally.world import document

ORGANISATION = "org2"
RATE_PER_S = 16.0
BURST = 24.0
STEP_S = 0.25
STEPS = 400
SPAN_MAX = 320
RESTART_FRACTION = 0.02
PLACES = {"bagmati": ["b0", "b1", "b2"], "gandaki": ["g0", "g1"]}
HOSTS = [host_id for names in PLACES.values() for host_id in names]


def contract(
    rate_per_s: float = RATE_PER_S, burst: float = BURST, version: int = 1
) -> configuration.Configuration:
    """Return a configuration with one organisation's rate and burst."""
    value = documents.himali(version)
    organisation = value["organisations"][ORGANISATION]
    organisation["rate_per_s"] = rate_per_s
    organisation["burst"] = burst
    read = document.read(value)
    assert isinstance(read, configuration.Configuration)
    return read


@dataclasses.dataclass(frozen=True)
class Event:
    """One fault; the meaning of ``host`` and ``span`` depends on its kind."""

    step: int
    kind: str
    host: int
    span: int


KINDS = (
    "crash",
    "restart",
    "remove",
    "relist",
    "leave",
    "add",
    "pause",
    "blind",
    "split",
    "isolate",
    "expel",
    "lower",
    "raise",
)

EVENTS = strategies.lists(
    strategies.builds(
        Event,
        step=strategies.integers(0, STEPS - 40),
        kind=strategies.sampled_from(KINDS),
        host=strategies.integers(0, len(HOSTS) - 1),
        span=strategies.integers(1, SPAN_MAX),
    ),
    max_size=8,
)

CONDITIONS = strategies.builds(
    transport.NetworkConditions,
    delay_min_s=strategies.just(0.001),
    delay_max_s=strategies.sampled_from([0.005, 0.05, 1.0, 4.0]),
    loss_rate=strategies.sampled_from([0.0, 0.1, 0.4]),
    duplication_rate=strategies.sampled_from([0.0, 0.2]),
)


class Schedule:
    """Applies events to a simulated fleet.

    :param world: the simulated fleet.
    """

    def __init__(self, world: simulated_nodes.SimulatedFleet) -> None:
        self.world = world

    def step(self, events: t.Sequence[Event], step: int) -> None:
        """Apply the events of one step."""
        for event in events:
            if event.step == step:
                self.apply(event)

    def apply(self, event: Event) -> None:
        """Apply one fault and schedule its end if it has one."""
        host_id = HOSTS[event.host]
        getattr(self, f"_{event.kind}")(host_id, event.span * STEP_S)

    def _crash(self, host_id: str, span_s: float) -> None:
        self.world.crash(host_id)
        self.world.net.at(span_s, lambda: self.world.remove(host_id))

    def _restart(self, host_id: str, span_s: float) -> None:
        self.world.crash(host_id)
        self.world.net.at(
            span_s * RESTART_FRACTION, lambda: self._start(host_id)
        )

    def _start(self, host_id: str) -> None:
        if host_id not in self.world.members:
            self.world.start(host_id)

    def _remove(self, host_id: str, span_s: float) -> None:
        self.world.remove(host_id)

    def _relist(self, host_id: str, span_s: float) -> None:
        self.world.remove(host_id)
        self.world.net.at(span_s, lambda: self.world.relist(host_id))

    def _leave(self, host_id: str, span_s: float) -> None:
        self.world.leave(host_id)

    def _add(self, host_id: str, span_s: float) -> None:
        region_id = self.world.region_of(host_id)
        self.world.add(f"{host_id}-{len(self.world.states)}", region_id)

    def _pause(self, host_id: str, span_s: float) -> None:
        net = self.world.net
        net.pause(host_id)
        net.at(span_s, lambda: net.resume(host_id))

    def _blind(self, host_id: str, span_s: float) -> None:
        for name, member in self.world.members.items():
            if name <= host_id:
                self._read(member, False)
                self.world.net.at(span_s, lambda m=member: self._read(m, True))

    def _read(
        self, member: simulated_nodes.SimulatedNode, reads: bool
    ) -> None:
        member.reads = reads

    def _split(self, host_id: str, span_s: float) -> None:
        group = [name for name in self.world.members if name <= host_id]
        self._cut(group, span_s)

    def _isolate(self, host_id: str, span_s: float) -> None:
        self._cut([host_id], span_s)
        member = self.world.members.get(host_id)
        if member is not None:
            self._read(member, False)
            self.world.net.at(span_s, lambda: self._read(member, True))

    def _expel(self, host_id: str, span_s: float) -> None:
        """Disconnect a host and remove it from the list as if it were dead."""
        self._isolate(host_id, span_s)
        self.world.remove(host_id)

    def _cut(self, group: list[str], span_s: float) -> None:
        net = self.world.net
        others = [name for name in self.world.members if name not in group]
        net.cut(group, others)
        net.at(span_s, net.heal)

    def _lower(self, host_id: str, span_s: float) -> None:
        self._configure(0.5)

    def _raise(self, host_id: str, span_s: float) -> None:
        self._configure(1.0)

    def _configure(self, fraction: float) -> None:
        number = self.world.version.version + 1
        version = contract(RATE_PER_S * fraction, BURST * fraction, number)
        self.world.configure(version)
