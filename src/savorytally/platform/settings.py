"""Parses the platform's settings file: lines of the form ``a.b=value``."""

import dataclasses
import pathlib
import typing as t

from ..dataplane import options
from . import durations

PATH_VARIABLE = "SAVORYTALLY_SETTINGS"

T = t.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Invalid settings.

    :param faults: one line for each invalid field.
    """

    faults: tuple[str, ...]


class WatchedFile:
    """Detects changes of a settings file by its status.

    The file may change without a signal to the process.

    :param path: path of the settings file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self._last_state = self._state()

    def changed(self) -> bool:
        """Return whether the file has changed since the last call."""
        before, self._last_state = self._last_state, self._state()
        return self._last_state != before

    def _state(self) -> tuple[int, int]:
        try:
            found = self.path.stat()
        except OSError:
            # The file is being replaced; its next state counts as a change.
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)


class _Reader:
    """Reads fields of the file and collects the faults in them.

    :param text: content of the file.
    """

    def __init__(self, text: str) -> None:
        self.faults: list[str] = []
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._values[name.strip()] = value.strip()

    def take(
        self, name: str, convert: t.Callable[[str], T], default: T | None
    ) -> T:
        """Return the value of a field.

        :param name: name of the field.
        :param convert: converts the text; raises :exc:`ValueError` if it is
            invalid.
        :param default: value of an absent field, ``None`` if it is required.
        """
        text = self._values.get(name)
        if text is None or text == "":
            if default is None:
                self.faults.append(f"{name}: is missing")
                return t.cast(T, None)
            return default
        try:
            return convert(text)
        except ValueError as error:
            self.faults.append(f"{name}: {error}")
            return t.cast(T, default)

    def table(self, prefix: str) -> dict[str, str]:
        """Return the fields whose names have a prefix, without the prefix."""
        return {
            name[len(prefix) :]: value
            for name, value in self._values.items()
            if name.startswith(prefix)
        }


def load(path: pathlib.Path) -> options.Options | Refused:
    """Read and parse a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Refused((f"{path}: {error}",))
    return read(text)


def read(text: str) -> options.Options | Refused:
    """Parse the text of a settings file into options."""
    reader = _Reader(text)
    take = reader.take
    ports = take("network.internal_ports", _ports, None) or (0, 0)
    # A "node" of the platform is one process, a "zone" is a data centre.
    found = options.Options(
        host_id=take("local_node.node_name", str, None),
        service=take("local_node.service", str, None),
        address=take("local_node.ip", str, None),
        data_centre=take("local_node.zone", str, None),
        regions=reader.table("network.zones."),
        upstream=take("local_node.app_addr", _address, None),
        # The setting is named for the local upstream's outgoing calls, but
        # external callers use the same port.
        entry=take("network.listen.outbound", _address, None),
        ready=take("network.listen.ready", _address, None),
        peer_port=ports[0],
        metrics_port=ports[0] + 1,
        store=take("platform.platform.address", _address, None),
        memory_bytes=take("local_node.limits.memory_mb", int, 256) << 20,
        descriptors=take("local_node.limits.max_fds", int, 1024),
        first_start=take("local_node.first_start", _flag, False),
        heartbeat_s=take("platform.heartbeat", durations.seconds, 1.5),
        ramp_up=take("local_node.ramp_up", _flag, False),
        refuse_failing_chains=take(
            "local_node.refuse_failing_chains", _flag, False
        ),
        bounds=_bounds(reader),
    )
    if reader.faults:
        return Refused(tuple(reader.faults))
    return found


def _bounds(reader: _Reader) -> options.Bounds:
    def take(name: str, convert: t.Callable[[str], float], default: float):
        return reader.take(f"terms.bounds.{name}", convert, default)

    defaults = options.Bounds()
    return options.Bounds(
        change_s=take("config", durations.seconds, defaults.change_s),
        drain_s=take("drain", durations.seconds, defaults.drain_s),
        grace_s=take("grace", durations.seconds, defaults.grace_s),
        retry_ratio=take("retry_budget_ratio", float, defaults.retry_ratio),
        retry_window_s=take(
            "budget_window", durations.seconds, defaults.retry_window_s
        ),
        retry_slack=take("budget_slack", float, defaults.retry_slack),
        rate_overage=take("quota_overage", float, defaults.rate_overage),
        rate_slack=take("quota_slack", float, defaults.rate_slack),
        rate_window_s=take(
            "quota_window", durations.seconds, defaults.rate_window_s
        ),
        cold_overage=take("cold_overage", float, defaults.cold_overage),
        cold_slack=take("cold_slack", float, defaults.cold_slack),
    )


def _address(text: str) -> options.Address:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or not host:
        raise ValueError(f"{text!r} is no address with a port")
    return options.Address(host, int(port))


def _ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(",")
    if not first.isdecimal() or not last.isdecimal():
        raise ValueError(f"{text!r} is no range of ports")
    if int(last) - int(first) < 1:
        raise ValueError("two ports are needed, one is given")
    return int(first), int(last)


def _flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is neither true nor false")
    return text == "true"
