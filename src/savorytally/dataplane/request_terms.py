"""Determines a request's route, organisation, deadline and rank."""

import typing as t

from .. import results
from ..decisions import list_age
from ..decisions import parent_matching
from ..world import catalog
from . import calls
from . import frames
from . import gate
from . import header_names

# A caller whose remaining time is below the usual one by this factor is taken
# to be retrying.
RETRY_TIME_FRACTION = 0.93
# Number of ranks within an organisation's priority: organisations' priorities
# take precedence over routes' priorities.
ROUTE_RANKS = 16


def find_route(
    newest: catalog.Catalog, host: str, path: str
) -> catalog.Route | None:
    """Return the route of a request, ``None`` if there is none.

    :param host: value of the ``Host`` header, also with a port.
    :param path: the path without the query.
    """
    host = host.lower()
    return newest.match(host, path) or newest.match(
        host.partition(":")[0], path
    )


def rank(
    route: catalog.Route, organisation: catalog.Organisation | None
) -> int:
    """Return the rank of a caller's request, 0 is the most urgent."""
    if organisation is None or organisation.priority is None:
        return route.priority
    return route.priority + ROUTE_RANKS * organisation.priority


class RequestTerms:
    """Determines the terms of requests from the configuration in force.

    :param names: the header names.
    :param own_gate: the gate of this host, whose runs make calls.
    :param view_age: when the configuration was last known to be the newest.
    :param change_s: time within which a change must be in force, in seconds.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        own_gate: gate.Gate,
        view_age: list_age.ListAge,
        change_s: float,
    ) -> None:
        self._view_age = view_age
        self._change_s = change_s
        self._names = names
        self._gate = own_gate
        self._catalog: catalog.Catalog | None = None
        # The longest remaining time that callers have sent, in milliseconds,
        # by route.
        self._longest_remaining_ms: dict[str, int] = {}

    @property
    def catalog_in_force(self) -> catalog.Catalog | None:
        """The configuration in force."""
        return self._catalog

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self._catalog.version if self._catalog is not None else 0

    def learn_catalog(self, newest: catalog.Catalog) -> None:
        """Apply a newer configuration."""
        self._catalog = newest

    def may_deny(self, now: float) -> bool:
        """Return whether the configuration is known to be recent enough.

        A node that has missed a change might deny what the change allows.

        :param now: loop time.
        """
        return self._view_age.age_s(now) <= self._change_s

    def determine(
        self, call: calls.Call, now: float
    ) -> results.ResultCode | None:
        """Determine the terms of a call.

        :param now: loop time.
        :return: the result code if the call is refused, otherwise ``None``.
        """
        request = call.request
        text = request.header(self._names.remaining_ms)
        call.client_remaining_ms = int(text) if text.isdigit() else 0
        newest = self._catalog
        if newest is None:
            return results.NOT_CONFIGURED
        target = request.target.decode("latin-1")
        if not target.startswith("/"):
            return results.MALFORMED_REQUEST
        host = request.header(b"host").decode("latin-1")
        route = find_route(newest, host, target.partition("?")[0])
        if route is None:
            return self._deny(results.UNKNOWN_ROUTE, now)
        call.route = route
        organisation = self._identify(call, newest)
        if isinstance(organisation, results.ResultCode):
            return self._deny(organisation, now)
        call.regions = catalog.permitted_regions(
            route.homes,
            organisation.homes if organisation is not None else frozenset(),
        )
        self._set_terms(call, route, organisation, now)
        return None

    def _deny(
        self, code: results.ResultCode, now: float
    ) -> results.ResultCode:
        return code if self.may_deny(now) else results.STALE_VIEW

    def _identify(
        self, call: calls.Call, newest: catalog.Catalog
    ) -> catalog.Organisation | results.ResultCode | None:
        """Return the organisation that holds the caller's key.

        :return: ``None`` if there is no holder and none is needed, a result
            code if the key is missing or rejected.
        """
        route = t.cast(catalog.Route, call.route)
        credentials = call.request.header(b"authorization")
        scheme, _, key = credentials.partition(b" ")
        holder: catalog.Organisation | None = None
        if scheme.lower() == self._names.key_scheme:
            holder = newest.organisation(key.strip().decode("latin-1"))
        if holder is not None:
            call.organisation = holder.name
            return holder
        if not newest.keyed or route.open_to_all:
            return None
        return results.KEY_REJECTED if credentials else results.KEY_MISSING

    def _set_terms(
        self,
        call: calls.Call,
        route: catalog.Route,
        organisation: catalog.Organisation | None,
        now: float,
    ) -> None:
        """Set deadline, objective, rank, flags and parent of a call."""
        remaining_s = route.timeout_s
        if call.client_remaining_ms:
            remaining_s = min(remaining_s, call.client_remaining_ms / 1000)
        call.deadline = call.upstream_deadline = now + remaining_s
        call.objective_s = min(route.objective_s, remaining_s)
        if route.idempotent:
            call.flags |= frames.Flag.IDEMPOTENT
        call.rank = rank(route, organisation)
        if organisation is None and call.client_remaining_ms:
            keyed = self._catalog is not None and self._catalog.keyed
            given_up_at = now + call.client_remaining_ms / 1000
            seen = parent_matching.ObservedCall(
                route.name,
                given_up_at,
                call.client_remaining_ms / 1000,
                self._names.parent_of(call.request_id),
                not keyed,
            )
            call.parent, call.matched_by = self._gate.lineage.match_call(
                seen, now
            )
        if call.parent is not None:
            run: gate.Run = call.parent.context
            call.flags |= frames.Flag.CHILD
            call.rank = run.call.rank
            if run.retry:
                call.flags |= frames.Flag.RETRY
            return
        longest_ms = self._longest_remaining_ms.get(route.name, 0)
        if call.client_remaining_ms > longest_ms:
            self._longest_remaining_ms[route.name] = call.client_remaining_ms
        elif call.client_remaining_ms < longest_ms * RETRY_TIME_FRACTION:
            call.flags |= frames.Flag.CALLER_RETRY
            elapsed_s = (longest_ms - call.client_remaining_ms) / 1000
            call.objective_s = max(
                call.objective_s / 4, route.objective_s - elapsed_s
            )
