"""The command line."""

import argparse
import asyncio
import pathlib
import sys
import typing as t

import uvloop

from . import __version__
from . import node
from . import registry
from . import settings

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_USAGE = 2


class Command(t.Protocol):
    """One subcommand."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the subcommand's arguments."""

    def run(self, given: argparse.Namespace) -> int:
        """Carry it out and return the exit code."""


commands: registry.Registry[type[Command]] = registry.Registry("command")


@commands.register("node")
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
        """Run the node."""
        read = settings.load(given.settings)
        if isinstance(read, settings.Refused):
            for fault in read.faults:
                place = f"{given.settings}: {fault.place}"
                print(f"9001 {place}: {fault.text}", file=sys.stderr)
            return EXIT_FAULT
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(node.Daemon(read).run())
        return EXIT_OK


@commands.register("version")
class VersionCommand:
    """Print the program's version."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare nothing."""

    def run(self, given: argparse.Namespace) -> int:
        """Print the version."""
        print(__version__)
        return EXIT_OK


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="savorytally",
        description="Overload control layer for service call graphs.",
    )
    below = parser.add_subparsers(metavar="COMMAND", required=True)
    for name in commands.names():
        command = commands.get(name)()
        text = type(command).__doc__
        child = below.add_parser(name, help=text, description=text)
        command.arguments(child)
        child.set_defaults(run=command.run)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    given = build_parser().parse_args(arguments)
    return given.run(given)
