"""The load that the local upstream reports in its responses.

A report states how many requests run and wait at the upstream, its slots, and
optionally how long work takes on its machine at the moment. It yields a
ceiling on the gate's concurrency: the upstream may have fewer slots than its
entry in the host list says, and may share them with requests that do not pass
the gate. Reports that contradict what the gate knows are not used.
"""

import dataclasses
import math
import re
import typing as t

from . import gate_queue

# Largest number of slots and of requests, and the range of slowdowns, that
# are taken for real. A larger number of digits is not parsed at all.
COUNT_MAX = 100_000
SLOWDOWN_MIN = 10
SLOWDOWN_MAX = 1000
# Percentage of the slots above which services of some deployments take 1.3
# times as long.
KNEE_PERCENT = 95
# How long the slots, the occupancy and the slowdown of a report are used.
# Slots change rarely, occupancy within some requests, and the slowdown many
# times a second.
SLOTS_KEPT_S = 10.0
OCCUPANCY_KEPT_S = 1.0
SLOWDOWN_KEPT_S = 0.2
# A report whose response took longer to be read says nothing about the
# requests that run now.
READ_DELAY_MAX_S = 0.02
# Time constant of the mean number of requests that did not pass the gate, and
# the number of mean deviations that is added to it.
OTHER_TAU_S = 0.3
OTHER_DEVIATIONS = 2.0
# Largest fraction of the slots that is left to requests from elsewhere.
OTHER_SHARE_MAX = 0.75
# An upstream that rejects a request has free slots if less than this fraction
# of them is reported as occupied.
FREE_SHARE = 0.75
# A report of fewer than this fraction of the requests that the gate has had at
# the upstream for some time, less a few that may be in transit, is wrong.
KNOWN_SHARE = 0.5
TRANSIT = 2
KNOWN_WINDOW_S = 0.1
# A report that contradicts the gate's knowledge adds 1 to the distrust, one
# that does not subtracts the second figure: more than 2 % of contradictions
# make an upstream untrusted.
DISTRUST_LIMIT = 2.0
DISTRUST_DECREASE = 0.02
DISTRUST_MAX = 4.0

