"""The choice of the host that runs a call."""

import dataclasses
import random
import typing as t

from .. import registry
from ..world import host
from ..world import region


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """What routing needs to know of a call.

    :param service_id: the service to be called.
    :param priority: the class of its route.
    :param bytes_estimate: bytes that it would move between regions.
    :param tried: hosts of earlier attempts at this call.
    :param key: shard key that pins the call to an owner, may be empty.
    """

    service_id: str
    priority: int
    bytes_estimate: int = 0
    tried: frozenset[str] = frozenset()
    key: str = ""


class Routing(t.Protocol):
    """Chooses hosts and learns from what became of the calls."""

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Replace the hosts that may be chosen."""

    def choose(self, question: Question, now: float) -> host.Host | None:
        """Return the host to call, or ``None`` if none is fit."""

    def sent(self, host_id: str, now: float) -> None:
        """Note that a call was sent to the host."""

    def done(self, host_id: str, ok: bool, level: int, now: float) -> None:
        """Note the end of a call.

        :param ok: whether the host gave an answer or a true refusal.
        :param level: the shed level that came with it, -1 if none did.
        """

    def unreachable(self, host_id: str, now: float) -> None:
        """Note that the host's node can't be reached."""


RoutingFactory = t.Callable[[region.Place, random.Random], Routing]

policies: registry.Registry[RoutingFactory] = registry.Registry(
    "routing policy"
)


@policies.register("random")
class RandomRouting:
    """Baseline: any live host of the service that was not tried yet.

    :param place: where the choosing node is.
    :param source: seeded random source.
    """

    def __init__(self, place: region.Place, source: random.Random) -> None:
        self._source = source
        self._by_service: dict[str, list[host.Host]] = {}

    def learn_hosts(self, hosts: t.Mapping[str, host.Host]) -> None:
        """Group the live hosts by service."""
        self._by_service = {}
        for item in sorted(hosts.values(), key=lambda item: item.host_id):
            if item.live:
                self._by_service.setdefault(item.service_id, []).append(item)

    def choose(self, question: Question, now: float) -> host.Host | None:
        """Return one of the hosts with equal chances."""
        fit = [
            item
            for item in self._by_service.get(question.service_id, ())
            if item.host_id not in question.tried
        ]
        return self._source.choice(fit) if fit else None

    def sent(self, host_id: str, now: float) -> None:
        """Do nothing."""

    def done(self, host_id: str, ok: bool, level: int, now: float) -> None:
        """Do nothing."""

    def unreachable(self, host_id: str, now: float) -> None:
        """Do nothing."""
