"""Encodes requests to upstreams and interprets their responses."""

import dataclasses

from .. import results
from ..decisions import advertised_state
from ..decisions import reported_load
from . import callers
from . import exchanges
from . import frames
from . import header_names
from . import not_run_reasons

_MISDIRECTED_STATUS = 421
_TIMEOUT_STATUS = 408
_REFUSED_STATUS_MIN = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Interpretation:
    """The result that a response means for its request.

    :param code: the request's result code.
    :param reason: the reason why the request has certainly not run, ``None``
        if it may have run.
    :param echoes_id: whether the response echoes the request's identifier.
    """

    code: results.ResultCode
    reason: not_run_reasons.NotRunReason | None
    echoes_id: bool

    @property
    def ambiguous(self) -> bool:
        """Whether a duplicate could be mistaken for a later response.

        A duplicate of a refusal could be even if it echoes its request's
        identifier, because the same request may be sent over the connection
        again.
        """
        return self.reason is not None or not self.echoes_id


class UpstreamProtocol:
    """Encodes requests to upstreams and interprets their responses.

    :param names: the header names.
    """

    def __init__(self, names: header_names.HeaderNames) -> None:
        self._names = names
        self._hidden = (names.load, names.responding_instance)

    def encode(self, call: frames.Call, remaining_ms: int) -> bytes:
        """Return the bytes of a request.

        :param remaining_ms: milliseconds until the request's deadline.
        """
        names = self._names
        parts = [call.method, b" ", call.target, b" HTTP/1.1\r\n"]
        for name, value in call.headers:
            parts += (name, b": ", value, b"\r\n")
        for name, text in (
            (names.request_id, call.request_id),
            (names.remaining_ms, b"%d" % remaining_ms),
            (names.instance, call.instance_id.encode()),
            (names.caller_service, call.caller_service.encode()),
            (names.organisation, call.organisation.encode()),
        ):
            if text:
                parts += (name, b": ", text, b"\r\n")
        if call.body or call.method not in (b"GET", b"HEAD"):
            parts.append(b"content-length: %d\r\n" % len(call.body))
        parts += (b"\r\n", call.body)
        return b"".join(parts)

    def belongs(
        self, call: frames.Call, reply: exchanges.Response, ambiguous: bool
    ) -> bool:
        """Return whether a response belongs to a request.

        :param ambiguous: whether a duplicate of an earlier response may arrive
            on the connection. Only idempotent requests are sent over such a
            connection, since a response without an identifier may belong to
            another request.
        """
        echoed = reply.header(self._names.request_id)
        if echoed:
            return echoed == call.request_id
        # Upstreams omit the identifier only if they did not run the request.
        if not ambiguous:
            return self._not_executed(reply) or reply.status >= 400
        if reply.status == _MISDIRECTED_STATUS:
            responding = reply.header(self._names.responding_instance)
            return responding != call.instance_id.encode()
        return self._not_executed(reply)

    def responding_instance(self, reply: exchanges.Response) -> str:
        """Return the upstream instance that a response names as its sender."""
        return reply.header(self._names.responding_instance).decode("latin-1")

    def interpret(self, reply: exchanges.Response) -> Interpretation:
        """Return the result that a response means for its request."""
        echoes_id = bool(reply.header(self._names.request_id))
        if reply.status == _MISDIRECTED_STATUS:
            reason = not_run_reasons.NotRunReason.MISDIRECTED
            return Interpretation(results.INSTANCE_GONE, reason, echoes_id)
        refused = (
            reply.status >= _REFUSED_STATUS_MIN
            or reply.status == _TIMEOUT_STATUS
        )
        if refused and self._not_executed(reply):
            reason = not_run_reasons.NotRunReason.MARK
            return Interpretation(results.UPSTREAM_SHED, reason, echoes_id)
        if self._deliverable(reply):
            return Interpretation(results.ANSWERED, None, echoes_id)
        return Interpretation(results.UPSTREAM_BROKEN, None, echoes_id)

    def advertised(
        self, headers: callers.Headers
    ) -> advertised_state.Advertisement:
        """Return what a response's headers advertise about its upstream."""
        names = self._names
        return advertised_state.parse(
            [v.decode("latin-1") for k, v in headers if k == names.rate_limit],
            [v.decode("latin-1") for k, v in headers if k == names.draining],
        )

    def reported_load(
        self, headers: callers.Headers
    ) -> reported_load.Report | None:
        """Return the load that a response reports, ``None`` without one."""
        name = self._names.load
        return reported_load.parse([v for k, v in headers if k == name])

    def caller_headers(self, reply: exchanges.Response) -> callers.Headers:
        """Return the headers that are passed on to the caller."""
        return [
            pair
            for pair in callers.end_to_end(reply.headers)
            if pair[0] not in self._hidden
        ]

    def _not_executed(self, reply: exchanges.Response) -> bool:
        """Return whether a response states that the request did not run."""
        if reply.status == _MISDIRECTED_STATUS:
            return True
        return bool(reply.header(self._names.not_executed))

    def _deliverable(self, reply: exchanges.Response) -> bool:
        """Return whether a response may be delivered as the upstream's own."""
        if reply.status >= 300:
            return True
        return bool(
            reply.header(self._names.signature)
            and not reply.header(b"content-encoding")
        )
