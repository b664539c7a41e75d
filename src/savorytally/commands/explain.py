"""``savorytally explain``."""

import argparse
import json
import pathlib
import sys
import typing as t

from . import base

# What is told of a line before its other fields.
_LEADING = ("time", "host", "event", "id", "code", "outcome")


@base.commands.register("explain")
class ExplainCommand:
    """Print what logs say of a request and of the calls made for it."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the logs and the request."""
        parser.add_argument(
            "logs",
            nargs="+",
            type=pathlib.Path,
            metavar="LOG",
            help="log of one or more nodes, a JSON object a line",
        )
        parser.add_argument(
            "request_id", metavar="ID", help="the request's identifier"
        )

    def run(self, given: argparse.Namespace) -> int:
        """Print the lines; fail if there are none."""
        lines: list[dict[str, t.Any]] = []
        for path in given.logs:
            with path.open(encoding="utf-8", errors="replace") as log:
                lines += _parsed(log)
        family = _family(lines, given.request_id)
        found = [line for line in lines if line.get("id") in family]
        if not found:
            print(
                f"no line names {given.request_id}; answered requests are "
                "sampled, see docs/OPERATIONS.md",
                file=sys.stderr,
            )
            return base.EXIT_FAULT
        for line in sorted(found, key=lambda line: line.get("time", 0)):
            print(_told(line))
        return base.EXIT_OK


def _parsed(log: t.Iterable[str]) -> t.Iterator[dict[str, t.Any]]:
    """Yield the JSON objects; collectors may write something before one."""
    for text in log:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The last line of a process that was killed.
            continue
        if isinstance(line, dict):
            yield line


def _family(lines: list[dict[str, t.Any]], root: str) -> set[str]:
    """Return the identifiers of a request and of all calls below it."""
    below: dict[str, set[str]] = {}
    for line in lines:
        if "parent" in line:
            below.setdefault(line["parent"], set()).add(line.get("id", ""))
    family: set[str] = set()
    waiting = [root]
    while waiting:
        name = waiting.pop()
        if name not in family:
            family.add(name)
            waiting += below.get(name, ())
    return family


def _told(line: dict[str, t.Any]) -> str:
    leading = " ".join(str(line.get(name, "-")) for name in _LEADING)
    rest = " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in line.items()
        if name not in _LEADING
    )
    return f"{leading} {rest}"
