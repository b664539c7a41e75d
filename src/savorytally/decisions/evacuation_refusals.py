"""Hosts that are expected to refuse calls for an evacuation.

An entry that has an older configuration than the gates learns of an
evacuation from their refusals.
"""

import typing as t

from ..world import host
from ..world import region

# How long a refusal is taken into account. The configuration is likely to
# arrive within this time.
AVOID_S = 0.6
# Number of hosts whose refusals show that their data centre is evacuated. One
# alone may lag behind after the end of an evacuation.
HOSTS_TO_CONFIRM = 2


class EvacuationRefusals:
    """Recent refusals of gates in evacuated data centres."""

    def __init__(self) -> None:
        self._until: dict[region.Place, dict[str, float]] = {}

    def active(self, now: float) -> bool:
        """Return whether any host is expected to refuse calls.

        :param now: time in seconds.
        """
        if self._until:
            self._expire(now)
        return bool(self._until)

    def note(self, item: host.Host, now: float) -> None:
        """Record that a host's gate refused a call for an evacuation.

        :param now: time in seconds.
        """
        self._expire(now)
        self._until.setdefault(item.place, {})[item.host_id] = now + AVOID_S

    def expected(self, item: host.Host, now: float) -> bool:
        """Return whether a host is expected to refuse a call.

        :param now: time in seconds.
        """
        refusals = self._until.get(item.place)
        if refusals is None:
            return False
        if refusals.get(item.host_id, now) > now:
            return True
        return self._count(refusals.values(), now) >= HOSTS_TO_CONFIRM

    @staticmethod
    def _count(times: t.Iterable[float], now: float) -> int:
        return sum(until > now for until in times)

    def _expire(self, now: float) -> None:
        self._until = {
            place: kept
            for place, refusals in self._until.items()
            if (
                kept := {
                    host_id: until
                    for host_id, until in refusals.items()
                    if until > now
                }
            )
        }
