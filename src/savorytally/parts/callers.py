"""Identifies the sender of a request by its API key."""

import dataclasses
import hashlib
import urllib.parse

from .. import outcomes
from .. import results
from ..world import configuration
from ..world import route
from . import context
from . import headers

_BEARER = "bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The identified sender of a request.

    :param organisation_id: the sender's organisation, empty if the request
        came without a key on an open route.
    :param key_id: prefix of the key's digest, empty without a key.
    """

    organisation_id: str
    key_id: str


def presented_key(request: context.Request) -> str:
    """Return the API key in a request's headers, or an empty string.

    A bearer token takes precedence over the ``X-Api-Key`` header.
    """
    value = request.header(headers.AUTHORIZATION)
    if value.lower().startswith(_BEARER):
        return value[len(_BEARER) :].strip()
    return request.header(headers.API_KEY).strip()


def key_digest(key: str) -> str:
    """Return the SHA-256 hex digest under which a key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    version: configuration.Configuration,
    called_route: route.Route,
    request: context.Request,
) -> Caller | outcomes.Failure:
    """Authenticate a request and check that it may call the route.

    :return: the sender, or the failure to answer with.
    """
    key = presented_key(request)
    if not key:
        if called_route.open:
            return Caller("", "")
        return outcomes.Failure(results.KEY_MISSING)
    digest = key_digest(key)
    organisation = version.organisation_of_key(digest)
    if organisation is None:
        return outcomes.Failure(results.KEY_REJECTED)
    if (
        not called_route.open
        and called_route.route_id not in organisation.contract.routes
    ):
        return outcomes.Failure(results.NOT_PERMITTED)
    return Caller(
        organisation.organisation_id, digest[: configuration.KEY_ID_LENGTH]
    )


def sender_fault(
    version: configuration.Configuration,
    request: context.Request,
    caller: Caller,
) -> outcomes.Failure | None:
    """Return a failure if a request misstates its sender, else ``None``.

    The organisation header must name the organisation that the key belongs
    to, and the key may appear in headers only.
    """
    if not _states_own_organisation(version, request, caller):
        return outcomes.Failure(results.NOT_PERMITTED, headers.ORGANISATION)
    key = presented_key(request)
    if key and _key_in_request_target_or_body(request, key):
        return outcomes.Failure(results.KEY_MISPLACED)
    return None


def without_key(request: context.Request) -> context.Request:
    """Return the request without the headers that contain its key."""
    key = presented_key(request)
    if not key:
        return request
    kept_headers = headers.without_secret(request.headers, key)
    return dataclasses.replace(request, headers=kept_headers)


def _states_own_organisation(
    version: configuration.Configuration,
    request: context.Request,
    caller: Caller,
) -> bool:
    """Return whether the organisation header, if any, matches the key."""
    stated_name = request.header(headers.ORGANISATION)
    if not stated_name:
        return True
    resolved = version.organisation_names.resolve(stated_name)
    return resolved == caller.organisation_id


def _key_in_request_target_or_body(request: context.Request, key: str) -> bool:
    for text in (request.path, request.query):
        if key in text or key in urllib.parse.unquote_plus(text):
            return True
    return key.encode() in request.body
