"""The seam between decisions that involve several nodes and their peers."""

import dataclasses
import typing as t

from ..peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to be sent to one peer; delivery is not certain.

    :param host_id: the receiving node's host.
    :param message: the message.
    """

    host_id: str
    message: messages.Message


class Participant(t.Protocol):
    """A decision object that exchanges messages with its peers.

    The shell calls :meth:`receive` for every message whose class is listed
    in ``handles`` and :meth:`tick` every ``defaults.CONTROL_TICK_S``.
    Messages may be delayed, lost, doubled and reordered.
    """

    handles: tuple[type[messages.Message], ...]

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[Outgoing]:
        """Take in one message and return what to send."""

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due and return what to send."""
