"""HTTP headers that the system reads, sets or removes."""

import re

from .. import outcomes
from ..decisions import standing

AUTHORIZATION = "Authorization"
API_KEY = "X-Api-Key"
ORGANISATION = "X-Organisation"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT_MS = "X-Request-Timeout-Ms"
REQUEST_ID = "X-Request-Id"
TRACEPARENT = "Traceparent"
CALL_TOKEN = "Savorytally-Call-Token"
RESULT_CODE = "Savorytally-Result-Code"
REPEATED = "Savorytally-Repeated"
RETRY_AFTER = "Retry-After"
# What upstreams say of themselves in their answers.
SERVER_LIMIT = "Server-Limit"
SERVER_LEAVING = "Server-Leaving"
RETRY_AFTER_MS = "Retry-After-Ms"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)

# Removed on arrival: secrets, and what only a node may state.
_REMOVED = frozenset(
    {
        AUTHORIZATION.lower(),
        API_KEY.lower(),
        CALL_TOKEN.lower(),
        ORGANISATION.lower(),
        REQUEST_ID.lower(),
        TRACEPARENT.lower(),
    }
)

_TRACEPARENT = re.compile("00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

_LEFT_OUT = _HOP_BY_HOP | _REMOVED
_CONNECTION = "connection"


def end_to_end(headers: outcomes.Headers) -> outcomes.Headers:
    """Return the headers that travel to the other end.

    Hop-by-hop headers are left out, also those that ``Connection`` names,
    those that carry secrets, and what a gate states anew.
    """
    named = _named_by_connection(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _LEFT_OUT and lower not in named
    )


def said(headers: outcomes.Headers) -> standing.Said:
    """Return what an answer says of its upstream."""
    limit, leaving = SERVER_LIMIT.lower(), SERVER_LEAVING.lower()
    return standing.read(
        [value for name, value in headers if name.lower() == limit],
        [value for name, value in headers if name.lower() == leaving],
    )


def without_secret(headers: outcomes.Headers, secret: str) -> outcomes.Headers:
    """Return the headers that do not hold a secret."""
    return tuple(
        (name, value)
        for name, value in headers
        if secret not in value and secret.lower() not in name.lower()
    )


def traceparent(headers: outcomes.Headers) -> str:
    """Return the W3C trace context, empty if there is none or it is bad."""
    wanted = TRACEPARENT.lower()
    for name, value in headers:
        if name.lower() == wanted:
            return value if is_traceparent(value) else ""
    return ""


def is_traceparent(value: str) -> bool:
    """Return whether a value is a W3C trace context."""
    return _TRACEPARENT.fullmatch(value) is not None


def _named_by_connection(headers: outcomes.Headers) -> set[str]:
    values = [value for name, value in headers if name.lower() == _CONNECTION]
    return {
        token.strip().lower() for value in values for token in value.split(",")
    }
