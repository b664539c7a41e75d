"""Tells who sent a request, by the key that came with it."""

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
    """Who sent a request.

    :param organisation_id: its organisation, empty on open routes.
    :param key_id: prefix of its key's digest, empty on open routes.
    """

    organisation_id: str
    key_id: str


def presented_key(request: context.Request) -> str:
    """Return the key that came with a request, or an empty string."""
    value = request.header(headers.AUTHORIZATION)
    if value.lower().startswith(_BEARER):
        return value[len(_BEARER) :].strip()
    return request.header(headers.API_KEY).strip()


def key_digest(key: str) -> str:
    """Return the digest by which the configuration knows a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    version: configuration.Configuration,
    found: route.Route,
    request: context.Request,
) -> Caller | outcomes.Failure:
    """Return who sent a request, or why it may not call the route."""
    key = presented_key(request)
    if not key:
        if found.open:
            return Caller("", "")
        return outcomes.Failure(results.KEY_MISSING)
    digest = key_digest(key)
    holder = version.organisation_of_key(digest)
    if holder is None:
        return outcomes.Failure(results.KEY_REJECTED)
    if not found.open and found.route_id not in holder.contract.routes:
        return outcomes.Failure(results.NOT_PERMITTED)
    return Caller(
        holder.organisation_id, digest[: configuration.KEY_ID_LENGTH]
    )


def misuse(
    version: configuration.Configuration,
    request: context.Request,
    caller: Caller,
) -> outcomes.Failure | None:
    """Return what is wrong with how a request states its sender, if so."""
    if not _same_organisation(version, request, caller):
        return outcomes.Failure(results.NOT_PERMITTED, headers.ORGANISATION)
    key = presented_key(request)
    if key and _repeats_key(request, key):
        return outcomes.Failure(results.KEY_MISPLACED)
    return None


def without_key(request: context.Request) -> context.Request:
    """Return the request with its key taken out of every header."""
    key = presented_key(request)
    if not key:
        return request
    cleared = headers.without_secret(request.headers, key)
    return dataclasses.replace(request, headers=cleared)


def _same_organisation(
    version: configuration.Configuration,
    request: context.Request,
    caller: Caller,
) -> bool:
    """Return whether an organisation that is named is the key's own."""
    named = request.header(headers.ORGANISATION)
    if not named:
        return True
    resolved = version.organisation_names.resolve(named)
    return resolved == caller.organisation_id


def _repeats_key(request: context.Request, key: str) -> bool:
    for text in (request.path, request.query):
        if key in text or key in urllib.parse.unquote_plus(text):
            return True
    return key.encode() in request.body
