"""Command line interface."""

import argparse

from . import commands
from .commands import base
from .commands import config  # noqa: F401, registers a command
from .commands import explain  # noqa: F401, registers a command
from .commands import node  # noqa: F401, registers a command
from .commands import replay  # noqa: F401, registers a command
from .commands import status  # noqa: F401, registers a command
from .commands import version  # noqa: F401, registers a command
from .commands import where  # noqa: F401, registers a command

_DESCRIPTION = """\
Overload control layer for service call graphs.

One node runs beside every upstream. To start one, write a settings file and
run 'savorytally node --settings FILE'. Configuration documents are checked
with 'savorytally config check FILE'. Every command has a --help option.
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
    exits = "\n".join(
        f"  {code}  {text}" for code, text in base.EXIT_MEANINGS.items()
    )
    parser = argparse.ArgumentParser(
        prog="savorytally",
        description=_DESCRIPTION,
        epilog=f"exit codes:\n{exits}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    base.add_commands(parser, commands.commands, "COMMAND")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit code.

    :param arguments: command line arguments, by default those of the process.
    """
    parsed = build_parser().parse_args(arguments)
    return parsed.run(parsed)
