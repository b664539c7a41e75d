"""The command line."""

import argparse

from . import commands
from .commands import base
from .commands import config  # noqa: F401, registers a command
from .commands import explain  # noqa: F401, registers a command
from .commands import node  # noqa: F401, registers a command
from .commands import replay  # noqa: F401, registers a command
from .commands import status  # noqa: F401, registers a command
from .commands import version  # noqa: F401, registers a command

_DESCRIPTION = """\
Overload control layer for service call graphs.

One node runs beside every upstream. Begin with a settings file and
'savorytally node --settings FILE'; check configuration documents with
'savorytally config check FILE'. Every command explains itself with --help.
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    exits = "\n".join(f"  {code}  {text}" for code, text in base.EXITS.items())
    parser = argparse.ArgumentParser(
        prog="savorytally",
        description=_DESCRIPTION,
        epilog=f"exit codes:\n{exits}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    base.add_commands(parser, commands.commands, "COMMAND")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    given = build_parser().parse_args(arguments)
    return given.run(given)
