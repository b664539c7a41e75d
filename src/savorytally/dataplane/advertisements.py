"""What the instances of the local upstream advertise.

An upstream advertises a rate limit, or that it is draining, in the headers of
its responses. The gate applies that and sends it to other hosts.
"""

import asyncio
import typing as t

from ..decisions import advertised_state
from ..decisions import pacing
from . import callers
from . import event_log
from . import frames
from . import upstream_protocol

# Number of upstream instances whose advertisements are kept.
INSTANCES_KEPT = 4
# Longest time for which news of a leaving upstream is assumed to have been on
# the way.
NEWS_MAX_S = 1.0
# Time that a call may need to reach the upstream.
FORWARD_S = 0.05
# Pause between two notifications of other hosts.
NOTIFY_INTERVAL_S = 0.2

# Receives an upstream's identifier, its rate limit, one host's share of the
# limit and whether the upstream is draining.
Notify = t.Callable[[str, float, float, bool], None]


class Advertisements:
    """Tracks what the local upstream advertises.

    :param protocol: reads the headers of responses.
    :param log: logs each change.
    :param drain_s: how long a leaving upstream may get new calls, in seconds.
    :param list_confirmed_at: returns the loop time at which the host list was
        last known to be current; an upstream has left later than that.
    :param on_changed: called when the rate limit in force may have changed.
    """

    def __init__(
        self,
        protocol: upstream_protocol.UpstreamProtocol,
        log: event_log.EventLog,
        drain_s: float,
        list_confirmed_at: t.Callable[[], float],
        on_changed: t.Callable[[], None],
    ) -> None:
        self._protocol = protocol
        self._log = log
        self._drain_s = drain_s
        self._list_confirmed_at = list_confirmed_at
        self._on_changed = on_changed
        self._loop = asyncio.get_running_loop()
        self._instances: dict[str, advertised_state.AdvertisedState] = {}
        # The instance that responded last, and what it advertises.
        self._latest = ""
        self._current = advertised_state.AdvertisedState()
        # The instances of the upstream that the host list contains.
        self._listed: set[str] = set()
        # The instances that drain or are gone according to the host list, and
        # since when at the earliest.
        self._draining_since: dict[str, float] = {}
        self._gone_since: dict[str, float] = {}
        # Start time of the instance in the host list, by identifier.
        self._start_times: dict[str, int] = {}
        self._shares = pacing.SenderShares()
        self._notify_pending = False
        self._notified_at = 0.0
        self.notify: Notify = lambda *told: None

    @property
    def limit_per_s(self) -> float:
        """The upstream's rate limit, in requests per second."""
        return self._current.limit_per_s

    @property
    def leaving(self) -> bool:
        """Whether the upstream is draining."""
        return self._current.leaving_since is not None

    def learn_start_time(self, instance_id: str, started_ms: int) -> None:
        """Apply the start time of the instance in the host list."""
        state = self._instances.get(instance_id)
        if state is not None and started_ms > self._start_times.get(
            instance_id, started_ms
        ):
            state.instance_restarted()
        self._start_times = {instance_id: started_ms}

    def learn_listed(self, listed: t.Mapping[str, bool], now: float) -> None:
        """Apply which instances the host list contains.

        :param listed: whether each instance is ready, by identifier.
        """
        since = self._earliest_change(now)
        for name in self._listed - listed.keys():
            self._gone_since[name] = since
        for name, ready in listed.items():
            self._gone_since.pop(name, None)
            if ready:
                self._draining_since.pop(name, None)
            else:
                self._draining_since.setdefault(name, since)
        self._listed = set(listed)
        for table in (self._gone_since, self._draining_since):
            for oldest in list(table)[:-INSTANCES_KEPT]:
                del table[oldest]

    def _earliest_change(self, now: float) -> float:
        """Return since when what is learned now may be so at the earliest."""
        return min(now, max(self._list_confirmed_at(), now - NEWS_MAX_S))

    def apply_headers(
        self, instance_id: str, headers: callers.Headers, sent_at: float
    ) -> None:
        """Apply the headers of a response.

        :param instance_id: the instance that sent it, empty if unknown.
        :param headers: its headers.
        :param sent_at: loop time when the request was sent.
        """
        if not instance_id:
            return
        state = self._state_of(instance_id)
        advertised = self._protocol.advertised(headers)
        now = self._loop.time()
        since = self._earliest_change(now)
        if state.apply(advertised, sent_at, now, since):
            self._notify_pending = True
            self._log_change(instance_id, state, "answer")
            self._set_current(instance_id)
        elif instance_id != self._latest:
            self._set_current(instance_id)

    def apply_peer_limit(self, instance_id: str, limit_per_s: float) -> None:
        """Apply a rate limit that another host has received before.

        This restores the limit after a restart of this node.
        """
        if self._latest not in ("", instance_id):
            return
        state = self._state_of(instance_id)
        if state.adopt_limit(limit_per_s):
            self._log_change(instance_id, state, "peer")
            self._set_current(instance_id)

    def drained(
        self, instance_id: str, now: float, unlisted: bool = False
    ) -> bool:
        """Return whether an instance gets no new calls because it leaves.

        :param unlisted: whether a call is for an instance that is known not to
            be listed, which is asked whether it still serves.
        """
        since = []
        state = self._instances.get(instance_id)
        if state is not None and state.leaving_since is not None:
            since.append(state.leaving_since)
        tables = [self._draining_since]
        if not unlisted:
            tables.append(self._gone_since)
        since += [
            table[instance_id] for table in tables if instance_id in table
        ]
        return bool(since) and now - min(since) >= self._drain_s - FORWARD_S

    @property
    def any_leaving(self) -> bool:
        """Whether an instance is known to leave or to have left."""
        return bool(self._draining_since or self._gone_since) or any(
            state.leaving_since is not None
            for state in self._instances.values()
        )

    def note_sender(self, sender: t.Hashable, now: float) -> None:
        """Note that a host has sent a call."""
        self._shares.note(sender, now)

    def report(
        self, call: frames.Call, now: float
    ) -> tuple[float | None, float, bool]:
        """Return rate limit, one host's share and draining for a result.

        The limit is ``None`` if there is nothing to report.
        """
        state = self._instances.get(call.instance_id)
        if state is None:
            return None, 0.0, False
        limit_per_s = state.limit_per_s
        leaving = state.leaving_since is not None
        if limit_per_s != advertised_state.NO_LIMIT:
            share_per_s = self._shares.share_per_s(limit_per_s, now)
            return limit_per_s, share_per_s, leaving
        if leaving or (state.received and call.limit_per_s is not None):
            return limit_per_s, 0.0, leaving
        return None, 0.0, False

    def tick(self, now: float) -> None:
        """Notify other hosts of changes."""
        self._shares.forget(now)
        if (
            not self._notify_pending
            or now - self._notified_at < NOTIFY_INTERVAL_S
        ):
            return
        self._notify_pending, self._notified_at = False, now
        limit_per_s = self.limit_per_s
        share_per_s = self._shares.share_per_s(limit_per_s, now)
        self.notify(self._latest, limit_per_s, share_per_s, self.leaving)

    def _state_of(self, instance_id: str) -> advertised_state.AdvertisedState:
        state = self._instances.get(instance_id)
        if state is None:
            state = self._instances[instance_id] = (
                advertised_state.AdvertisedState()
            )
            for oldest in list(self._instances)[:-INSTANCES_KEPT]:
                del self._instances[oldest]
        return state

    def _set_current(self, instance_id: str) -> None:
        self._latest = instance_id
        self._current = self._state_of(instance_id)
        self._on_changed()

    def _log_change(
        self,
        instance_id: str,
        state: advertised_state.AdvertisedState,
        origin: str,
    ) -> None:
        limited = state.limit_per_s != advertised_state.NO_LIMIT
        self._log.event(
            "upstream_says",
            upstream=instance_id,
            limit_per_s=state.limit_per_s if limited else None,
            leaving=state.leaving_since is not None,
            origin=origin,
        )
