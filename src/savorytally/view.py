"""A node's view of the published configuration and host list."""

import typing as t

from .world import configuration
from .world import host

Configuration = configuration.Configuration


class Listener(t.Protocol):
    """Told of every change of the view."""

    def configuration_changed(self, now: float) -> None:
        """Called after a newer configuration came into force."""

    def hosts_changed(self, now: float) -> None:
        """Called after a newer host list came into force."""


class View:
    """The newest configuration and host list that this node knows.

    Versions only rise: an older document is ignored, wherever it came from.
    """

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._hosts = host.EMPTY
        self._listeners: list[Listener] = []
        self._confirm: t.Callable[[float], bool] = lambda now: True
        self._compare: t.Callable[[], bool] = lambda: False

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, ``None`` before the first."""
        return self._configuration

    @property
    def hosts(self) -> host.HostList:
        """The host list in force."""
        return self._hosts

    @property
    def version(self) -> int:
        """The configuration's version, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    def confirm_with(self, confirm: t.Callable[[float], bool]) -> None:
        """Ask ``confirm`` whether the view may be acted on."""
        self._confirm = confirm

    def confirmed(self, now: float) -> bool:
        """Return whether the view may be acted on at this moment.

        It may not from a pause of the process until the version has been
        confirmed.
        """
        return self._confirm(now)

    def compare_with(self, compare: t.Callable[[], bool]) -> None:
        """Ask ``compare`` whether a newer configuration is known of."""
        self._compare = compare

    @property
    def lagging(self) -> bool:
        """Whether a newer configuration exists that is not here yet."""
        return self._compare()

    def subscribe(self, listener: Listener) -> None:
        """Tell the listener of later changes."""
        self._listeners.append(listener)

    def offer_configuration(self, offered: Configuration, now: float) -> bool:
        """Put a configuration in force if it is newer; return whether."""
        if offered.version <= self.version:
            return False
        self._configuration = offered
        for listener in self._listeners:
            listener.configuration_changed(now)
        return True

    def offer_hosts(self, offered: host.HostList, now: float) -> bool:
        """Put a host list in force if it is newer; return whether."""
        if offered.version <= self._hosts.version:
            return False
        self._hosts = offered
        for listener in self._listeners:
            listener.hosts_changed(now)
        return True
