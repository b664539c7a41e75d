"""The state of one caller's request while the entry handles it."""

import asyncio
import typing as t

from .. import results
from ..decisions import parent_matching
from ..world import catalog
from . import callers
from . import frames
from . import gate
from . import not_run_reasons


class Call:
    """A caller's request that the entry handles.

    :param request: the request as it was read.
    :param started: loop time of its start.
    """

    __slots__ = (
        "chain_refused",
        "charged_as",
        "client_remaining_ms",
        "deadline",
        "done",
        "flags",
        "instance_id",
        "matched_by",
        "not_run_reason",
        "objective_s",
        "offers",
        "organisation",
        "parent",
        "rank",
        "reached",
        "regions",
        "request",
        "request_id",
        "retries",
        "retry_refused",
        "route",
        "run",
        "service",
        "shortened_s",
        "silent_attempts",
        "started",
        "timer",
        "tried",
        "upstream_deadline",
        "withdraw",
        "worst_code",
    )

    def __init__(self, request: callers.Request, started: float) -> None:
        self.request = request
        self.started = started
        self.request_id = b""
        self.route: catalog.Route | None = None
        self.service = ""
        self.organisation = ""
        # The regions in which it may be served, ``None`` for all.
        self.regions: frozenset[str] | None = None
        self.rank = 0
        self.flags = 0
        # Loop time at which the request is given up, and the one that its
        # upstream gets as the deadline.
        self.deadline = 0.0
        self.upstream_deadline = 0.0
        self.client_remaining_ms = 0
        # By how much a planned stop moved the upstream's deadline to an
        # earlier time.
        self.shortened_s = 0.0
        self.objective_s = 0.0
        # The request at the local upstream that made this call, if any.
        self.parent: parent_matching.Parent | None = None
        # How the parent was identified, ``None`` for a request that no
        # upstream can have made.
        self.matched_by: parent_matching.MatchMethod | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.tried: list[str] = []
        self.offers = 0
        # Number of retries after an attempt that may have reached an upstream.
        self.retries = 0
        # The kind of retry that is charged to the retry budget while it is not
        # known whether the attempt arrives (see :class:`.counters.SendKind`),
        # empty if nothing is charged.
        self.charged_as = ""
        # Whether the retry budget refused a retry.
        self.retry_refused = False
        # Whether it was refused because hardly any chain of its kind succeeds.
        self.chain_refused = False
        # Identifiers of the upstream instances that the request has reached.
        self.reached: list[str] = []
        self.instance_id = ""
        # Set while the call is at this host's gate.
        self.run: gate.Run | None = None
        # Result of the earlier attempts; a result that may mean that the
        # request has run replaces one that excludes it.
        self.worst_code: results.ResultCode | None = None
        # Why no attempt has run, if that is certain.
        self.not_run_reason = not_run_reasons.NotRunReason.NOT_OFFERED
        # Withdraws the attempt in progress, if there is one.
        self.withdraw: t.Callable[[], bool] | None = None
        # Withdraw earlier attempts in progress, whose hosts are silent, by the
        # identifier of the upstream.
        self.silent_attempts: dict[str, t.Callable[[], bool]] = {}
        self.done = False

    @property
    def kind(self) -> tuple[str, int]:
        """The call's route and rank; calls of one kind have similar waits."""
        return (t.cast(catalog.Route, self.route).name, self.rank)

    @property
    def stage(self) -> str:
        """The stage that the call is in.

        ``rate``: it waits for a token of its organisation's rate. ``sent``: it
        was sent to another host. Otherwise, the name of its state at this
        host's gate.
        """
        if not self.instance_id:
            return "rate"
        if self.run is None:
            return "sent"
        return self.run.state.name.lower()

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return bool(self.flags & frames.Flag.IDEMPOTENT)

    @property
    def child(self) -> bool:
        """Whether the local upstream made this call for another request."""
        return bool(self.flags & frames.Flag.CHILD)
