"""What was seen in a soak run."""

import contextlib
import dataclasses
import json
import pathlib
import time
import typing as t


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request of a caller or of a run, and its end.

    :param name: its identifier.
    :param at: when it was sent.
    :param host: address of the node that it was sent to.
    :param service: that its route leads to.
    :param idempotent: whether it may run twice.
    :param key: the key that it carried, empty for calls.
    :param status: its answer's status, 0 if there was none.
    :param body: the answer's body.
    :param signature: the upstream's mark on the answer.
    :param ended: when it ended.
    :param left_s: how long its sender would wait.
    :param end: how it ended, a value of ``soak_wire.End``.
    :param parent: number of the arrival whose run made it.
    :param start: the start of the upstream that gave the answer.
    :param limited: whether the answer names a limit.
    :param leaving: whether the answer says that the upstream leaves.
    """

    name: str
    at: float
    host: str
    service: str
    idempotent: bool
    key: str
    status: int
    body: bytes
    signature: str
    ended: float
    left_s: float
    end: str
    parent: int | None = None
    start: str = ""
    limited: bool = False
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at an upstream.

    :param host: address of the node beside the upstream.
    :param instance: the upstream's identifier.
    :param ran: whether it began to run.
    :param headers: as the upstream saw them.
    :param start: the start of the upstream, empty if another was meant.
    """

    name: str
    at: float
    service: str
    host: str
    instance: str
    ran: bool
    headers: t.Mapping[str, str]
    start: str = ""


@dataclasses.dataclass(frozen=True)
class Ended:
    """The end of a run.

    :param status: of its answer, 0 if there was none.
    :param broke: whether the upstream broke off.
    """

    at: float
    status: int
    broke: bool


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something that was done to the mesh.

    :param kind: what was done.
    :param host: address of the node of the host, empty for all hosts.
    :param group: what it was done to.
    """

    kind: str
    host: str
    group: str
    at: float
    until: float


@dataclasses.dataclass(frozen=True)
class Limit:
    """A limit that a start of an upstream has named in its answers.

    :param until: when it was named no longer, or in another height.
    """

    start: str
    limit_per_s: float
    at: float
    until: float


@dataclasses.dataclass
class Record:
    """All that was seen in a run.

    :param organisations: organisation by key.
    :param sent: requests and calls that have ended.
    :param arrivals: in the order of their time.
    :param ends: ends of runs by the arrival's number.
    :param faults: what was done, and when.
    :param revoked: when keys were withdrawn.
    :param leaving: when upstreams said that they leave.
    :param limits: limits that upstreams have named.
    :param own_ends: hosts whose node ended by itself.
    :param peaks: most resident memory of the nodes, in bytes, by host.
    """

    organisations: dict[str, str]
    sent: list[Sent] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    ends: dict[int, Ended] = dataclasses.field(default_factory=dict)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: list[Limit] = dataclasses.field(default_factory=list)
    own_ends: list[str] = dataclasses.field(default_factory=list)
    peaks: dict[str, int] = dataclasses.field(default_factory=dict)

    @contextlib.contextmanager
    def fault(
        self, kind: str, host: str, group: str
    ) -> t.Generator[None, None, None]:
        """Note what is done within the block."""
        began = time.time()
        try:
            yield
        finally:
            self.faults.append(Fault(kind, host, group, began, time.time()))

    def write(self, path: pathlib.Path) -> None:
        """Write all that was seen, a JSON line each, by time."""
        seen = [*self.sent, *self.arrivals, *self.faults]
        numbers = {id(item): i for i, item in enumerate(self.arrivals)}
        with path.open("w") as file:
            for item in sorted(seen, key=lambda item: item.at):
                line = {"what": type(item).__name__}
                line |= dataclasses.asdict(item)
                ended = self.ends.get(numbers.get(id(item), -1))
                if ended is not None:
                    line["end"] = dataclasses.asdict(ended)
                file.write(json.dumps(line, default=repr) + "\n")
