"""Watches the platform for new publications while this node is a reader.

Readers are the few nodes that read the platform; the others receive the
publications from them.
"""

import asyncio
import json
import math
import random
import typing as t

from absl import logging

from .. import defaults
from .. import logs
from .. import ports
from .. import results
from ..decisions import dissemination
from ..decisions import participant
from ..world import document_parts
from ..world import sections
from . import publications

Send = t.Callable[[list[participant.Outgoing]], None]

_VALUES = (dissemination.CONFIGURATION, dissemination.HOSTS)


class PlatformWatch:
    """Reads the configuration and the host list whenever they change.

    :param environment: provides the clock, the random source and the platform.
    :param disseminator: decides whether this node reads, and receives the
        values read.
    :param send: sends the messages that result from a new version.
    """

    def __init__(
        self,
        environment: ports.Environment,
        disseminator: dissemination.Dissemination,
        send: Send,
    ) -> None:
        self._clock = environment.clock
        self._random: random.Random = environment.random
        self._platform = environment.platform
        self._disseminator = disseminator
        self._send = send
        self._section_bodies: dict[str, bytes] = {}

    async def run(self) -> None:
        """Watch the configuration and the host list until cancelled."""
        await asyncio.gather(*(self._watch(name) for name in _VALUES))

    async def _watch(self, name: str) -> None:
        last_version = 0
        failures = 0
        while True:
            if not self._disseminator.reading(name, self._clock.now()):
                last_version = 0
                self._section_bodies.clear()
                await asyncio.sleep(defaults.CONTROL_TICK_S)
                continue
            started = self._clock.now()
            try:
                last_version = await self._poll_once(
                    name, last_version, failures
                )
                failures = 0
            except Exception as error:
                age_s = self._disseminator.answer_age_s(self._clock.now())
                logging.warning(
                    "platform read failed: %s",
                    error,
                    exc_info=not isinstance(error, OSError),
                    extra=_platform_fault_fields(name, age_s),
                )
                self._disseminator.platform_failed(name)
                await asyncio.sleep(self._pause_s(name, failures, started))
                failures += 1

    async def _poll_once(
        self, name: str, last_version: int, failures: int
    ) -> int:
        """Read a value once and return the last version read.

        :param failures: failed reads since the last successful one. A read
            after one does not wait for a newer version, since the platform may
            have been restored from a copy.
        """
        started = self._clock.now()
        confirming = not self._disseminator.pause_detector.confirmed(started)
        wait_s = 0.0 if confirming or failures else defaults.PLATFORM_WATCH_S
        read_task = asyncio.ensure_future(
            self._platform.read(name, last_version, wait_s)
        )
        try:
            while not read_task.done() and self._should_continue(
                name, confirming
            ):
                await asyncio.wait(
                    {read_task}, timeout=defaults.CONTROL_TICK_S
                )
            if not read_task.done():
                return last_version
            value = read_task.result()
        finally:
            read_task.cancel()
        if value is not None:
            await self._publish(value)
            last_version = max(last_version, value.version)
        self._disseminator.platform_read(name, started, self._clock.now())
        if failures:
            logging.info(
                "platform reads succeed again",
                extra=logs.fields(value=name, failures=failures),
            )
        if name == dissemination.HOSTS:
            self._disseminator.list_confirmed(last_version, started)
        if value is None and not wait_s:
            await asyncio.sleep(defaults.CONTROL_TICK_S)
        return last_version

    def _should_continue(self, name: str, confirming: bool) -> bool:
        now = self._clock.now()
        if not confirming and not self._disseminator.pause_detector.confirmed(
            now
        ):
            return False
        return self._disseminator.reading(name, now)

    def _pause_s(self, name: str, failures: int, started: float) -> float:
        """Return the pause before the next read.

        The backoff counts from the start of the failed read, so that a read
        without a response does not add to it.
        """
        read_s = self._clock.now() - started
        shortest_s = self._random.uniform(0.5, 1.0)
        shortest_s *= defaults.PLATFORM_RETRY_MIN_S
        return max(self._backoff_s(name, failures) - read_s, shortest_s)

    def _backoff_s(self, name: str, failures: int) -> float:
        longest_s = defaults.PLATFORM_RETRY_MAX_S
        if name not in self._disseminator.versions:
            longest_s = defaults.STARTUP_RETRY_MAX_S
        doubled_s = defaults.PLATFORM_RETRY_S * 2 ** min(failures, 8)
        wait_s = min(doubled_s, longest_s)
        return self._random.uniform(wait_s / 2, wait_s)

    async def _publish(self, value: ports.Value) -> None:
        version = value.version
        try:
            document = json.loads(value.body)
        except (ValueError, RecursionError) as error:
            logging.error(
                "value is not JSON: %s",
                error,
                extra=_configuration_fault_fields(value.name),
            )
            return
        if value.name == dissemination.HOSTS:
            document = {publications.HOSTS_FIELD: document}
        else:
            document = await self._assemble(document)
            version = _version(document)
        if document is None:
            return
        if version <= 0:
            logging.error(
                "version is missing or not a positive integer",
                extra=_configuration_fault_fields(value.name, "/version"),
            )
            return
        bodies = document_parts.divide(document)
        now = self._clock.now()
        self._send(
            self._disseminator.published(value.name, version, bodies, now)
        )

    async def _assemble(self, document: t.Any) -> t.Any:
        head = sections.read_head(document)
        if isinstance(head, sections.Whole):
            return head.value
        if isinstance(head, sections.Head):
            await self._read_sections(head)
            assembled = sections.assemble(head, self._section_bodies)
            if isinstance(assembled, sections.Whole):
                return assembled.value
            if isinstance(assembled, sections.Missing):
                raise OSError("sections differ from the head")
            head = assembled
        for fault in head.faults:
            logging.error(
                "%s",
                fault.text,
                extra=_configuration_fault_fields(sections.HEAD, fault.place),
            )
        return None

    async def _read_sections(self, head: sections.Head) -> None:
        """Read new and changed sections, and drop those not in the head."""
        held = {
            name: sections.digest_of(body)
            for name, body in self._section_bodies.items()
        }
        for item in sections.changed(head, held):
            value = await self._platform.read(item.value_name, 0, 0.0)
            if value is not None:
                self._section_bodies[item.name] = value.body
        for name in set(self._section_bodies) - set(head.sections):
            del self._section_bodies[name]


def _version(document: t.Any) -> int:
    version = document.get("version") if isinstance(document, dict) else 0
    return version if type(version) is int else 0


def _platform_fault_fields(name: str, age_s: float) -> dict[str, t.Any]:
    return logs.fields(
        code=results.PLATFORM_FAULT.number,
        value=name,
        answer_age_s=round(age_s, 3) if math.isfinite(age_s) else None,
    )


def _configuration_fault_fields(
    name: str, place: str = ""
) -> dict[str, t.Any]:
    code = results.CONFIGURATION_FAULT.number
    return logs.fields(code=code, value=name, place=place)
