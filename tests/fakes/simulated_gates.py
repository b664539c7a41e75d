"""Simulated gates with execution records, and callers that resend requests."""

import dataclasses
import random
import typing as t

from fakes import simulated_nodes
from savorytally import outcomes
from savorytally import results
from savorytally.decisions import execution_record
from savorytally.decisions import executor_choice
from savorytally.decisions import list_confirmation
from savorytally.decisions import participant
from savorytally.decisions import shard_ownership
from savorytally.peer import messages
from savorytally.world import configuration
from savorytally.world import host

SERVICE = "browse"
WALL_SKEW_S = 2.0


@dataclasses.dataclass(frozen=True)
class Submit(messages.Message):
    """One attempt to run a request.

    Like a call on a stream, it arrives at most once, and only at the process
    to which it was sent.
    """

    attempt: int
    key: execution_record.Key
    run_id: int


@dataclasses.dataclass(frozen=True)
class Reply(messages.Message):
    """The outcome of an attempt."""

    attempt: int
    outcome: outcomes.Outcome


class Executor(simulated_nodes.SimulatedNode):
    """A node that forwards requests to their owner and runs them."""

    handles = (Submit, Reply, *list_confirmation.ListConfirmations.handles)

    def __init__(
        self, world: simulated_nodes.SimulatedFleet, host_id: str, *rest: t.Any
    ) -> None:
        super().__init__(world, host_id, *rest)
        self.wall_skew_s = world.random.uniform(-WALL_SKEW_S, WALL_SKEW_S)

    def build(self, fresh: bool) -> None:
        """Create an execution record instead of a quota."""
        self._seen_attempts: set[int] = set()
        self.run_id = self.world.run_count
        self.owners = executor_choice.ExecutorChoice()
        self.record = execution_record.ExecutionRecord(
            SERVICE,
            shard_ownership.Ownership(
                self.host_id,
                lambda item: item.service_id == SERVICE,
                self.readings,
                self.witnesses,
                fresh,
            ),
        )

    def configure(self, version: configuration.Configuration) -> None:
        """Do nothing; the record does not depend on the configuration."""

    def learn_hosts(self, read: host.HostList, local: float) -> None:
        self.owners.learn_hosts(read.hosts)
        self.record.learn_hosts(read, local)

    def decide(self, local: float) -> list[participant.Outgoing]:
        self.record.tick(local)
        return []

    def submit(self, attempt: int, key: execution_record.Key) -> None:
        """Send an attempt to the owner of its key."""
        owner = self.owners.owner_of(SERVICE, key)
        if owner is None:
            return
        target = self.world.members.get(owner.host_id)
        if target is None:
            return
        message = Submit(attempt, key, target.run_id)
        if owner.host_id == self.host_id:
            self._handle_submit(self.host_id, message)
            return
        outgoing = participant.Outgoing(owner.host_id, message)
        self.world.net.send(self.host_id, [outgoing])

    def handle(
        self, sender: str, message: messages.Message, local: float
    ) -> list[participant.Outgoing]:
        if isinstance(message, Submit):
            duplicate = message.attempt in self._seen_attempts
            self._seen_attempts.add(message.attempt)
            if not duplicate and message.run_id == self.run_id:
                self._handle_submit(sender, message)
        elif isinstance(message, Reply):
            self.world.replies.append((message.attempt, message.outcome))
        return []

    def _handle_submit(self, sender: str, submit: Submit) -> None:
        wall = self.world.clock.now() + self.wall_skew_s
        decision = self.record.begin(submit.key, self.now(), wall)
        if not isinstance(decision, execution_record.Run):
            self._reply(sender, submit, decision)
            return
        queued_s = self.world.random.choice([0.0, 0.1, 3.0])
        self._run_after(queued_s, lambda: self._start(sender, submit))

    def _start(self, sender: str, submit: Submit) -> None:
        if self.world.random.random() < 0.2:
            shed = outcomes.Failure(results.SHED_AT_GATE)
            self._finish(sender, submit, shed)
            return
        refusal = self.record.start(submit.key, self.now())
        if refusal is not None:
            self._finish(sender, submit, refusal)
            return
        self.world.executed.setdefault(submit.key, []).append(submit.attempt)
        took_s = self.world.random.choice([0.05, 1.0, 20.0])
        answer = outcomes.Answer(200, (), b"done")
        self._run_after(took_s, lambda: self._finish(sender, submit, answer))

    def _finish(
        self, sender: str, submit: Submit, outcome: outcomes.Outcome
    ) -> None:
        self.record.finish(submit.key, outcome, self.now())
        self._reply(sender, submit, outcome)

    def _reply(
        self, sender: str, submit: Submit, outcome: outcomes.Outcome
    ) -> None:
        reply = Reply(submit.attempt, outcome)
        if sender == self.host_id:
            self.world.replies.append((submit.attempt, outcome))
            return
        outgoing = participant.Outgoing(sender, reply)
        self.world.net.send(self.host_id, [outgoing])

    def _run_after(self, delay_s: float, work: t.Callable[[], None]) -> None:
        """Run a function after a delay, and not while this node is paused."""

        def due() -> None:
            if self.world.members.get(self.host_id) is not self:
                return
            if self.world.net.is_paused(self.host_id):
                self.world.net.at(0.1, due)
                return
            work()

        self.world.net.at(delay_s, due)


class Callers:
    """Callers that send new requests and resend earlier ones.

    :param world: the simulated fleet.
    :param source: seeded random source.
    """

    def __init__(
        self, world: simulated_nodes.SimulatedFleet, source: random.Random
    ) -> None:
        self.world = world
        self._random = source
        self._keys: list[execution_record.Key] = []
        self._attempts = 0

    def step(self) -> None:
        """Send a few attempts through any node."""
        names = sorted(self.world.members)
        for _ in range(3):
            if not names:
                return
            if not self._keys or self._random.random() < 0.4:
                self._keys.append(self._new_key())
            recent = self._random.random() < 0.7
            keys = self._keys[-4:] if recent else self._keys
            key = self._random.choice(keys)
            name = self._random.choice(names)
            if self.world.net.is_paused(name):
                continue
            self._attempts += 1
            self.world.members[name].submit(self._attempts, key)

    def _new_key(self) -> execution_record.Key:
        """Return a key, usually with a timestamp that may be wrong."""
        bits = self._random.getrandbits(74)
        if self._random.random() < 0.3:
            return execution_record.Key("org1", f"{bits:x}")
        skew_s = self._random.choice([0.0, 0.0, 0.0, 1.0, 4.0, 45.0, -30.0])
        made_ms = int((self.world.clock.now() + skew_s) * 1000)
        value = (made_ms << 80) | (7 << 76) | (bits & ~(3 << 62))
        value = (value & ~(3 << 62)) | (2 << 62)
        digits = f"{value:032x}"
        return execution_record.Key("org1", digits)
