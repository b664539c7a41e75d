"""Quarantines requests that crash upstreams.

The requests that were running when an upstream crashed become suspects, and
the nodes of the service notify each other of them. A suspect next runs in
isolation, on the one host that has announced to do so. A response clears it, a
second crash convicts it, and a convicted request is refused until the
conviction expires.
"""

import dataclasses
import typing as t

import xxhash

from ..peer import messages
from ..peer import poison_messages
from . import admission
from . import crash_detection
from . import participant

# How long a request stays suspected and convicted.
SUSPECT_S = 30.0
CONVICTED_S = 300.0
# Wait after a claim to run a suspect, in which competing claims arrive.
CLAIM_SETTLE_S = 0.3
# Time after which a claim that was not renewed expires.
CLAIM_S = 3.0
# Number of consecutive ticks in which each message is sent.
SEND_COUNT = 3
# Maximum number of suspected and convicted requests.
TRACKED_MAX = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Unrestricted:
    """The request may run without restrictions."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunIsolated:
    """The request may run in isolation, while no other call runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForTrial:
    """The request must wait for an isolated run, here or at another host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is refused.

    :param retry_after_ms: time until the conviction expires.
    """

    retry_after_ms: int


Decision = Unrestricted | RunIsolated | WaitForTrial | Quarantined

UNRESTRICTED = Unrestricted()
RUN_ISOLATED = RunIsolated()
WAIT = WaitForTrial()


@dataclasses.dataclass(slots=True)
class _State:
    """State of one suspected or convicted request.

    :param until: when the state expires.
    :param convicted: whether the request is refused.
    :param claimant: host that has claimed the isolated run, or empty.
    :param claimed_at: when the claim was made or last renewed.
    :param running: number of calls with this fingerprint that run here.
    """

    until: float
    convicted: bool = False
    claimant: str = ""
    claimed_at: float = 0.0
    running: int = 0


@dataclasses.dataclass(slots=True)
class _PendingMessage:
    """A message that is sent to all peers in each of the next ticks.

    :param message: the message.
    :param sends_left: in how many more ticks it is sent.
    """

    message: messages.Message
    sends_left: int = SEND_COUNT


