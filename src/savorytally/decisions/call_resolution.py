"""Remembers calls received from peers and resolves their outcomes.

A caller that lost its stream queries the outcome of each call. The replies are
definite: a call whose identifier was never received is marked so that it can
never run, the outcome of a finished call is retained until the caller confirms
that it has received it, and a call whose record may have been dropped is
reported as forgotten.
"""

import collections
import dataclasses
import enum

from .. import outcomes

_RECORD_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """One run of a calling node.

    :param host_id: host of the node.
    :param incarnation: distinguishes this run from earlier and later ones.
    """

    host_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the retained state.

    :param outcome_retention_s: time in seconds for which outcomes are
        retained.
    :param record_retention_s: time in seconds for which a call's identifier is
        remembered. It exceeds any deadline, so that no caller queries a
        dropped identifier.
    :param max_bytes: total size of all retained outcomes.
    :param max_records: number of remembered identifiers.
    """

    outcome_retention_s: float = 5.0
    record_retention_s: float = 60.0
    max_bytes: int = 8 << 20
    max_records: int = 50_000


DEFAULT_LIMITS = Limits()


class Arrival(enum.Enum):
    """How to handle a call that arrives.

    ``RUN`` runs the call and ``DUPLICATE`` ignores it. ``NEVER_RUN`` rejects
    it because a query marked it so that it never runs. ``FORGOTTEN``
    rejects it because its record may have been dropped.
    """

    RUN = enum.auto()
    DUPLICATE = enum.auto()
    NEVER_RUN = enum.auto()
    FORGOTTEN = enum.auto()


class State(enum.Enum):
    """State of a call."""

    RUNNING = enum.auto()
    FINISHED = enum.auto()
    OUTCOME_DROPPED = enum.auto()
    NEVER_RUN = enum.auto()
    FORGOTTEN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Resolution:
    """Result of a query about a call.

    :param state: state of the call.
    :param outcome: the retained outcome of a finished call.
    """

    state: State
    outcome: outcomes.Outcome | None = None


@dataclasses.dataclass(slots=True)
class _Record:
    """State of one call and its retained outcome."""

    state: State
    at: float
    outcome: outcomes.Outcome | None = None
    size_bytes: int = 0


class _Calls:
    """The remembered calls of one sender, oldest first.

    Identifiers below ``floor`` are settled or may have been dropped.
    """

    def __init__(self, now: float) -> None:
        self.records: collections.OrderedDict[int, _Record]
        self.records = collections.OrderedDict()
        self.floor = 0
        self.used_at = now


class ServedCalls:
    """Remembers received calls and retains their outcomes for a limited time.

    :param limits: limits of the retained state.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._senders: dict[Sender, _Calls] = {}
        self._retained: collections.OrderedDict[tuple[Sender, int], _Record]
        self._retained = collections.OrderedDict()
        self._bytes = 0
        self._records = 0

    def __len__(self) -> int:
        return self._records

    @property
    def retained_bytes(self) -> int:
        """Total size of all retained outcomes."""
        return self._bytes

    def arrive(self, sender: Sender, call_id: int, now: float) -> Arrival:
        """Record a received call and return how to handle it."""
        calls = self._calls(sender, now)
        record = calls.records.get(call_id)
        if record is not None:
            never_run = record.state is State.NEVER_RUN
            return Arrival.NEVER_RUN if never_run else Arrival.DUPLICATE
        if call_id < calls.floor:
            return Arrival.FORGOTTEN
        self._add(calls, call_id, _Record(State.RUNNING, now))
        return Arrival.RUN

    def finish(
        self,
        sender: Sender,
        call_id: int,
        outcome: outcomes.Outcome,
        now: float,
    ) -> None:
        """Retain the outcome of a call that ran or was rejected."""
        calls = self._senders.get(sender)
        record = calls.records.get(call_id) if calls else None
        if calls is None or record is None:
            return
        if call_id < calls.floor:
            self._remove(calls, call_id)
            return
        record.state = State.FINISHED
        record.at = now
        record.outcome = outcome
        record.size_bytes = _size_bytes(outcome)
        self._bytes += record.size_bytes
        self._retained[sender, call_id] = record
        while self._bytes > self._limits.max_bytes:
            self._drop_oldest_outcome()

    def resolve(self, sender: Sender, call_id: int, now: float) -> Resolution:
        """Return the state of a call; an unknown call will never run."""
        calls = self._calls(sender, now)
        record = calls.records.get(call_id)
        if record is not None:
            return Resolution(record.state, record.outcome)
        if call_id < calls.floor:
            return Resolution(State.FORGOTTEN)
        self._add(calls, call_id, _Record(State.NEVER_RUN, now))
        return Resolution(State.NEVER_RUN)

    def settle(self, sender: Sender, below: int, now: float) -> None:
        """Drop calls that their caller will not query again.

        :param below: all identifiers of the sender below this one are settled.
        """
        calls = self._calls(sender, now)
        calls.floor = max(calls.floor, below)
        while calls.records:
            call_id, record = next(iter(calls.records.items()))
            if call_id >= below or record.state is State.RUNNING:
                return
            self._forget(sender, calls, call_id)

    def expire(self, now: float) -> None:
        """Drop state that exceeds the limits."""
        oldest = now - self._limits.outcome_retention_s
        while self._retained:
            record = next(iter(self._retained.values()))
            if record.at > oldest:
                break
            self._drop_oldest_outcome()
        for sender, calls in list(self._senders.items()):
            self._expire_records(sender, calls, now)

    def _expire_records(
        self, sender: Sender, calls: _Calls, now: float
    ) -> None:
        oldest = now - self._limits.record_retention_s
        while calls.records:
            call_id, record = next(iter(calls.records.items()))
            over_limit = self._records > self._limits.max_records
            if record.state is State.RUNNING:
                return
            if record.at > oldest and not over_limit:
                return
            calls.floor = max(calls.floor, call_id + 1)
            self._forget(sender, calls, call_id)
        if calls.used_at < oldest:
            del self._senders[sender]

    def _calls(self, sender: Sender, now: float) -> _Calls:
        calls = self._senders.get(sender)
        if calls is None:
            calls = self._senders[sender] = _Calls(now)
        calls.used_at = now
        return calls

    def _add(self, calls: _Calls, call_id: int, record: _Record) -> None:
        calls.records[call_id] = record
        self._records += 1

    def _remove(self, calls: _Calls, call_id: int) -> None:
        del calls.records[call_id]
        self._records -= 1

    def _forget(self, sender: Sender, calls: _Calls, call_id: int) -> None:
        record = self._retained.pop((sender, call_id), None)
        if record is not None:
            self._bytes -= record.size_bytes
        self._remove(calls, call_id)

    def _drop_oldest_outcome(self) -> None:
        _, record = self._retained.popitem(last=False)
        self._bytes -= record.size_bytes
        record.state = State.OUTCOME_DROPPED
        record.outcome = None


def _size_bytes(outcome: outcomes.Outcome) -> int:
    """Return the size that counts against the limit of retained outcomes."""
    if isinstance(outcome, outcomes.Answer):
        return _RECORD_BYTES + len(outcome.body)
    return _RECORD_BYTES
