"""Names of the headers in requests from callers and to upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of HTTP headers, in lower case.

    :param request_id: identifies one attempt of a caller; upstreams echo it.
    :param remaining_ms: milliseconds that the sender will still wait.
    :param caller_service: service of the host where the request started.
    :param organisation: the organisation that holds the caller's key.
    :param instance: the upstream instance that should run the request.
    :param signature: signature that an upstream puts on its response.
    :param not_executed: set by an upstream that did not run a request.
    :param load: an upstream's running and waiting requests and its slots.
    :param rate_limit: the rate limit that an upstream advertises, in requests
        per second from all hosts together.
    :param draining: set by an upstream that is draining.
    :param cold_ms: milliseconds for which an upstream remains cold, in
        responses of its health check.
    :param responding_instance: the upstream instance that sent the response.
    :param call_separator: separator in the identifier of a call that an
        upstream makes: it follows the identifier of the request that caused
        the call. Empty if such identifiers don't contain the causing request.
    :param key_scheme: scheme of the ``Authorization`` header, lower case.
    :param ready_path: path of the readiness probe.
    """

    request_id: bytes
    remaining_ms: bytes
    caller_service: bytes
    organisation: bytes
    instance: bytes
    signature: bytes
    not_executed: bytes
    load: bytes
    rate_limit: bytes
    draining: bytes
    cold_ms: bytes
    responding_instance: bytes
    call_separator: bytes
    key_scheme: bytes
    ready_path: bytes

    def parent_of(self, request_id: bytes) -> bytes:
        """Return the identifier of the request that caused a call.

        It is empty if the call's identifier does not contain it.
        """
        if not self.call_separator:
            return b""
        return request_id.rpartition(self.call_separator)[0]

    @property
    def node_headers(self) -> frozenset[bytes]:
        """Request headers that the node writes instead of copying them."""
        return frozenset(
            (
                self.request_id,
                self.remaining_ms,
                self.caller_service,
                self.organisation,
                self.instance,
                b"authorization",
            )
        )
