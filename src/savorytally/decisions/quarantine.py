"""Quarantines requests that crash upstreams.

The requests that were running when an upstream crashed become suspects, and
the nodes of the service notify each other of them. A suspect next runs in
isolation, on the one host that has announced to do so. An answer clears it, a
second crash convicts it, and a convicted request is refused until the
conviction expires.
"""

import dataclasses
import typing as t

import xxhash

from ..peer import messages
from ..peer import verdicts
from . import admission
from . import crashes
from . import participant

# How long a request stays suspected and convicted.
SUSPECT_S = 30.0
CONVICTED_S = 300.0
# Wait after a claim to run a suspect, in which competing claims arrive.
CLAIM_SETTLE_S = 0.3
# Time after which a claim that was not renewed expires.
CLAIM_S = 3.0
# Number of consecutive ticks in which each message is sent.
SENDS = 3
# Maximum number of suspected and convicted requests.
CASES_MAX = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Innocent:
    """The request may run without restrictions."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAlone:
    """The request may run in isolation, while no other call runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request must wait for an isolated run, here or at another host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Guilty:
    """The request is refused.

    :param retry_after_ms: time until the conviction expires.
    """

    retry_after_ms: int


Verdict = Innocent | RunAlone | Wait | Guilty

INNOCENT = Innocent()
RUN_ALONE = RunAlone()
WAIT = Wait()


@dataclasses.dataclass(slots=True)
class _Case:
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
class _Notice:
    """A message that is sent to all peers in each of the next ticks.

    :param message: the message.
    :param sends_left: in how many more ticks it is sent.
    """

    message: messages.Message
    sends_left: int = SENDS


