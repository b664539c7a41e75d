"""Probes of the cost of quota, dissemination and execution records."""

import functools

from savorytally import outcomes
from savorytally.decisions import execution_record
from savorytally.decisions import shard_ownership
from tools import quota_cost
from tools import spread_cost

from . import meter
from . import slopes

QUOTA_NODES = 16
QUOTA_ORGANISATIONS = 8
QUOTA_REQUESTS_PER_S = 10
QUOTA_SECONDS = 5.0
REQUEST_RATES = (3, 5, 10, 20, 30)
ORGANISATION_COUNTS = (4, 8, 16, 32)
NODE_COUNTS = (4, 16, 64, 256)
SPREAD_MEMBERS = 200
SPREAD_SECONDS = 20.0
RECORD_COUNTS = (500, 1_000, 2_000, 4_000)
ANSWER = outcomes.Answer(201, (("Content-Type", "text/plain"),), b"ok")


@functools.cache
def _quota_by_requests(requests_per_s: int) -> quota_cost.FleetCost:
    return _quota(QUOTA_ORGANISATIONS, requests_per_s)


@functools.cache
def _quota_by_organisations(organisations: int) -> quota_cost.FleetCost:
    return _quota(organisations, QUOTA_REQUESTS_PER_S)


def _quota(organisations: int, requests_per_s: float) -> quota_cost.FleetCost:
    rate_per_s = quota_cost.RATE_PER_NODE * organisations
    load = requests_per_s / rate_per_s
    return quota_cost.measure(QUOTA_NODES, organisations, load, QUOTA_SECONDS)


@functools.cache
def _spread(nodes: int) -> spread_cost.SpreadCost:
    return spread_cost.measure(nodes, SPREAD_MEMBERS, SPREAD_SECONDS)


@slopes.probe("quota messages by requests", "1/s", "request/s", REQUEST_RATES)
def quota_messages_by_requests(rate: int) -> float:
    """Measure messages per second sent by a node."""
    return _quota_by_requests(rate).messages_per_s


@slopes.probe(
    "quota messages by organisations",
    "1/s",
    "active organisation",
    ORGANISATION_COUNTS,
)
def quota_messages_by_organisations(count: int) -> float:
    """Measure messages per second sent by a node."""
    return _quota_by_organisations(count).messages_per_s


@slopes.probe("quota traffic by requests", "B/s", "request/s", REQUEST_RATES)
def quota_traffic_by_requests(rate: int) -> float:
    """Measure bytes per second sent by a node."""
    return _quota_by_requests(rate).bytes_per_s


@slopes.probe(
    "quota traffic by organisations",
    "B/s",
    "active organisation",
    ORGANISATION_COUNTS,
)
def quota_traffic_by_organisations(count: int) -> float:
    """Measure bytes per second sent by a node."""
    return _quota_by_organisations(count).bytes_per_s


@slopes.probe(
    "quota processor by requests", "us/s", "request/s", REQUEST_RATES
)
def quota_processor_by_requests(rate: int) -> float:
    """Measure processor time, including transport and token requests."""
    return _quota_by_requests(rate).cpu_us_per_s


@slopes.probe(
    "quota processor by organisations",
    "us/s",
    "active organisation",
    ORGANISATION_COUNTS,
)
def quota_processor_by_organisations(count: int) -> float:
    """Measure processor time, including transport and token requests."""
    return _quota_by_organisations(count).cpu_us_per_s


@slopes.probe("spread messages", "1/s", "node of a place", NODE_COUNTS)
def spread_messages(count: int) -> float:
    """Measure messages per second sent by a node under changes."""
    return _spread(count).messages


@slopes.probe("spread traffic", "B/s", "node of a place", NODE_COUNTS)
def spread_traffic(count: int) -> float:
    """Measure bytes per second sent by a node under changes."""
    return sum(_spread(count).bytes.values())


@slopes.probe("spread processor", "us/s", "node of a place", NODE_COUNTS)
def spread_processor(count: int) -> float:
    """Measure processor time, including the simulated transport."""
    return _spread(count).cpu_us


@slopes.probe("platform calls", "1/s", "node of a place", NODE_COUNTS)
def platform_calls(count: int) -> float:
    """Measure platform calls of a data centre, a pending watch as one."""
    return _spread(count).platform_calls


class _OwnsEveryShard(shard_ownership.Ownership):
    """Shard ownership in which this host owns every shard."""

    def __init__(self) -> None:
        """Own every shard from the start."""

    def acts(self, shard: str, now: float) -> bool:
        """Return that this host acts for the shard."""
        return True

    def acting_since(self, shard: str) -> float:
        """Return the start of the clock."""
        return 0.0

    def tick(self, now: float) -> None:
        """Do nothing."""


@slopes.probe("execution record memory", "B", "record", RECORD_COUNTS)
def execution_record_memory(count: int) -> float:
    """Measure the memory of retained records with short responses."""

    def build() -> execution_record.ExecutionRecord:
        records = execution_record.ExecutionRecord("s", _OwnsEveryShard())
        for number in range(count):
            key = execution_record.Key(
                f"organisation-{number % 8}", f"key-{number}"
            )
            records.begin(key, 10_000.0, 10_000.0)
            records.start(key, 10_000.0)
            records.finish(key, ANSWER, 10_000.0)
        if len(records) != count:
            raise ValueError("records were not retained")
        return records

    return meter.held_bytes(build)
