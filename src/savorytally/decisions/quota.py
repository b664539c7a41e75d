"""Fleet-wide rate and burst of organisations: the seam and a baseline."""

import dataclasses
import typing as t

from .. import registry
from ..world import configuration
from . import participant


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The request is within its organisation's rate and burst."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverRate:
    """The request is refused.

    :param retry_after_ms: when a token may be available.
    """

    retry_after_ms: int


class Quota(participant.Participant, t.Protocol):
    """Admits requests against the fleet-wide rate of organisations."""

    def learn_configuration(
        self, version: configuration.Configuration, now: float
    ) -> None:
        """Apply the rates and bursts of a new configuration."""

    def take(self, organisation_id: str, now: float) -> Taken | OverRate:
        """Take one token for a request that arrives now."""


policies: registry.Registry[t.Callable[..., Quota]] = registry.Registry(
    "quota policy"
)


@policies.register("local")
class LocalQuota:
    """Baseline: each node admits an equal part of the rate by itself.

    :param nodes: number of nodes among which the rate is divided.
    """

    handles = ()

    def __init__(self, nodes: int = 1) -> None:
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

    def take(self, organisation_id: str, now: float) -> Taken | OverRate:
        """Take one token from this node's part of the bucket."""
        rate, burst = self._rates.get(organisation_id, (0.0, 0.0))
        tokens, at = self._tokens.get(organisation_id, (burst, now))
        tokens = min(burst, tokens + (now - at) * rate)
        if tokens >= 1.0:
            self._tokens[organisation_id] = (tokens - 1.0, now)
            return Taken()
        self._tokens[organisation_id] = (tokens, now)
        wait_s = (1.0 - tokens) / rate if rate else 60.0
        return OverRate(int(wait_s * 1000) + 1)

    def receive(
        self, sender: str, message: t.Any, now: float
    ) -> list[participant.Outgoing]:
        """Do nothing."""
        return []

    def tick(self, now: float) -> list[participant.Outgoing]:
        """Do nothing."""
        return []
