"""Parses the entries that the operator and upstreams write to the store."""

import base64
import json
import typing as t

from ..dataplane import options
from ..world import catalog
from ..world import ranges
from . import durations

# Key under which the operator stores the current configuration.
CONFIGURATION_KEY = "op/config"
# Prefix of the upstreams' entries, followed by the instance's identifier.
INSTANCE_PREFIX = "servers/"
# Prefix of the keys of evacuations, followed by the data centre.
EVACUATION_PREFIX = "op/evacuate/"

# Exceptions raised while reading a document of unexpected form.
PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)
_READY_BY_STATE = {"ready": True, "draining": False}


class Malformed(ValueError):
    """A malformed document; the message names the field."""


def decode_value(item: t.Mapping[str, t.Any]) -> bytes:
    """Decode the value of a store entry.

    :raises Malformed: if they are not base64.
    """
    try:
        return base64.b64decode(item["value"], validate=True)
    except (KeyError, TypeError, ValueError) as error:
        raise Malformed(f"value: {error}") from error


def configuration(body: bytes) -> catalog.Catalog:
    """Parse a configuration.

    :param body: the JSON text.
    :raises Malformed: if a field that requests depend on is invalid.
    """
    place = "version"
    try:
        document = json.loads(body)
        version = _version(document["version"])
        routes = []
        for name, value in document["routes"].items():
            place = f"routes/{name}"
            routes.append(_route(name, value))
        keys: dict[str, catalog.Organisation] = {}
        tenants = document.get("tenants")
        for name, value in (tenants or {}).items():
            place = f"tenants/{name}"
            organisation = _organisation(name, value)
            keys.update(dict.fromkeys(value["api_keys"], organisation))
        place = "services"
        health_paths = {
            name: value["health_path"]
            for name, value in (document.get("services") or {}).items()
            if isinstance(value.get("health_path"), str)
        }
        if not all(map(ranges.carried, health_paths.values())):
            raise ValueError("health_path can't be sent")
        cold_terms = _cold_terms(document.get("services") or {})
        place = "limits"
        limits = _limits(document.get("limits") or {})
    except PARSE_ERRORS as error:
        raise Malformed(f"{place}: {error!r}") from error
    return catalog.Catalog(
        version,
        routes,
        keys,
        limits,
        bool(tenants),
        health_paths,
        cold_terms,
        document.get("services") or {},
    )


def instance(key: str, body: bytes, created: int = 0) -> catalog.Instance:
    """Parse the entry of an upstream instance.

    :param key: key of the entry.
    :param body: the JSON text.
    :param created: revision of the store at which the entry was created.
    :raises Malformed: if a required field is missing or invalid.
    """
    try:
        value = json.loads(body)
        host, _, port = value["address"].rpartition(":")
        service, zone = value["service"], value["zone"]
        slots = value["slots"]
        if not (isinstance(service, str) and isinstance(zone, str) and host):
            raise ValueError("service, zone and address must be text")
        if isinstance(slots, bool):
            raise ValueError("slots must be a whole number")
        found = catalog.Instance(
            instance_id=key[len(INSTANCE_PREFIX) :],
            service=service,
            address=host,
            port=int(port),
            data_centre=zone,
            slots=slots,
            ready=_READY_BY_STATE[value["state"]],
            cold_s=durations.seconds(value.get("cold_remaining", "0ms")),
            created_revision=int(created),
            started_ms=_whole_number(value.get("born")),
            sequence=_whole_number(value.get("sequence")),
        )
        catalog.checked(found)
        return found
    except PARSE_ERRORS as error:
        raise Malformed(f"{key!r:.99}: {error!r}") from error


def _whole_number(value: t.Any) -> int:
    """Return a positive whole number, 0 if the value is none."""
    whole = isinstance(value, int) and not isinstance(value, bool)
    return value if whole and value > 0 else 0


def address_of(text: str) -> options.Address:
    """Parse an address of the form ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    return options.Address(host, int(port))


def _version(text: str) -> int:
    if not text.startswith("r"):
        raise ValueError(f"{text!r} is no version")
    number = int(text[1:])
    if not ranges.carried(number):
        raise ValueError("the version has more than 64 bits")
    return number


def _route(name: str, value: t.Mapping[str, t.Any]) -> catalog.Route:
    clusters = value.get("weighted_clusters")
    if clusters:
        parts = tuple(
            catalog.Cluster(part["service"], float(part["weight"]))
            for part in clusters
        )
    else:
        parts = (catalog.Cluster(value["service"], 1.0),)
    timeout_s = durations.seconds(value["timeout"])
    target = value.get("target_latency")
    route = catalog.Route(
        name=name,
        host=value["host"].lower(),
        prefix=value["prefix"],
        # Only requests of "safe" routes may run more than once.
        idempotent=value["kind"] == "safe",
        timeout_s=timeout_s,
        objective_s=durations.seconds(target) if target else timeout_s,
        priority=int(value.get("priority", 0)),
        clusters=parts,
        attempts=int(value.get("retry_attempts", 1)),
        open_to_all=bool(value.get("auth_exempt", False)),
        homes=_homes(value),
    )
    return ranges.checked(route)


def _homes(value: t.Mapping[str, t.Any]) -> frozenset[str]:
    """Return the regions that a route or tenant is confined to.

    :raises ValueError: if they are not a list of names.
    """
    regions = value.get("allowed_regions") or []
    if not isinstance(regions, list) or not all(
        isinstance(name, str) and name for name in regions
    ):
        raise ValueError("allowed_regions must be a list of names")
    return frozenset(regions)


def _cold_terms(
    services: t.Mapping[str, t.Mapping[str, t.Any]],
) -> dict[str, catalog.ColdTerms]:
    """Return what cold upstreams tolerate, by service.

    :raises ValueError: if a duration or rate is invalid.
    """
    found = {}
    for name, value in services.items():
        start, per_s = value.get("cold_start"), value.get("cold_per_s")
        if start is None and per_s is None:
            continue
        rate_per_s = float(per_s or 0)
        if not 0.0 <= rate_per_s < float("inf"):
            raise ValueError(f"{name}: cold_per_s must not be negative")
        start_s = durations.seconds(start) if start else 0.0
        found[name] = catalog.ColdTerms(start_s, rate_per_s)
    return found


def _organisation(
    name: str, value: t.Mapping[str, t.Any]
) -> catalog.Organisation:
    priority = value.get("priority")
    organisation = catalog.Organisation(
        name=name,
        priority=None if priority is None else int(priority),
        rate_per_s=float(value.get("rate_per_s") or 0),
        burst=float(value.get("burst") or 0),
        homes=_homes(value),
    )
    return ranges.checked(organisation)


def _limits(value: t.Mapping[str, t.Any]) -> catalog.RequestLimits:
    default = catalog.RequestLimits()
    header, idle = value.get("header_timeout"), value.get("idle_timeout")
    limits = catalog.RequestLimits(
        header_bytes=int(value.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(value.get("max_body_bytes", default.body_bytes)),
        header_timeout_s=(
            durations.seconds(header) if header else default.header_timeout_s
        ),
        idle_timeout_s=(
            durations.seconds(idle) if idle else default.idle_timeout_s
        ),
    )
    return ranges.checked(limits)
