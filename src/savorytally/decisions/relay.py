"""Relay trees over the hosts of a data centre, computed from the host list.

Every node ranks the hosts of its data centre by rendezvous hashing. The
first ranks read the platform; each of them is the root of a tree of its own,
in which every node sends to a bounded number of children.
"""

import functools
import typing as t

import xxhash

from .. import defaults
from ..world import host
from ..world import region


def rank(seed: str, hosts: t.Iterable[str]) -> list[str]:
    """Return host identifiers in the order of a seed's rendezvous hash."""

    def weight(host_id: str) -> tuple[int, str]:
        text = f"{seed}/{host_id}"
        return xxhash.xxh3_64_intdigest(text.encode()), host_id

    return sorted(hosts, key=weight)


class Relay:
    """The ranks and trees of one data centre.

    :param host_id: this node's host.
    :param place: its data centre.
    """

    def __init__(self, host_id: str, place: region.Place) -> None:
        self._own = host_id
        self._place = place
        self._slot = 0
        self._near: tuple[str, ...] = ()
        self._far: dict[region.Place, tuple[str, ...]] = {}
        self._ranks: list[str] = []
        self._own_rank: int | None = None
        self._tree = functools.lru_cache(maxsize=16)(self._build)

    @property
    def ranks(self) -> list[str]:
        """The data centre's live hosts, readers first."""
        return self._ranks

    @property
    def near(self) -> tuple[str, ...]:
        """The data centre's other hosts."""
        return self._near

    @property
    def own_rank(self) -> int | None:
        """This node's rank, ``None`` if the list does not hold it."""
        return self._own_rank

    @property
    def candidates(self) -> list[str]:
        """The hosts that may have to read the platform."""
        return self._ranks[: defaults.READER_CANDIDATES]

    @property
    def readers(self) -> list[str]:
        """The hosts that read the platform if all are well."""
        return self._ranks[: defaults.READERS_PER_DATA_CENTRE]

    @property
    def far(self) -> dict[region.Place, tuple[str, ...]]:
        """The hosts of each other data centre."""
        return self._far

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Replace the host list."""
        places: dict[region.Place, list[str]] = {}
        for item in hosts.values():
            if item.live:
                places.setdefault(item.place, []).append(item.host_id)
        own = places.pop(self._place, [])
        self._near = tuple(sorted(set(own) - {self._own}))
        self._far = {place: tuple(ids) for place, ids in places.items()}
        self._rank(own)

    def learn_version(self, version: int) -> None:
        """Rotate the readers with the configuration's version."""
        slot = version // defaults.READER_ROTATION_VERSIONS
        if slot != self._slot:
            self._slot = slot
            self._rank(self._ranks)

    def neighbours(self, fit: t.Callable[[str], bool]) -> list[str]:
        """Return the hosts with which this node compares versions.

        They lie at doubling distances in the order of ranks, so that news
        reach everyone in few rounds over few streams. A host that the list
        does not hold uses the candidates.
        """
        own = self._own_rank
        if own is None:
            return [item for item in self.candidates if fit(item)]
        count = len(self._ranks)
        found: dict[str, None] = {}
        distance = 1
        while distance < count:
            for step in range(distance, min(2 * distance, count)):
                item = self._ranks[(own + step) % count]
                if fit(item):
                    found[item] = None
                    break
            distance *= 2
        return list(found)

    def upstream(self) -> str:
        """Return whom this node asks how old its host list is.

        The ranks form levels below the readers, so that nobody is asked by
        more than a bounded number of nodes. Empty for readers.
        """
        own = self._own_rank
        readers = defaults.READERS_PER_DATA_CENTRE
        if own is None or own < readers:
            return ""
        return self._ranks[(own - readers) // defaults.ASK_FAN_OUT]

    def far_readers(self, turn: int = 0) -> list[str]:
        """Return one likely reader of every other data centre.

        :param turn: chooses among the readers of each.
        """
        seed = str(self._slot)
        readers = defaults.READERS_PER_DATA_CENTRE
        return [
            rank(seed, ids)[turn % min(readers, len(ids))]
            for ids in self._far.values()
            if ids
        ]

    def children(self, root: str, fit: t.Callable[[str], bool]) -> list[str]:
        """Return whom this node sends to in the tree of a root.

        The children of an unfit child are sent to in its stead.

        :param fit: whether a host can be reached.
        """
        order, position = self._tree(root)
        if position is None:
            return []
        found = []
        pending = list(_below(position, len(order)))
        while pending:
            index = pending.pop(0)
            if fit(order[index]):
                found.append(order[index])
            else:
                pending.extend(_below(index, len(order)))
        return found

    def _rank(self, hosts: t.Iterable[str]) -> None:
        self._ranks = rank(str(self._slot), hosts)
        own = self._own
        self._own_rank = self._ranks.index(own) if own in self._ranks else None
        self._tree.cache_clear()

    def _build(self, root: str) -> tuple[list[str], int | None]:
        others = (item for item in self._ranks if item != root)
        order = [root, *rank(root, others)]
        position = order.index(self._own) if self._own in order else None
        return order, position


def _below(position: int, count: int) -> range:
    first = position * defaults.RELAY_FAN_OUT + 1
    return range(first, min(first + defaults.RELAY_FAN_OUT, count))
