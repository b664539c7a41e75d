"""Relay trees over the hosts of a data centre, computed from the host list.

Every node ranks the hosts of its data centre by rendezvous hashing. The hosts
with the first ranks read the platform. Each of them is the root of its own
tree, in which every node sends to a bounded number of children.
"""

import functools
import typing as t

import xxhash

from .. import defaults
from ..world import host
from ..world import region


def rank_hosts(seed: str, hosts: t.Iterable[str]) -> list[str]:
    """Return host identifiers sorted by their rendezvous hash for a seed."""

    def weight(host_id: str) -> tuple[int, str]:
        text = f"{seed}/{host_id}"
        return xxhash.xxh3_64_intdigest(text.encode()), host_id

    return sorted(hosts, key=weight)


class RelayTree:
    """Ranks and relay trees of one data centre.

    :param host_id: this node's host.
    :param place: the data centre.
    """

    def __init__(self, host_id: str, place: region.Place) -> None:
        self._own = host_id
        self._place = place
        self._rotation = 0
        self._local_hosts: tuple[str, ...] = ()
        self._remote: dict[region.Place, tuple[str, ...]] = {}
        self._ranks: list[str] = []
        self._own_rank: int | None = None
        self._tree = functools.lru_cache(maxsize=16)(self._build_tree)

    @property
    def ranks(self) -> list[str]:
        """The data centre's live hosts in order of rank, readers first."""
        return self._ranks

    @property
    def local_hosts(self) -> tuple[str, ...]:
        """The other live hosts of the data centre."""
        return self._local_hosts

    @property
    def own_rank(self) -> int | None:
        """This node's rank, ``None`` if it is not in the host list."""
        return self._own_rank

    @property
    def candidates(self) -> list[str]:
        """The hosts that may have to read the platform."""
        return self._ranks[: defaults.READER_CANDIDATES]

    @property
    def readers(self) -> list[str]:
        """The hosts that normally read the platform."""
        return self._ranks[: defaults.READERS_PER_DATA_CENTRE]

    @property
    def remote_hosts(self) -> dict[region.Place, tuple[str, ...]]:
        """The live hosts of each other data centre."""
        return self._remote

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Apply a new host list."""
        places: dict[region.Place, list[str]] = {}
        for item in hosts.values():
            if item.live:
                places.setdefault(item.place, []).append(item.host_id)
        own = places.pop(self._place, [])
        self._local_hosts = tuple(sorted(set(own) - {self._own}))
        self._remote = {place: tuple(ids) for place, ids in places.items()}
        self._rank(own)

    def learn_version(self, version: int) -> None:
        """Rotate the readers as the configuration's version increases."""
        rotation = version // defaults.READER_ROTATION_VERSIONS
        if rotation != self._rotation:
            self._rotation = rotation
            self._rank(self._ranks)

    def neighbours(self, usable: t.Callable[[str], bool]) -> list[str]:
        """Return the hosts with which this node compares versions.

        They lie at doubling distances in rank order, so that an update reaches
        every node in few rounds over few streams. A node that is not in the
        host list uses the candidates.

        :param usable: returns whether a host is usable.
        """
        own = self._own_rank
        if own is None:
            return [item for item in self.candidates if usable(item)]
        count = len(self._ranks)
        neighbours: dict[str, None] = {}
        distance = 1
        while distance < count:
            for step in range(distance, min(2 * distance, count)):
                item = self._ranks[(own + step) % count]
                if usable(item):
                    neighbours[item] = None
                    break
            distance *= 2
        return list(neighbours)

    def age_query_target(self) -> str:
        """Return the host to query for the age of its host list.

        The ranks form levels below the readers, so that a host is queried by a
        bounded number of nodes. Empty for readers.
        """
        own = self._own_rank
        readers = defaults.READERS_PER_DATA_CENTRE
        if own is None or own < readers:
            return ""
        return self._ranks[(own - readers) // defaults.LIST_AGE_QUERY_FAN_OUT]

    def remote_readers(self, turn: int = 0) -> list[str]:
        """Return one likely reader of every other data centre.

        :param turn: index that selects one of the readers of each.
        """
        seed = str(self._rotation)
        readers = defaults.READERS_PER_DATA_CENTRE
        return [
            rank_hosts(seed, ids)[turn % min(readers, len(ids))]
            for ids in self._remote.values()
            if ids
        ]

    def children(
        self, root: str, usable: t.Callable[[str], bool]
    ) -> list[str]:
        """Return this node's children in the tree of a root.

        An unusable child is replaced by its own children.

        :param usable: returns whether a host is usable.
        """
        order, position = self._tree(root)
        if position is None:
            return []
        children = []
        pending = list(_child_positions(position, len(order)))
        while pending:
            index = pending.pop(0)
            if usable(order[index]):
                children.append(order[index])
            else:
                pending.extend(_child_positions(index, len(order)))
        return children

    def _rank(self, hosts: t.Iterable[str]) -> None:
        """Recompute the ranks and drop the cached trees."""
        self._ranks = rank_hosts(str(self._rotation), hosts)
        own = self._own
        self._own_rank = self._ranks.index(own) if own in self._ranks else None
        self._tree.cache_clear()

    def _build_tree(self, root: str) -> tuple[list[str], int | None]:
        """Return a tree's hosts in heap order and this node's position."""
        others = (item for item in self._ranks if item != root)
        order = [root, *rank_hosts(root, others)]
        position = order.index(self._own) if self._own in order else None
        return order, position


def _child_positions(position: int, count: int) -> range:
    """Return the positions of the children of a position in a tree."""
    first_child = position * defaults.RELAY_FAN_OUT + 1
    return range(first_child, min(first_child + defaults.RELAY_FAN_OUT, count))
