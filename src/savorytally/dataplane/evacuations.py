"""The data centres that operators have evacuated."""

from . import event_log
from . import options


class Evacuations:
    """Tracks evacuations and logs when they begin and end.

    :param node_options: the node's options, which list the data centres.
    :param log: logs each evacuation.
    """

    def __init__(
        self, node_options: options.Options, log: event_log.EventLog
    ) -> None:
        self._known_data_centres = frozenset(node_options.regions)
        self._log = log
        # Loop time when this node applied each evacuation in force.
        self._begun_at: dict[str, float] = {}
        self._ignored: frozenset[str] = frozenset()

    @property
    def in_force(self) -> frozenset[str]:
        """The evacuated data centres."""
        return frozenset(self._begun_at)

    @property
    def ignored(self) -> int:
        """Number of evacuations that name an unknown data centre."""
        return len(self._ignored)

    def apply(self, data_centres: frozenset[str], now: float) -> None:
        """Apply the evacuations that the store holds.

        :param data_centres: names of the data centres.
        :param now: loop time.
        """
        unknown = data_centres - self._known_data_centres
        for name in sorted(unknown - self._ignored):
            self._log.event("evacuation_ignored", data_centre=name)
        self._ignored = unknown
        wanted = data_centres - unknown
        for name in sorted(wanted - self._begun_at.keys()):
            self._begun_at[name] = now
            self._log.event("evacuation_begun", data_centre=name)
        for name in sorted(self._begun_at.keys() - wanted):
            lasted_s = now - self._begun_at.pop(name)
            self._log.event(
                "evacuation_ended",
                data_centre=name,
                lasted_s=round(lasted_s, 3),
            )
