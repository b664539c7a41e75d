"""``savorytally node``: run a node."""

import argparse
import pathlib
import sys
import typing as t

from .. import fields
from .. import results
from . import base

if t.TYPE_CHECKING:
    from .. import settings

# aiomisc requires a thread pool, which the node does not use.
UNUSED_POOL_THREADS = 1


@base.commands.register("node")
class NodeCommand:
    """Run the node of one host until it is stopped."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the argument for the settings file."""
        parser.add_argument(
            "--settings",
            type=pathlib.Path,
            required=True,
            metavar="FILE",
            help="settings of the node, JSON with comments",
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Run the node until SIGTERM or SIGINT stops it gracefully."""
        from .. import settings

        options = settings.load(parsed.settings)
        if isinstance(options, settings.Refused):
            return _refuse(parsed.settings, options.faults)
        return _run(options, parsed.settings)


def _run(options: "settings.Settings", path: pathlib.Path) -> int:
    from .. import node

    faults = node.check_policies(options.policies)
    if faults:
        return _refuse(path, faults)
    return _serve(options)


def _serve(options: "settings.Settings") -> int:
    import aiomisc

    from .. import daemon
    from .. import logs

    logs.configure(options.host_id, options.log_level)
    try:
        aiomisc.run(
            daemon.Daemon(options).run(),
            catch_signals=(),
            log_config=False,
            pool_size=UNUSED_POOL_THREADS,
        )
    except OSError as error:
        print(f"savorytally: can't serve: {error}", file=sys.stderr)
        return base.EXIT_PORT
    return base.EXIT_OK


def _refuse(path: pathlib.Path, faults: t.Iterable[fields.Fault]) -> int:
    return base.print_faults(results.SETTINGS_FAULT, path, faults)
