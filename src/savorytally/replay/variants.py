"""Variants of the policies that a trace is replayed with."""

import dataclasses

from .. import registry
from ..decisions import adaptive
from ..decisions import admission
from ..decisions import balanced  # noqa: F401, registers a policy
from ..decisions import fifo

FULL = "all on"
BASELINE = "baseline"
NAIVE_RETRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """Selection of the mechanisms that a replay uses.

    :param name: name in the printed table.
    :param options: options of the adaptive admission policy, ``None`` for
        the baseline with a fixed limit and first-in, first-out order.
    :param shares: whether shed levels admit organisations below their fair
        share.
    :param budget: whether a retry budget limits attempts over the call tree;
        if not, each hop retries independently.
    :param routing: name of the routing policy.
    :param cancels: whether deadlines and disconnects cancel calls down the
        chain.
    """

    name: str
    options: adaptive.Options | None = adaptive.Options()
    shares: bool = True
    budget: bool = True
    routing: str = "balanced"
    cancels: bool = True

    def admission(self, capacity: admission.Capacity) -> admission.Admission:
        """Create the admission policy of a gate."""
        if self.options is None:
            return fifo.FifoAdmission(capacity)
        return adaptive.AdaptiveAdmission(capacity, self.options)


variants: registry.Registry[Variant] = registry.Registry("variant")


def _add(variant: Variant) -> None:
    variants.register(variant.name)(variant)


_add(Variant(FULL))
_add(Variant("fixed limit", adaptive.Options(concurrency=False)))
_add(Variant("no deadline check", adaptive.Options(deadlines=False)))
_add(Variant("no classes", adaptive.Options(priority=False)))
_add(Variant("no fair queueing", adaptive.Options(fairness=False)))
_add(Variant("oldest first", adaptive.Options(newest_first=False)))
_add(Variant("no shed levels", adaptive.Options(levels=False)))
_add(Variant("no shares in levels", shares=False))
_add(Variant("naive retries", budget=False))
_add(Variant("random routing", routing="random"))
_add(Variant("no cancellation", cancels=False))
_add(
    Variant(
        name=BASELINE,
        options=None,
        shares=False,
        budget=False,
        routing="random",
        cancels=False,
    )
)
