"""Watches the platform's values while this node is a reader."""

import asyncio
import json
import typing as t

from absl import logging

from .. import defaults
from .. import ports
from ..decisions import dissemination
from ..decisions import participant
from ..world import publication

Send = t.Callable[[list[participant.Outgoing]], None]


class PlatformWatch:
    """Reads configuration and host list whenever they change.

    :param outside: clock and platform.
    :param news: says whether to read and takes what was read.
    :param send: sends the messages that follow.
    """

    def __init__(
        self,
        outside: ports.Outside,
        news: dissemination.Dissemination,
        send: Send,
    ) -> None:
        self._clock = outside.clock
        self._random = outside.random
        self._platform = outside.platform
        self._news = news
        self._send = send

    async def run(self) -> None:
        """Watch both values until cancelled."""
        await asyncio.gather(
            self._watch(dissemination.CONFIGURATION),
            self._watch(dissemination.HOSTS),
        )

    async def _watch(self, name: str) -> None:
        after = 0
        failures = 0
        while True:
            if not self._news.reading(name, self._clock.now()):
                after = 0
                await asyncio.sleep(defaults.CONTROL_TICK_S)
                continue
            try:
                value = await self._read(name, after)
                failures = 0
            except OSError as error:
                logging.warning("code=9006 value=%s %s", name, error)
                self._news.platform_failed()
                await asyncio.sleep(self._backoff_s(name, failures))
                failures += 1
                continue
            if value is not None:
                after = max(after, value.version)
                self._take(value)

    async def _read(self, name: str, after: int) -> ports.Value | None:
        begun = self._clock.now()
        confirming = not self._news.freshness.confirmed(begun)
        wait_s = 0.0 if confirming else defaults.PLATFORM_WATCH_S
        reading = asyncio.ensure_future(
            self._platform.read(name, after, wait_s)
        )
        try:
            while not reading.done():
                await asyncio.wait({reading}, timeout=defaults.CONTROL_TICK_S)
                if not self._wanted(name, confirming):
                    break
            if not reading.done():
                return None
            value = reading.result()
        finally:
            reading.cancel()
        self._news.platform_answered(begun, self._clock.now())
        return value

    def _wanted(self, name: str, confirming: bool) -> bool:
        now = self._clock.now()
        if not confirming and not self._news.freshness.confirmed(now):
            return False
        return self._news.reading(name, now)

    def _backoff_s(self, name: str, failures: int) -> float:
        known = name in self._news.versions
        longest = (
            defaults.PLATFORM_RETRY_MAX_S
            if known
            else defaults.BOOT_RETRY_MAX_S
        )
        wait_s = min(
            defaults.PLATFORM_RETRY_S * 2 ** min(failures, 8), longest
        )
        return self._random.uniform(wait_s / 2, wait_s)

    def _take(self, value: ports.Value) -> None:
        version = value.version
        if value.name == dissemination.CONFIGURATION:
            version = _document_version(value.body)
        texts = publication.whole(value.body)
        self._send(
            self._news.published(value.name, version, texts, self._clock.now())
        )


def _document_version(body: bytes) -> int:
    try:
        version = json.loads(body)["version"]
    except (ValueError, KeyError, TypeError):
        return 0
    return version if type(version) is int else 0
