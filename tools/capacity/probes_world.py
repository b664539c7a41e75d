"""Probes of what a node holds of the published world."""

import json
import random
import typing as t

from savorytally import view
from savorytally.decisions import balanced
from savorytally.decisions import dissemination
from savorytally.parts import publications
from savorytally.world import document_parts
from savorytally.world import hosts
from savorytally.world import publication
from savorytally.world import region

from . import meter
from . import slopes
from . import worlds

HOST_COUNTS = (250, 500, 1_000, 2_000, 4_000)
ORGANISATION_COUNTS = (50, 100, 200, 400)
SERVICE_COUNTS = (10, 20, 40, 80)
SERVICES_BESIDE = 10
ORGANISATIONS_BESIDE = 10
MEMBER_COUNTS = (300, 600, 1_200, 2_400, 4_800)
CHANGES = 5
CONFIGURATION = dissemination.CONFIGURATION
HOSTS = dissemination.HOSTS
HERE = region.Place("region-0", "centre-0")


@slopes.probe("host list memory", "B", "host", HOST_COUNTS)
def host_list_memory(count: int) -> float:
    """Measure the bytes held for a host list."""
    return meter.held_bytes(lambda: worlds.host_list(count))


@slopes.probe("host list reading", "us", "host", HOST_COUNTS)
def host_list_reading(count: int) -> float:
    """Measure the processor time to read a published list."""
    text = json.dumps(worlds.listed_hosts(count))
    return meter.cpu_us(lambda: hosts.read(1, json.loads(text)))


@slopes.probe("host list size", "B", "host", HOST_COUNTS)
def host_list_size(count: int) -> float:
    """Measure the published text of a list."""
    return len(json.dumps(worlds.listed_hosts(count)))


@slopes.probe("host change", "us", "host", HOST_COUNTS)
def host_change(count: int) -> float:
    """Measure the processor time to take in one changed host."""
    listed = worlds.listed_hosts(count)
    return _change(HOSTS, {"hosts": listed}, listed["host-0"])


@slopes.probe("configuration change", "us", "member", MEMBER_COUNTS)
def configuration_change(count: int) -> float:
    """Measure the processor time to take in one changed organisation.

    Five in six members are routes, the others services; ten more are
    organisations.
    """
    services = count // (1 + worlds.ROUTES_PER_SERVICE)
    value = worlds.full_document(services, ORGANISATIONS_BESIDE)
    changed = value["organisations"]["organisation-0"]
    return _change(CONFIGURATION, value, changed)


@slopes.probe("host section memory", "B", "host", HOST_COUNTS)
def host_section_memory(count: int) -> float:
    """Measure the sections held to pass a host list on."""
    value = {"hosts": worlds.listed_hosts(count)}
    return _section_memory(HOSTS, value)


@slopes.probe("member section memory", "B", "member", MEMBER_COUNTS)
def member_section_memory(count: int) -> float:
    """Measure the sections held to pass a configuration on."""
    services = count // (1 + worlds.ROUTES_PER_SERVICE)
    value = worlds.full_document(services, ORGANISATIONS_BESIDE)
    return _section_memory(CONFIGURATION, value)


def _section_memory(name: str, value: dict[str, t.Any]) -> float:
    empty = publication.empty(name)
    return meter.held_bytes(
        lambda: empty.replace(1, document_parts.divide(value))
    )


def _change(
    name: str, value: dict[str, t.Any], member: dict[str, t.Any]
) -> float:
    """Return the least time to take in a change of one member."""
    held = publication.empty(name)
    taken = publications.Publications(view.View())
    costs = []
    for version in range(1, CHANGES + 2):
        if name == CONFIGURATION:
            value["version"] = version
        member["peer_port" if name == HOSTS else "burst"] = version
        held = held.replace(version, document_parts.divide(value))
        costs.append(meter.once_us(lambda held=held: taken.check(held)))
    return min(costs[1:])


@slopes.probe("routing memory", "B", "host", HOST_COUNTS)
def routing_memory(count: int) -> float:
    """Measure the bytes that routing holds for hosts in use."""
    listed = worlds.host_list(count).hosts

    def build() -> balanced.BalancedRouting:
        made = balanced.BalancedRouting(HERE, random.Random(1))
        made.learn_hosts(listed, 0.0)
        for host_id in listed:
            made.sent(host_id, 0.0)
        return made

    return meter.held_bytes(build)


@slopes.probe("routing update", "us", "host", HOST_COUNTS)
def routing_update(count: int) -> float:
    """Measure the processor time to take in a changed list."""
    listed = worlds.host_list(count).hosts
    made = balanced.BalancedRouting(HERE, random.Random(1))
    return meter.cpu_us(lambda: made.learn_hosts(listed, 0.0))


@slopes.probe("organisation memory", "B", "organisation", ORGANISATION_COUNTS)
def organisation_memory(count: int) -> float:
    """Measure the bytes held for organisations with two keys each."""
    value = worlds.full_document(SERVICES_BESIDE, count)
    return meter.held_bytes(lambda: worlds.read_document(value))


@slopes.probe(
    "organisation reading", "us", "organisation", ORGANISATION_COUNTS
)
def organisation_reading(count: int) -> float:
    """Measure the processor time to read organisations."""
    value = worlds.full_document(SERVICES_BESIDE, count)
    return meter.cpu_us(lambda: worlds.read_document(value))


@slopes.probe("organisation size", "B", "organisation", ORGANISATION_COUNTS)
def organisation_size(count: int) -> float:
    """Measure the published text of organisations."""
    return len(json.dumps(worlds.full_document(SERVICES_BESIDE, count)))


@slopes.probe("service memory", "B", "service", SERVICE_COUNTS)
def service_memory(count: int) -> float:
    """Measure the bytes held for services with five routes each."""
    value = worlds.services_document(count)
    return meter.held_bytes(lambda: worlds.read_document(value))


@slopes.probe("service reading", "us", "service", SERVICE_COUNTS)
def service_reading(count: int) -> float:
    """Measure the processor time to read services and routes."""
    value = worlds.services_document(count)
    return meter.cpu_us(lambda: worlds.read_document(value))


@slopes.probe("service size", "B", "service", SERVICE_COUNTS)
def service_size(count: int) -> float:
    """Measure the published text of services and their routes."""
    return len(json.dumps(worlds.services_document(count)))
