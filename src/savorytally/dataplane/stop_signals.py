"""Signals to stop, with the longest time that each can have waited."""

import asyncio
import functools
import signal
import time
import types
import typing as t

_NUMBERS = (signal.SIGINT, signal.SIGTERM)
# A longer time without running is a pause. Any thread of the process may take
# a signal that has waited; until this long after a pause, one that another
# thread is late to pass on counts as sent in the pause.
PAUSE_S = 0.2
SETTLE_S = 0.5


class StopSignals:
    """Calls a function in the event loop for each signal to stop.

    A signal does not say when it was sent. The kernel delivers it at once to
    a thread that runs, and later to one that is suspended or gets no
    processor. So it can have waited no longer than the main thread has not
    run since it last reported with :meth:`note_running`.

    :param loop: the event loop of the main thread.
    :param on_signal: called with the longest time in seconds that the signal
        can have waited.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_signal: t.Callable[[float], None],
    ) -> None:
        self._loop = loop
        self._on_signal = on_signal
        # Clock readings of the latest report.
        self._reported_at = time.monotonic()
        self._processor_s = time.thread_time()
        # When a pause ended, while reports do not count yet.
        self._resumed_at: float | None = None

    def install(self) -> None:
        """Install the handlers; only the main thread may do that."""
        for number in _NUMBERS:
            # The loop's own handler makes the signal wake an idle loop.
            self._loop.add_signal_handler(number, lambda: None)
            signal.signal(number, self._arrived)

    def note_running(self) -> None:
        """Note that the main thread runs and that no signal waits for it."""
        now = time.monotonic()
        if self._stood_still_s(now) > PAUSE_S:
            if self._resumed_at is None:
                self._resumed_at = now
            if now - self._resumed_at < SETTLE_S:
                return
        self._resumed_at = None
        self._reported_at = now
        self._processor_s = time.thread_time()

    def _stood_still_s(self, now: float) -> float:
        """Return how long the main thread has not run since its report."""
        ran_s = time.thread_time() - self._processor_s
        return max(0.0, now - self._reported_at - ran_s)

    def _arrived(self, number: int, frame: types.FrameType | None) -> None:
        """Handle a signal, also while a callback keeps the loop busy."""
        now = time.monotonic()
        sent_at = now - self._stood_still_s(now)
        self._loop.call_soon_threadsafe(
            functools.partial(self._handle, sent_at)
        )

    def _handle(self, sent_at: float) -> None:
        """Report a signal.

        :param sent_at: the earliest time at which it can have been sent.
        """
        self._on_signal(time.monotonic() - sent_at)
