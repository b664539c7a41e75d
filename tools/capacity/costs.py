"""Costs of roles as sums of measured slopes."""

import dataclasses
import enum
import typing as t

from savorytally import registry

from . import deployments
from . import slopes


class Resource(enum.Enum):
    """A resource that a role uses; the value is the unit of its total."""

    MEMORY = "B"
    PROCESSOR = "us/s"
    TRAFFIC = "B/s"
    MESSAGES = "1/s"


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """One term of a cost: a slope times a count.

    :param resource: resource that is used.
    :param slope: name of the slope, empty if the count is the cost.
    :param count: factor of the slope's per-unit cost.
    :param counted: unit of the count, as shown on the page.
    :param includes_base: whether the slope's cost at size 0 is added.
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
    """The cost of one role of one node.

    :param role: name of the role.
    :param control: whether the role is control-plane work, whose total has
        limits.
    :param state: state that the role holds.
    :param mechanism: mechanism that the role works by.
    :param breaks: first bottleneck as the deployment grows.
    :param terms: terms of the cost.
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
        """Return the total use of one resource.

        :param measured: slopes by name.
        """
        return sum(
            term.cost(measured)
            for term in self.terms
            if term.resource is resource
        )


RoleModel = t.Callable[[deployments.Deployment], RoleCost]

roles: registry.Registry[RoleModel] = registry.Registry("role")
