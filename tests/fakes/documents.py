"""Configuration documents and host lists of an example deployment."""

import hashlib
import typing as t

SCHEMES = ("mesh", "legacy", "dotted")


def key_of(organisation: str) -> str:
    """Return the API key of an organisation."""
    return f"key-{organisation}-0123456789abcdef"


def digest_of(organisation: str) -> str:
    """Return the digest of an organisation's API key."""
    return hashlib.sha256(key_of(organisation).encode()).hexdigest()


def names(identifier: str) -> dict[str, str]:
    """Return an object's names in the three schemes."""
    return {
        "mesh": f"{identifier}-mesh",
        "legacy": identifier.upper(),
        "dotted": f"org.example.{identifier}",
    }


def route(
    identifier: str, service: str, priority: str, **fields: t.Any
) -> dict[str, t.Any]:
    """Return a route of a document."""
    return {
        "service": service,
        "names": names(identifier),
        "path": f"/{identifier}",
        "priority": priority,
        **fields,
    }


def himali(version: int = 1) -> dict[str, t.Any]:
    """Return a document like that of the Chara Bird List Mesh."""
    routes = {
        "species": route("species", "browse", "browsing"),
        "range": route("range", "maps", "browsing", open=True),
        "pull": route("pull", "checklist", "critical"),
        "report": route(
            "report", "sightings", "normal", method="POST", idempotent=False
        ),
    }
    organisations = {
        f"org{number}": {
            "names": names(f"org{number}"),
            "key_digests": [digest_of(f"org{number}")],
            "routes": sorted(routes),
            "rate_per_s": 400 if number < 2 else 100,
            "burst": 400 if number < 2 else 100,
        }
        for number in range(8)
    }
    services = {
        "browse": (35, 300),
        "maps": (35, 300),
        "sightings": (35, 300),
        "checklist": (10, 150),
    }
    return {
        "version": version,
        "schemes": list(SCHEMES),
        "organisations": organisations,
        "services": {
            name: {
                "names": names(name),
                "slots": slots,
                "connections": connections,
            }
            for name, (slots, connections) in services.items()
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
    }


PLACES = (
    ("bagmati", "kirtipur"),
    ("gandaki", "pokhara"),
    ("bagmati", "lalitpur"),
    ("gandaki", "begnas"),
)


def host(
    service: str, number: int, peer_port: int, state: str = "live"
) -> dict[str, t.Any]:
    """Return a host of a host list.

    :param number: selects the host's region and data centre in rotation.
    """
    region, data_centre = PLACES[number % len(PLACES)]
    return {
        "service": service,
        "region": region,
        "data_centre": data_centre,
        "address": "127.0.0.1",
        "peer_port": peer_port,
        "state": state,
    }
