"""A node's copy of the published configuration and host list."""

import typing as t

from .world import configuration
from .world import host
from .world import region

Configuration = configuration.Configuration


class Listener(t.Protocol):
    """Receives notifications of changes of the view."""

    def configuration_changed(self, now: float) -> None:
        """Called after a newer configuration was applied."""

    def hosts_changed(self, now: float) -> None:
        """Called after a newer host list was applied."""


class View:
    """The newest configuration and host list that this node has.

    Versions only increase; an older document is ignored, whatever its source.
    """

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._hosts = host.EMPTY
        self._listeners: list[Listener] = []
        self._is_confirmed: t.Callable[[float], bool] = lambda now: True
        self._is_lagging: t.Callable[[], bool] = lambda: False

    @property
    def configuration(self) -> Configuration | None:
        """The current configuration, ``None`` before the first."""
        return self._configuration

    @property
    def hosts(self) -> host.HostList:
        """The current host list, empty before the first."""
        return self._hosts

    @property
    def evacuated(self) -> frozenset[region.Place]:
        """The evacuated data centres, empty before the first version."""
        if self._configuration is None:
            return frozenset()
        return self._configuration.evacuated

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    def set_confirmation_check(
        self, is_confirmed: t.Callable[[float], bool]
    ) -> None:
        """Set the check of whether decisions may rely on the view.

        :param is_confirmed: called with the current time; returns whether the
            view is confirmed.
        """
        self._is_confirmed = is_confirmed

    def confirmed(self, now: float) -> bool:
        """Return whether decisions may rely on the view.

        After a pause of the process they may not until the configuration's
        version has been confirmed.
        """
        return self._is_confirmed(now)

    def set_lag_check(self, is_lagging: t.Callable[[], bool]) -> None:
        """Set the check of whether a newer configuration exists.

        :param is_lagging: returns whether this node has been notified of a
            newer configuration than it has.
        """
        self._is_lagging = is_lagging

    @property
    def lagging(self) -> bool:
        """Whether a newer configuration exists that this node lacks."""
        return self._is_lagging()

    def subscribe(self, listener: Listener) -> None:
        """Notify a listener of later changes."""
        self._listeners.append(listener)

    def offer_configuration(self, offered: Configuration, now: float) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if offered.version <= self.version:
            return False
        self._configuration = offered
        for listener in self._listeners:
            listener.configuration_changed(now)
        return True

    def offer_hosts(self, offered: host.HostList, now: float) -> bool:
        """Apply a host list if it is newer; return whether it was."""
        if offered.version <= self._hosts.version:
            return False
        self._hosts = offered
        for listener in self._listeners:
            listener.hosts_changed(now)
        return True
