"""Fleet-wide rate and burst limits: the policy interface and a baseline."""

import dataclasses
import math
import random
import typing as t

from .. import registry
from ..world import configuration
from ..world import host
from . import list_confirmation
from . import participant
from . import shard_ownership
from . import usage


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The request is within its organisation's rate and burst."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverRate:
    """The request exceeds its organisation's rate and is rejected.

    :param retry_after_ms: time in milliseconds until a token may be available.
    """

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """No token is available yet, but one may arrive shortly.

    :param wait_ms: time in milliseconds after which to try again.
    """

    wait_ms: int


TAKEN = Taken()


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaContext:
    """What a quota policy receives from its node.

    :param host_id: the node's host.
    :param region_id: the node's region.
    :param incarnation: distinguishes this run of the node from earlier ones.
    :param list_age: when the host list was last confirmed to be current.
    :param list_confirmations: host list versions reported by peers.
    :param random: seeded random source.
    :param wake: called when :meth:`Quota.poll` should be called soon.
    :param fresh: whether the operator states that no earlier node of the fleet
        can still be running.
    """

    host_id: str
    region_id: str
    incarnation: int
    list_age: shard_ownership.ListAgeSource
    list_confirmations: list_confirmation.ListConfirmations
    random: random.Random
    wake: t.Callable[[], None]
    fresh: bool = False


class ShardShare:
    """The share assigned to a shard; it falls at once and rises after a delay.

    Nodes receive a configuration at different times. An increase may take
    effect only after the corresponding decreases have taken effect on all
    nodes.

    :param wait_s: delay of an increase in seconds.
    """

    def __init__(self, wait_s: float) -> None:
        self._wait_s = wait_s
        self._value = math.nan
        self._pending_value = 0.0
        self._increase_at = math.inf

    @property
    def value(self) -> float:
        """The current share, 0 before the first configuration."""
        return 0.0 if math.isnan(self._value) else self._value

    def learn(self, share: float, now: float) -> None:
        """Apply the share of a newer configuration."""
        if math.isnan(self._value):
            self._value = share
        self._increase_at = math.inf
        self._pending_value = share
        if share > self._value:
            self._increase_at = now + self._wait_s
        self._value = min(self._value, share)

    def tick(self, now: float) -> bool:
        """Apply an increase that is due; return whether there was one."""
        if now < self._increase_at:
            return False
        self._value = self._pending_value
        self._increase_at = math.inf
        return True


class Quota(participant.Participant, t.Protocol):
    """Admits requests within the fleet-wide rates of organisations."""

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply the rates and bursts of a new configuration."""

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Apply a newer host list."""

    def usage(self, now: float) -> list[usage.Usage]:
        """Return the usage of each organisation with requests to this node."""

    def take(
        self, organisation_id: str, now: float, final: bool = False
    ) -> Taken | Pending | OverRate:
        """Take one token for a request that arrives now.

        :param final: whether the request cannot wait for a token any longer.
        """

    def poll(self, now: float) -> list[participant.Outgoing]:
        """Return messages to send at once, see :attr:`QuotaContext.wake`."""


policies: registry.Registry[t.Callable[[QuotaContext], Quota]] = (
    registry.Registry("quota policy")
)


@policies.register("local")
class LocalQuota:
    """Baseline in which each node enforces an equal part of the rate.

    :param context: what this node provides to the policy.
    :param nodes: number of nodes among which the rate is divided.
    """

    handles = ()

    def __init__(self, context: QuotaContext, nodes: int = 1) -> None:
        self._nodes = nodes
        self._rates: dict[str, tuple[float, float]] = {}
        self._tokens: dict[str, tuple[float, float]] = {}

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._rates = {
            identifier: (
                item.contract.rate_per_s / self._nodes,
                item.contract.burst / self._nodes,
            )
            for identifier, item in version.organisations.items()
        }

    def learn_hosts(self, hosts: host.HostList, now: float) -> None:
        """Do nothing; the number of nodes is fixed."""

    def usage(self, now: float) -> list[usage.Usage]:
        """Return an empty list; this policy keeps no counts."""
        return []

    def poll(self, now: float) -> list[participant.Outgoing]:
        """Return no messages."""
        return []

    def take(
        self, organisation_id: str, now: float, final: bool = False
    ) -> Taken | Pending | OverRate:
        """Take one token from this node's part of the bucket."""
        rate, burst = self._rates.get(organisation_id, (0.0, 0.0))
        tokens, at = self._tokens.get(organisation_id, (burst, now))
        tokens = min(burst, tokens + (now - at) * rate)
        if tokens >= 1.0:
            self._tokens[organisation_id] = (tokens - 1.0, now)
            return TAKEN
        self._tokens[organisation_id] = (tokens, now)
        wait_s = (1.0 - tokens) / rate if rate else 60.0
        return OverRate(int(wait_s * 1000) + 1)

    def receive(
        self, sender: str, message: t.Any, now: float
    ) -> list[participant.Outgoing]:
        """Ignore the message."""
        return []

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Return no messages."""
        return []
