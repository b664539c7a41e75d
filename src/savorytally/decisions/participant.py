"""Interface of decision objects that exchange messages with peers."""

import dataclasses
import typing as t

from ..peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send to one peer; delivery is not guaranteed.

    :param host_id: host of the receiving node.
    :param message: the message.
    """

    host_id: str
    message: messages.Message


class Participant(t.Protocol):
    """A decision object that exchanges messages with its peers.

    The node calls :meth:`receive` for every message whose class is listed in
    ``handles``, and :meth:`tick` every ``defaults.CONTROL_TICK_S``. Messages
    may be delayed, lost, duplicated and reordered.
    """

    handles: tuple[type[messages.Message], ...]

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[Outgoing]:
        """Process one message and return the messages to send."""

    def tick(self, now: float) -> list[Outgoing]:
        """Run the tasks that are due and return the messages to send."""
