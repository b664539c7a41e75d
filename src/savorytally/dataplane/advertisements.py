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
# Pause between two notifications of other hosts.
NOTIFY_INTERVAL_S = 0.2

# Receives an upstream's identifier, its rate limit, one host's share of the
# limit and whether the upstream is draining.
Notify = t.Callable[[str, float, float, bool], None]


class Advertisements:
    """Tracks what the local upstream advertises.

    :param protocol: reads the headers of responses.
    :param log: logs each change.
    :param drain_s: how long a draining upstream may get new calls, in seconds.
    :param on_changed: called when the rate limit in force may have changed.
    """

    def __init__(
        self,
        protocol: upstream_protocol.UpstreamProtocol,
        log: event_log.EventLog,
        drain_s: float,
        on_changed: t.Callable[[], None],
    ) -> None:
        self._protocol = protocol
        self._log = log
        self._drain_s = drain_s
        self._on_changed = on_changed
        self._loop = asyncio.get_running_loop()
        self._instances: dict[str, advertised_state.AdvertisedState] = {}
        # The instance that responded last, and what it advertises.
        self._latest = ""
        self._current = advertised_state.AdvertisedState()
        # The instance that the host list shows as draining, and since when.
        self._listed_draining: tuple[str, float] | None = None
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

    def learn_state(self, instance_id: str, ready: bool, now: float) -> None:
        """Apply the state of the instance in the host list."""
        known, _ = self._listed_draining or ("", now)
        if ready and known == instance_id:
            self._listed_draining = None
        elif not ready and known != instance_id:
            self._listed_draining = (instance_id, now)

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
        if state.apply(advertised, sent_at, self._loop.time()):
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

    def drained(self, instance_id: str, now: float) -> bool:
        """Return whether an instance gets no new calls because it drains."""
        since = []
        state = self._instances.get(instance_id)
        if state is not None and state.leaving_since is not None:
            since.append(state.leaving_since)
        if self._listed_draining and self._listed_draining[0] == instance_id:
            since.append(self._listed_draining[1])
        return bool(since) and now - min(since) >= self._drain_s

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
