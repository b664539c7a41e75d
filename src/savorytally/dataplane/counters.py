"""Counters and latency histograms, rendered for Prometheus when asked."""

import bisect
import collections
import typing as t

from .. import results

BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Counters:
    """Counts requests in plain numbers."""

    def __init__(self) -> None:
        self._ended: collections.Counter[tuple[str, int]]
        self._ended = collections.Counter()
        self._cut: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}
        self._gauges: dict[str, t.Callable[[], float]] = {}

    def ended(
        self, route: str, code: results.ResultCode, taken_s: float
    ) -> None:
        """Count a request."""
        self._ended[route, code.number] += 1
        buckets = self._buckets.get(route)
        if buckets is None:
            buckets = self._buckets[route] = [0] * (len(BOUNDS_S) + 1)
        buckets[bisect.bisect_left(BOUNDS_S, taken_s)] += 1
        self._sums_s[route] = self._sums_s.get(route, 0.0) + taken_s

    def cut(self, where: str) -> None:
        """Count a request whose connection was ended before its answer."""
        self._cut[where] += 1

    def add_gauge(self, name: str, read: t.Callable[[], float]) -> None:
        """Add a value that is read when the metrics are asked for."""
        self._gauges[name] = read

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        lines = ["# TYPE savorytally_requests_total counter"]
        for (route, number), count in sorted(self._ended.items()):
            name = results.by_number(number).name
            lines.append(
                f'savorytally_requests_total{{route="{route}",'
                f'code="{number}",name="{name}"}} {count}'
            )
        lines.append("# TYPE savorytally_requests_cut_total counter")
        for where, count in sorted(self._cut.items()):
            lines.append(
                f'savorytally_requests_cut_total{{where="{where}"}} {count}'
            )
        lines.append("# TYPE savorytally_request_seconds histogram")
        for route, buckets in sorted(self._buckets.items()):
            lines += self._histogram(route, buckets)
        for name, read in self._gauges.items():
            lines.append(f"# TYPE savorytally_{name} gauge")
            lines.append(f"savorytally_{name} {read()}")
        return ("\n".join(lines) + "\n").encode()

    def _histogram(self, route: str, buckets: list[int]) -> list[str]:
        name = "savorytally_request_seconds"
        lines = []
        total = 0
        for bound, count in zip((*BOUNDS_S, "+Inf"), buckets, strict=True):
            total += count
            lines.append(
                f'{name}_bucket{{route="{route}",le="{bound}"}} {total}'
            )
        lines.append(f'{name}_sum{{route="{route}"}} {self._sums_s[route]}')
        lines.append(f'{name}_count{{route="{route}"}} {total}')
        return lines
