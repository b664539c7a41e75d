"""Answers where a request would be sent now, without sending it.

The answer is read by ``savorytally where``. It is given to other hosts as the
metrics are, and so contains no key and repeats nothing of the question.
"""

import collections
import json
import typing as t

from .. import results
from ..decisions import backpressure
from ..decisions import placement
from ..decisions import placement_report
from ..decisions import retry_after
from ..world import catalog
from . import probe_server
from . import rates
from . import request_terms

# Upstreams of a service that an answer describes, unless the question names
# another number, and the most that it may name. Others are only counted.
SHOWN = 20
SHOWN_MAX = 100

Answer = dict[str, t.Any]


class Where:
    """Explains where requests would be sent; changes no state.

    :param placed: chooses upstreams.
    :param waits: refuses requests whose chain is overloaded.
    :param limits: knows the rates of organisations.
    """

    def __init__(
        self,
        placed: placement.Placement,
        waits: backpressure.Backpressure,
        limits: rates.Rates,
    ) -> None:
        self._placement = placed
        self._backpressure = waits
        self._rates = limits

    def answer(
        self,
        newest: catalog.Catalog | None,
        query: probe_server.Query,
        now: float,
    ) -> tuple[int, bytes]:
        """Return status and JSON body of the answer to a question.

        :param newest: the configuration in force.
        :param query: ``host``, ``path``, ``method``, ``organisation`` (its
            name) and ``upstreams`` (how many of each service to describe).
        :param now: loop time.
        """
        status, value = self._explain(newest, query, now)
        return status, json.dumps(value).encode() + b"\n"

    def _explain(
        self,
        newest: catalog.Catalog | None,
        query: probe_server.Query,
        now: float,
    ) -> tuple[int, Answer]:
        fault = _fault(query)
        if fault:
            return _refusal(results.QUESTION_FAULT, fault)
        if newest is None:
            return _refusal(results.NOT_CONFIGURED)
        path = query["path"].partition("?")[0]
        route = request_terms.find_route(newest, query["host"], path)
        if route is None:
            return _refusal(results.UNKNOWN_ROUTE)
        name = query.get("organisation", "")
        organisation = newest.organisations().get(name) if name else None
        if name and organisation is None:
            return _refusal(results.ORGANISATION_UNKNOWN)
        regions = catalog.permitted_regions(
            route.homes,
            organisation.homes if organisation is not None else frozenset(),
        )
        shown = int(query.get("upstreams", SHOWN))
        rate, rate_refusal = self._rate(route, organisation)
        chain = self._chain_refusal(route, organisation, now)
        services = [
            self._service(route, cluster, regions, shown, now)
            for cluster in route.clusters
        ]
        keyless = newest.keyed and not route.open_to_all and not name
        code = self._code(keyless, rate_refusal, services)
        return 200, {
            "code": code.number,
            "name": code.name,
            "configuration": newest.version,
            "route": {
                "name": route.name,
                "priority": route.priority,
                "repeatable": route.idempotent,
                "attempts": route.attempts,
                "objective_ms": _ms(route.objective_s),
                "timeout_ms": _ms(route.timeout_s),
            },
            "regions": None if regions is None else sorted(regions),
            "organisation": rate,
            "refusals": [item for item in (rate_refusal, chain) if item],
            "services": services,
        }

    @staticmethod
    def _code(
        keyless: bool, rate_refusal: Answer | None, services: list[Answer]
    ) -> results.ResultCode:
        """Return the result code that the request would get.

        ``ANSWERED`` stands for an upstream that would be asked.
        """
        if keyless:
            return results.KEY_MISSING
        if rate_refusal is not None:
            return results.OVER_RATE
        used = [item for item in services if item["share"]] or services
        refusals = [item["refusal"] for item in used]
        if refusals and all(refusals):
            return results.by_number(refusals[0]["code"])
        return results.ANSWERED

    def _rate(
        self,
        route: catalog.Route,
        organisation: catalog.Organisation | None,
    ) -> tuple[Answer | None, Answer | None]:
        """Return the organisation's rate, and the refusal if it is used up."""
        if organisation is None:
            return None, None
        value: Answer = {
            "name": organisation.name,
            "priority": organisation.priority,
            "rate_per_s": organisation.rate_per_s,
            "burst": organisation.burst,
            "share": None,
        }
        known = self._rates.view(organisation, route.priority)
        if known is None:
            return value, None
        value["share"] = {
            "region_fraction": round(known.region_fraction, 4),
            "decided_by": known.owner,
            "decided_here": known.owned_here,
            "tokens": _rounded(known.tokens),
            "tokens_needed": _rounded(known.needed),
            "refused_for_ms": _ms(known.refused_s),
            "owner_avoided_for_ms": _ms(known.avoided_s),
        }
        if not known.refused_s:
            return value, None
        after = _refusal_range(route, known.refused_s)
        return value, _described(results.OVER_RATE, 1.0, after)

    def _chain_refusal(
        self,
        route: catalog.Route,
        organisation: catalog.Organisation | None,
        now: float,
    ) -> Answer | None:
        """Return the refusal for an overloaded call chain, if any."""
        rank = request_terms.rank(route, organisation)
        useful_s = min(route.objective_s, route.timeout_s)
        kind = (route.name, rank)
        share = self._backpressure.refused_fraction(kind, useful_s, False, now)
        if not share:
            return None
        retried = self._backpressure.refused_fraction(
            kind, useful_s, True, now
        )
        return {
            **_described(
                results.SHED_FOR_CHAIN, share, _refusal_range(route, 0.0)
            ),
            "share_of_retries": round(retried, 4),
            "wait_below_ms": _ms(self._backpressure.wait_s(kind, now)),
        }

    def _service(
        self,
        route: catalog.Route,
        cluster: catalog.Cluster,
        regions: frozenset[str] | None,
        shown: int,
        now: float,
    ) -> Answer:
        """Return a part of the route's split with the service's upstreams."""
        verdicts = placement_report.judge(
            self._placement.candidates(
                cluster.service, route.name, route.objective_s, now, regions
            ),
            regions,
        )
        best = verdicts[0] if verdicts else None
        chosen = None
        if best is not None and best.reason is placement_report.Reason.CHOSEN:
            chosen = best.candidate.instance_id
        refusal = None
        if chosen is None:
            code = self._placement.refusal_code(cluster.service, regions)
            refusal = _described(code, 1.0, _restart_range(route))
        total = sum(item.weight for item in route.clusters)
        counts = collections.Counter(item.reason.value for item in verdicts)
        return {
            "service": cluster.service,
            "weight": cluster.weight,
            "share": _split_share(route, cluster, total),
            "chosen": chosen,
            "refusal": refusal,
            "counts": dict(counts),
            "upstreams": [
                self._upstream(route, item, now) for item in verdicts[:shown]
            ],
        }

    def _upstream(
        self,
        route: catalog.Route,
        verdict: placement_report.Verdict,
        now: float,
    ) -> Answer:
        """Return an upstream and why it is chosen or passed over."""
        item = verdict.candidate
        value: Answer = {
            "instance": item.instance_id,
            "reason": verdict.reason.value,
            "data_centre": item.data_centre,
            "region": item.region,
            "listed": item.listed,
            "expected_ms": _ms(item.expected_s),
            "in_flight": item.in_flight,
            "load": item.load,
            "limit": item.limit,
            "slots": item.slots,
            "report_age_ms": (
                None if item.report_age_s is None else _ms(item.report_age_s)
            ),
            "failure_rate": round(item.failure_rate, 4),
            "cold_for_ms": _ms(item.cold_s),
            "avoided_for_ms": _ms(item.avoided_s),
            "rate_limit_wait_ms": _ms(item.rate_limit_s),
        }
        parts = self._placement.estimate_parts(
            item.instance_id, route.name, route.objective_s, now
        )
        if parts is not None:
            value["parts"] = {
                "run_ms": _ms(parts.run_s),
                "wait_ms": _ms(parts.wait_s),
                "distance_ms": _ms(parts.distance_s),
                "failure_ms": _ms(parts.failure_s),
                "spread_ms": _ms(parts.spread_s),
            }
        return value


