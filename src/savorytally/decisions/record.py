"""The record by which a gate executes a request at most once.

The owner of a key's shard is the only gate of the service that may run it.
It keeps what became of the request for the retention window. After a gate
is lost no copy exists; its successor refuses every key that the lost gate
may have seen; see ``docs/design/at-most-once.md``.
"""

import collections
import dataclasses

from .. import defaults
from .. import outcomes
from .. import results
from ..world import host
from . import keytime
from . import owners
from . import ownership

KEY_CLOCK_MARGIN_S = 5.0
RECORDS_MAX = 20_000
ANSWERS_MAX_BYTES = 4 << 20
ANSWER_RETAINED_MAX_BYTES = 64 << 10


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """What identifies a logical request.

    :param organisation_id: the caller's organisation.
    :param idempotency_key: the key that it chose.
    """

    organisation_id: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The request may run; call ``start`` just before, then ``finish``."""


RUN = Run()


@dataclasses.dataclass(slots=True)
class _Entry:
    """What is known of one request; ``outcome`` is set when it ended."""

    started: bool = False
    outcome: outcomes.Outcome | None = None


class ExecutionRecord:
    """Decides whether a request may run and retains its outcome.

    :param service_id: the service of the local upstream.
    :param held: tells for which shards this host acts.
    """

    def __init__(self, service_id: str, held: ownership.Ownership) -> None:
        self._service_id = service_id
        self._ownership = held
        self._entries: dict[Key, _Entry] = {}
        self._ended: collections.deque[tuple[float, Key]]
        self._ended = collections.deque()
        self._answers: collections.OrderedDict[Key, int]
        self._answers = collections.OrderedDict()
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Apply a newer host list."""
        self._ownership.learn_hosts(hosts, now)

    def tick(self, now: float) -> None:
        """Forget what no longer matters."""
        self._ownership.tick(now)
        self.expire(now)

    def begin(
        self, key: Key, now: float, wall: float
    ) -> Run | outcomes.Outcome:
        """Note a request, or return why it does not run now.

        :param wall: seconds since the Unix epoch.
        """
        shard = owners.record_shard(self._service_id, key)
        if not self._ownership.acts(shard, now):
            return _unsettled()
        self.expire(now)
        known = self._entries.get(key)
        if known is not None:
            return self._repeat(known)
        refusal = self._refusal(shard, key, now, wall)
        if refusal is not None:
            return refusal
        self._entries[key] = _Entry()
        return RUN

    def start(self, key: Key, now: float) -> outcomes.Failure | None:
        """Confirm that the request may be sent to the upstream now.

        :return: why it may not; it must then not be sent.
        """
        shard = owners.record_shard(self._service_id, key)
        if not self._ownership.acts(shard, now):
            return _unsettled()
        self._entries[key].started = True
        return None

    def started(self, key: Key) -> bool:
        """Return whether a request was sent to the upstream."""
        entry = self._entries.get(key)
        return entry is not None and entry.started

    def finish(
        self, key: Key, outcome: outcomes.Outcome | None, now: float
    ) -> None:
        """Note the end of a request that ``begin`` let run.

        :param outcome: ``None`` if it was given up.
        """
        entry = self._entries[key]
        if not entry.started or _not_run(outcome):
            del self._entries[key]
            return
        unknown = outcomes.Failure(results.OUTCOME_UNKNOWN)
        entry.outcome = self._retained(key, outcome or unknown)
        self._ended.append((now, key))

    def expire(self, now: float) -> None:
        """Forget what ended longer ago than the retention window."""
        limit = now - defaults.RECORD_RETENTION_S
        while self._ended and self._ended[0][0] <= limit:
            _, key = self._ended.popleft()
            self._entries.pop(key, None)
            self._answers_bytes -= self._answers.pop(key, 0)

    def _repeat(self, known: _Entry) -> outcomes.Outcome:
        if known.outcome is None:
            return outcomes.Failure(
                results.STILL_RUNNING, retry_after_ms=defaults.RETRY_AFTER_MS
            )
        if isinstance(known.outcome, outcomes.Answer):
            return dataclasses.replace(
                known.outcome, repeated=True, retries_unused=0
            )
        return known.outcome

    def _refusal(
        self, shard: str, key: Key, now: float, wall: float
    ) -> outcomes.Failure | None:
        made_at = keytime.made_at(key.idempotency_key)
        if made_at is not None and made_at > wall + KEY_CLOCK_MARGIN_S:
            return outcomes.Failure(
                results.MALFORMED_REQUEST, "Idempotency-Key is in the future"
            )
        since = self._ownership.acting_since(shard)
        age_s = now - since
        younger = made_at is not None and (
            wall - made_at + 2 * KEY_CLOCK_MARGIN_S < age_s
        )
        if age_s < defaults.RECORD_RETENTION_S and not younger:
            return outcomes.Failure(results.RECORD_FORGOTTEN)
        if len(self._entries) >= RECORDS_MAX:
            return outcomes.Failure(
                results.RECORD_FULL, retry_after_ms=self._full_ms(now)
            )
        return None

    def _full_ms(self, now: float) -> int:
        """Return when the oldest record expires."""
        if not self._ended:
            return defaults.RETRY_AFTER_MS
        expires_at = self._ended[0][0] + defaults.RECORD_RETENTION_S
        return max(int((expires_at - now) * 1000), 1)

    def _retained(
        self, key: Key, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Return what is kept, and drop the oldest answers for it."""
        if not isinstance(outcome, outcomes.Answer):
            return outcome
        size = len(outcome.body)
        if size > ANSWER_RETAINED_MAX_BYTES:
            return outcomes.Failure(results.ANSWER_LOST)
        self._answers[key] = size
        self._answers_bytes += size
        while self._answers_bytes > ANSWERS_MAX_BYTES:
            oldest, dropped = self._answers.popitem(last=False)
            self._answers_bytes -= dropped
            lost = outcomes.Failure(results.ANSWER_LOST)
            if oldest == key:
                return lost
            self._entries[oldest].outcome = lost
        return outcome


def _unsettled() -> outcomes.Failure:
    return outcomes.Failure(
        results.OWNER_UNSETTLED, retry_after_ms=defaults.RETRY_AFTER_MS
    )


def _not_run(outcome: outcomes.Outcome | None) -> bool:
    return isinstance(outcome, outcomes.Failure) and outcome.code.not_run
