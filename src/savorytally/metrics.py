"""Metrics of a node, rendered for Prometheus.

Requests are counted in plain numbers and handed to the library when they
are asked for, so that counting costs a request next to nothing.
"""

import collections
import dataclasses
import typing as t

import aioprometheus
from aioprometheus import histogram

from . import results

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)


@dataclasses.dataclass(slots=True)
class Labels:
    """What a request is counted under, filled in as far as it is understood.

    :param organisation_id: the caller's organisation.
    :param route_class: name of its priority class.
    """

    organisation_id: str = ""
    route_class: str = ""


class Metrics:
    """Counts requests and renders all metrics.

    :param registry: where the metrics are filed.
    """

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._registry = registry
        self._ended: collections.Counter[tuple[int, str, str]]
        self._ended = collections.Counter()
        self._requests = aioprometheus.Counter(
            "savorytally_requests_total",
            "Requests by result code, organisation and route class.",
            registry=registry,
        )
        self._latency = aioprometheus.Histogram(
            "savorytally_request_seconds",
            "Time from a request's arrival to its result, by route class.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._by_class: dict[str, histogram.Histogram] = {}
        self._gauges: list[
            tuple[aioprometheus.Gauge, t.Callable[[], float]]
        ] = []

    def add_gauge(
        self, name: str, text: str, read: t.Callable[[], float]
    ) -> None:
        """Add a value that is read whenever the metrics are rendered.

        :param name: its name without the prefix.
        :param text: what it tells.
        """
        gauge = aioprometheus.Gauge(
            f"savorytally_{name}", text, registry=self._registry
        )
        self._gauges.append((gauge, read))

    def ended(
        self, labels: Labels, code: results.ResultCode, seconds: float
    ) -> None:
        """Count a request.

        :param seconds: time from its arrival to its result.
        """
        route_class = labels.route_class
        self._ended[code.number, labels.organisation_id, route_class] += 1
        taken = self._by_class.get(route_class)
        if taken is None:
            taken = self._by_class[route_class] = self._add_class(route_class)
        taken.observe(seconds)

    def render(self, accept: t.Sequence[str] = ()) -> tuple[bytes, str]:
        """Return all metrics and their content type.

        :param accept: values of the ``Accept`` header.
        """
        for (number, organisation, route_class), count in self._ended.items():
            given = {
                "code": str(number),
                "name": results.by_number(number).name,
                "organisation": organisation,
                "class": route_class,
            }
            self._requests.set(given, count)
        for gauge, read in self._gauges:
            gauge.set({}, read())
        body, headers = aioprometheus.render(self._registry, list(accept))
        return body, headers["Content-Type"]

    def _add_class(self, route_class: str) -> histogram.Histogram:
        made = histogram.Histogram(*LATENCY_BUCKETS_S)
        self._latency.set_value({"class": route_class}, made)
        return made