_FIGURES = re.compile(
    rb"\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*(?:,\s*(\d{1,6})\s*)?"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The load that one response reports.

    :param running: requests that run at the upstream.
    :param waiting: requests that wait at the upstream.
    :param slots: number of requests that it runs at once.
    :param slowdown: how long work takes at the moment, in percent of the usual
        time, ``None`` if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: int | None = None

    @property
    def occupied(self) -> int:
        """Number of requests at the upstream."""
        return self.running + self.waiting


def parse(values: t.Sequence[bytes]) -> Report | None:
    """Parse the load header of a response.

    :param values: all values of the header.
    :return: the report, ``None`` if it is absent or malformed, or if several
        values contradict each other.
    """
    if not values or len(set(values)) > 1:
        return None
    match = _FIGURES.fullmatch(values[0])
    if match is None:
        return None
    running, waiting, slots = (int(match[index]) for index in (1, 2, 3))
    if not 0 < slots <= COUNT_MAX or max(running, waiting) > COUNT_MAX:
        return None
    slowdown = int(match[4]) if match[4] is not None else None
    if slowdown is not None and not SLOWDOWN_MIN <= slowdown <= SLOWDOWN_MAX:
        return None
    return Report(running, waiting, slots, slowdown)


def usable_slots(slots: int) -> int:
    """Return how many of an upstream's slots are used at once.

    The result stays below the occupancy at which services slow down.
    """
    headroom = max(1, round(slots * gate_queue.HEADROOM))
    return max(1, min(slots - headroom, slots * KNEE_PERCENT // 100))


class _Lowest:
    """Lowest value in a sliding window of one to two window lengths."""

    def __init__(self) -> None:
        self._began = -math.inf
        self._current: int | None = None
        self._previous: int | None = None

    def add(self, value: int, now: float) -> None:
        """Add a value."""
        elapsed_s = now - self._began
        if elapsed_s >= KNOWN_WINDOW_S:
            recent = elapsed_s < 2 * KNOWN_WINDOW_S
            self._previous = self._current if recent else None
            self._began, self._current = now, value
        elif self._current is None or value < self._current:
            self._current = value

    @property
    def value(self) -> int:
        """The lowest value, 0 until a whole window has passed."""
        if self._previous is None or self._current is None:
            return 0
        return min(self._previous, self._current)


class ReportedLoad:
    """The latest load report of the local upstream, and its trust."""

    def __init__(self) -> None:
        self._latest: Report | None = None
        self._at = -math.inf
        self._slowdown: int | None = None
        self._slowdown_at = -math.inf
        self._distrust = 0.0
        self._lowest = _Lowest()
        # Rejections by whether the reported slots were in use.
        self.rejected_full = 0
        self.rejected_free = 0
        # Requests at the upstream that did not pass the gate: moving mean and
        # mean deviation, latest number, and time of the latest number.
        self._other_mean = 0.0
        self._other_deviation = 0.0
        self._other_latest = 0
        self._other_at = -math.inf

    @property
    def trusted(self) -> bool:
        """Whether the reports agree with what the gate knows."""
        return self._distrust < DISTRUST_LIMIT

    def report(self, now: float) -> Report | None:
        """Return the latest report while its slots are in use."""
        return self._latest if now - self._at <= SLOTS_KEPT_S else None

    def apply(
        self,
        report: Report,
        received_at: float,
        sent: int,
        rejected: bool,
        now: float,
    ) -> None:
        """Apply the report of a response.

        :param received_at: when the head of the response was received.
        :param sent: number of requests that the gate has at the upstream,
            including the one that the response belongs to.
        :param rejected: whether the upstream has rejected that request.
        """
        if received_at < self._at:
            return
        current = now - received_at <= READ_DELAY_MAX_S
        self._record_trust(report, sent, rejected, current, now)
        self._latest, self._at = report, received_at
        if report.slowdown is not None:
            self._slowdown, self._slowdown_at = report.slowdown, received_at
        if current:
            self._record_other(report.occupied - (sent - rejected), now)

    def ceiling(self, now: float) -> int | None:
        """Return how many requests the gate may run at once.

        :return: ``None`` without a recent report that is trusted.
        """
        report = self.report(now)
        if report is None or not self.trusted:
            return None
        return max(1, usable_slots(report.slots) - self._other(report, now))

    def slowdown(self, now: float) -> int | None:
        """Return the reported slowdown in percent.

        :return: ``None`` without a recent report that is trusted.
        """
        if not self.trusted or now - self._slowdown_at > SLOWDOWN_KEPT_S:
            return None
        return self._slowdown

    def _record_trust(
        self,
        report: Report,
        sent: int,
        rejected: bool,
        current: bool,
        now: float,
    ) -> None:
        """Compare a report with what the gate knows."""
        wrong = report.running > report.slots
        if rejected:
            has_free = report.occupied < report.slots * FREE_SHARE
            self.rejected_free += has_free
            self.rejected_full += not has_free
            wrong |= has_free
        if current:
            self._lowest.add(sent, now)
            known = self._lowest.value * KNOWN_SHARE - TRANSIT
            wrong |= report.occupied < known
        change = 1.0 if wrong else -DISTRUST_DECREASE
        self._distrust = min(DISTRUST_MAX, max(0.0, self._distrust + change))

    def _record_other(self, number: int, now: float) -> None:
        """Update the number of requests that did not pass the gate."""
        weight = 1.0 - math.exp((self._other_at - now) / OTHER_TAU_S)
        error = number - self._other_mean
        self._other_mean += weight * error
        if self._other_at == -math.inf:
            error = 0.0
        self._other_deviation += weight * (abs(error) - self._other_deviation)
        self._other_latest, self._other_at = number, now

    def _other(self, report: Report, now: float) -> int:
        """Return how many slots are left to requests from elsewhere."""
        if now - self._other_at > OCCUPANCY_KEPT_S:
            return 0
        likely = self._other_mean + OTHER_DEVIATIONS * self._other_deviation
        expected = max(0, round(likely), self._other_latest)
        return min(expected, int(report.slots * OTHER_SHARE_MAX))
