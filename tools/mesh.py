"""Writes the files of a demonstration mesh into a directory.

The mesh has two regions and four hosts on loopback. A species page is a call
chain of three services: ``browse`` calls ``sightings``, which calls
``checklist``.
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
class MeshHost:
    """One host of the mesh.

    :param host_id: identifier of the host.
    :param service: service of its upstream.
    :param region: region of the host.
    :param data_centre: data centre of the host.
    """

    host_id: str
    service: str
    region: str
    data_centre: str


HOSTS = (
    MeshHost("browse-0", "browse", "bagmati", "kirtipur"),
    MeshHost("browse-1", "browse", "gandaki", "pokhara"),
    MeshHost("sightings-0", "sightings", "bagmati", "lalitpur"),
    MeshHost("checklist-0", "checklist", "gandaki", "begnas"),
)
SERVICES = {
    "browse": {"slots": 16, "connections": 150, "service_ms": 10.0},
    "sightings": {"slots": 16, "connections": 150, "service_ms": 10.0},
    "checklist": {"slots": 4, "connections": 150, "service_ms": 16.0},
}
CALLS_BY_PATH = {"/species": "/sightings/recent", "/recent": "/checklist/pull"}
PORT_NAMES = ("entry", "peer", "egress", "admin", "upstream", "counts")


def key_of(organisation: str) -> str:
    """Return the API key of an organisation."""
    return f"key-{organisation}-0123456789abcdef"


def free_ports(count: int) -> list[int]:
    """Return currently free TCP ports on loopback."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
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
    site: MeshHost, ports: dict[str, int], platform_url: str
) -> dict[str, t.Any]:
    """Return the settings of one host's node.

    :param ports: ports of the host by name.
    """
    return {
        "host_id": site.host_id,
        "service": site.service,
        "region": site.region,
        "data_centre": site.data_centre,
        "address": "127.0.0.1",
        "upstream_url": f"http://127.0.0.1:{ports['upstream']}",
        "platform_url": platform_url,
        "ports": {name: ports[name] for name in PORT_NAMES[:4]},
        "fleet_started_s": time.time(),
        "log_level": "error",
    }


def simulated_upstream_options(
    site: MeshHost, ports: dict[str, int]
) -> dict[str, t.Any]:
    """Return the options of one host's simulated upstream.

    :param ports: ports of the host by name.
    """
    size = SERVICES[site.service]
    return {
        "port": ports["upstream"],
        "counts_port": ports["counts"],
        "slots": size["slots"],
        "service_ms": size["service_ms"],
        "egress_url": f"http://127.0.0.1:{ports['egress']}",
        "children": CALLS_BY_PATH,
        "secrets": [key_of(f"org{item}") for item in range(ORGANISATIONS)],
    }


def remove_limits(files: dict[str, dict[str, t.Any]]) -> None:
    """Remove the limits of a mesh: rates, slots, service time and links.

    :param files: documents of the mesh by file name, changed in place.
    """
    published = files["configuration"]
    for organisation in published["organisations"].values():
        organisation["rate_per_s"] = organisation["burst"] = FAST_RATE_PER_S
    for service in published["services"].values():
        service["slots"] = service["connections"] = FAST_SLOTS
    near = HOSTS[0]
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

    :param directory: where to write them.
    :param fast: whether all limits but the nodes themselves are removed.
    """
    found = free_ports(len(HOSTS) * len(PORT_NAMES) + 1)
    platform_port = found.pop()
    by_host = {
        site.host_id: dict(zip(PORT_NAMES, found[start:], strict=False))
        for site, start in zip(
            HOSTS, range(0, len(found), len(PORT_NAMES)), strict=True
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
        for site in HOSTS
    }
    files = {
        "configuration": configuration(),
        "hosts": hosts,
        "mesh": {"ports": by_host},
    }
    for site in HOSTS:
        ports = by_host[site.host_id]
        files[f"{site.host_id}.node"] = settings(site, ports, platform_url)
        files[f"{site.host_id}.upstream"] = simulated_upstream_options(
            site, ports
        )
    if fast:
        remove_limits(files)
    for name, document in files.items():
        text = json.dumps(document, indent=2)
        (directory / f"{name}.json").write_text(text + "\n", "utf-8")
    (directory / "platform.port").write_text(f"{platform_port}\n", "utf-8")


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--fast", action="store_true")
    options = parser.parse_args()
    write(options.directory, options.fast)


if __name__ == "__main__":
    main()
