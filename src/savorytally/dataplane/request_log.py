"""The log line that is written when a request has ended."""

import dataclasses
import typing as t

from .. import results
from . import calls
from . import gate


@dataclasses.dataclass(frozen=True, slots=True)
class Below:
    """What the entry expects of the calls that a request makes.

    :param wait_s: their expected wait, in seconds.
    :param refused_fraction: fraction of such requests that is refused because
        of failing calls.
    """

    wait_s: float
    refused_fraction: float


def describe(
    call: calls.Call,
    code: results.ResultCode,
    status: int,
    version: int,
    below: Below,
    now: float,
    stopping_s: float | None = None,
) -> dict[str, t.Any]:
    """Return the fields of the log line.

    :param call: the call that has ended.
    :param code: its result code.
    :param status: HTTP status of the response.
    :param version: version of the configuration in force.
    :param below: what is expected of the calls below.
    :param now: loop time.
    :param stopping_s: seconds since the stop signal, ``None`` without one.
    """
    fields: dict[str, t.Any] = {
        "id": call.request_id.decode("latin-1"),
        "route": call.route.name if call.route is not None else "",
        "code": code.number,
        "outcome": code.name,
        "ground": call.not_run_reason.value if code.not_run else "",
        "status": status,
        "took_ms": round((now - call.started) * 1000, 1),
        "left_ms": call.client_remaining_ms,
        "rank": call.rank,
        "organisation": call.organisation,
        "hosts": call.tried,
        "reached": call.reached,
        "offers": call.offers,
        "repeats": call.retries,
        "version": version,
    }
    if call.parent is not None:
        run: gate.Run = call.parent.context
        fields["parent"] = run.call.request_id.decode("latin-1")
        # Whether the parent's own arrival counts as a retry.
        fields["below_repeat"] = run.retry
    if call.matched_by is not None:
        fields["matched"] = call.matched_by.value
    if call.retry_refused:
        fields["repeats_refused"] = True
    if stopping_s is not None:
        fields["stopping_ms"] = round(stopping_s * 1000, 1)
    if call.shortened_s:
        fields["shortened_ms"] = round(call.shortened_s * 1000, 1)
    if code is not results.ANSWERED and call.route is not None:
        fields["below_ms"] = round(below.wait_s * 1000, 1)
        fields["chain_refused"] = round(below.refused_fraction, 2)
    return fields
