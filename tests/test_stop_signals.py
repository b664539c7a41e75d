"""A stop is counted from its signal, not from when that is handled."""

import asyncio
import os
import signal
import subprocess
import sys
import threading
import time

import pytest
import uvloop

from savorytally.dataplane import stop_signals

# Runs a loop that reports every 50 ms; prints when its signal was sent.
PROCESS = """
import asyncio
import time
import uvloop
from savorytally.dataplane import stop_signals

async def work():
    loop = asyncio.get_running_loop()
    sent_at = loop.create_future()
    signals = stop_signals.StopSignals(
        loop, lambda late_s: sent_at.set_result(time.monotonic() - late_s)
    )
    signals.install()
    print("ready", flush=True)
    while not sent_at.done():
        await asyncio.sleep(0.05)
        signals.note_running()
    print(sent_at.result(), flush=True)

uvloop.run(work())
"""
# Longest time between two reports, on a busy machine.
REPORTS_S = 0.25
BLOCKED_S = 1.0
SIGNALLED_AFTER_S = 0.2


def block():
    """Keep the event loop busy; the signal arrives meanwhile."""
    threading.Timer(
        SIGNALLED_AFTER_S, os.kill, (os.getpid(), signal.SIGTERM)
    ).start()
    end = time.monotonic() + BLOCKED_S
    while time.monotonic() < end:
        pass


class BlockingReader(asyncio.Protocol):
    """Blocks the loop when data arrives."""

    def data_received(self, data):
        """Block the loop."""
        block()


async def send_byte():
    """Have a reader of the loop block it."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(BlockingReader, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    _, writer = await asyncio.open_connection(*address)
    writer.write(b"x")
    return server, writer


class TestLateness:
    """The signal is noted while the loop is busy."""

    def late_s(self, begin):
        async def work():
            loop = asyncio.get_running_loop()
            late = loop.create_future()
            stop_signals.StopSignals(loop, late.set_result).install()
            kept = await begin(loop)
            try:
                async with asyncio.timeout(5.0):
                    return await late
            finally:
                del kept

        before = {
            number: signal.getsignal(number)
            for number in (signal.SIGINT, signal.SIGTERM)
        }
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                return runner.run(work())
        finally:
            for number, handler in before.items():
                signal.signal(number, handler)

    @pytest.mark.parametrize("blocked_in", ["reader", "callback", "timer"])
    def test_signal_that_arrives_while_the_loop_is_busy(self, blocked_in):
        async def begin(loop):
            if blocked_in == "reader":
                return await send_byte()
            delay_s = 0.0 if blocked_in == "callback" else 0.01
            return loop.call_later(delay_s, block)

        late_s = self.late_s(begin)
        assert (BLOCKED_S - SIGNALLED_AFTER_S) / 2 <= late_s <= BLOCKED_S

    def test_signal_that_wakes_an_idle_loop_is_not_late(self):
        async def begin(loop):
            return threading.Timer(
                0.1, os.kill, (os.getpid(), signal.SIGTERM)
            ).start()

        assert self.late_s(begin) < (BLOCKED_S - SIGNALLED_AFTER_S) / 2


class TestSuspension:
    """A signal that waits for a suspended process counts as old enough."""

    @pytest.mark.parametrize("again", [False, True])
    @pytest.mark.parametrize("signalled_s", [-0.02, 0.0, 0.2, 0.55])
    def test_stop_is_counted_from_before_its_signal(self, signalled_s, again):
        """A suspended process used to count its stop from its return."""
        steps = [(0.0, signal.SIGSTOP), (signalled_s, signal.SIGTERM)]
        if again:
            steps += [(0.3, signal.SIGCONT), (0.301, signal.SIGSTOP)]
        steps = sorted([*steps, (0.6, signal.SIGCONT)], key=lambda one: one[0])
        command = [sys.executable, "-c", PROCESS]
        with subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True
        ) as process:
            assert process.stdout.readline() == "ready\n"
            time.sleep(0.3)
            sent = {}
            began = time.monotonic() + 0.02
            for at_s, number in steps:
                time.sleep(max(0.0, began + at_s - time.monotonic()))
                sent.setdefault(number, time.monotonic())
                process.send_signal(number)
            counted_from = float(process.stdout.readline())
        assert counted_from <= sent[signal.SIGTERM] + 0.01
        suspended_at = min(sent[signal.SIGSTOP], sent[signal.SIGTERM])
        assert counted_from >= suspended_at - REPORTS_S

    @pytest.mark.parametrize(
        ("reports_s", "late_s"),
        [((1.0,), 1.0), ((1.0, 1.05, 1.4), 1.0), ((1.0, 1.4, 1.6), 0.0)],
    )
    def test_thread_that_passes_the_signal_on_late(
        self, monkeypatch, reports_s, late_s
    ):
        """The loop reported before another thread passed the signal on."""
        clock = {"now": 0.0}
        monkeypatch.setattr(time, "monotonic", lambda: clock["now"])
        monkeypatch.setattr(time, "thread_time", lambda: 0.0)
        late = []
        loop = ImmediateLoop()
        signals = stop_signals.StopSignals(loop, late.append)
        for at_s in reports_s:
            clock["now"] = at_s
            signals.note_running()
        clock["now"] = reports_s[-1] + 0.01
        signals._arrived(signal.SIGTERM, None)
        (found_s,) = late
        assert found_s >= late_s
        assert found_s <= (clock["now"] if late_s else 0.02)


class ImmediateLoop:
    """Calls what is scheduled at once."""

    def call_soon_threadsafe(self, callback):
        callback()
