"""An event loop on a virtual clock, for nodes composed without ports."""

import asyncio
import selectors
import typing as t

from savorytally import clock


class _Selector(selectors.SelectSelector):
    """Lets the clock jump to the next timer instead of waiting for it."""

    def __init__(self, virtual: clock.VirtualClock) -> None:
        super().__init__()
        self._clock = virtual

    def select(self, timeout: float | None = None) -> list[t.Any]:
        """Return what is ready and let time pass if nothing is.

        :raises RuntimeError: if nothing can ever happen.
        """
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is due and nothing is ready")
        self._clock.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting.

    :param virtual: the clock that it moves.
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
