"""Judges a soak run from what callers and upstreams have seen."""

import collections
import dataclasses
import typing as t

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Stated bounds: repeats per first arrival, and beyond that in a window.
REPEAT_RATIO = 0.2
REPEAT_SLACK = 50.0
REPEAT_WINDOW_S = 10.0
# A withdrawn key ends within this time, the store's silence included.
REVOKED_S = 7.0
# A planned stop is judged if no other fault was near for this time.
CALM_S = 3.0


@dataclasses.dataclass(frozen=True)
class Sent:
    """A caller's request and its end.

    :param name: its identifier.
    :param at: when it was sent.
    :param host: the node that it was sent to.
    :param idempotent: whether it may run twice.
    :param key: the key that it carried.
    :param status: its answer's status, 0 if the connection ended first.
    :param body: the answer's body.
    :param signature: the upstream's mark on the answer.
    :param ended: when it ended.
    """

    name: str
    at: float
    host: str
    idempotent: bool
    key: str
    status: int
    body: bytes
    signature: str
    ended: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at an upstream.

    :param ran: whether it began to run.
    :param headers: as the upstream saw them.
    """

    name: str
    at: float
    service: str
    ran: bool
    headers: t.Mapping[str, str]


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something that was done to the mesh.

    :param kind: what was done.
    :param host: the host that it was done to, empty for all.
    """

    kind: str
    host: str
    at: float
    until: float


@dataclasses.dataclass
class Record:
    """All that was seen in a run.

    :param organisations: organisation by key.
    :param revoked: when keys were withdrawn.
    """

    sent: list[Sent]
    arrivals: list[Arrival]
    faults: list[Fault]
    organisations: dict[str, str]
    revoked: dict[str, float]


Check = t.Callable[[Record], t.Iterator[str]]
checks: dict[str, Check] = {}


def _check(function: Check) -> Check:
    checks[function.__name__] = function
    return function


def judge(record: Record) -> list[str]:
    """Return a line for each breach."""
    return [
        f"{name}: {breach}"
        for name, check in checks.items()
        for breach in check(record)
    ]


@_check
def at_most_once(record: Record) -> t.Iterator[str]:
    """A request that is not idempotent runs once at most."""
    once = {sent.name for sent in record.sent if not sent.idempotent}
    runs = collections.Counter(
        arrival.name for arrival in record.arrivals if arrival.ran
    )
    for name in once:
        if runs[name] > 1:
            yield f"{name} ran {runs[name]} times"


@_check
def refusals_are_true(record: Record) -> t.Iterator[str]:
    """What is refused with a promise has not run and does not later."""
    ran = {arrival.name for arrival in record.arrivals if arrival.ran}
    for sent in record.sent:
        if not sent.idempotent and sent.status in PROMISES:
            if sent.name in ran:
                yield f"{sent.name} was answered {sent.status} and has run"


@_check
def answers_are_whole_and_own(record: Record) -> t.Iterator[str]:
    """A success is the upstream's whole answer to this request."""
    for sent in record.sent:
        if sent.status != 200:
            continue
        expected = b"answer to " + sent.name.encode()
        if sent.body != expected or sent.signature != f"sig-{sent.name}":
            yield f"{sent.name} got {sent.body!r} signed {sent.signature!r}"


@_check
def upstreams_see_no_key(record: Record) -> t.Iterator[str]:
    """Upstreams are told the key's organisation and never the key."""
    keys = {sent.name: sent.key for sent in record.sent}
    for arrival in record.arrivals:
        if not arrival.ran:
            continue
        values = " ".join(arrival.headers.values())
        for key in record.organisations:
            if key in values:
                yield f"{arrival.name} brought a key to {arrival.service}"
        holder = record.organisations.get(keys.get(arrival.name, ""))
        told = arrival.headers.get("x-savorytally-tenant")
        if told != holder:
            yield f"{arrival.name} ran for {told}, its key is {holder}'s"


@_check
def withdrawn_keys_end(record: Record) -> t.Iterator[str]:
    """A withdrawn key is not served after some seconds."""
    for sent in record.sent:
        since = record.revoked.get(sent.key)
        if since is None or sent.at < since + REVOKED_S:
            continue
        if sent.status == 200:
            late_s = sent.at - since
            yield f"{sent.name} was served {late_s:.1f} s after the withdrawal"


@_check
def planned_stops_cut_nothing(record: Record) -> t.Iterator[str]:
    """A stop by signal ends no request without an answer."""
    for stop in record.faults:
        if stop.kind != "term":
            continue
        others = [
            fault
            for fault in record.faults
            if fault is not stop
            and fault.at - CALM_S < stop.until
            and fault.until + CALM_S > stop.at
        ]
        if others:
            continue
        for sent in record.sent:
            cut = sent.status == 0 and stop.at <= sent.ended <= stop.until
            if sent.host == stop.host and cut and sent.ended - sent.at > 0.2:
                yield f"{sent.name} was cut off by the stop of {stop.host}"


@_check
def repeats_are_bounded(record: Record) -> t.Iterator[str]:
    """Repeats at a service stay within the ratio and the slack."""
    by_service: dict[str, list[tuple[float, bool]]] = {}
    seen: set[tuple[str, str]] = set()
    for arrival in sorted(record.arrivals, key=lambda item: item.at):
        again = (arrival.service, arrival.name) in seen
        seen.add((arrival.service, arrival.name))
        by_service.setdefault(arrival.service, []).append((arrival.at, again))
    for service, events in by_service.items():
        for start, _ in events:
            within = [
                again
                for at, again in events
                if start <= at < start + REPEAT_WINDOW_S
            ]
            repeats = sum(within)
            allowed = REPEAT_RATIO * (len(within) - repeats) + REPEAT_SLACK
            if repeats > allowed:
                yield f"{service} got {repeats} repeats of {allowed:.0f}"
                break
