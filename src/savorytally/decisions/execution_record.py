"""The execution record by which a gate runs a request at most once.

Only the gate that owns the shard of an idempotency key may run its request. It
keeps the outcome for the retention window. The record has no copy: when a gate
is lost, its successor rejects every key that the lost gate may have received.
See ``docs/design/at-most-once.md``.
"""

import collections
import dataclasses

from .. import defaults
from .. import outcomes
from .. import results
from ..world import host
from . import executor_choice
from . import key_timestamps
from . import shard_ownership

KEY_CLOCK_MARGIN_S = 5.0
RECORDS_MAX = 20_000
ANSWERS_MAX_BYTES = 4 << 20
ANSWER_RETAINED_MAX_BYTES = 64 << 10


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Identifies a logical request.

    :param organisation_id: the caller's organisation.
    :param idempotency_key: the idempotency key sent by the caller.
    """

    organisation_id: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The request may run: call ``start`` right before, then ``finish``."""


RUN = Run()


@dataclasses.dataclass(slots=True)
class _Entry:
    """State of one request; ``outcome`` is set when the request has ended."""

    started: bool = False
    outcome: outcomes.Outcome | None = None


class ExecutionRecord:
    """Decides whether a request may run and retains its outcome.

    :param service_id: the service of the local upstream.
    :param ownership: decides for which shards this host acts as owner.
    """

    def __init__(
        self, service_id: str, ownership: shard_ownership.Ownership
    ) -> None:
        self._service_id = service_id
        self._ownership = ownership
        self._entries: dict[Key, _Entry] = {}
        self._ended: collections.deque[tuple[float, Key]]
        self._ended = collections.deque()
        self._answer_sizes: collections.OrderedDict[Key, int]
        self._answer_sizes = collections.OrderedDict()
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Apply a newer host list."""
        self._ownership.learn_hosts(hosts, now)

    def tick(self, now: float) -> None:
        """Drop expired state."""
        self._ownership.tick(now)
        self.expire(now)

    def begin(
        self, key: Key, now: float, wall: float
    ) -> Run | outcomes.Outcome:
        """Record a request, or return why it must not run now.

        :param wall: wall-clock time in seconds since the Unix epoch.
        """
        shard = executor_choice.record_shard(self._service_id, key)
        if not self._ownership.acts(shard, now):
            return _owner_unsettled()
        self.expire(now)
        entry = self._entries.get(key)
        if entry is not None:
            return self._retry_outcome(entry)
        rejection = self._rejection(shard, key, now, wall)
        if rejection is not None:
            return rejection
        self._entries[key] = _Entry()
        return RUN

    def start(self, key: Key, now: float) -> outcomes.Failure | None:
        """Confirm that the request may be forwarded to the upstream now.

        :return: the failure because of which it must not be forwarded.
        """
        shard = executor_choice.record_shard(self._service_id, key)
        if not self._ownership.acts(shard, now):
            return _owner_unsettled()
        self._entries[key].started = True
        return None

    def started(self, key: Key) -> bool:
        """Return whether a request was forwarded to the upstream."""
        entry = self._entries.get(key)
        return entry is not None and entry.started

    def finish(
        self, key: Key, outcome: outcomes.Outcome | None, now: float
    ) -> None:
        """Record the end of a request that ``begin`` allowed to run.

        :param outcome: ``None`` if the request was abandoned.
        """
        entry = self._entries[key]
        if not entry.started or _not_run(outcome):
            del self._entries[key]
            return
        unknown = outcomes.Failure(results.OUTCOME_UNKNOWN)
        entry.outcome = self._retain(key, outcome or unknown)
        self._ended.append((now, key))

    def expire(self, now: float) -> None:
        """Drop the outcomes that are older than the retention window."""
        limit = now - defaults.RECORD_RETENTION_S
        while self._ended and self._ended[0][0] <= limit:
            _, key = self._ended.popleft()
            self._entries.pop(key, None)
            self._answers_bytes -= self._answer_sizes.pop(key, 0)

    def _retry_outcome(self, entry: _Entry) -> outcomes.Outcome:
        """Return the response to a retry of a known request."""
        if entry.outcome is None:
            return outcomes.Failure(
                results.STILL_RUNNING, retry_after_ms=defaults.RETRY_AFTER_MS
            )
        if isinstance(entry.outcome, outcomes.Answer):
            return dataclasses.replace(
                entry.outcome, replayed=True, retries_unused=0
            )
        return entry.outcome

    def _rejection(
        self, shard: str, key: Key, now: float, wall: float
    ) -> outcomes.Failure | None:
        """Return why a new request must not run, ``None`` if it may.

        :param wall: wall-clock time in seconds since the Unix epoch.
        """
        made_at = key_timestamps.created_at(key.idempotency_key)
        if made_at is not None and made_at > wall + KEY_CLOCK_MARGIN_S:
            return outcomes.Failure(
                results.MALFORMED_REQUEST, "Idempotency-Key is in the future"
            )
        acting_since = self._ownership.acting_since(shard)
        age_s = now - acting_since
        created_after = made_at is not None and (
            wall - made_at + 2 * KEY_CLOCK_MARGIN_S < age_s
        )
        if age_s < defaults.RECORD_RETENTION_S and not created_after:
            return outcomes.Failure(results.RECORD_FORGOTTEN)
        if len(self._entries) >= RECORDS_MAX:
            return outcomes.Failure(
                results.RECORD_FULL,
                retry_after_ms=self._retry_after_full_ms(now),
            )
        return None

    def _retry_after_full_ms(self, now: float) -> int:
        """Return in how many milliseconds the oldest record expires."""
        if not self._ended:
            return defaults.RETRY_AFTER_MS
        expires_at = self._ended[0][0] + defaults.RECORD_RETENTION_S
        return max(int((expires_at - now) * 1000), 1)

    def _retain(self, key: Key, outcome: outcomes.Outcome) -> outcomes.Outcome:
        """Return the outcome to retain; drop old answers if necessary."""
        if not isinstance(outcome, outcomes.Answer):
            return outcome
        size = len(outcome.body)
        if size > ANSWER_RETAINED_MAX_BYTES:
            return outcomes.Failure(results.ANSWER_LOST)
        self._answer_sizes[key] = size
        self._answers_bytes += size
        while self._answers_bytes > ANSWERS_MAX_BYTES:
            oldest, dropped = self._answer_sizes.popitem(last=False)
            self._answers_bytes -= dropped
            lost = outcomes.Failure(results.ANSWER_LOST)
            if oldest == key:
                return lost
            self._entries[oldest].outcome = lost
        return outcome


def _owner_unsettled() -> outcomes.Failure:
    """Return the failure for a shard that this host may not act for."""
    return outcomes.Failure(
        results.OWNER_UNSETTLED, retry_after_ms=defaults.RETRY_AFTER_MS
    )


def _not_run(outcome: outcomes.Outcome | None) -> bool:
    """Return whether an outcome states that the request did not run."""
    return isinstance(outcome, outcomes.Failure) and outcome.code.not_run
