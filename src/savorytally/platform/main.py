"""Starts a node on the platform."""

import asyncio
import gc
import logging
import os
import pathlib
import random
import secrets
import signal
import sys

import uvloop

from ..dataplane import options
from ..dataplane import service
from . import documents
from . import headers
from . import settings
from . import store

EXIT_SETTINGS = 1
EXIT_PORT = 5


def main() -> int:
    """Run the node until it is told to stop; return the exit code."""
    # What changes from here on is found when the node serves.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stdout,
        format='{"event":"log","level":"%(levelname)s","text":"%(message)s"}',
    )
    path = os.environ.get(settings.PATH_VARIABLE, "")
    watched = settings.Watched(pathlib.Path(path))
    chosen = settings.load(watched.path)
    if isinstance(chosen, settings.Refused):
        for fault in chosen.faults:
            print(f"{path}: {fault}", file=sys.stderr)
        return EXIT_SETTINGS

    def reread() -> options.Options | None:
        changed = watched.changed()
        if not changed:
            return None
        newest = settings.load(watched.path)
        if isinstance(newest, settings.Refused):
            for fault in newest.faults:
                logging.warning("settings not applied: %s", fault)
            return None
        return newest

    async def serve() -> None:
        node = service.Service(
            chosen,
            headers.DIALECT,
            store.Store(chosen.store),
            documents.configuration,
            random.Random(secrets.randbits(64)),
            reread=reread,
        )
        await node.run()

    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 50, 50)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve())
    except OSError as error:
        print(f"savorytally: can't serve: {error}", file=sys.stderr)
        return EXIT_PORT
    return 0
