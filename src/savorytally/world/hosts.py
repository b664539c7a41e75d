"""Parses the platform's host list."""

import sys
import typing as t

from .. import fields
from . import host
from . import member_cache
from . import region


def read(version: int, value: t.Any) -> host.HostList | list[fields.Fault]:
    """Convert a parsed host list.

    :param version: version of the platform's value.
    :param value: the parsed JSON value, hosts by identifier.
    :return: the host list, or every fault in it.
    """
    return Reader().read(version, value)


class Reader:
    """Converts successive versions of the host list.

    Hosts whose JSON value is the same object as in the last accepted version
    are reused.
    """

    def __init__(self) -> None:
        self._cache = member_cache.MemberCache()

    def read(
        self, version: int, value: t.Any
    ) -> host.HostList | list[fields.Fault]:
        """Convert a parsed host list.

        :param version: version of the platform's value.
        :param value: the parsed JSON value, hosts by identifier.
        :return: the host list, or every fault in it.
        """
        faults: list[fields.Fault] = []
        root = fields.Section({"hosts": value}, "", faults)
        hosts = self._cache.members(root, "hosts", _read_host)
        if faults:
            self._cache.discard_pending()
            return faults
        self._cache.accept()
        return host.HostList(version, hosts)


def _read_host(host_id: str, section: fields.Section) -> host.Host:
    state = section.take("state", str, host.HostState.LIVE.value)
    known = {item.value: item for item in host.HostState}
    if state not in known:
        section.fault("state", f"must be one of {', '.join(known)}")
    item = host.Host(
        host_id=host_id,
        service_id=sys.intern(section.take("service", str)),
        place=region.place(
            section.take("region", str),
            section.take("data_centre", str),
        ),
        address=section.take("address", str),
        peer_port=section.number("peer_port", int, 1, 65_535),
        state=known.get(state, host.HostState.LIVE),
    )
    section.reject_unknown()
    return item
