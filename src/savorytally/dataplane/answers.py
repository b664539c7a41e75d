"""Encodes requests to upstreams and interprets their responses."""

import dataclasses

from .. import results
from ..decisions import standing
from . import callers
from . import dialect
from . import exchanges
from . import frames
from . import grounds

_MISDIRECTED_STATUS = 421
_TIMEOUT_STATUS = 408
_REFUSED_STATUS_MIN = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result that a response means for its request.

    :param code: the request's result code.
    :param ground: the reason why the request has certainly not run, ``None``
        if it may have run.
    :param named: whether the response echoes the request's identifier.
    """

    code: results.ResultCode
    ground: grounds.Ground | None
    named: bool

    @property
    def ambiguous(self) -> bool:
        """Whether a duplicate could be mistaken for a later response.

        A duplicate of a refusal could be even if it echoes its request's
        identifier, because the same request may be sent over the connection
        again.
        """
        return self.ground is not None or not self.named


class Answers:
    """Encodes requests to upstreams and interprets their responses.

    :param spoken: the header names.
    """

    def __init__(self, spoken: dialect.Dialect) -> None:
        self._dialect = spoken
        self._hidden = (spoken.load, spoken.answered_by)

    def encode(self, call: frames.Call, left_ms: int) -> bytes:
        """Return the bytes of a request.

        :param left_ms: time until the request's deadline, in milliseconds.
        """
        named = self._dialect
        parts = [call.method, b" ", call.target, b" HTTP/1.1\r\n"]
        for name, value in call.headers:
            parts += (name, b": ", value, b"\r\n")
        for name, text in (
            (named.request_id, call.request_id),
            (named.remaining_ms, b"%d" % left_ms),
            (named.instance, call.instance_id.encode()),
            (named.caller_service, call.caller_service.encode()),
            (named.organisation, call.organisation.encode()),
        ):
            if text:
                parts += (name, b": ", text, b"\r\n")
        if call.body or call.method not in (b"GET", b"HEAD"):
            parts.append(b"content-length: %d\r\n" % len(call.body))
        parts += (b"\r\n", call.body)
        return b"".join(parts)

    def belongs(
        self, call: frames.Call, reply: exchanges.Reply, ambiguous: bool
    ) -> bool:
        """Return whether a response answers a request.

        :param ambiguous: whether a duplicate of an earlier response may arrive
            on the connection. Only idempotent requests are sent over such a
            connection, since a response without an identifier may belong to
            another request.
        """
        echoed = reply.header(self._dialect.request_id)
        if echoed:
            return echoed == call.request_id
        # Upstreams omit the identifier only if they did not run the request.
        if not ambiguous:
            return self._not_executed(reply) or reply.status >= 400
        if reply.status == _MISDIRECTED_STATUS:
            told_by = reply.header(self._dialect.answered_by)
            return told_by != call.instance_id.encode()
        return self._not_executed(reply)

    def answered_by(self, reply: exchanges.Reply) -> str:
        """Return the upstream instance that a response names as its sender."""
        return reply.header(self._dialect.answered_by).decode("latin-1")

    def judge(self, reply: exchanges.Reply) -> Verdict:
        """Return the result that a response means for its request."""
        named = bool(reply.header(self._dialect.request_id))
        if reply.status == _MISDIRECTED_STATUS:
            ground = grounds.Ground.MISDIRECTED
            return Verdict(results.INSTANCE_GONE, ground, named)
        refused = (
            reply.status >= _REFUSED_STATUS_MIN
            or reply.status == _TIMEOUT_STATUS
        )
        if refused and self._not_executed(reply):
            ground = grounds.Ground.MARK
            return Verdict(results.UPSTREAM_SHED, ground, named)
        if self._whole(reply):
            return Verdict(results.ANSWERED, None, named)
        return Verdict(results.UPSTREAM_BROKEN, None, named)

    def said(self, headers: callers.Headers) -> standing.Said:
        """Return what a response's headers advertise about its upstream."""
        named = self._dialect
        return standing.read(
            [v.decode("latin-1") for k, v in headers if k == named.limit],
            [v.decode("latin-1") for k, v in headers if k == named.leaving],
        )

    def returned_headers(self, reply: exchanges.Reply) -> callers.Headers:
        """Return the headers that are passed on to the caller."""
        return [
            pair
            for pair in callers.end_to_end(reply.headers)
            if pair[0] not in self._hidden
        ]

    def _not_executed(self, reply: exchanges.Reply) -> bool:
        """Return whether a response states that the request did not run."""
        if reply.status == _MISDIRECTED_STATUS:
            return True
        return bool(reply.header(self._dialect.not_executed))

    def _whole(self, reply: exchanges.Reply) -> bool:
        """Return whether a response may be delivered as the upstream's own."""
        if reply.status >= 300:
            return True
        return bool(
            reply.header(self._dialect.signature)
            and not reply.header(b"content-encoding")
        )
