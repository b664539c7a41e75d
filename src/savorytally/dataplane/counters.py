"""Counters and latency histograms in the Prometheus text format."""

import bisect
import collections
import typing as t

from .. import results
from ..decisions import parent_matching
from . import failures
from . import not_run_reasons

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


class SendKind:
    """Why a request is sent to a service."""

    FIRST = "first"
    # An earlier attempt may have reached an upstream.
    RETRY = "retry"
    # The request that caused this call is a retry.
    BELOW_RETRY = "below_retry"


class Counters:
    """Counts requests."""

    def __init__(self) -> None:
        self._ended: collections.Counter[tuple[str, int]]
        self._ended = collections.Counter()
        self._not_run: collections.Counter[tuple[str, str]]
        self._not_run = collections.Counter()
        self._cut: collections.Counter[str] = collections.Counter()
        self._given_up: collections.Counter[str] = collections.Counter()
        self._closed_unread = 0
        self._broken: collections.Counter[str] = collections.Counter()
        self._forwarded = 0
        self._entries_refused = 0
        self._store_reads: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}
        self._gauges: dict[str, t.Callable[[], float]] = {}
        self._route_gauges: dict[str, t.Callable[[], dict[str, float]]] = {}
        self._sent: collections.Counter[tuple[str, str]]
        self._sent = collections.Counter()
        self._placed: collections.Counter[tuple[str, str]]
        self._placed = collections.Counter()
        self._retries_refused: collections.Counter[tuple[str, str]]
        self._retries_refused = collections.Counter()
        self._matched: collections.Counter[str] = collections.Counter()

    def sent(self, service: str, why: str) -> None:
        """Count a request that is sent to an upstream of a service.

        :param why: a value of :class:`SendKind`.
        """
        self._sent[service, why] += 1

    def placed(self, service: str, distance: str) -> None:
        """Count an attempt by how far the chosen upstream of a service is.

        :param distance: as :meth:`.placement.Placement.distance` returns it.
        """
        self._placed[service, distance] += 1

    def retry_refused(self, service: str, why: str) -> None:
        """Count a retry that the retry budget of a service refused.

        :param why: a value of :class:`SendKind`.
        """
        self._retries_refused[service, why] += 1

    def matched(self, how: parent_matching.MatchMethod) -> None:
        """Count a call by how the request that made it was identified."""
        self._matched[how.value] += 1

    def ended(
        self, route: str, code: results.ResultCode, duration_s: float
    ) -> None:
        """Count a finished request.

        :param duration_s: time from its start to its result, in seconds.
        """
        self._ended[route, code.number] += 1
        buckets = self._buckets.get(route)
        if buckets is None:
            buckets = self._buckets[route] = [0] * (len(BOUNDS_S) + 1)
        buckets[bisect.bisect_left(BOUNDS_S, duration_s)] += 1
        self._sums_s[route] = self._sums_s.get(route, 0.0) + duration_s

    def not_run(
        self,
        reason: not_run_reasons.NotRunReason,
        echoes_id: bool | None = None,
    ) -> None:
        """Count a request that has certainly not run.

        :param reason: the reason.
        :param echoes_id: whether the upstream's response echoes the request's
            identifier, ``None`` if the reason is not a response.
        """
        response = (
            "" if echoes_id is None else "named" if echoes_id else "unnamed"
        )
        self._not_run[reason.value, response] += 1

    def cut(self, where: str) -> None:
        """Count a request whose connection ended before its response.

        :param where: the stage that the request was in.
        """
        self._cut[where] += 1

    def given_up(self, why: str) -> None:
        """Count a request that was given up while it may be at work.

        :param why: what ended the wait for its response.
        """
        self._given_up[why] += 1

    def closed_unread(self) -> None:
        """Count a connection that was closed with unread bytes."""
        self._closed_unread += 1

    def forwarded(self) -> None:
        """Count a request that is sent to the local upstream."""
        self._forwarded += 1

    def store_read(self, result: str) -> None:
        """Count a read of the platform's store by how it ended."""
        self._store_reads[result] += 1

    def entries_refused(self, number: int) -> None:
        """Count entries that are ignored because of their values."""
        self._entries_refused += number

    def broken(self, how: str) -> None:
        """Count an exchange that ended without a complete response."""
        self._broken[how] += 1

    def add_gauge(self, name: str, read: t.Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are rendered."""
        self._gauges[name] = read

    def add_route_gauge(
        self, name: str, read: t.Callable[[], dict[str, float]]
    ) -> None:
        """Add a gauge with a value for each route, read when rendered."""
        self._route_gauges[name] = read

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = ["# TYPE savorytally_requests_total counter"]
        for (route, number), count in sorted(self._ended.items()):
            name = results.by_number(number).name
            lines.append(
                f'savorytally_requests_total{{route="{route}",'
                f'code="{number}",name="{name}"}} {count}'
            )
        lines.append("# TYPE savorytally_not_run_total counter")
        for (ground, answer), count in sorted(self._not_run.items()):
            lines.append(
                f'savorytally_not_run_total{{ground="{ground}",'
                f'answer="{answer}"}} {count}'
            )
        lines.append("# TYPE savorytally_upstream_requests_total counter")
        lines.append(f"savorytally_upstream_requests_total {self._forwarded}")
        lines.append("# TYPE savorytally_requests_cut_total counter")
        for where, count in sorted(self._cut.items()):
            lines.append(
                f'savorytally_requests_cut_total{{where="{where}"}} {count}'
            )
        lines.append("# TYPE savorytally_requests_given_up_total counter")
        for why, count in sorted(self._given_up.items()):
            lines.append(
                f'savorytally_requests_given_up_total{{why="{why}"}} {count}'
            )
        lines.append("# TYPE savorytally_closed_unread_total counter")
        lines.append(f"savorytally_closed_unread_total {self._closed_unread}")
        lines.append("# TYPE savorytally_answers_broken_total counter")
        for how, count in sorted(self._broken.items()):
            lines.append(
                f'savorytally_answers_broken_total{{how="{how}"}} {count}'
            )
        lines.append("# TYPE savorytally_store_reads_total counter")
        for result, count in sorted(self._store_reads.items()):
            lines.append(
                f'savorytally_store_reads_total{{result="{result}"}} {count}'
            )
        lines.append("# TYPE savorytally_failures_total counter")
        for work, count in sorted(failures.counts.items()):
            lines.append(
                f'savorytally_failures_total{{work="{work}"}} {count}'
            )
        lines.append("# TYPE savorytally_entries_refused_total counter")
        lines.append(
            f"savorytally_entries_refused_total {self._entries_refused}"
        )
        lines.append("# TYPE savorytally_request_seconds histogram")
        for route, buckets in sorted(self._buckets.items()):
            lines += self._histogram(route, buckets)
        lines += self._by_service("sent_total", self._sent)
        lines += self._by_service("placed_total", self._placed)
        lines += self._by_service(
            "retries_refused_total", self._retries_refused
        )
        lines.append("# TYPE savorytally_calls_matched_total counter")
        for how, count in sorted(self._matched.items()):
            lines.append(
                f'savorytally_calls_matched_total{{how="{how}"}} {count}'
            )
        for name, read in self._gauges.items():
            lines.append(f"# TYPE savorytally_{name} gauge")
            lines.append(f"savorytally_{name} {read()}")
        for name, read_all in self._route_gauges.items():
            lines.append(f"# TYPE savorytally_{name} gauge")
            for route, value in sorted(read_all().items()):
                lines.append(
                    f'savorytally_{name}{{route="{route}"}} {value:.3f}'
                )
        return ("\n".join(lines) + "\n").encode()

    @staticmethod
    def _by_service(
        name: str, counts: t.Mapping[tuple[str, str], int]
    ) -> list[str]:
        lines = [f"# TYPE savorytally_{name} counter"]
        for (service, why), count in sorted(counts.items()):
            lines.append(
                f'savorytally_{name}{{service="{service}",'
                f'kind="{why}"}} {count}'
            )
        return lines

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
