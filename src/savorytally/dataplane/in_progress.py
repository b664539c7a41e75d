"""The requests in progress at the entry, and the stage of each."""

import collections
import typing as t

from . import callers
from . import calls
from . import counters
from . import event_log
from . import header_names

# The request waits for the first configuration.
HELD = "held"
# The response waits for earlier responses on its connection.
ANSWERED = "answered"


class InProgress:
    """Requests that were read and have no response yet.

    :param names: the header names.
    :param counts: counts cut requests.
    :param log: logs cut requests.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        counts: counters.Counters,
        log: event_log.EventLog,
    ) -> None:
        self._names = names
        self._counts = counts
        self._log = log
        # Requests that wait for the first configuration, with the loop time of
        # their arrival.
        self._held: dict[callers.Request, float] = {}
        self._calls: dict[callers.Request, calls.Call] = {}

    def __len__(self) -> int:
        return len(self._held) + len(self._calls)

    @property
    def unanswered(self) -> list[calls.Call]:
        """The calls in progress."""
        return list(self._calls.values())

    def hold(self, request: callers.Request, now: float) -> bool:
        """Keep a request for later; return whether it is the only one."""
        self._held[request] = now
        return len(self._held) == 1

    def release(self) -> list[callers.Request]:
        """Return the kept requests whose callers are still connected."""
        held, self._held = self._held, {}
        return [request for request in held if request.response_head is None]

    def begin(self, call: calls.Call) -> None:
        """Note that a call has started."""
        self._calls[call.request] = call

    def end(self, call: calls.Call) -> None:
        """Note that a call has ended."""
        del self._calls[call.request]

    def stages(self) -> dict[str, int]:
        """Return the number of requests in each stage."""
        found = collections.Counter(
            call.stage for call in self._calls.values()
        )
        if self._held:
            found[HELD] = len(self._held)
        return dict(sorted(found.items()))

    def note_cut(
        self,
        requests: t.Iterable[callers.Request],
        now: float,
        stopping_s: float | None,
    ) -> None:
        """Count and log requests whose connections this node closes.

        :param now: loop time.
        :param stopping_s: seconds since the stop signal, ``None`` without one.
        """
        for request in requests:
            call = self._calls.get(request)
            stage = ANSWERED
            began = now
            fields: dict[str, t.Any] = {}
            if call is not None:
                stage, began = call.stage, call.started
                fields["hosts"] = call.tried
                fields["reached"] = call.reached
                if call.route is not None:
                    fields["route"] = call.route.name
            elif request in self._held:
                stage, began = HELD, self._held[request]
            if stopping_s is not None:
                fields["stopping_ms"] = round(stopping_s * 1000, 1)
            request_id = request.header(self._names.request_id)
            self._counts.cut(stage)
            self._log.event(
                "cut",
                id=request_id.decode("latin-1"),
                where=stage,
                took_ms=round((now - began) * 1000, 1),
                **fields,
            )
