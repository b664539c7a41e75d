"""Fixtures shared by all tests."""

import asyncio
import os
import socket
import typing as t

from fakes import documents
import hypothesis
import pytest
import uvloop

from savorytally.world import configuration
from savorytally.world import document

hypothesis.settings.register_profile(
    "ci", derandomize=True, max_examples=200, deadline=None
)
hypothesis.settings.register_profile(
    "long",
    max_examples=int(os.environ.get("HYPOTHESIS_EXAMPLES", "10000")),
    deadline=None,
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def himali() -> configuration.Configuration:
    """The checked configuration of the Himali deployment."""
    read = document.read(documents.himali())
    assert isinstance(read, configuration.Configuration)
    return read


@pytest.fixture
def run() -> t.Callable[[t.Coroutine[t.Any, t.Any, t.Any]], t.Any]:
    """Run a coroutine on a loop of its own, bounded in time."""

    def runner(work: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        async def bounded() -> t.Any:
            async with asyncio.timeout(60):
                return await work

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as loop:
            return loop.run(bounded())

    return runner


@pytest.fixture
def free_port() -> t.Callable[[], int]:
    """Return a TCP port on loopback that is free at the moment."""

    def find() -> int:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return probe.getsockname()[1]

    return find
