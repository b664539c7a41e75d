"""A host's share of the retry slack that all hosts have in common.

Hosts join, leave, restart and may read different versions of the host list.
Nevertheless the shares in use add up to at most the total in each window. The
total is distributed in units of one retry to the hosts in a fixed order, so
that a host's share can only shrink when it learns of more hosts.

A host that is no longer listed still counts until it has stopped using its
share. It stops when its own host list, or its own entry in it, is older than
``LIST_FRESH_S``; the retries it has sent are outside the window two windows
later. A host that was just listed waits equally long before it uses its
share, since other hosts may not have counted it yet, and since a predecessor
under the same address may have used the share.
"""

import typing as t
import zlib

# Age of the host list from which a host uses no share. An unchanged list is
# confirmed more often than this.
LIST_FRESH_S = 25.0
# Windows until a retry sent under an earlier list no longer counts: one for
# the longest time in transit, and the window itself.
WINDOWS_KEPT = 2


class SlackShare:
    """One host's share of the slack.

    :param total: total retries that all hosts may send in a window.
    :param own: address of this host.
    :param window_s: length of the window in seconds.
    :param first_start: whether the fleet starts for the first time, so that
        there are no earlier retries to wait for. The host list is assumed to
        be complete when the first requests arrive.
    """

    def __init__(
        self,
        total: float,
        own: str,
        window_s: float,
        first_start: bool = False,
    ) -> None:
        self._total = int(total)
        self._own = own
        self._kept_s = LIST_FRESH_S + WINDOWS_KEPT * window_s
        self._wait_s = 0.0 if first_start else self._kept_s
        self._listed: frozenset[str] = frozenset()
        # Addresses that are no longer listed, with the time of removal.
        self._removed: dict[str, float] = {}
        # Since when this host itself is listed, and the latest confirmation.
        self._listed_since: float | None = None
        self._confirmed_at = 0.0
        self._share: int | None = None

    def learn_hosts(
        self, listed: t.Iterable[str], now: float, confirmed: bool = True
    ) -> None:
        """Apply the addresses in the host list.

        :param confirmed: whether the list was read just now.
        """
        addresses = frozenset(listed)
        for address in self._listed - addresses:
            self._removed[address] = now
        for address, at in list(self._removed.items()):
            if address in addresses or now - at > self._kept_s:
                del self._removed[address]
        self._listed = addresses
        self._share = None
        if confirmed:
            self.confirm_list(now)

    def confirm_list(self, now: float) -> None:
        """Record that the host list was read and is unchanged."""
        if self._own not in self._listed:
            return
        if self._listed_since is None:
            self._listed_since = now
        elif now - self._confirmed_at > LIST_FRESH_S:
            self._listed_since, self._wait_s = now, self._kept_s
        self._confirmed_at = now

    def share(self, now: float) -> int:
        """Return this host's current share, in retries per window."""
        if (
            self._listed_since is None
            or now - self._listed_since < self._wait_s
        ):
            return 0
        if now - self._confirmed_at > LIST_FRESH_S:
            return 0
        if self._share is None:
            self._share = self._compute_share()
        return self._share

    def _compute_share(self) -> int:
        """Distribute the total in turn; return the share of this host."""
        hosts = self._listed | self._removed.keys()
        own = _sort_key(self._own)
        before = sum(_sort_key(address) < own for address in hosts)
        return max(0, -((before - self._total) // len(hosts)))


def _sort_key(address: str) -> tuple[int, str]:
    # The hash mixes the data centres, whose hosts have adjacent addresses.
    return zlib.crc32(address.encode()), address
