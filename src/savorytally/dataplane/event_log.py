"""Writes log lines as JSON without blocking, at a limited rate.

Lines that exceed the rate are dropped and counted; the next line that is
written contains the number of dropped lines.
"""

import asyncio
import json
import os
import time
import typing as t

# Rate of written lines and size of a burst.
LINES_PER_S = 120
LINES_BURST = 400
FLUSH_S = 0.2
# One of this number of served requests is logged; failed requests always are.
SERVED_SAMPLE = 16
BUFFER_MAX_BYTES = 1 << 18


class EventLog:
    """Writes a log line for each event.

    :param host_id: the host that logs.
    :param descriptor: the file descriptor that lines are written to.
    """

    def __init__(self, host_id: str, descriptor: int = 1) -> None:
        self._host_id = host_id
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._lines: list[str] = []
        self._unwritten = b""
        self._tokens = float(LINES_BURST)
        self._refilled_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._served = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def event(self, name: str, **fields: t.Any) -> None:
        """Log an event.

        :param name: the kind of event.
        :param fields: further fields of the line.
        """
        self._add(name, fields)

    def samples_served(self) -> bool:
        """Return whether the request that was just served should be logged."""
        self._served += 1
        return self._served % SERVED_SAMPLE == 0

    def flush(self) -> None:
        """Write the buffered lines as far as possible without blocking."""
        self._timer = None
        data = self._unwritten + "".join(self._lines).encode()
        self._lines = []
        self._unwritten = b""
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader of the logs is gone; there is no other place to report
            # that.
            return
        self._unwritten = data[written:]
        if len(self._unwritten) > BUFFER_MAX_BYTES:
            self.dropped += self._unwritten.count(b"\n")
            self._unwritten = b""

    def _add(self, name: str, fields: dict[str, t.Any]) -> None:
        """Buffer a line if the rate allows it, or else count it as dropped."""
        now = self._loop.time()
        gained = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(LINES_BURST, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        line: dict[str, t.Any] = {
            "time": round(time.time(), 4),
            "host": self._host_id,
            "event": name,
        }
        line.update(fields)
        if self.dropped:
            line["lines_dropped"], self.dropped = self.dropped, 0
        self._lines.append(json.dumps(line, separators=(",", ":")) + "\n")
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_S, self.flush)
