"""HTTP headers that nodes read, set or remove."""

import re

from .. import outcomes
from ..decisions import advertised_state

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
# Headers in which upstreams advertise a rate limit, that they are leaving or
# when to retry.
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

# Removed from received requests: secrets, and headers that nodes set.
_SECRET_AND_NODE_HEADERS = frozenset(
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

_NOT_FORWARDED = _HOP_BY_HOP | _SECRET_AND_NODE_HEADERS
_CONNECTION = "connection"


def end_to_end(headers: outcomes.Headers) -> outcomes.Headers:
    """Return the headers to forward.

    Leaves out hop-by-hop headers, including those that ``Connection``
    lists, headers with secrets, and headers that the gate sets itself.
    """
    connection_headers = _listed_in_connection(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _NOT_FORWARDED
        and lower not in connection_headers
    )


def advertised(headers: outcomes.Headers) -> advertised_state.Advertisement:
    """Return what an answer's headers advertise about the upstream."""
    limit, leaving = SERVER_LIMIT.lower(), SERVER_LEAVING.lower()
    return advertised_state.parse(
        [value for name, value in headers if name.lower() == limit],
        [value for name, value in headers if name.lower() == leaving],
    )


def without_secret(headers: outcomes.Headers, secret: str) -> outcomes.Headers:
    """Return the headers whose names and values don't contain a secret."""
    return tuple(
        (name, value)
        for name, value in headers
        if secret not in value and secret.lower() not in name.lower()
    )


def traceparent(headers: outcomes.Headers) -> str:
    """Return the W3C trace context, empty if it is missing or malformed."""
    lowered = TRACEPARENT.lower()
    for name, value in headers:
        if name.lower() == lowered:
            return value if is_traceparent(value) else ""
    return ""


def is_traceparent(value: str) -> bool:
    """Return whether a value is a W3C trace context of version 00."""
    return _TRACEPARENT.fullmatch(value) is not None


def _listed_in_connection(headers: outcomes.Headers) -> set[str]:
    values = [value for name, value in headers if name.lower() == _CONNECTION]
    return {
        token.strip().lower() for value in values for token in value.split(",")
    }