class Quarantine:
    """Decides at one gate whether suspected requests may run.

    :param host_id: identifier of this host.
    :param peers: returns the other hosts of the service.
    """

    handles = (
        verdicts.Suspected,
        verdicts.Isolating,
        verdicts.Cleared,
        verdicts.Convicted,
    )

    def __init__(
        self, host_id: str, peers: t.Callable[[], t.Iterable[str]]
    ) -> None:
        self._host_id = host_id
        self._peers = peers
        self._cases: dict[int, _Case] = {}
        self._calls: dict[int, int] = {}
        self._notices: list[_Notice] = []
        self._detector = crashes.CrashDetector()
        self._crashes_seen = 0

    @property
    def crashes_seen(self) -> int:
        """Number of detected crashes of the local upstream."""
        return self._crashes_seen

    @property
    def convictions(self) -> int:
        """Number of requests that are currently refused."""
        return sum(case.convicted for case in self._cases.values())

    def judge(
        self, fingerprint: int, now: float, suspect: bool = False
    ) -> Verdict:
        """Return whether a request may run here now.

        :param suspect: whether an earlier attempt of the sender broke an
            upstream.
        """
        if suspect and fingerprint not in self._cases:
            remaining_ms = int(SUSPECT_S * 1000)
            self._suspect(fingerprint, remaining_ms, now)
            self._tell(verdicts.Suspected(fingerprint, remaining_ms))
        case = self._cases.get(fingerprint)
        if case is None or now >= case.until:
            return INNOCENT
        if case.convicted:
            return Guilty(int((case.until - now) * 1000) + 1)
        if case.running:
            return WAIT
        if case.claimant and now - case.claimed_at >= CLAIM_S:
            case.claimant = ""
        if not case.claimant:
            self._claim(fingerprint, case, now)
        if case.claimant != self._host_id:
            return WAIT
        settled = now - case.claimed_at >= CLAIM_SETTLE_S
        return RUN_ALONE if settled else WAIT

    def learn(self, fingerprint: int, remaining_ms: int, now: float) -> None:
        """Apply a conviction with which another gate refused a request."""
        self._convict(fingerprint, remaining_ms / 1000, now)

    def started(self, ticket: int, fingerprint: int, now: float) -> None:
        """Record a call that is sent to the upstream."""
        self._calls[ticket] = fingerprint
        case = self._cases.get(fingerprint)
        alone = case is not None and case.claimant == self._host_id
        if case is not None:
            case.running += 1
            case.claimed_at = now
        self._detector.started(ticket, fingerprint, alone, now)

    def ended(
        self, ticket: int, end: admission.End, dispatched: bool, now: float
    ) -> None:
        """Record the end of a call.

        :param dispatched: whether the upstream accepted the connection.
        """
        fingerprint = self._calls.pop(ticket, None)
        if fingerprint is None:
            return
        case = self._cases.get(fingerprint)
        if case is not None:
            case.running = max(case.running - 1, 0)
        if end is admission.End.ANSWERED:
            self._detector.answered(ticket)
            self._clear(fingerprint)
        elif end is not admission.End.BROKEN:
            self._detector.ended(ticket)
        elif dispatched:
            self._notice_crash(self._detector.broken(ticket, now), now)
        else:
            self._notice_crash(self._detector.refused(ticket, now), now)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[participant.Outgoing]:
        """Apply a message from another node of the service."""
        if isinstance(message, verdicts.Suspected):
            self._suspect(message.fingerprint, message.remaining_ms, now)
        elif isinstance(message, verdicts.Convicted):
            remaining_s = message.remaining_ms / 1000
            self._convict(message.fingerprint, remaining_s, now)
        elif isinstance(message, verdicts.Isolating):
            self._yield(sender, message, now)
        elif isinstance(message, verdicts.Cleared):
            case = self._cases.get(message.fingerprint)
            if case is not None and not case.convicted:
                del self._cases[message.fingerprint]
        return []

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Return the messages that are due; drop expired state."""
        for fingerprint, case in list(self._cases.items()):
            if now >= case.until:
                del self._cases[fingerprint]
            elif self._renews(case, now):
                self._claim(fingerprint, case, now)
        outgoing = [
            participant.Outgoing(host_id, notice.message)
            for notice in self._notices
            for host_id in self._peers()
        ]
        for notice in self._notices:
            notice.sends_left -= 1
        self._notices = [x for x in self._notices if x.sends_left > 0]
        return outgoing

    def _notice_crash(self, crash: crashes.Crash | None, now: float) -> None:
        if crash is None:
            return
        self._crashes_seen += 1
        for fingerprint in crash.fingerprints:
            if fingerprint in self._cases or crash.alone:
                self._convict(fingerprint, CONVICTED_S, now)
                remaining_ms = int(CONVICTED_S * 1000)
                self._tell(verdicts.Convicted(fingerprint, remaining_ms))
                continue
            remaining_ms = int(SUSPECT_S * 1000)
            self._suspect(fingerprint, remaining_ms, now)
            self._tell(verdicts.Suspected(fingerprint, remaining_ms))

    def _suspect(
        self, fingerprint: int, remaining_ms: int, now: float
    ) -> None:
        if fingerprint in self._cases or len(self._cases) >= CASES_MAX:
            return
        until = now + min(remaining_ms / 1000, SUSPECT_S)
        running = sum(x == fingerprint for x in self._calls.values())
        self._cases[fingerprint] = _Case(until, running=running)

    def _convict(
        self, fingerprint: int, remaining_s: float, now: float
    ) -> None:
        until = now + min(remaining_s, CONVICTED_S)
        case = self._cases.setdefault(fingerprint, _Case(until))
        case.convicted = True
        case.until = until

    def _clear(self, fingerprint: int) -> None:
        case = self._cases.get(fingerprint)
        if case is not None and not case.convicted:
            del self._cases[fingerprint]
            self._tell(verdicts.Cleared(fingerprint))

    def _claim(self, fingerprint: int, case: _Case, now: float) -> None:
        case.claimant = self._host_id
        case.claimed_at = now
        remaining_ms = int(CLAIM_S * 1000)
        self._tell(verdicts.Isolating(fingerprint, remaining_ms))

    def _renews(self, case: _Case, now: float) -> bool:
        if not case.running or case.claimant != self._host_id:
            return False
        return now - case.claimed_at >= CLAIM_S / 3

    def _yield(
        self, sender: str, message: verdicts.Isolating, now: float
    ) -> None:
        fingerprint = message.fingerprint
        self._suspect(fingerprint, int(SUSPECT_S * 1000), now)
        case = self._cases.get(fingerprint)
        if case is None or case.running:
            return
        rank = _rank(fingerprint, sender)
        if case.claimant and rank < _rank(fingerprint, case.claimant):
            return
        case.claimant = sender
        case.claimed_at = now

    def _tell(self, message: messages.Message) -> None:
        self._notices.append(_Notice(message))


def _rank(fingerprint: int, host_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{fingerprint}:{host_id}".encode())
