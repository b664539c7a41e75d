"""Reads publications and puts them in force in the view."""

import typing as t

from absl import logging

from .. import fields
from .. import logs
from .. import results
from .. import view
from ..decisions import dissemination
from ..world import configuration
from ..world import document
from ..world import host
from ..world import hosts
from ..world import parts
from ..world import publication
from ..world import reuse

HOSTS_FIELD = "hosts"


class Publications:
    """Checks publications and offers them to the view.

    :param current: receives what is put in force.
    """

    def __init__(self, current: view.View) -> None:
        self._view = current
        self._document_reader = document.Reader()
        self._hosts_reader = hosts.Reader()
        self._configuration: configuration.Configuration | None = None
        self._hosts: host.HostList | None = None

    def check(self, offered: publication.Publication) -> bool:
        """Return whether it is without fault; log every fault if not."""
        try:
            value = parts.gather(offered.bodies(), reuse.KINDS)
        except (ValueError, KeyError, RecursionError) as error:
            fault = fields.Fault("/", f"not whole: {error}")
            _report(offered, (fault,))
            return False
        if offered.name == dissemination.HOSTS:
            return self._check_hosts(offered, value)
        return self._check_configuration(offered, value)

    def enforce(self, name: str, now: float) -> None:
        """Put the publication that was last found good in force."""
        if name == dissemination.HOSTS and self._hosts is not None:
            self._view.offer_hosts(self._hosts, now)
        elif self._configuration is not None:
            self._view.offer_configuration(self._configuration, now)

    def _check_configuration(
        self, offered: publication.Publication, value: t.Any
    ) -> bool:
        read = self._document_reader.read(value)
        if isinstance(read, document.Refused):
            _report(offered, read.faults)
            return False
        if read.version != offered.version:
            text = f"differs from the announced version {offered.version}"
            _report(offered, (fields.Fault("/version", text),))
            return False
        self._configuration = read
        return True

    def _check_hosts(
        self, offered: publication.Publication, value: t.Any
    ) -> bool:
        listed = value.get(HOSTS_FIELD) if isinstance(value, dict) else value
        read = self._hosts_reader.read(offered.version, listed)
        if isinstance(read, list):
            _report(offered, read)
            return False
        self._hosts = read
        return True


def _report(
    offered: publication.Publication, faults: t.Iterable[fields.Fault]
) -> None:
    for fault in faults:
        logging.error(
            "%s",
            fault.text,
            extra=logs.fields(
                code=results.CONFIGURATION_FAULT.number,
                value=offered.name,
                version=offered.version,
                place=fault.place,
            ),
        )
