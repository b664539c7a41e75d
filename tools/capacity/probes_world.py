"""Probes of the cost of publications in a node."""

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
from . import sample_documents
from . import slopes

HOST_COUNTS = (250, 500, 1_000, 2_000, 4_000)
ORGANISATION_COUNTS = (50, 100, 200, 400)
SERVICE_COUNTS = (10, 20, 40, 80)
FIXED_SERVICES = 10
FIXED_ORGANISATIONS = 10
MEMBER_COUNTS = (300, 600, 1_200, 2_400, 4_800)
CHANGES = 5
CONFIGURATION = dissemination.CONFIGURATION
HOSTS = dissemination.HOSTS
HERE = region.Place("region-0", "centre-0")


@slopes.probe("host list memory", "B", "host", HOST_COUNTS)
def host_list_memory(count: int) -> float:
    """Measure the memory of a parsed host list."""
    return meter.held_bytes(lambda: sample_documents.host_list(count))


@slopes.probe("host list reading", "us", "host", HOST_COUNTS)
def host_list_reading(count: int) -> float:
    """Measure the processor time to parse a host list."""
    text = json.dumps(sample_documents.host_entries(count))
    return meter.cpu_us(lambda: hosts.read(1, json.loads(text)))


@slopes.probe("host list size", "B", "host", HOST_COUNTS)
def host_list_size(count: int) -> float:
    """Measure the published size of a host list."""
    return len(json.dumps(sample_documents.host_entries(count)))


@slopes.probe("host change", "us", "host", HOST_COUNTS)
def host_change(count: int) -> float:
    """Measure the processor time to apply one changed host."""
    listed = sample_documents.host_entries(count)
    return _change_cost_us(HOSTS, {"hosts": listed}, listed["host-0"])


@slopes.probe("configuration change", "us", "member", MEMBER_COUNTS)
def configuration_change(count: int) -> float:
    """Measure the processor time to apply one changed organisation.

    Five in six of the counted members are routes, the others services.
    The ten organisations are not counted.
    """
    services = count // (1 + sample_documents.ROUTES_PER_SERVICE)
    value = sample_documents.full_document(services, FIXED_ORGANISATIONS)
    changed = value["organisations"]["organisation-0"]
    return _change_cost_us(CONFIGURATION, value, changed)


@slopes.probe("host section memory", "B", "host", HOST_COUNTS)
def host_section_memory(count: int) -> float:
    """Measure the memory of the sections of a host list."""
    value = {"hosts": sample_documents.host_entries(count)}
    return _section_memory(HOSTS, value)


@slopes.probe("member section memory", "B", "member", MEMBER_COUNTS)
def member_section_memory(count: int) -> float:
    """Measure the memory of the sections of a configuration."""
    services = count // (1 + sample_documents.ROUTES_PER_SERVICE)
    value = sample_documents.full_document(services, FIXED_ORGANISATIONS)
    return _section_memory(CONFIGURATION, value)


def _section_memory(name: str, value: dict[str, t.Any]) -> float:
    empty = publication.empty(name)
    return meter.held_bytes(
        lambda: empty.replace(1, document_parts.divide(value))
    )


def _change_cost_us(
    name: str, value: dict[str, t.Any], member: dict[str, t.Any]
) -> float:
    """Return the minimum time to apply a change of one member, in us."""
    held = publication.empty(name)
    acceptor = publications.Publications(view.View())
    costs = []
    for version in range(1, CHANGES + 2):
        if name == CONFIGURATION:
            value["version"] = version
        member["peer_port" if name == HOSTS else "burst"] = version
        held = held.replace(version, document_parts.divide(value))
        costs.append(meter.once_us(lambda held=held: acceptor.check(held)))
    return min(costs[1:])


@slopes.probe("routing memory", "B", "host", HOST_COUNTS)
def routing_memory(count: int) -> float:
    """Measure the memory that routing holds for hosts in use."""
    listed = sample_documents.host_list(count).hosts

    def build() -> balanced.BalancedRouting:
        balancer = balanced.BalancedRouting(HERE, random.Random(1))
        balancer.learn_hosts(listed, 0.0)
        for host_id in listed:
            balancer.sent(host_id, 0.0)
        return balancer

    return meter.held_bytes(build)


@slopes.probe("routing update", "us", "host", HOST_COUNTS)
def routing_update(count: int) -> float:
    """Measure the processor time to apply a host list to routing."""
    listed = sample_documents.host_list(count).hosts
    balancer = balanced.BalancedRouting(HERE, random.Random(1))
    return meter.cpu_us(lambda: balancer.learn_hosts(listed, 0.0))


@slopes.probe("organisation memory", "B", "organisation", ORGANISATION_COUNTS)
def organisation_memory(count: int) -> float:
    """Measure the memory of organisations with two keys each."""
    value = sample_documents.full_document(FIXED_SERVICES, count)
    return meter.held_bytes(lambda: sample_documents.read_document(value))


@slopes.probe(
    "organisation reading", "us", "organisation", ORGANISATION_COUNTS
)
def organisation_reading(count: int) -> float:
    """Measure the processor time to parse organisations."""
    value = sample_documents.full_document(FIXED_SERVICES, count)
    return meter.cpu_us(lambda: sample_documents.read_document(value))


@slopes.probe("organisation size", "B", "organisation", ORGANISATION_COUNTS)
def organisation_size(count: int) -> float:
    """Measure the published size of organisations."""
    return len(
        json.dumps(sample_documents.full_document(FIXED_SERVICES, count))
    )


@slopes.probe("service memory", "B", "service", SERVICE_COUNTS)
def service_memory(count: int) -> float:
    """Measure the memory of services with five routes each."""
    value = sample_documents.services_document(count)
    return meter.held_bytes(lambda: sample_documents.read_document(value))


@slopes.probe("service reading", "us", "service", SERVICE_COUNTS)
def service_reading(count: int) -> float:
    """Measure the processor time to parse services and routes."""
    value = sample_documents.services_document(count)
    return meter.cpu_us(lambda: sample_documents.read_document(value))


@slopes.probe("service size", "B", "service", SERVICE_COUNTS)
def service_size(count: int) -> float:
    """Measure the published size of services and their routes."""
    return len(json.dumps(sample_documents.services_document(count)))
