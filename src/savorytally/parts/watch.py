"""Watches the platform's values and offers them to the view."""

import asyncio
import json
import typing as t

from absl import logging

from .. import defaults
from .. import ports
from .. import view
from ..world import document
from ..world import hosts

CONFIGURATION = "configuration"
HOSTS = "hosts"

_WAITS_S = {
    CONFIGURATION: defaults.PLATFORM_WATCH_S,
    HOSTS: defaults.HOST_LIST_WATCH_S,
}


class PlatformWatch:
    """Reads configuration and host list whenever they change.

    :param outside: clock and platform.
    :param current: receives what was read.
    :param confirm: told of the host list's version at every reading, with
        the time at which the reading began.
    """

    def __init__(
        self,
        outside: ports.Outside,
        current: view.View,
        confirm: t.Callable[[int, float], None],
    ) -> None:
        self._confirm = confirm
        self._clock = outside.clock
        self._platform = outside.platform
        self._view = current

    async def run(self) -> None:
        """Watch both values until cancelled."""
        await asyncio.gather(
            self._watch(CONFIGURATION, self._take_configuration),
            self._watch(HOSTS, self._take_hosts),
        )

    async def _watch(
        self, name: str, take: t.Callable[[ports.Value], None]
    ) -> None:
        after = 0
        wait_s = _WAITS_S[name]
        while True:
            began_at = self._clock.now()
            try:
                value = await self._platform.read(name, after, wait_s)
            except OSError as error:
                logging.warning("code=9006 value=%s %s", name, error)
                await asyncio.sleep(defaults.PLATFORM_RETRY_S)
                continue
            if value is not None:
                after = max(after, value.version)
                take(value)
            if name == HOSTS and after == self._view.hosts.version:
                self._confirm(after, began_at)

    def _take_configuration(self, value: ports.Value) -> None:
        read = document.read(json.loads(value.body))
        if isinstance(read, document.Refused):
            for fault in read.faults:
                logging.error("code=9002 %s %s", fault.place, fault.text)
            return
        self._view.offer_configuration(read, self._clock.now())

    def _take_hosts(self, value: ports.Value) -> None:
        read = hosts.read(value.version, json.loads(value.body))
        if isinstance(read, list):
            for fault in read:
                logging.error("code=9006 %s %s", fault.place, fault.text)
            return
        self._view.offer_hosts(read, self._clock.now())
