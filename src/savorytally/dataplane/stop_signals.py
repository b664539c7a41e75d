"""Signals to stop, with the longest time that each can have waited."""

import asyncio
import functools
import signal
import time
import types
import typing as t

_NUMBERS = (signal.SIGINT, signal.SIGTERM)


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
        self._reported_at = 0.0
        self._processor_s = 0.0
        self.note_running()

    def install(self) -> None:
        """Install the handlers; only the main thread may do that."""
        for number in _NUMBERS:
            # The loop's own handler makes the signal wake an idle loop.
            self._loop.add_signal_handler(number, lambda: None)
            signal.signal(number, self._arrived)

    def note_running(self) -> None:
        """Note that the main thread runs and that no signal waits for it."""
        self._reported_at = time.monotonic()
        self._processor_s = time.thread_time()

    def _arrived(self, number: int, frame: types.FrameType | None) -> None:
        """Handle a signal, also while a callback keeps the loop busy."""
        now = time.monotonic()
        ran_s = time.thread_time() - self._processor_s
        waited_s = max(0.0, now - self._reported_at - ran_s)
        self._loop.call_soon_threadsafe(
            functools.partial(self._handle, now - waited_s)
        )

    def _handle(self, sent_at: float) -> None:
        """Report a signal.

        :param sent_at: the earliest time at which it can have been sent.
        """
        self._on_signal(time.monotonic() - sent_at)
