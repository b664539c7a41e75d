"""Writes the files of a demonstration mesh into a directory.

The mesh has two regions and four hosts on loopback. A species page is a
chain three deep: ``browse`` calls ``sightings``, which calls ``checklist``.
"""

import argparse
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import socket
import time
import typing as t

ORGANISATIONS = 8
RATE_PER_S = 40.0
RETRIES_PER_ROOT = 3
FAST_RATE_PER_S = 1e6
FAST_SLOTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """One host of the mesh.

    :param host_id: the host.
    :param service: the service of its upstream.
    :param region: its region.
    :param data_centre: its data centre.
    """

    host_id: str
    service: str
    region: str
    data_centre: str


SITES = (
    Site("browse-0", "browse", "bagmati", "kirtipur"),
    Site("browse-1", "browse", "gandaki", "pokhara"),
    Site("sightings-0", "sightings", "bagmati", "lalitpur"),
    Site("checklist-0", "checklist", "gandaki", "begnas"),
)
SERVICES = {
    "browse": {"slots": 16, "connections": 150, "service_ms": 10.0},
    "sightings": {"slots": 16, "connections": 150, "service_ms": 10.0},
    "checklist": {"slots": 4, "connections": 150, "service_ms": 16.0},
}
CHILDREN = {"/species": "/sightings/recent", "/recent": "/checklist/pull"}
PORTS = ("entry", "peer", "egress", "admin", "upstream", "counts")


def key_of(organisation: str) -> str:
    """Return the key that an organisation presents."""
    return f"key-{organisation}-0123456789abcdef"


def free_ports(count: int) -> list[int]:
    """Return TCP ports on loopback that are free at the moment."""
    with contextlib.ExitStack() as held:
        probes = [held.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


def configuration() -> dict[str, t.Any]:
    """Return the configuration document of the mesh."""

    def names(identifier: str) -> dict[str, str]:
        return {
            "mesh": f"{identifier}-mesh",
            "legacy": identifier.upper(),
            "dotted": f"org.example.{identifier}",
        }

    def route(
        identifier: str, service: str, priority: str, **fields: t.Any
    ) -> dict[str, t.Any]:
        return {
            "service": service,
            "names": names(identifier),
            "path": f"/{identifier}",
            "priority": priority,
            "timeout_ms": 1_000,
            **fields,
        }

    routes = {
        "species": route("species", "browse", "browsing"),
        "recent": route("recent", "sightings", "browsing"),
        "report": route(
            "report", "sightings", "normal", method="POST", idempotent=False
        ),
        "pull": route("pull", "checklist", "critical"),
    }
    organisations = {
        f"org{number}": {
            "names": names(f"org{number}"),
            "key_digests": [
                hashlib.sha256(key_of(f"org{number}").encode()).hexdigest()
            ],
            "routes": sorted(routes),
            "rate_per_s": RATE_PER_S,
            "burst": RATE_PER_S,
        }
        for number in range(ORGANISATIONS)
    }
    return {
        "version": 1,
        "schemes": ["mesh", "legacy", "dotted"],
        "organisations": organisations,
        "services": {
            name: {
                "names": names(name),
                "slots": size["slots"],
                "connections": size["connections"],
            }
            for name, size in SERVICES.items()
        },
        "routes": routes,
        "regions": {
            "bagmati": {"data_centres": ["kirtipur", "lalitpur"]},
            "gandaki": {"data_centres": ["pokhara", "begnas"]},
        },
        "links": {
            "himal": {
                "ends": ["bagmati", "gandaki"],
                "bits_per_s": 30_000_000,
            }
        },
        "retries": {"per_root": RETRIES_PER_ROOT, "ratio": 0.1},
    }


def settings(
    site: Site, ports: dict[str, int], platform_url: str
) -> dict[str, t.Any]:
    """Return the settings of one host's node."""
    return {
        "host_id": site.host_id,
        "service": site.service,
        "region": site.region,
        "data_centre": site.data_centre,
        "address": "127.0.0.1",
        "upstream_url": f"http://127.0.0.1:{ports['upstream']}",
        "platform_url": platform_url,
        "ports": {name: ports[name] for name in PORTS[:4]},
        "fleet_started_s": time.time(),
        "log_level": "error",
    }


def stand_in(site: Site, ports: dict[str, int]) -> dict[str, t.Any]:
    """Return the options of one host's upstream stand-in."""
    size = SERVICES[site.service]
    return {
        "port": ports["upstream"],
        "counts_port": ports["counts"],
        "slots": size["slots"],
        "service_ms": size["service_ms"],
        "egress_url": f"http://127.0.0.1:{ports['egress']}",
        "children": CHILDREN,
        "secrets": [key_of(f"org{item}") for item in range(ORGANISATIONS)],
    }


def make_fast(files: dict[str, dict[str, t.Any]]) -> None:
    """Remove what limits a mesh: rates, slots, service time, the link."""
    published = files["configuration"]
    for organisation in published["organisations"].values():
        organisation["rate_per_s"] = organisation["burst"] = FAST_RATE_PER_S
    for service in published["services"].values():
        service["slots"] = service["connections"] = FAST_SLOTS
    near = SITES[0]
    for name, document in files.items():
        if name.endswith(".node"):
            document["region"] = near.region
            document["data_centre"] = near.data_centre
        if name.endswith(".upstream"):
            document["slots"] = FAST_SLOTS
            document["service_ms"] = 0.0
    for host in files["hosts"].values():
        host["region"] = near.region
        host["data_centre"] = near.data_centre


def write(directory: pathlib.Path, fast: bool) -> None:
    """Write all files of the mesh.

    :param fast: whether nothing but the nodes limits the calls.
    """
    found = free_ports(len(SITES) * len(PORTS) + 1)
    platform_port = found.pop()
    by_host = {
        site.host_id: dict(zip(PORTS, found[start:], strict=False))
        for site, start in zip(
            SITES, range(0, len(found), len(PORTS)), strict=True
        )
    }
    platform_url = f"http://127.0.0.1:{platform_port}"
    hosts = {
        site.host_id: {
            "service": site.service,
            "region": site.region,
            "data_centre": site.data_centre,
            "address": "127.0.0.1",
            "peer_port": by_host[site.host_id]["peer"],
        }
        for site in SITES
    }
    files = {
        "configuration": configuration(),
        "hosts": hosts,
        "mesh": {"ports": by_host},
    }
    for site in SITES:
        ports = by_host[site.host_id]
        files[f"{site.host_id}.node"] = settings(site, ports, platform_url)
        files[f"{site.host_id}.upstream"] = stand_in(site, ports)
    if fast:
        make_fast(files)
    for name, document in files.items():
        text = json.dumps(document, indent=2)
        (directory / f"{name}.json").write_text(text + "\n", "utf-8")
    (directory / "platform.port").write_text(f"{platform_port}\n", "utf-8")


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--fast", action="store_true")
    given = parser.parse_args()
    write(given.directory, given.fast)


if __name__ == "__main__":
    main()
