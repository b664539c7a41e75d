"""Costs of roles as sums of measured slopes."""

import dataclasses
import enum
import typing as t

from savorytally import registry

from . import deployments
from . import slopes


class Resource(enum.Enum):
    """What a role uses, with the unit of its total."""

    MEMORY = "B"
    PROCESSOR = "us/s"
    TRAFFIC = "B/s"
    MESSAGES = "1/s"


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """One part of a cost: a slope times a count.

    :param resource: what it uses.
    :param slope: name of the slope; empty for a plain count.
    :param count: what the slope's per-unit cost is multiplied by.
    :param counted: what is counted.
    :param based: whether the slope's base is added.
    """

    resource: Resource
    slope: str
    count: float
    counted: str
    includes_base: bool = False

    def cost(self, measured: t.Mapping[str, slopes.Slope]) -> float:
        """Return the term's cost in the resource's unit."""
        if not self.slope:
            return self.count
        slope = measured[self.slope]
        if self.includes_base:
            return slope.cost_at(self.count)
        return slope.per_unit * self.count


@dataclasses.dataclass(frozen=True, slots=True)
class RoleCost:
    """What one node spends in one role.

    :param role: the role.
    :param control: whether it counts against the limits for control.
    :param state: what it holds.
    :param mechanism: what carries it.
    :param breaks: what breaks first, and at which size.
    :param terms: its costs.
    """

    role: str
    control: bool
    state: str
    mechanism: str
    breaks: str
    terms: tuple[Term, ...]

    def total(
        self, resource: Resource, measured: t.Mapping[str, slopes.Slope]
    ) -> float:
        """Return the sum of the terms of one resource."""
        return sum(
            term.cost(measured)
            for term in self.terms
            if term.resource is resource
        )


RoleModel = t.Callable[[deployments.Deployment], RoleCost]

roles: registry.Registry[RoleModel] = registry.Registry("role")
