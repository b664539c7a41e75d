"""What all subcommands share: their registry, exit codes and output."""

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

EXITS = {
    EXIT_OK: "done",
    EXIT_FAULT: "the input is faulty; each fault is a line on stderr",
    EXIT_USAGE: "the command line is wrong",
    EXIT_UNREACHABLE: "the node does not answer",
    EXIT_REFUSED: "the node refused the request",
    EXIT_PORT: "the node can't open one of its ports",
    EXIT_UNMET: "a stated outcome of a trace is not met",
}

STANDARD_INPUT = pathlib.Path("-")


class Command(t.Protocol):
    """One subcommand; its docstring is its help."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the subcommand's arguments."""

    def run(self, given: argparse.Namespace) -> int:
        """Carry it out and return the exit code."""


commands: registry.Registry[type[Command]] = registry.Registry("command")


def add_commands(
    parser: argparse.ArgumentParser,
    known: registry.Registry[type[Command]],
    metavar: str,
) -> None:
    """Give a parser a subcommand for each entry of a registry."""
    below = parser.add_subparsers(metavar=metavar, required=True)
    for name in known.names():
        command = known.get(name)()
        text = " ".join((type(command).__doc__ or "").split())
        child = below.add_parser(name, help=text, description=text)
        child.set_defaults(run=command.run)
        command.arguments(child)


def read_file(path: pathlib.Path) -> files.Loaded | files.Unreadable:
    """Read a JSON file with comments; ``-`` is standard input."""
    if path == STANDARD_INPUT:
        return files.parse(sys.stdin.read())
    return files.load(path)


def print_faults(
    code: results.ResultCode,
    path: pathlib.Path,
    faults: t.Iterable[fields.Fault],
) -> int:
    """Write each fault as a line on stderr and return the exit code."""
    for fault in faults:
        print(f"{code.number} {path}: {fault}", file=sys.stderr)
    return EXIT_FAULT


def print_json(value: t.Any) -> int:
    """Write a value as JSON on stdout and return the exit code."""
    json.dump(value, sys.stdout, indent=2)
    print()
    return EXIT_OK
