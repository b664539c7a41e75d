"""Encodes requests to upstreams and interprets their responses."""

import dataclasses
import re

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
# A duration in milliseconds; one with more digits is ignored.
_MILLISECONDS = re.compile(rb"\d{1,9}")


@dataclasses.dataclass(frozen=True, slots=True)
class Interpretation:
    """The result that a response means for its request.

    :param code: the request's result code.
    :param stated: the reason that the response states why its request has not
        run, ``None`` if it states none.
    :param echoes_id: whether the response echoes the request's identifier.
    """

    code: results.ResultCode
    stated: not_run_reasons.NotRunReason | None
    echoes_id: bool

    @property
    def reason(self) -> not_run_reasons.NotRunReason | None:
        """Why the request has certainly not run, ``None`` if it may have."""
        return self.stated if self.code.not_run else None

    @property
    def ambiguous(self) -> bool:
        """Whether a duplicate could be mistaken for a later response.

        A duplicate of a refusal could be even if it echoes its request's
        identifier, because the same request may be sent over the connection
        again.
        """
        return self.stated is not None or not self.echoes_id


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

    def may_be_duplicate(
        self, call: frames.Call, reply: exchanges.Response, has_refused: bool
    ) -> bool:
        """Return whether a response may be a duplicate of a refusal.

        :param has_refused: whether another request was refused on the
            connection before.
        """
        if not has_refused or not self._not_executed(reply):
            return False
        echoes_id = bool(reply.header(self._names.request_id))
        # A repeated request may have been refused on the same connection.
        return not echoes_id or bool(call.flags & frames.Flag.RETRY)

    def interpret(
        self, reply: exchanges.Response, may_be_duplicate: bool = False
    ) -> Interpretation:
        """Return the result that a response means for its request.

        :param may_be_duplicate: whether the response is a refusal that does
            not prove that the request has not run.
        """
        echoes_id = bool(reply.header(self._names.request_id))
        stated = self._stated_reason(reply)
        if may_be_duplicate:
            code = results.REFUSAL_UNPROVED
        elif stated is not_run_reasons.NotRunReason.MISDIRECTED:
            code = results.INSTANCE_GONE
        elif stated is not None and (
            reply.status >= _REFUSED_STATUS_MIN
            or reply.status == _TIMEOUT_STATUS
        ):
            code = results.UPSTREAM_SHED
        elif self._deliverable(reply):
            code = results.ANSWERED
        else:
            code = results.UPSTREAM_BROKEN
        return Interpretation(code, stated, echoes_id)

    def advertised(
        self, headers: callers.Headers
    ) -> advertised_state.Advertisement:
        """Return what a response's headers advertise about its upstream."""
        names = self._names
        return advertised_state.parse(
            [v.decode("latin-1") for k, v in headers if k == names.rate_limit],
            [v.decode("latin-1") for k, v in headers if k == names.draining],
        )

    def cold_s(self, headers: callers.Headers) -> float | None:
        """Return how long an upstream says that it remains cold, in seconds.

        ``None`` if it does not say or says it in an invalid form.
        """
        values = {v.strip() for k, v in headers if k == self._names.cold_ms}
        if len(values) != 1:
            return None
        value = values.pop()
        if _MILLISECONDS.fullmatch(value) is None:
            return None
        return int(value) / 1000

    def reported_load(
        self, headers: callers.Headers
    ) -> reported_load.Report | None:
        """Return the load that a response reports, ``None`` without one.

        Upstreams that state no slowdown do not share their machines. Their
        slots are those of the host list, and all their requests pass the gate.
        """
        name = self._names.load
        report = reported_load.parse([v for k, v in headers if k == name])
        if report is None or report.slowdown is None:
            return None
        return report

    def caller_headers(self, reply: exchanges.Response) -> callers.Headers:
        """Return the headers that are passed on to the caller."""
        return [
            pair
            for pair in callers.end_to_end(reply.headers)
            if pair[0] not in self._hidden
        ]

    def _stated_reason(
        self, reply: exchanges.Response
    ) -> not_run_reasons.NotRunReason | None:
        """Return why a response states that its request did not run."""
        if reply.status == _MISDIRECTED_STATUS:
            return not_run_reasons.NotRunReason.MISDIRECTED
        if reply.header(self._names.not_executed):
            return not_run_reasons.NotRunReason.MARK
        return None

    def _not_executed(self, reply: exchanges.Response) -> bool:
        """Return whether a response states that the request did not run."""
        return self._stated_reason(reply) is not None

    def _deliverable(self, reply: exchanges.Response) -> bool:
        """Return whether a response may be delivered as the upstream's own."""
        if reply.status >= 300:
            return True
        return bool(
            reply.header(self._names.signature)
            and not reply.header(b"content-encoding")
        )
