"""Settings of a node, read from a JSON file with comments."""

import dataclasses
import ipaddress
import pathlib
import urllib.parse

from . import defaults
from . import fields
from . import files
from .world import names
from .world import region

ADMIN_TOKEN_MIN_LENGTH = 16

_ADDRESS_RULE = "must be an IP number"
_URL_RULE = "must be an http or https URL without user, query and fragment"
_TOKEN_RULE = f"must have {ADMIN_TOKEN_MIN_LENGTH} or more ASCII characters"
_LOG_LEVELS = {name: name for name in ("debug", "info", "warning", "error")}


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """TCP ports of a node.

    :param entry: port for requests from callers.
    :param peer: port for streams from other nodes.
    :param egress: port for calls of the local upstream, on loopback only.
    :param admin: port of the administration API and metrics.
    """

    entry: int = defaults.ENTRY_PORT
    peer: int = defaults.PEER_PORT
    egress: int = defaults.EGRESS_PORT
    admin: int = defaults.ADMIN_PORT


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Paths of a node's certificate files in PEM format.

    :param certificate: the certificate chain.
    :param key: the private key.
    :param authority: the fleet's certificate authority, empty for the entry.
    """

    certificate: str
    key: str
    authority: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Admin:
    """Settings of the administration API.

    :param address: the IP address to listen on.
    :param token: the bearer token, empty for none.
    :param token_variable: name of the environment variable with the token,
        empty for none.
    """

    address: str = "127.0.0.1"
    token: str = dataclasses.field(default="", repr=False)
    token_variable: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """Names of the registered policies that a node uses.

    :param admission: policy of the gate's admission.
    :param routing: policy of choosing hosts for calls.
    :param quota: policy of the organisations' rate limits.
    """

    admission: str = "adaptive"
    routing: str = "balanced"
    quota: str = "loans"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a node.

    :param host_id: the host's identifier in the host list.
    :param service_id: the service of the local upstream.
    :param place: the host's region and data centre.
    :param address: the IP address to listen on.
    :param upstream_url: base URL of the local upstream.
    :param platform_url: base URL of the platform's service.
    :param ports: TCP ports.
    :param admin: settings of the administration API.
    :param peer_tls: mutual TLS between nodes, ``None`` for plain TCP.
    :param entry_tls: TLS for callers, ``None`` for plain HTTP.
    :param policies: names of the policies in use.
    :param trace_sample: fraction of root requests that are traced.
    :param fleet_started_s: time of the whole fleet's first start, in seconds
        since the Unix epoch. A node that starts within
        ``defaults.FLEET_START_WINDOW_S`` of it has no predecessor to wait
        for.
    :param log_level: lowest level of log lines that are written.
    """

    host_id: str
    service_id: str
    place: region.Place
    address: str
    upstream_url: str
    platform_url: str
    ports: Ports = Ports()
    admin: Admin = Admin()
    peer_tls: Tls | None = None
    entry_tls: Tls | None = None
    policies: Policies = Policies()
    trace_sample: float = 0.0
    fleet_started_s: float = 0.0
    log_level: str = "info"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Invalid settings.

    :param faults: every fault in the settings.
    """

    faults: tuple[fields.Fault, ...]


def load(path: pathlib.Path) -> Settings | Refused:
    """Read a settings file.

    :param path: path of a JSON file, which may contain comments.
    :return: the settings, or every fault in them.
    """
    loaded = files.load(path)
    if isinstance(loaded, files.Unreadable):
        return Refused((loaded.fault,))
    return read(loaded.value)


def read(value: object) -> Settings | Refused:
    """Convert a parsed settings file into settings.

    :param value: the parsed JSON value.
    :return: the settings, or every fault in them.
    """
    faults: list[fields.Fault] = []
    root = fields.Section(value, "", faults)
    settings = Settings(
        host_id=root.text("host_id", names.is_valid_name, names.NAME_RULE),
        service_id=root.text("service", names.is_valid_name, names.NAME_RULE),
        place=region.Place(
            root.text("region", names.is_valid_name, names.NAME_RULE),
            root.text("data_centre", names.is_valid_name, names.NAME_RULE),
        ),
        address=root.text("address", _is_address, _ADDRESS_RULE),
        upstream_url=root.text("upstream_url", _is_url, _URL_RULE),
        platform_url=root.text("platform_url", _is_url, _URL_RULE),
        ports=_read_ports(root.child("ports")),
        admin=_read_admin(root.child("admin")),
        peer_tls=_read_tls(root, "peer_tls", mutual=True),
        entry_tls=_read_tls(root, "entry_tls", mutual=False),
        policies=_read_policies(root.child("policies")),
        trace_sample=root.number("trace_sample", float, 0.0, 1.0, 0.0),
        fleet_started_s=root.number("fleet_started_s", float, 0.0, 1e11, 0.0),
        log_level=root.choice("log_level", _LOG_LEVELS, "info"),
    )
    root.reject_unknown()
    return Refused(tuple(faults)) if faults else settings


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_url(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    if parts.query or parts.fragment or parts.username or port == 0:
        return False
    return parts.scheme in ("http", "https") and bool(parts.hostname)


def _read_ports(section: fields.Section) -> Ports:
    given = {
        field.name: section.number(field.name, int, 1, 65_535, field.default)
        for field in dataclasses.fields(Ports)
    }
    section.reject_unknown()
    taken: dict[int, str] = {}
    for name, port in given.items():
        holder = taken.setdefault(port, name)
        if port and holder != name:
            section.fault(name, f"is the port of {holder} already")
    return Ports(**given)


def _read_admin(section: fields.Section) -> Admin:
    admin = Admin(
        address=section.text(
            "address", _is_address, _ADDRESS_RULE, Admin().address
        ),
        token=section.text("token", _is_token, _TOKEN_RULE, ""),
        token_variable=section.take("token_variable", str, ""),
    )
    if admin.token and admin.token_variable:
        section.fault("token_variable", "must be absent if a token is given")
    section.reject_unknown()
    return admin


def _is_token(text: str) -> bool:
    return len(text) >= ADMIN_TOKEN_MIN_LENGTH and text.isascii()


def _read_policies(section: fields.Section) -> Policies:
    given = {
        field.name: section.take(field.name, str, field.default)
        for field in dataclasses.fields(Policies)
    }
    section.reject_unknown()
    return Policies(**given)


def _read_tls(root: fields.Section, key: str, mutual: bool) -> Tls | None:
    section = root.child(key)
    if not section.present:
        return None
    tls = Tls(
        certificate=section.take("certificate", str),
        key=section.take("key", str),
        authority=section.take("authority", str) if mutual else "",
    )
    section.reject_unknown()
    return tls
