"""Metrics of a node, exported to Prometheus.

Requests are counted in a plain counter, which is copied to the library's
metrics only when they are rendered, to keep the cost per request low.
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
    """Metric labels of a request, empty until they are known.

    :param organisation_id: identifier of the caller's organisation.
    :param route_class: name of the route's priority class.
    """

    organisation_id: str = ""
    route_class: str = ""


class Metrics:
    """Counts requests and renders all metrics.

    :param registry: registry of the metrics.
    """

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._registry = registry
        self._request_counts: collections.Counter[tuple[int, str, str]]
        self._request_counts = collections.Counter()
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
        """Add a gauge that is read whenever the metrics are rendered.

        :param name: name of the gauge without the prefix.
        :param text: help text.
        :param read: returns the current value.
        """
        gauge = aioprometheus.Gauge(
            f"savorytally_{name}", text, registry=self._registry
        )
        self._gauges.append((gauge, read))

    def count_request(
        self, labels: Labels, code: results.ResultCode, seconds: float
    ) -> None:
        """Count a finished request.

        :param labels: the request's labels.
        :param code: its result code.
        :param seconds: time from its arrival to its result.
        """
        route_class = labels.route_class
        self._request_counts[
            code.number, labels.organisation_id, route_class
        ] += 1
        latency = self._by_class.get(route_class)
        if latency is None:
            latency = self._by_class[route_class] = self._add_class(
                route_class
            )
        latency.observe(seconds)

    def render(self, accept: t.Sequence[str] = ()) -> tuple[bytes, str]:
        """Return all metrics as text and its content type.

        :param accept: values of the request's ``Accept`` header.
        """
        for (
            number,
            organisation,
            route_class,
        ), count in self._request_counts.items():
            labels = {
                "code": str(number),
                "name": results.by_number(number).name,
                "organisation": organisation,
                "class": route_class,
            }
            self._requests.set(labels, count)
        for gauge, read in self._gauges:
            gauge.set({}, read())
        body, headers = aioprometheus.render(self._registry, list(accept))
        return body, headers["Content-Type"]

    def _add_class(self, route_class: str) -> histogram.Histogram:
        created = histogram.Histogram(*LATENCY_BUCKETS_S)
        self._latency.set_value({"class": route_class}, created)
        return created
