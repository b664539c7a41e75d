"""Identity of a node in the handshake with its peers."""

import dataclasses

from . import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this node.

    :param host_id: identifier of the node's host.
    :param incarnation: start time of the node in milliseconds, by which
        peers distinguish it from earlier runs on the same host.
    """

    host_id: str
    incarnation: int

    def hello(self) -> messages.Hello:
        """Return the message that introduces this node on a stream."""
        return messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            host_id=self.host_id,
            incarnation=self.incarnation,
        )
