"""How old this node's host list is, and which peers it has heard."""

import math

from . import contact
from . import witness


class SpreadEvidence:
    """Evidence from readings of the platform and from answers of peers.

    A peer's answer carries the age of its list; counted from the moment of
    the question, so that a slow answer never looks fresher than it is. A
    confirmed list counts as a sign of life of every host in it, unless the
    host was heard later.

    :param contacts: what the streams show of the peers.
    """

    def __init__(self, contacts: contact.PeerContacts) -> None:
        self._contacts = contacts
        self._confirmed_at = -math.inf
        self._version = 0

    def confirm(self, version: int, at: float) -> None:
        """Note that a host list was the newest at that time."""
        self._version = max(self._version, version)
        self._confirmed_at = max(self._confirmed_at, at)

    def confirmed_at(self) -> float:
        """Return when the list in force was last confirmed as newest."""
        return self._confirmed_at

    def contact(self, host_id: str) -> witness.Contact | None:
        """Return the last sign of life of a peer."""
        heard_at = self._contacts.heard_at(host_id)
        if heard_at is None or heard_at < self._confirmed_at:
            return witness.Contact(self._confirmed_at, self._version)
        version = self._contacts.list_version(host_id)
        return witness.Contact(heard_at, version)

    def heard(self, host_id: str, list_version: int, now: float) -> None:
        """Note a summary of a peer, with the host list that it holds."""
        self._contacts.heard(host_id, now)
        self._contacts.holds(host_id, list_version)
