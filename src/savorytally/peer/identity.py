"""How nodes present themselves to each other."""

import dataclasses

from . import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """How this node presents itself to its peers.

    :param host_id: its host.
    :param incarnation: its start time in milliseconds.
    """

    host_id: str
    incarnation: int

    def hello(self) -> messages.Hello:
        """Return the first message on a stream."""
        return messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            host_id=self.host_id,
            incarnation=self.incarnation,
        )
