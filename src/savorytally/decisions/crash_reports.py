"""Chooses the hosts that count the crashes caused by a request.

A crash is reported to the hosts that rank highest for the request by
rendezvous hashing, so that all crashes of a request are counted in the same
places. The host list may contain hosts that are down, suspended, cut off or
do not exist, and a frame to such a host is lost without notice. So a report
counts as delivered only once the host has replied; if it does not, the next
hosts in the ranking get it, more of them with each host lost. Several hosts
count, since one may restart or leave and forget what it has counted.
"""

import dataclasses
import heapq
import typing as t
import zlib

# Number of hosts that count the crashes of one request.
COUNTING_HOSTS = 3
# Maximum number of hosts to which one crash is reported.
TRIED_MAX = 45


def counting_hosts(fingerprint: int, addresses: t.Iterable[str]) -> list[str]:
    """Return the hosts that count a request's crashes, best ones first.

    :param fingerprint: the request, see
        :func:`savorytally.decisions.poison_requests.fingerprint`.
    :param addresses: the addresses of all hosts.
    """
    return heapq.nlargest(
        TRIED_MAX,
        addresses,
        key=lambda address: zlib.crc32(f"{fingerprint} {address}".encode()),
    )


@dataclasses.dataclass(slots=True, eq=False)
class Report:
    """The report of one crash for one request.

    :param fingerprint: the request.
    :param untried: hosts that can get the report, in this order.
    :param counted: number of hosts that have replied.
    :param waiting: number of hosts whose reply is awaited.
    :param widened: how often hosts had to be added.
    """

    fingerprint: int
    untried: list[str]
    counted: int = 0
    waiting: int = 0
    widened: int = 0

    @property
    def wanted(self) -> int:
        """Number of hosts that should get the report next."""
        lacking = COUNTING_HOSTS - self.counted - self.waiting
        return max(0, lacking) << self.widened

    @property
    def failed(self) -> bool:
        """Whether too few hosts have replied and there are no others."""
        return self.counted < COUNTING_HOSTS and not (
            self.waiting or self.untried
        )


class CrashReports:
    """The reports of this host that are not delivered yet."""

    def __init__(self) -> None:
        # The reports in each frame whose reply is awaited.
        self._sent: dict[int, list[Report]] = {}
        self._last_number = 0

    def distribute(
        self, reports: t.Iterable[Report]
    ) -> dict[str, list[Report]]:
        """Choose the next hosts for reports.

        :return: the reports by the address of the host that gets them.
        """
        chosen: dict[str, list[Report]] = {}
        for report in reports:
            wanted = report.wanted
            for address in report.untried[:wanted]:
                chosen.setdefault(address, []).append(report)
                report.waiting += 1
            del report.untried[:wanted]
        return chosen

    def sending(self, reports: list[Report]) -> int:
        """Note that a host gets reports; return the number of the frame."""
        self._last_number += 1
        self._sent[self._last_number] = reports
        return self._last_number

    def replied(self, number: int) -> None:
        """Note that a host has counted the crash of a frame."""
        for report in self._take(number):
            report.counted += 1

    def lost(self, number: int) -> list[Report]:
        """Note that a host does not reply to a frame.

        :return: the reports that go to other hosts now; none if it has replied
            before.
        """
        reports = self._take(number)
        for report in reports:
            report.widened += 1
        return reports

    def _take(self, number: int) -> list[Report]:
        reports = self._sent.pop(number, [])
        for report in reports:
            report.waiting -= 1
        return reports
