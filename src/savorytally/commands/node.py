"""``savorytally node``."""

import argparse
import pathlib
import sys
import typing as t

from .. import fields
from .. import results
from . import base

if t.TYPE_CHECKING:
    from .. import settings


@base.commands.register("node")
class NodeCommand:
    """Run the node of one host until it is told to stop."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the settings file."""
        parser.add_argument(
            "--settings",
            type=pathlib.Path,
            required=True,
            metavar="FILE",
            help="settings of the node, JSON with comments",
        )

    def run(self, given: argparse.Namespace) -> int:
        """Run the node; SIGTERM and SIGINT stop it gracefully."""
        from .. import settings

        options = settings.load(given.settings)
        if isinstance(options, settings.Refused):
            return _refuse(given.settings, options.faults)
        return _run(options, given.settings)


def _run(options: "settings.Settings", path: pathlib.Path) -> int:
    import asyncio

    import uvloop

    from .. import daemon
    from .. import logs
    from .. import node

    faults = node.check_policies(options.policies)
    if faults:
        return _refuse(path, faults)
    logs.start(options.host_id, options.log_level)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(daemon.Daemon(options).run())
    except OSError as error:
        print(f"savorytally: can't serve: {error}", file=sys.stderr)
        return base.EXIT_PORT
    return base.EXIT_OK


def _refuse(path: pathlib.Path, faults: t.Iterable[fields.Fault]) -> int:
    return base.print_faults(results.SETTINGS_FAULT, path, faults)
