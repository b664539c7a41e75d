"""The log line on the end of a request."""

import typing as t

from .. import results
from . import calls
from . import gate


def describe(
    call: calls.Call,
    code: results.ResultCode,
    status: int,
    version: int,
    below_s: float,
    now: float,
) -> dict[str, t.Any]:
    """Return the fields of the line.

    :param status: HTTP status of the answer.
    :param version: version of the configuration in force.
    :param below_s: expected wait of the calls below.
    :param now: loop time.
    """
    fields: dict[str, t.Any] = {
        "id": call.request_id.decode("latin-1"),
        "route": call.route.name if call.route is not None else "",
        "code": code.number,
        "outcome": code.name,
        "ground": call.ground.value if code.not_run else "",
        "status": status,
        "took_ms": round((now - call.started) * 1000, 1),
        "left_ms": call.clients_ms,
        "rank": call.rank,
        "organisation": call.organisation,
        "hosts": call.tried,
        "reached": call.reached,
        "offers": call.offers,
        "repeats": call.repeats,
        "version": version,
    }
    if call.parent is not None:
        run: gate.Run = call.parent.owner
        fields["parent"] = run.call.request_id.decode("latin-1")
        # Whether its arrival itself counts as a repeat.
        fields["below_repeat"] = run.repeat
    if call.matched is not None:
        fields["matched"] = call.matched.value
    if call.repeats_refused:
        fields["repeats_refused"] = True
    if code is not results.ANSWERED and call.route is not None:
        fields["below_ms"] = round(below_s * 1000, 1)
    return fields
