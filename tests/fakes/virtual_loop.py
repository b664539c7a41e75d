"""An event loop on a virtual clock, for nodes without real I/O."""

import asyncio
import selectors
import typing as t

from savorytally import clock


class _Selector(selectors.SelectSelector):
    """Advances the clock to the next timer instead of waiting for it."""

    def __init__(self, virtual: clock.VirtualClock) -> None:
        super().__init__()
        self._clock = virtual

    def select(self, timeout: float | None = None) -> list[t.Any]:
        """Return what is ready, or advance the clock if nothing is.

        :raises RuntimeError: if nothing is ready and no timer is set.
        """
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is due and nothing is ready")
        self._clock.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them.

    :param virtual: the clock that it advances.
    """

    def __init__(self, virtual: clock.VirtualClock) -> None:
        self._virtual = virtual
        super().__init__(_Selector(virtual))

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual.now()


def run(
    virtual: clock.VirtualClock, work: t.Coroutine[t.Any, t.Any, t.Any]
) -> t.Any:
    """Run a coroutine on a virtual loop."""
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(virtual)) as runner:
        return runner.run(work)