def _fault(query: probe_server.Query) -> str:
    """Return what is wrong with a question, empty if nothing is."""
    if not query.get("host"):
        return "host: missing"
    if not query.get("path", "").startswith("/"):
        return "path: must begin with a slash"
    text = query.get("upstreams", str(SHOWN))
    if not text.isdecimal() or len(text) > 3 or int(text) > SHOWN_MAX:
        return f"upstreams: must be a number up to {SHOWN_MAX}"
    return ""


def _refusal(code: results.ResultCode, detail: str = "") -> tuple[int, Answer]:
    """Return the answer to a question that has no explanation."""
    return code.http_status, {
        "code": code.number,
        "name": code.name,
        "detail": detail or code.summary,
    }


def _described(
    code: results.ResultCode, share: float, after_s: tuple[float, float]
) -> Answer:
    """Return a refusal.

    :param share: share of the requests that it applies to.
    :param after_s: shortest and longest Retry-After.
    """
    return {
        "code": code.number,
        "name": code.name,
        "share": round(share, 4),
        "retry_after_ms": [_ms(value) for value in after_s],
    }


def _refusal_range(route: catalog.Route, wait_s: float) -> tuple[float, float]:
    """Return the range of Retry-After for callers with the whole time-out."""
    return (
        retry_after.after_refusal_s(
            route.timeout_s, route.objective_s, wait_s, 0.0
        ),
        retry_after.after_refusal_s(
            route.timeout_s, route.objective_s, wait_s, 1.0
        ),
    )


def _restart_range(route: catalog.Route) -> tuple[float, float]:
    """Return the range of Retry-After while no upstream is available."""
    back_s = retry_after.STARTUP_S
    return (
        retry_after.after_restart_s(route.timeout_s, back_s, 0.0),
        retry_after.after_restart_s(route.timeout_s, back_s, 1.0),
    )


def _split_share(
    route: catalog.Route, cluster: catalog.Cluster, total: float
) -> float:
    """Return the share of a route's requests that a cluster gets."""
    if total <= 0 or len(route.clusters) == 1:
        return 1.0 if cluster is route.clusters[0] else 0.0
    return round(cluster.weight / total, 4)


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 3)


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
