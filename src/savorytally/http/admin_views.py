"""JSON representations of the administration API, free of secrets."""

import typing as t

from .. import __version__
from .. import fields
from .. import results
from ..decisions import usage
from ..world import configuration
from ..world import host
from ..world import organisation
from ..world import region
from ..world import route
from ..world import upstream

KEY_DIGEST_SHOWN_LENGTH = 8

Json = dict[str, t.Any]


def show_faults(
    code: results.ResultCode, faults: t.Iterable[fields.Fault]
) -> Json:
    """Return the body of a response that refuses a request.

    :param code: the result code.
    :param faults: the faults in the request.
    """
    return {
        "code": code.number,
        "name": code.name,
        "summary": code.summary,
        "advice": code.advice,
        "faults": [
            {"place": fault.place, "text": fault.text} for fault in faults
        ],
    }


def show_configuration(item: configuration.Configuration) -> Json:
    """Return a configuration with the number of its members only."""
    return {
        "version": item.version,
        "schemes": list(item.schemes),
        "evacuated": [
            {
                "region": place.region_id,
                "data_centre": place.data_centre_id,
            }
            for place in sorted(item.evacuated)
        ],
        "retries": {
            "per_root": item.retries.per_root,
            "ratio": item.retries.ratio,
        },
        "members": {
            kind: len(members) for kind, members in members_of(item).items()
        },
        "program": __version__,
    }


def members_of(
    item: configuration.Configuration,
) -> dict[str, t.Mapping[str, t.Any]]:
    """Return a configuration's members by kind and identifier."""
    return {
        "organisations": item.organisations,
        "services": item.services,
        "routes": item.routes,
        "regions": item.regions,
        "links": {"-".join(pair): link for pair, link in item.links.items()},
    }


def show_member(item: t.Any) -> Json:
    """Return one member of a configuration."""
    return _SHOW_BY_TYPE[type(item)](item)


def show_host(item: host.Host) -> Json:
    """Return one host of the host list."""
    return {
        "service": item.service_id,
        "region": item.place.region_id,
        "data_centre": item.place.data_centre_id,
        "address": item.address,
        "peer_port": item.peer_port,
        "state": item.state.value,
    }


def show_limits(
    item: organisation.Organisation, node_usage: usage.Usage | None
) -> Json:
    """Return an organisation's limits and their use at this node.

    :param item: the organisation.
    :param node_usage: its use of the limits, ``None`` if none is recorded.
    """
    shown: Json = {
        "rate_per_s": item.contract.rate_per_s,
        "burst": item.contract.burst,
        "weight": item.contract.weight,
        "usage": None,
    }
    if node_usage is not None:
        shown["usage"] = {
            "tokens": node_usage.tokens,
            "admitted": node_usage.admitted,
            "refused": node_usage.refused,
        }
    return shown


def _show_organisation(item: organisation.Organisation) -> Json:
    return {
        "names": dict(item.names),
        "key_digests": sorted(
            digest[:KEY_DIGEST_SHOWN_LENGTH] for digest in item.key_digests
        ),
        "routes": sorted(item.contract.routes),
        "rate_per_s": item.contract.rate_per_s,
        "burst": item.contract.burst,
        "weight": item.contract.weight,
        "regions": sorted(item.contract.homes),
    }


def _show_service(item: upstream.Service) -> Json:
    return {
        "names": dict(item.names),
        "slots": item.slots,
        "connections": item.connections,
    }


def _show_route(item: route.Route) -> Json:
    return {
        "service": item.service_id,
        "names": dict(item.names),
        "method": item.method,
        "path": item.path,
        "priority": item.priority.name.lower(),
        "idempotent": item.idempotent,
        "open": item.open,
        "timeout_ms": item.timeout_ms,
        "regions": sorted(item.homes),
    }


def _show_region(item: region.Region) -> Json:
    return {"data_centres": list(item.data_centres)}


def _show_link(item: region.Link) -> Json:
    return {
        "ends": list(item.ends),
        "bits_per_s": item.bits_per_s,
        "call_share": item.call_share,
    }


_SHOW_BY_TYPE: dict[type, t.Callable[[t.Any], Json]] = {
    organisation.Organisation: _show_organisation,
    upstream.Service: _show_service,
    route.Route: _show_route,
    region.Region: _show_region,
    region.Link: _show_link,
}
