"""Names of the headers by which callers and upstreams are spoken to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names, lower case, as bytes.

    :param request_id: identifies one attempt of a caller; upstreams echo it.
    :param remaining_ms: milliseconds that the sender will still wait.
    :param caller_service: service on the host where a request began.
    :param organisation: the organisation that holds the caller's key.
    :param instance: the upstream that is meant to run the request.
    :param signature: an upstream's mark on its answer.
    :param not_executed: an upstream's word that it did not run a request.
    :param load: an upstream's running, waiting and slots.
    :param limit: requests a second that an upstream takes from all hosts.
    :param leaving: an upstream's word that it leaves.
    :param answered_by: the upstream that answers.
    :param below: what upstreams put between the identifier of a request and
        their own part in those of the calls that they make for it, empty
        if these don't name it.
    :param key_scheme: scheme of the ``Authorization`` header, lower case.
    :param ready_path: path of the readiness question.
    """

    request_id: bytes
    remaining_ms: bytes
    caller_service: bytes
    organisation: bytes
    instance: bytes
    signature: bytes
    not_executed: bytes
    load: bytes
    limit: bytes
    leaving: bytes
    answered_by: bytes
    below: bytes
    key_scheme: bytes
    ready_path: bytes

    def parent_of(self, request_id: bytes) -> bytes:
        """Return the request that a call's identifier names, if any."""
        if not self.below:
            return b""
        return request_id.rpartition(self.below)[0]

    @property
    def set_by_node(self) -> frozenset[bytes]:
        """Request headers that a caller can't set."""
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
