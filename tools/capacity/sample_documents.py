"""Configurations and host lists of any size for the probes."""

import json
import typing as t

from savorytally.world import configuration
from savorytally.world import document
from savorytally.world import host
from savorytally.world import hosts

HOSTS_PER_SERVICE = 17
ROUTES_PER_SERVICE = 5
ROUTES_PER_CONTRACT = 20
KEYS_PER_ORGANISATION = 2
REGIONS = 8
DATA_CENTRES = 25
SCHEMES = ("first", "second", "third")


def _names(identifier: str) -> dict[str, str]:
    return {scheme: f"{identifier}.{scheme}" for scheme in SCHEMES}


def host_entry(number: int) -> dict[str, t.Any]:
    """Return a host as it is published."""
    centre = number % DATA_CENTRES
    return {
        "service": f"service-{number // HOSTS_PER_SERVICE}",
        "region": f"region-{centre % REGIONS}",
        "data_centre": f"centre-{centre}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        "peer_port": 8081,
    }


def host_entries(count: int) -> dict[str, t.Any]:
    """Return a host list as it is published."""
    return {f"host-{number}": host_entry(number) for number in range(count)}


def host_list(count: int, version: int = 1) -> host.HostList:
    """Return a host list as parsed by a node."""
    read = hosts.read(version, json.loads(json.dumps(host_entries(count))))
    if isinstance(read, list):
        raise ValueError(read)
    return read


def services_document(services: int) -> dict[str, t.Any]:
    """Return a configuration of services and routes, as published."""
    listed = {
        f"service-{number}": {
            "names": _names(f"service-{number}"),
            "slots": 32,
            "connections": 300,
        }
        for number in range(services)
    }
    routes = {
        f"{service}.route-{number}": {
            "service": service,
            "names": _names(f"{service}.route-{number}"),
            "path": f"/route-{number}",
            "priority": "normal",
        }
        for service in listed
        for number in range(ROUTES_PER_SERVICE)
    }
    return {
        "version": 1,
        "schemes": list(SCHEMES),
        "services": listed,
        "routes": routes,
        "organisations": {},
        "regions": {},
        "links": {},
    }


def organisation(number: int, routes: t.Sequence[str]) -> dict[str, t.Any]:
    """Return an organisation as it is published.

    :param number: number of the organisation.
    :param routes: routes to choose its permitted routes from.
    """
    return {
        "names": _names(f"organisation-{number}"),
        "key_digests": [
            f"{number * KEYS_PER_ORGANISATION + key:064x}"
            for key in range(KEYS_PER_ORGANISATION)
        ],
        "routes": list(routes[:ROUTES_PER_CONTRACT]),
        "rate_per_s": 100,
        "burst": 100,
    }


def full_document(services: int, organisations: int) -> dict[str, t.Any]:
    """Return a complete configuration as it is published."""
    value = services_document(services)
    routes = sorted(value["routes"])
    value["organisations"] = {
        f"organisation-{number}": organisation(number, routes)
        for number in range(organisations)
    }
    return value


def read_document(value: dict[str, t.Any]) -> configuration.Configuration:
    """Return a published configuration as parsed by a node."""
    read = document.read(json.loads(json.dumps(value)))
    if isinstance(read, document.Refused):
        raise ValueError(read.faults[:3])
    return read
