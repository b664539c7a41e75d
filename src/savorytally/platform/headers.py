"""The platform's header names."""

from ..dataplane import header_names

HEADER_NAMES = header_names.HeaderNames(
    request_id=b"x-savorytally-attempt-id",
    remaining_ms=b"x-savorytally-deadline-ms",
    caller_service=b"x-savorytally-caller-service",
    organisation=b"x-savorytally-tenant",
    instance=b"x-savorytally-expected-instance",
    signature=b"x-savorytally-response-signature",
    not_executed=b"x-savorytally-not-executed",
    load=b"x-savorytally-server-load",
    rate_limit=b"server-limit",
    draining=b"server-leaving",
    cold_ms=b"x-savorytally-cold-ms",
    responding_instance=b"x-savorytally-instance-id",
    # The platform does not guarantee this separator. Calls whose identifier
    # does not use it are matched to their request by time.
    call_separator=b".",
    key_scheme=b"token",
    ready_path=b"/-/readyz",
)
