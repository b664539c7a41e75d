"""A request in progress at the entry."""

import asyncio
import typing as t

from .. import results
from ..decisions import lineage
from ..world import catalog
from . import callers
from . import frames
from . import gate
from . import grounds


class Call:
    """A request in progress at the entry."""

    __slots__ = (
        "charged",
        "clients_ms",
        "deadline",
        "done",
        "flags",
        "ground",
        "instance_id",
        "known",
        "matched",
        "objective_s",
        "offers",
        "organisation",
        "parent",
        "rank",
        "reached",
        "repeats",
        "repeats_refused",
        "request",
        "request_id",
        "route",
        "run",
        "service",
        "started",
        "timer",
        "tried",
        "withdraw",
    )

    def __init__(self, request: callers.Request, started: float) -> None:
        self.request = request
        self.started = started
        self.request_id = b""
        self.route: catalog.Route | None = None
        self.service = ""
        self.organisation = ""
        self.rank = 0
        self.flags = 0
        self.deadline = 0.0
        self.clients_ms = 0
        self.objective_s = 0.0
        # The request at the local upstream that made this one.
        self.parent: lineage.Parent | None = None
        # How it was told, ``None`` for what no upstream can have made.
        self.matched: lineage.How | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.tried: list[str] = []
        self.offers = 0
        # Times that it was sent once more after it may have arrived.
        self.repeats = 0
        # As what it is charged to the budget while it may be on its way.
        self.charged = ""
        # Whether the budget left no room for one more.
        self.repeats_refused = False
        # Upstreams that the request has reached.
        self.reached: list[str] = []
        self.instance_id = ""
        # Set while it is at the gate of this host.
        self.run: gate.Run | None = None
        # The worst that is known of earlier attempts.
        self.known: results.ResultCode | None = None
        # What shows that no attempt has run, as far as that is known.
        self.ground = grounds.Ground.NOT_OFFERED
        self.withdraw: t.Callable[[], bool] | None = None
        self.done = False

    @property
    def kind(self) -> tuple[str, int]:
        """Its route and its rank: requests of a kind wait alike."""
        return (t.cast(catalog.Route, self.route).name, self.rank)

    @property
    def place(self) -> str:
        """Where it is: at its rate, in the own gate or sent to another."""
        if not self.instance_id:
            return "rate"
        if self.run is None:
            return "sent"
        return self.run.state.name.lower()

    @property
    def idempotent(self) -> bool:
        """Whether the request may run twice."""
        return bool(self.flags & frames.Flag.IDEMPOTENT)

    @property
    def child(self) -> bool:
        """Whether the local upstream made it for another request."""
        return bool(self.flags & frames.Flag.CHILD)