class Quarantine:
    """Decides at one gate whether suspected requests may run.

    :param host_id: identifier of this host.
    :param peers: returns the other hosts of the service.
    """

    handles = (
        poison_messages.RequestSuspected,
        poison_messages.IsolatedRunStarting,
        poison_messages.RequestCleared,
        poison_messages.RequestConvicted,
    )

    def __init__(
        self, host_id: str, peers: t.Callable[[], t.Iterable[str]]
    ) -> None:
        self._host_id = host_id
        self._peers = peers
        self._states: dict[int, _State] = {}
        self._calls: dict[int, int] = {}
        self._pending: list[_PendingMessage] = []
        self._detector = crash_detection.CrashDetector()
        self._crashes_seen = 0

    @property
    def crashes_seen(self) -> int:
        """Number of detected crashes of the local upstream."""
        return self._crashes_seen

    @property
    def convictions(self) -> int:
        """Number of requests that are currently refused."""
        return sum(state.convicted for state in self._states.values())

    def check(
        self, fingerprint: int, now: float, suspect: bool = False
    ) -> Decision:
        """Return whether a request may run here now.

        :param suspect: whether an earlier attempt of the sender broke an
            upstream.
        """
        if suspect and fingerprint not in self._states:
            remaining_ms = int(SUSPECT_S * 1000)
            self._suspect(fingerprint, remaining_ms, now)
            self._announce(
                poison_messages.RequestSuspected(fingerprint, remaining_ms)
            )
        state = self._states.get(fingerprint)
        if state is None or now >= state.until:
            return UNRESTRICTED
        if state.convicted:
            return Quarantined(int((state.until - now) * 1000) + 1)
        if state.running:
            return WAIT
        if state.claimant and now - state.claimed_at >= CLAIM_S:
            state.claimant = ""
        if not state.claimant:
            self._claim(fingerprint, state, now)
        if state.claimant != self._host_id:
            return WAIT
        settled = now - state.claimed_at >= CLAIM_SETTLE_S
        return RUN_ISOLATED if settled else WAIT

    def apply_conviction(
        self, fingerprint: int, remaining_ms: int, now: float
    ) -> None:
        """Apply a conviction with which another gate refused a request."""
        self._convict(fingerprint, remaining_ms / 1000, now)

    def started(self, ticket: int, fingerprint: int, now: float) -> None:
        """Record a call that is sent to the upstream."""
        self._calls[ticket] = fingerprint
        state = self._states.get(fingerprint)
        isolated = state is not None and state.claimant == self._host_id
        if state is not None:
            state.running += 1
            state.claimed_at = now
        self._detector.started(ticket, fingerprint, isolated, now)

    def ended(
        self, ticket: int, end: admission.CallEnd, dispatched: bool, now: float
    ) -> None:
        """Record the end of a call.

        :param dispatched: whether the upstream accepted the connection.
        """
        fingerprint = self._calls.pop(ticket, None)
        if fingerprint is None:
            return
        state = self._states.get(fingerprint)
        if state is not None:
            state.running = max(state.running - 1, 0)
        if end is admission.CallEnd.ANSWERED:
            self._detector.answered(ticket)
            self._clear(fingerprint)
        elif end is not admission.CallEnd.BROKEN:
            self._detector.ended(ticket)
        elif dispatched:
            self._handle_crash(self._detector.broken(ticket, now), now)
        else:
            self._handle_crash(self._detector.refused(ticket, now), now)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[participant.Outgoing]:
        """Apply a message from another node of the service."""
        if isinstance(message, poison_messages.RequestSuspected):
            self._suspect(message.fingerprint, message.remaining_ms, now)
        elif isinstance(message, poison_messages.RequestConvicted):
            remaining_s = message.remaining_ms / 1000
            self._convict(message.fingerprint, remaining_s, now)
        elif isinstance(message, poison_messages.IsolatedRunStarting):
            self._apply_claim(sender, message, now)
        elif isinstance(message, poison_messages.RequestCleared):
            state = self._states.get(message.fingerprint)
            if state is not None and not state.convicted:
                del self._states[message.fingerprint]
        return []

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Return the messages that are due; drop expired state."""
        for fingerprint, state in list(self._states.items()):
            if now >= state.until:
                del self._states[fingerprint]
            elif self._should_renew(state, now):
                self._claim(fingerprint, state, now)
        outgoing = [
            participant.Outgoing(host_id, notice.message)
            for notice in self._pending
            for host_id in self._peers()
        ]
        for notice in self._pending:
            notice.sends_left -= 1
        self._pending = [x for x in self._pending if x.sends_left > 0]
        return outgoing

    def _handle_crash(
        self, crash: crash_detection.Crash | None, now: float
    ) -> None:
        if crash is None:
            return
        self._crashes_seen += 1
        for fingerprint in crash.fingerprints:
            if fingerprint in self._states or crash.isolated:
                self._convict(fingerprint, CONVICTED_S, now)
                remaining_ms = int(CONVICTED_S * 1000)
                self._announce(
                    poison_messages.RequestConvicted(fingerprint, remaining_ms)
                )
                continue
            remaining_ms = int(SUSPECT_S * 1000)
            self._suspect(fingerprint, remaining_ms, now)
            self._announce(
                poison_messages.RequestSuspected(fingerprint, remaining_ms)
            )

    def _suspect(
        self, fingerprint: int, remaining_ms: int, now: float
    ) -> None:
        if fingerprint in self._states or len(self._states) >= TRACKED_MAX:
            return
        until = now + min(remaining_ms / 1000, SUSPECT_S)
        running = sum(x == fingerprint for x in self._calls.values())
        self._states[fingerprint] = _State(until, running=running)

    def _convict(
        self, fingerprint: int, remaining_s: float, now: float
    ) -> None:
        until = now + min(remaining_s, CONVICTED_S)
        state = self._states.setdefault(fingerprint, _State(until))
        state.convicted = True
        state.until = until

    def _clear(self, fingerprint: int) -> None:
        state = self._states.get(fingerprint)
        if state is not None and not state.convicted:
            del self._states[fingerprint]
            self._announce(poison_messages.RequestCleared(fingerprint))

    def _claim(self, fingerprint: int, state: _State, now: float) -> None:
        state.claimant = self._host_id
        state.claimed_at = now
        remaining_ms = int(CLAIM_S * 1000)
        self._announce(
            poison_messages.IsolatedRunStarting(fingerprint, remaining_ms)
        )

    def _should_renew(self, state: _State, now: float) -> bool:
        if not state.running or state.claimant != self._host_id:
            return False
        return now - state.claimed_at >= CLAIM_S / 3

    def _apply_claim(
        self,
        sender: str,
        message: poison_messages.IsolatedRunStarting,
        now: float,
    ) -> None:
        fingerprint = message.fingerprint
        self._suspect(fingerprint, int(SUSPECT_S * 1000), now)
        state = self._states.get(fingerprint)
        if state is None or state.running:
            return
        rank = _rank(fingerprint, sender)
        if state.claimant and rank < _rank(fingerprint, state.claimant):
            return
        state.claimant = sender
        state.claimed_at = now

    def _announce(self, message: messages.Message) -> None:
        self._pending.append(_PendingMessage(message))


def _rank(fingerprint: int, host_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{fingerprint}:{host_id}".encode())
