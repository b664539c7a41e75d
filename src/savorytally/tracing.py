"""Spans of requests: one for each hop, joined by W3C trace context.

The wrappers here stand at the seams of a node, so its parts know of trace
context only as text that they pass on. A request that is not sampled costs
one comparison at each seam; a node that samples nothing wraps nothing and
does not load the tracing library.
"""

import asyncio
import contextvars
import dataclasses
import json
import random
import sys
import time
import typing as t

from . import outcomes
from . import ports
from . import settings
from .parts import context
from .parts import headers
from .parts import running
from .peer import messages
from .world import host

if t.TYPE_CHECKING:
    from opentelemetry import trace

Handle = t.Callable[[context.Request], t.Awaitable[outcomes.Outcome]]
Run = t.Callable[[messages.Call], t.Awaitable[outcomes.Outcome]]
Result = outcomes.Outcome | ports.CallResult

# The lowest bit of the flags, the last of the hexadecimal digits.
_SAMPLED_DIGITS = frozenset("13579bdf")


@dataclasses.dataclass(slots=True)
class _Queued:
    """A call at the gate that has not reached the upstream yet.

    :param started_ns: when it arrived.
    :param traceparent: context of the gate's span.
    :param ended: whether its wait is over.
    """

    started_ns: int
    traceparent: str
    ended: bool = False


_queued: contextvars.ContextVar[_Queued | None] = contextvars.ContextVar(
    "queued", default=None
)


class Tracing:
    """Wraps the seams of a node in spans.

    :param tracer: makes the spans.
    :param sample: fraction of root requests that are traced.
    :param source: seeded random source.
    """

    def __init__(
        self, tracer: "trace.Tracer", sample: float, source: random.Random
    ) -> None:
        self._tracer = tracer
        self._sample = sample
        self._random = source

    def entry(self, handle: Handle) -> Handle:
        """Wrap the handling of callers' requests."""

        def traced(
            request: context.Request,
        ) -> t.Awaitable[outcomes.Outcome]:
            parent = headers.traceparent(request.headers)
            if not self._chosen(parent):
                return handle(request)
            return self.in_span(
                "entry",
                parent,
                lambda own: handle(_with_traceparent(request, own)),
                method=request.method,
            )

        return traced

    def egress(self, handle: Handle, tokens: running.RunningCalls) -> Handle:
        """Wrap the handling of the upstream's own calls.

        :param tokens: the running calls, for upstreams that do not pass
            trace context on.
        """

        def traced(
            request: context.Request,
        ) -> t.Awaitable[outcomes.Outcome]:
            parent = headers.traceparent(request.headers)
            if not parent:
                found = tokens.find(request.header(headers.CALL_TOKEN))
                parent = found.call.traceparent if found else ""
            if not is_sampled(parent):
                return handle(request)
            return self.in_span(
                "egress",
                parent,
                lambda own: handle(_with_traceparent(request, own)),
                method=request.method,
            )

        return traced

    def gate(self, run: Run) -> Run:
        """Wrap the running of a call at the gate."""

        def traced(call: messages.Call) -> t.Awaitable[outcomes.Outcome]:
            if not is_sampled(call.traceparent):
                return run(call)
            return self.in_span(
                "gate",
                call.traceparent,
                lambda own: self._run(run, call, own),
                route=call.route_id,
                organisation=call.organisation_id,
                depth=call.depth,
            )

        return traced

    def peers(self, inner: ports.Peers) -> ports.Peers:
        """Wrap the calls to other nodes."""
        return _TracedPeers(self, inner)

    def upstream(self, inner: ports.Upstream) -> ports.Upstream:
        """Wrap the exchanges with the local upstream."""
        return _TracedUpstream(self, inner)

    def end_queue(self, queued: _Queued) -> None:
        """Note that a call waits no longer at the gate."""
        if queued.ended:
            return
        queued.ended = True
        self._start("queue", queued.traceparent, {}, queued.started_ns).end()

    async def in_span(
        self,
        name: str,
        parent: str,
        work: t.Callable[[str], t.Awaitable[t.Any]],
        **attributes: str | int,
    ) -> t.Any:
        """Do some work in a span.

        :param parent: trace context of the span above, may be empty.
        :param work: is given the trace context of the new span.
        """
        span = self._start(name, parent, attributes)
        try:
            result = await work(_format(span.get_span_context()))
            span.set_attribute("code", _code(result))
            return result
        except asyncio.CancelledError:
            span.set_attribute("cancelled", True)
            raise
        finally:
            span.end()

    def _chosen(self, parent: str) -> bool:
        if parent:
            return is_sampled(parent)
        return self._random.random() < self._sample

    async def _run(
        self, run: Run, call: messages.Call, own: str
    ) -> outcomes.Outcome:
        queued = _Queued(time.time_ns(), own)
        _queued.set(queued)
        try:
            return await run(dataclasses.replace(call, traceparent=own))
        finally:
            self.end_queue(queued)

    def _start(
        self,
        name: str,
        parent: str,
        attributes: dict[str, str | int],
        started_ns: int | None = None,
    ) -> "trace.Span":
        return self._tracer.start_span(
            name,
            context=_parse(parent),
            attributes=attributes,
            start_time=started_ns,
        )


