"""Registry, exit codes and output functions of all subcommands."""

import argparse
import json
import pathlib
import sys
import typing as t

from .. import fields
from .. import files
from .. import registry
from .. import results

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_REFUSED = 4
EXIT_PORT = 5
EXIT_UNMET = 6
EXIT_REPLY = 7

EXIT_MEANINGS = {
    EXIT_OK: "done",
    EXIT_FAULT: "the input is faulty; each fault is a line on stderr",
    EXIT_USAGE: "the command line is wrong",
    EXIT_UNREACHABLE: "the node does not answer",
    EXIT_REFUSED: "the node refused the request",
    EXIT_PORT: "the node can't open one of its ports",
    EXIT_UNMET: "a stated outcome of a trace is not met",
    EXIT_REPLY: "the node's reply is malformed",
}

STANDARD_INPUT = pathlib.Path("-")


class Command(t.Protocol):
    """A subcommand, whose docstring is its help text."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments to its parser."""

    def run(self, parsed: argparse.Namespace) -> int:
        """Run the subcommand and return its exit code.

        :param parsed: the parsed arguments.
        """


commands: registry.Registry[type[Command]] = registry.Registry("command")


def add_commands(
    parser: argparse.ArgumentParser,
    subcommands: registry.Registry[type[Command]],
    metavar: str,
) -> None:
    """Add a subcommand to a parser for each entry of a registry.

    :param parser: the parser.
    :param subcommands: the subcommands by name.
    :param metavar: placeholder of the subcommand in help texts.
    """
    subparsers = parser.add_subparsers(metavar=metavar, required=True)
    for name in subcommands.names():
        command = subcommands.get(name)()
        text = " ".join((type(command).__doc__ or "").split())
        subparser = subparsers.add_parser(name, help=text, description=text)
        subparser.set_defaults(run=command.run)
        command.arguments(subparser)


def read_file(path: pathlib.Path) -> files.Loaded | files.Unreadable:
    """Read a JSON file with comments, or standard input for ``-``."""
    if path == STANDARD_INPUT:
        return files.parse(sys.stdin.read())
    return files.load(path)


def print_faults(
    code: results.ResultCode,
    path: pathlib.Path,
    faults: t.Iterable[fields.Fault],
) -> int:
    """Print each fault on stderr and return the exit code.

    :param code: result code printed before each fault.
    :param path: the file with the faults.
    :param faults: the faults.
    """
    for fault in faults:
        print(f"{code.number} {path}: {fault}", file=sys.stderr)
    return EXIT_FAULT


def print_json(value: t.Any) -> int:
    """Print a value as JSON on stdout and return the exit code."""
    json.dump(value, sys.stdout, indent=2)
    print()
    return EXIT_OK
