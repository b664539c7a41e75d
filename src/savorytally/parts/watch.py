"""Watches the platform's values while this node is a reader."""

import asyncio
import json
import random
import typing as t

from absl import logging

from .. import defaults
from .. import logs
from .. import ports
from .. import results
from ..decisions import dissemination
from ..decisions import participant
from ..world import parts
from ..world import sections
from . import publications

Send = t.Callable[[list[participant.Outgoing]], None]

_WAITS_S = {
    dissemination.CONFIGURATION: defaults.PLATFORM_WATCH_S,
    dissemination.HOSTS: defaults.HOST_LIST_WATCH_S,
}


class PlatformWatch:
    """Reads configuration and host list whenever they change.

    :param outside: clock, random source and platform.
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
        self._random: random.Random = outside.random
        self._platform = outside.platform
        self._news = news
        self._send = send
        self._bodies: dict[str, bytes] = {}

    async def run(self) -> None:
        """Watch both values until cancelled."""
        await asyncio.gather(*(self._watch(name) for name in _WAITS_S))

    async def _watch(self, name: str) -> None:
        after = 0
        failures = 0
        while True:
            if not self._news.reading(name, self._clock.now()):
                after = 0
                self._bodies.clear()
                await asyncio.sleep(defaults.CONTROL_TICK_S)
                continue
            try:
                after = await self._turn(name, after)
                failures = 0
            except OSError as error:
                logging.warning("%s", error, extra=_unreadable(name))
                self._news.platform_failed()
                await asyncio.sleep(self._backoff_s(name, failures))
                failures += 1

    async def _turn(self, name: str, after: int) -> int:
        begun = self._clock.now()
        confirming = not self._news.freshness.confirmed(begun)
        wait_s = 0.0 if confirming else _WAITS_S[name]
        reading = asyncio.ensure_future(
            self._platform.read(name, after, wait_s)
        )
        try:
            while not reading.done() and self._wanted(name, confirming):
                await asyncio.wait({reading}, timeout=defaults.CONTROL_TICK_S)
            if not reading.done():
                return after
            value = reading.result()
        finally:
            reading.cancel()
        if value is not None:
            await self._take(value)
            after = max(after, value.version)
        self._news.platform_answered(name, begun)
        if name == dissemination.HOSTS:
            self._news.list_confirmed(after, begun)
        if value is None and not wait_s:
            await asyncio.sleep(defaults.CONTROL_TICK_S)
        return after

    def _wanted(self, name: str, confirming: bool) -> bool:
        now = self._clock.now()
        if not confirming and not self._news.freshness.confirmed(now):
            return False
        return self._news.reading(name, now)

    def _backoff_s(self, name: str, failures: int) -> float:
        longest = defaults.PLATFORM_RETRY_MAX_S
        if name not in self._news.versions:
            longest = defaults.BOOT_RETRY_MAX_S
        doubled = defaults.PLATFORM_RETRY_S * 2 ** min(failures, 8)
        wait_s = min(doubled, longest)
        return self._random.uniform(wait_s / 2, wait_s)

    async def _take(self, value: ports.Value) -> None:
        version = value.version
        try:
            document = json.loads(value.body)
        except (ValueError, RecursionError) as error:
            logging.error("not JSON: %s", error, extra=_faulty(value.name))
            return
        if value.name == dissemination.HOSTS:
            document = {publications.HOSTS_FIELD: document}
        else:
            document = await self._assemble(document)
            version = _version(document)
        if document is None:
            return
        if version <= 0:
            logging.error("is missing", extra=_faulty(value.name, "/version"))
            return
        bodies = parts.divide(document)
        now = self._clock.now()
        self._send(self._news.published(value.name, version, bodies, now))

    async def _assemble(self, document: t.Any) -> t.Any:
        head = sections.read_head(document)
        if isinstance(head, sections.Whole):
            return head.value
        if isinstance(head, sections.Head):
            await self._read_sections(head)
            whole = sections.assemble(head, self._bodies)
            if isinstance(whole, sections.Whole):
                return whole.value
            if isinstance(whole, sections.Missing):
                raise OSError("sections differ from the head")
            head = whole
        for fault in head.faults:
            logging.error(
                "%s", fault.text, extra=_faulty(sections.HEAD, fault.place)
            )
        return None

    async def _read_sections(self, head: sections.Head) -> None:
        """Read the sections that are not held, and drop those not named."""
        held = {
            name: sections.digest_of(body)
            for name, body in self._bodies.items()
        }
        for item in sections.changed(head, held):
            value = await self._platform.read(item.value_name, 0, 0.0)
            if value is not None:
                self._bodies[item.name] = value.body
        for name in set(self._bodies) - set(head.sections):
            del self._bodies[name]


def _version(document: t.Any) -> int:
    version = document.get("version") if isinstance(document, dict) else 0
    return version if type(version) is int else 0


def _unreadable(name: str) -> dict[str, t.Any]:
    return logs.fields(code=results.PLATFORM_FAULT.number, value=name)


def _faulty(name: str, place: str = "") -> dict[str, t.Any]:
    code = results.CONFIGURATION_FAULT.number
    return logs.fields(code=code, value=name, place=place)
