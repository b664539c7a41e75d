"""HTTP headers that the system reads, sets or removes."""

from .. import outcomes

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
    }
)


def end_to_end(headers: outcomes.Headers) -> outcomes.Headers:
    """Return the headers that travel to the other end.

    Hop-by-hop headers are left out, those that carry secrets, and the
    organisation, which a gate states anew.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP and name.lower() not in _REMOVED
    )
