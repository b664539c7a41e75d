"""Distributed tracing: one span per hop, linked by W3C trace context.

Tracing wraps the interfaces between a node's components; the components only
pass the ``traceparent`` header on. A request that is not sampled costs one
comparison per wrapper. A node with sampling disabled has no wrappers and
does not import the tracing library.
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
from .parts import call_tokens
from .parts import context
from .parts import headers
from .peer import messages
from .world import host

if t.TYPE_CHECKING:
    from opentelemetry import trace

Handle = t.Callable[[context.Request], t.Awaitable[outcomes.Outcome]]
Run = t.Callable[[messages.Call], t.Awaitable[outcomes.Outcome]]
Result = outcomes.Outcome | ports.CallResult

# The sampled flag is the lowest bit of the last hexadecimal digit.
_SAMPLED_DIGITS = frozenset("13579bdf")


@dataclasses.dataclass(slots=True)
class _Queued:
    """A call at the gate that has not reached the upstream yet.

    :param started_ns: arrival time in nanoseconds since the Unix epoch.
    :param traceparent: trace context of the gate's span.
    :param ended: whether the queueing has ended.
    """

    started_ns: int
    traceparent: str
    ended: bool = False


_queued: contextvars.ContextVar[_Queued | None] = contextvars.ContextVar(
    "queued", default=None
)


class Tracing:
    """Wraps the interfaces between a node's components in spans.

    :param tracer: creates the spans.
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
        """Wrap the entry's handler of callers' requests."""

        def traced(
            request: context.Request,
        ) -> t.Awaitable[outcomes.Outcome]:
            parent = headers.traceparent(request.headers)
            if not self._is_sampled_request(parent):
                return handle(request)
            return self.in_span(
                "entry",
                parent,
                lambda current: handle(_with_traceparent(request, current)),
                method=request.method,
            )

        return traced

    def egress(
        self, handle: Handle, tokens: call_tokens.RunningCalls
    ) -> Handle:
        """Wrap the egress's handler of the local upstream's calls.

        :param handle: the handler.
        :param tokens: the running calls by token, which supply the trace
            context if the upstream does not propagate it.
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
                lambda current: handle(_with_traceparent(request, current)),
                method=request.method,
            )

        return traced

    def gate(self, run: Run) -> Run:
        """Wrap the gate's function that runs a call."""

        def traced(call: messages.Call) -> t.Awaitable[outcomes.Outcome]:
            if not is_sampled(call.traceparent):
                return run(call)
            return self.in_span(
                "gate",
                call.traceparent,
                lambda current: self._run_queued(run, call, current),
                route=call.route_id,
                organisation=call.organisation_id,
                depth=call.depth,
            )

        return traced

    def peers(self, inner: ports.Peers) -> ports.Peers:
        """Wrap the client of other nodes."""
        return _TracedPeers(self, inner)

    def upstream(self, inner: ports.Upstream) -> ports.Upstream:
        """Wrap the client of the local upstream."""
        return _TracedUpstream(self, inner)

    def end_queue(self, queued: _Queued) -> None:
        """Record the queueing span of a call that left the gate's queue."""
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
        """Run some work within a span.

        :param name: name of the span.
        :param parent: trace context of the parent span, empty for none.
        :param work: called with the trace context of the new span.
        :param attributes: attributes of the span.
        """
        span = self._start(name, parent, attributes)
        try:
            result = await work(_format_traceparent(span.get_span_context()))
            span.set_attribute("code", _result_code(result))
            return result
        except asyncio.CancelledError:
            span.set_attribute("cancelled", True)
            raise
        finally:
            span.end()

    def _is_sampled_request(self, parent: str) -> bool:
        if parent:
            return is_sampled(parent)
        return self._random.random() < self._sample

    async def _run_queued(
        self, run: Run, call: messages.Call, traceparent: str
    ) -> outcomes.Outcome:
        queued = _Queued(time.time_ns(), traceparent)
        _queued.set(queued)
        try:
            return await run(
                dataclasses.replace(call, traceparent=traceparent)
            )
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
            context=_parse_traceparent(parent),
            attributes=attributes,
            start_time=started_ns,
        )


