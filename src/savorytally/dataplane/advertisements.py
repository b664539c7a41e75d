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

    def learn_start(self, instance_id: str, born: int) -> None:
        """Apply the start time of the instance in the host list."""
        known = self._instances.get(instance_id)
        if known is not None and born > self._start_times.get(
            instance_id, born
        ):
            known.instance_restarted()
        self._start_times = {instance_id: born}

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
        known = self._get(instance_id)
        said = self._protocol.advertised(headers)
        if known.apply(said, sent_at, self._loop.time()):
            self._notify_pending = True
            self._log_change(instance_id, known, "answer")
            self._set_current(instance_id)
        elif instance_id != self._latest:
            self._set_current(instance_id)

    def apply_peer_limit(self, instance_id: str, limit_per_s: float) -> None:
        """Apply a rate limit that another host has received before.

        This restores the limit after a restart of this node.
        """
        if self._latest not in ("", instance_id):
            return
        known = self._get(instance_id)
        if known.adopt_limit(limit_per_s):
            self._log_change(instance_id, known, "peer")
            self._set_current(instance_id)

    def drained(self, instance_id: str, now: float) -> bool:
        """Return whether an instance gets no new calls because it drains."""
        known = self._instances.get(instance_id)
        if known is None or known.leaving_since is None:
            return False
        return now - known.leaving_since >= self._drain_s

    def note_sender(self, sender: t.Hashable, now: float) -> None:
        """Note that a host has sent a call."""
        self._shares.note(sender, now)

    def report(
        self, call: frames.Call, now: float
    ) -> tuple[float | None, float, bool]:
        """Return rate limit, one host's share and draining for a result.

        The limit is ``None`` if there is nothing to report.
        """
        known = self._instances.get(call.instance_id)
        if known is None:
            return None, 0.0, False
        limit_per_s = known.limit_per_s
        leaving = known.leaving_since is not None
        if limit_per_s != advertised_state.NO_LIMIT:
            share_per_s = self._shares.share_per_s(limit_per_s, now)
            return limit_per_s, share_per_s, leaving
        if leaving or (known.received and call.limit_per_s is not None):
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

    def _get(self, instance_id: str) -> advertised_state.AdvertisedState:
        known = self._instances.get(instance_id)
        if known is None:
            known = self._instances[instance_id] = (
                advertised_state.AdvertisedState()
            )
            for oldest in list(self._instances)[:-INSTANCES_KEPT]:
                del self._instances[oldest]
        return known

    def _set_current(self, instance_id: str) -> None:
        self._latest = instance_id
        self._current = self._get(instance_id)
        self._on_changed()

    def _log_change(
        self,
        instance_id: str,
        known: advertised_state.AdvertisedState,
        origin: str,
    ) -> None:
        limited = known.limit_per_s != advertised_state.NO_LIMIT
        self._log.event(
            "upstream_says",
            upstream=instance_id,
            limit_per_s=known.limit_per_s if limited else None,
            leaving=known.leaving_since is not None,
            origin=origin,
        )
