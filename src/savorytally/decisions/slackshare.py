"""A host's part of a number of repeats that all hosts share.

Answers hosts that come, go, start again and read different lists: the parts
in use at any time add up to at most the whole, in each window. The whole is
dealt one by one to the hosts in a fixed order, so that a host's part can only
shrink when it knows of more hosts. A host that is no longer listed is counted
on until it has stopped to use its part: it does so when its own list or its
own entry is older than ``LIST_FRESH_S``, and what it sent is gone from the
window two windows later. A host that has just been listed waits as long,
since the others may not have counted on it, and since its predecessor may
have used its part.
"""

import typing as t
import zlib

# Age of the list from which a host uses no part. A list without changes is
# confirmed more often.
LIST_FRESH_S = 25.0
# Windows until what was sent under an earlier list counts no more: the
# longest time on its way and the window itself.
WINDOWS_KEPT = 2


class SlackShare:
    """What one host may use of the whole.

    :param whole: what all hosts share in a window.
    :param own: this host.
    :param window_s: the window.
    :param first_start: whether no host has run before, so that there is
        nothing to wait for; the list is taken to be whole when the first
        requests come.
    """

    def __init__(
        self,
        whole: float,
        own: str,
        window_s: float,
        first_start: bool = False,
    ) -> None:
        self._whole = int(whole)
        self._own = own
        self._kept_s = LIST_FRESH_S + WINDOWS_KEPT * window_s
        self._wait_s = 0.0 if first_start else self._kept_s
        self._listed: frozenset[str] = frozenset()
        # When hosts were last listed that are not listed any more.
        self._gone: dict[str, float] = {}
        # Since when, and when last, this host itself was listed.
        self._since: float | None = None
        self._seen = 0.0
        self._dealt: int | None = None

    def learn(self, listed: t.Iterable[str], now: float) -> None:
        """Apply the hosts that are listed."""
        known = frozenset(listed)
        for address in self._listed - known:
            self._gone[address] = now
        for address, at in list(self._gone.items()):
            if address in known or now - at > self._kept_s:
                del self._gone[address]
        self._listed = known
        self._dealt = None
        self.confirm(now)

    def confirm(self, now: float) -> None:
        """Note that the list was read and has not changed."""
        if self._own not in self._listed:
            return
        if self._since is None:
            self._since = now
        elif now - self._seen > LIST_FRESH_S:
            self._since, self._wait_s = now, self._kept_s
        self._seen = now

    def part(self, now: float) -> int:
        """Return the host's part at a time."""
        if self._since is None or now - self._since < self._wait_s:
            return 0
        if now - self._seen > LIST_FRESH_S:
            return 0
        if self._dealt is None:
            self._dealt = self._deal()
        return self._dealt

    def _deal(self) -> int:
        """Deal the whole to all hosts in turn; return what this one gets."""
        hosts = self._listed | self._gone.keys()
        own = _order(self._own)
        before = sum(_order(address) < own for address in hosts)
        return max(0, -((before - self._whole) // len(hosts)))


def _order(address: str) -> tuple[int, str]:
    # Mixes data centres, which have neighbouring addresses.
    return zlib.crc32(address.encode()), address
