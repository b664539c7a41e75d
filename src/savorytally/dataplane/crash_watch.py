"""Detects crashes of the local upstream and the requests that cause them."""

import asyncio
import functools
import itertools
import typing as t

from ..decisions import crash_detection
from ..decisions import crash_reports
from ..decisions import poison_requests
from . import event_log
from . import exchanges
from . import frames
from . import pool

# How long a host's reply to a report is waited for.
REPLY_S = 0.4
# Longest list of refused requests that a host sends.
REFUSALS_MAX = 1000

_Report = crash_reports.Report


class Carrier(t.Protocol):
    """Sends control frames to other hosts."""

    def send(self, address: str, kind: frames.Kind, *fields: t.Any) -> bool:
        """Send a frame; return whether a stream is up or being opened."""

    def broadcast(self, kind: frames.Kind, *fields: t.Any) -> None:
        """Send a frame to all connected hosts."""


class CrashWatch:
    """Detects crashes of the local upstream and shares poison requests.

    A poison request crashes every upstream that runs it. If all requests in
    progress at the upstream break off at the same time, it has crashed only if
    it then refuses a new connection. That is tested, since responses are lost
    and connections are dropped more often than upstreams crash.

    For each request in progress at the crash, a few hosts count the crashes;
    they are chosen by the request's fingerprint. Their replies say which
    requests are refused, for a node that has missed that.

    :param own_address: this host's address.
    :param connections: the connections to the upstream.
    :param log: logs each crash and each change in a poison request's state.
    """

    def __init__(
        self, own_address: str, connections: pool.Pool, log: event_log.EventLog
    ) -> None:
        self._own_address = own_address
        self._pool = connections
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._carrier: Carrier | None = None
        self._hosts = [own_address]
        self._detector = crash_detection.CrashDetector()
        self._tickets = itertools.count(1)
        self._poison_requests = poison_requests.PoisonRequests()
        self._reports = crash_reports.CrashReports()

    def set_carrier(self, carrier: Carrier) -> None:
        """Set the carrier that sends frames to other hosts."""
        self._carrier = carrier

    def learn_hosts(self, addresses: t.Iterable[str]) -> None:
        """Apply the addresses of all hosts."""
        self._hosts = sorted({self._own_address, *addresses})

    def refused_s(self, call: frames.Call) -> float:
        """Return how long a call is refused, in seconds; 0 if it may run."""
        if not self._poison_requests.watching:
            return 0.0
        now = self._loop.time()
        return self._poison_requests.refused_s(_fingerprint(call), now)

    def started(self, call: frames.Call) -> int:
        """Note a call that is sent to the upstream; return its ticket.

        The ticket identifies the call in :meth:`answered`, :meth:`ended` and
        :meth:`broken`.
        """
        ticket = next(self._tickets)
        now = self._loop.time()
        self._detector.started(ticket, _fingerprint(call), False, now)
        return ticket

    def answered(self, ticket: int, call: frames.Call) -> None:
        """Note that the upstream sent a complete response."""
        self._detector.answered(ticket)
        if self._poison_requests.watching:
            update = self._poison_requests.answered(_fingerprint(call))
            if update is not None:
                self._share_state(update)

    def ended(self, ticket: int) -> None:
        """Note a call that ended in a way that does not indicate a crash."""
        self._detector.ended(ticket)

    def broken(self, ticket: int) -> None:
        """Note that the connection broke off before the response was complete.

        If that may be a crash, test it with a new connection.
        """
        crash = self._detector.broken(ticket, self._loop.time())
        if crash is not None:
            self._pool.open(functools.partial(self._connection_tested, crash))

    def count_crash(self, fingerprints: list[int]) -> None:
        """Count a crash against the requests that this host counts."""
        now = self._loop.time()
        for update in self._poison_requests.record_crash(fingerprints, now):
            self._share_state(update)

    def refusals(self) -> list[list[int]]:
        """Return the refused requests with their remaining milliseconds."""
        known = self._poison_requests.refusals(self._loop.time())
        return [
            [fingerprint, int(remaining_s * 1000)]
            for fingerprint, remaining_s in known[-REFUSALS_MAX:]
        ]

    def report_counted(self, number: int, refused: list[t.Any]) -> None:
        """Apply a host's reply to a report.

        :param number: number of the report's frame.
        :param refused: the host's :meth:`refusals`.
        """
        self._reports.replied(number)
        self.adopt_refusals(refused)

    def adopt_refusals(self, refused: list[t.Any]) -> None:
        """Apply another host's :meth:`refusals`."""
        now = self._loop.time()
        for fingerprint, remaining_ms in refused:
            remaining_s = remaining_ms / 1000
            if self._poison_requests.adopt_refusal(
                fingerprint, remaining_s, now
            ):
                self._log.event(
                    "culprit",
                    state=poison_requests.State.CONVICTED.name,
                    fingerprint=fingerprint,
                )

    def apply_state(self, state: int, fingerprint: int) -> None:
        """Apply a state that another host sent; forward it if it is new."""
        self._share_state(
            poison_requests.Update(poison_requests.State(state), fingerprint)
        )

    def _connection_tested(
        self,
        crash: crash_detection.Crash,
        connection: exchanges.Connection | None,
    ) -> None:
        """Handle the connection test: no connection means a crash."""
        if connection is not None:
            self._pool.release(connection)
            return
        self._log.event("upstream_crashed", running=len(crash.fingerprints))
        self._distribute(
            _Report(
                fingerprint,
                crash_reports.counting_hosts(fingerprint, self._hosts),
            )
            for fingerprint in crash.fingerprints
        )

    def _distribute(self, reports: t.Iterable[_Report]) -> None:
        """Send reports to the next hosts that should get them."""
        if self._carrier is None:
            return
        chosen = self._reports.distribute(reports)
        while chosen:
            address, group = chosen.popitem()
            number = self._reports.sending(group)
            fingerprints = [report.fingerprint for report in group]
            if address == self._own_address:
                self._reports.replied(number)
                self.count_crash(fingerprints)
            elif self._carrier.send(
                address, frames.Kind.CRASHED, [str(number), *fingerprints]
            ):
                self._loop.call_later(REPLY_S, self._reply_overdue, number)
            else:
                self._reply_overdue(number)

    def _reply_overdue(self, number: int) -> None:
        """Report to other hosts what a host has not confirmed."""
        lost = self._reports.lost(number)
        for report in lost:
            if report.failed:
                self._log.event(
                    "crash_uncounted",
                    fingerprint=report.fingerprint,
                    counted=report.counted,
                )
        self._distribute(lost)

    def _share_state(self, update: poison_requests.Update) -> None:
        """Log and broadcast a state that is new to this host."""
        if not self._poison_requests.apply_update(update, self._loop.time()):
            return
        state, fingerprint = update.state, update.fingerprint
        self._log.event("culprit", state=state.name, fingerprint=fingerprint)
        if self._carrier is not None:
            self._carrier.broadcast(
                frames.Kind.POISON_REQUEST, int(state), fingerprint
            )


def _fingerprint(call: frames.Call) -> int:
    # Callers may send the same request to any host, so the fingerprint leaves
    # out this host's service.
    caller = call.organisation or call.caller_service
    return poison_requests.fingerprint(
        caller, call.method, call.target, call.body
    )
