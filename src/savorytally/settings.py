"""Settings of one process, read from JSON with comments."""

import dataclasses
import pathlib

from . import defaults
from . import fields
from . import files
from .world import region


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """TCP ports of a node.

    :param entry: calls from callers.
    :param peer: streams from other nodes.
    :param egress: the local upstream's own calls, loopback only.
    :param admin: the operators' interface and metrics.
    """

    entry: int = defaults.ENTRY_PORT
    peer: int = defaults.PEER_PORT
    egress: int = defaults.EGRESS_PORT
    admin: int = defaults.ADMIN_PORT


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Certificate files of a node.

    :param certificate: its chain, PEM.
    :param key: its private key, PEM.
    :param authority: the fleet's authority, PEM.
    """

    certificate: str
    key: str
    authority: str


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """Names of the registered policies that a node uses."""

    admission: str = "fifo"
    routing: str = "balanced"
    quota: str = "local"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a node.

    :param host_id: the host's identifier in the host list.
    :param service_id: the service of the local upstream.
    :param place: the host's region and data centre.
    :param address: the IP number to listen on.
    :param ports: TCP ports.
    :param upstream_url: base URL of the local upstream.
    :param platform_url: base URL of the platform's service.
    :param admin_token: secret of the admin interface, empty to close it.
    :param peer_tls: mutual TLS between nodes, ``None`` for plain TCP.
    :param entry_tls: TLS towards callers, ``None`` for plain HTTP.
    :param policies: names of the policies in use.
    :param trace_sample: fraction of root requests that are traced.
    :param fresh_fleet: whether no node of an earlier fleet can still be
        running, so that nothing is waited for at the start.
    """

    host_id: str
    service_id: str
    place: region.Place
    address: str
    upstream_url: str
    platform_url: str
    ports: Ports = Ports()
    admin_token: str = ""
    peer_tls: Tls | None = None
    entry_tls: Tls | None = None
    policies: Policies = Policies()
    trace_sample: float = 0.0
    fresh_fleet: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Settings that can't be used.

    :param faults: everything that is wrong with them.
    """

    faults: tuple[fields.Fault, ...]


def load(path: pathlib.Path) -> Settings | Refused:
    """Read a settings file.

    :param path: a JSON file, comments admitted.
    :return: the settings, or every fault in them.
    """
    loaded = files.load(path)
    if isinstance(loaded, files.Unreadable):
        return Refused((loaded.fault,))
    return read(loaded.value)


def read(value: object) -> Settings | Refused:
    """Turn a parsed settings file into settings."""
    faults: list[fields.Fault] = []
    root = fields.Section(value, "", faults)
    settings = Settings(
        host_id=root.take("host_id", str),
        service_id=root.take("service", str),
        place=region.Place(
            root.take("region", str),
            root.take("data_centre", str),
        ),
        address=root.take("address", str),
        upstream_url=root.take("upstream_url", str),
        platform_url=root.take("platform_url", str),
        ports=_read_ports(root.child("ports")),
        admin_token=root.take("admin_token", str, ""),
        peer_tls=_read_tls(root, "peer_tls"),
        entry_tls=_read_tls(root, "entry_tls"),
        policies=_read_policies(root.child("policies")),
        trace_sample=root.number("trace_sample", float, 0.0, 1.0, 0.0),
        fresh_fleet=root.take("fresh_fleet", bool, False),
    )
    root.finish()
    return Refused(tuple(faults)) if faults else settings


def _read_ports(section: fields.Section) -> Ports:
    given = {
        field.name: section.number(field.name, int, 1, 65_535, field.default)
        for field in dataclasses.fields(Ports)
    }
    section.finish()
    return Ports(**given)


def _read_policies(section: fields.Section) -> Policies:
    given = {
        field.name: section.take(field.name, str, field.default)
        for field in dataclasses.fields(Policies)
    }
    section.finish()
    return Policies(**given)


def _read_tls(root: fields.Section, key: str) -> Tls | None:
    section = root.child(key)
    if not section.given:
        return None
    tls = Tls(
        certificate=section.take("certificate", str),
        key=section.take("key", str),
        authority=section.take("authority", str),
    )
    section.finish()
    return tls
