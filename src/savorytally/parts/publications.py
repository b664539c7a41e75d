"""Validates publications and puts them in force in the view.

A publication is a version of the configuration or of the host list.
"""

import typing as t

from absl import logging

from .. import fields
from .. import logs
from .. import results
from .. import view
from ..decisions import dissemination
from ..world import configuration
from ..world import document
from ..world import document_parts
from ..world import host
from ..world import hosts
from ..world import member_cache
from ..world import publication

HOSTS_FIELD = "hosts"


class Publications:
    """Validates publications and puts them in force.

    :param current_view: receives the configuration and the host list.
    """

    def __init__(self, current_view: view.View) -> None:
        self._view = current_view
        self._document_reader = document.Reader()
        self._hosts_reader = hosts.Reader()
        self._configuration: configuration.Configuration | None = None
        self._hosts: host.HostList | None = None

    def check(self, offered: publication.Publication) -> bool:
        """Return whether a publication is valid; log its faults if not."""
        try:
            value = document_parts.join_partly_decoded(
                offered.bodies(), member_cache.KINDS
            )
        except (ValueError, KeyError, RecursionError) as error:
            fault = fields.Fault("/", f"not whole: {error}")
            _log_faults(offered, (fault,))
            return False
        if offered.name == dissemination.HOSTS:
            return self._check_hosts(offered, value)
        return self._check_configuration(offered, value)

    def activate(self, name: str, now: float) -> None:
        """Put the publication that last passed :meth:`check` in force.

        :param name: the publication's name.
        :param now: time of the node's clock in seconds.
        """
        if name == dissemination.HOSTS and self._hosts is not None:
            self._view.offer_hosts(self._hosts, now)
        elif self._configuration is not None:
            self._view.offer_configuration(self._configuration, now)

    def _check_configuration(
        self, offered: publication.Publication, value: t.Any
    ) -> bool:
        parsed = self._document_reader.read(value)
        if isinstance(parsed, document.Refused):
            _log_faults(offered, parsed.faults)
            return False
        if parsed.version != offered.version:
            text = f"differs from the announced version {offered.version}"
            _log_faults(offered, (fields.Fault("/version", text),))
            return False
        self._configuration = parsed
        return True

    def _check_hosts(
        self, offered: publication.Publication, value: t.Any
    ) -> bool:
        host_entries = (
            value.get(HOSTS_FIELD) if isinstance(value, dict) else value
        )
        parsed = self._hosts_reader.read(offered.version, host_entries)
        if isinstance(parsed, list):
            _log_faults(offered, parsed)
            return False
        self._hosts = parsed
        return True


def _log_faults(
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