class _TracedPeers:
    """The nodes of other hosts, each call to them in a span."""

    def __init__(self, tracing: Tracing, inner: ports.Peers) -> None:
        self._tracing = tracing
        self._inner = inner
        self.send = inner.send

    def call(
        self,
        target: host.Host,
        call: messages.Call,
        late: ports.Late | None = None,
    ) -> t.Awaitable[ports.CallResult]:
        """Run a call at the target's gate."""
        if not is_sampled(call.traceparent):
            return self._inner.call(target, call, late)
        return self._tracing.in_span(
            "dispatch",
            call.traceparent,
            lambda own: self._inner.call(
                target, dataclasses.replace(call, traceparent=own), late
            ),
            host=target.host_id,
            route=call.route_id,
            attempt=call.attempt,
        )


class _TracedUpstream:
    """The local upstream, each exchange with it in a span."""

    def __init__(self, tracing: Tracing, inner: ports.Upstream) -> None:
        self._tracing = tracing
        self._inner = inner

    def exchange(
        self, request: ports.UpstreamRequest, timeout_s: float
    ) -> t.Awaitable[outcomes.Outcome]:
        """Send a request and return its whole answer or a failure."""
        queued = _queued.get()
        if queued is None:
            return self._inner.exchange(request, timeout_s)
        self._tracing.end_queue(queued)
        return self._tracing.in_span(
            "upstream",
            queued.traceparent,
            lambda own: self._inner.exchange(
                _with_traceparent(request, own), timeout_s
            ),
            method=request.method,
        )


def make(
    options: settings.Settings,
    source: random.Random,
    stream: t.TextIO | None = None,
) -> Tracing | None:
    """Return the tracing of a node, ``None`` if it samples nothing.

    :param stream: takes the spans as lines of JSON, stderr by default.
    """
    if options.trace_sample <= 0:
        return None
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk
    from opentelemetry.sdk.trace import export as exporting

    class LineExporter(exporting.SpanExporter):
        """Writes each span as one line of JSON."""

        def export(
            self, spans: t.Sequence[sdk.ReadableSpan]
        ) -> exporting.SpanExportResult:
            lines = [json.dumps(_document(span)) + "\n" for span in spans]
            (stream or sys.stderr).write("".join(lines))
            return exporting.SpanExportResult.SUCCESS

    provider = sdk.TracerProvider(
        resource=resources.Resource({"host.id": options.host_id}),
        shutdown_on_exit=False,
    )
    # The simple processor exports at once and starts no thread.
    provider.add_span_processor(exporting.SimpleSpanProcessor(LineExporter()))
    tracer = provider.get_tracer("savorytally")
    return Tracing(tracer, options.trace_sample, source)


def is_sampled(traceparent: str) -> bool:
    """Return whether a trace context asks for spans."""
    return bool(traceparent) and traceparent[-1] in _SAMPLED_DIGITS


def _document(span: t.Any) -> dict[str, t.Any]:
    own = span.get_span_context()
    parent = span.parent
    return {
        "span": span.name,
        "host": span.resource.attributes["host.id"],
        "trace_id": f"{own.trace_id:032x}",
        "span_id": f"{own.span_id:016x}",
        "parent_id": f"{parent.span_id:016x}" if parent else "",
        "start_ns": span.start_time,
        "duration_us": (span.end_time - span.start_time) // 1000,
        **span.attributes,
    }


def _with_traceparent(request: t.Any, own: str) -> t.Any:
    kept = tuple(
        pair
        for pair in request.headers
        if pair[0].lower() != headers.TRACEPARENT.lower()
    )
    given = (*kept, (headers.TRACEPARENT, own))
    return dataclasses.replace(request, headers=given)


def _format(own: "trace.SpanContext") -> str:
    flags = int(own.trace_flags)
    return f"00-{own.trace_id:032x}-{own.span_id:016x}-{flags:02x}"


def _parse(traceparent: str) -> t.Any:
    from opentelemetry import context as otel_context
    from opentelemetry import trace

    if not headers.is_traceparent(traceparent):
        return otel_context.Context()
    _, trace_id, span_id, flags = traceparent.split("-")
    above = trace.SpanContext(
        trace_id=int(trace_id, 16),
        span_id=int(span_id, 16),
        is_remote=True,
        trace_flags=trace.TraceFlags(int(flags, 16)),
    )
    return trace.set_span_in_context(
        trace.NonRecordingSpan(above), otel_context.Context()
    )


def _code(result: Result) -> int:
    if isinstance(result, ports.CallResult):
        return result.outcome.code.number
    return result.code.number
