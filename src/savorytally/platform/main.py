"""Entry point of the node on the platform."""

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

from ..dataplane import node
from ..dataplane import options
from . import documents
from . import headers
from . import settings
from . import store

EXIT_SETTINGS = 1
EXIT_PORT = 5


def main() -> int:
    """Run the node until it is stopped and return the exit code."""
    # SIGHUP before the service installs its handler would end the process.
    # Changes of the settings file since then are detected by ``reread``.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stdout,
        format='{"event":"log","level":"%(levelname)s","text":"%(message)s"}',
    )
    path = os.environ.get(settings.PATH_VARIABLE, "")
    settings_file = settings.WatchedFile(pathlib.Path(path))
    loaded = settings.load(settings_file.path)
    if isinstance(loaded, settings.Refused):
        for fault in loaded.faults:
            print(f"{path}: {fault}", file=sys.stderr)
        return EXIT_SETTINGS

    def reread() -> options.Options | None:
        changed = settings_file.changed()
        if not changed:
            return None
        newest = settings.load(settings_file.path)
        if isinstance(newest, settings.Refused):
            for fault in newest.faults:
                logging.warning("settings not applied: %s", fault)
            return None
        return newest

    async def serve() -> None:
        server = node.Node(
            loaded,
            headers.HEADER_NAMES,
            store.Store(loaded.store),
            documents.configuration,
            random.Random(secrets.randbits(64)),
            reload_options=reread,
        )
        await server.run()

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
