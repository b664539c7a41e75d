"""``savorytally replay``: replay recorded traces."""

import argparse
import pathlib

from . import base


@base.commands.register("replay")
class ReplayCommand:
    """Replay traces against the policies and check expected outcomes."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the traces and the comparison."""
        parser.add_argument(
            "traces",
            nargs="+",
            type=pathlib.Path,
            metavar="TRACE",
            help="trace file in JSON lines",
        )
        parser.add_argument(
            "--compare",
            action="store_true",
            help="also replay with each policy off and with the baseline",
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Replay the traces; the exit code is 0 if all outcomes are met."""
        from ..replay import command

        return command.run(parsed.traces, parsed.compare)