class _TracedPeers:
    """Client of other nodes that traces each call."""

    def __init__(self, tracing: Tracing, inner: ports.Peers) -> None:
        self._tracing = tracing
        self._inner = inner
        self.send = inner.send

    def call(
        self,
        target: host.Host,
        call: messages.Call,
        late: ports.LateResult | None = None,
    ) -> t.Awaitable[ports.CallResult]:
        """Run a call at the target's gate."""
        if not is_sampled(call.traceparent):
            return self._inner.call(target, call, late)
        return self._tracing.in_span(
            "dispatch",
            call.traceparent,
            lambda current: self._inner.call(
                target, dataclasses.replace(call, traceparent=current), late
            ),
            host=target.host_id,
            route=call.route_id,
            attempt=call.attempt,
        )


class _TracedUpstream:
    """Client of the local upstream that traces each exchange."""

    def __init__(self, tracing: Tracing, inner: ports.Upstream) -> None:
        self._tracing = tracing
        self._inner = inner

    def exchange(
        self, request: ports.UpstreamRequest, timeout_s: float
    ) -> t.Awaitable[outcomes.Outcome]:
        """Send a request and return the whole response or a failure."""
        queued = _queued.get()
        if queued is None:
            return self._inner.exchange(request, timeout_s)
        self._tracing.end_queue(queued)
        return self._tracing.in_span(
            "upstream",
            queued.traceparent,
            lambda current: self._inner.exchange(
                _with_traceparent(request, current), timeout_s
            ),
            method=request.method,
        )


def create(
    options: settings.Settings,
    source: random.Random,
    stream: t.TextIO | None = None,
) -> Tracing | None:
    """Return the tracing of a node, ``None`` if sampling is disabled.

    :param options: the node's settings.
    :param source: seeded random source.
    :param stream: receives the spans as JSON lines, stderr by default.
    """
    if options.trace_sample <= 0:
        return None
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk
    from opentelemetry.sdk.trace import export as exporting

    class LineExporter(exporting.SpanExporter):
        """Writes each span as a JSON object on one line."""

        def export(
            self, spans: t.Sequence[sdk.ReadableSpan]
        ) -> exporting.SpanExportResult:
            lines = [json.dumps(_span_fields(span)) + "\n" for span in spans]
            (stream or sys.stderr).write("".join(lines))
            return exporting.SpanExportResult.SUCCESS

    provider = sdk.TracerProvider(
        resource=resources.Resource({"host.id": options.host_id}),
        shutdown_on_exit=False,
    )
    # SimpleSpanProcessor exports immediately and starts no thread.
    provider.add_span_processor(exporting.SimpleSpanProcessor(LineExporter()))
    tracer = provider.get_tracer("savorytally")
    return Tracing(tracer, options.trace_sample, source)


def is_sampled(traceparent: str) -> bool:
    """Return whether a trace context has the sampled flag set."""
    return bool(traceparent) and traceparent[-1] in _SAMPLED_DIGITS


def _span_fields(span: t.Any) -> dict[str, t.Any]:
    span_context = span.get_span_context()
    parent = span.parent
    return {
        "span": span.name,
        "host": span.resource.attributes["host.id"],
        "trace_id": f"{span_context.trace_id:032x}",
        "span_id": f"{span_context.span_id:016x}",
        "parent_id": f"{parent.span_id:016x}" if parent else "",
        "start_ns": span.start_time,
        "duration_us": (span.end_time - span.start_time) // 1000,
        **span.attributes,
    }


def _with_traceparent(request: t.Any, traceparent: str) -> t.Any:
    other_headers = tuple(
        pair
        for pair in request.headers
        if pair[0].lower() != headers.TRACEPARENT.lower()
    )
    given = (*other_headers, (headers.TRACEPARENT, traceparent))
    return dataclasses.replace(request, headers=given)


def _format_traceparent(span: "trace.SpanContext") -> str:
    flags = int(span.trace_flags)
    return f"00-{span.trace_id:032x}-{span.span_id:016x}-{flags:02x}"


def _parse_traceparent(traceparent: str) -> t.Any:
    from opentelemetry import context as otel_context
    from opentelemetry import trace

    if not headers.is_traceparent(traceparent):
        return otel_context.Context()
    _, trace_id, span_id, flags = traceparent.split("-")
    parent = trace.SpanContext(
        trace_id=int(trace_id, 16),
        span_id=int(span_id, 16),
        is_remote=True,
        trace_flags=trace.TraceFlags(int(flags, 16)),
    )
    return trace.set_span_in_context(
        trace.NonRecordingSpan(parent), otel_context.Context()
    )


def _result_code(result: Result) -> int:
    if isinstance(result, ports.CallResult):
        return result.outcome.code.number
    return result.code.number
