"""``savorytally explain``: search logs for a request."""

import argparse
import json
import pathlib
import sys
import typing as t

from . import base

# Fields of a log line that are printed before all others, without names.
_LEADING = ("time", "host", "event", "id", "code", "outcome")


@base.commands.register("explain")
class ExplainCommand:
    """Print the log lines of a request and of the calls made for it."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the logs and the request."""
        parser.add_argument(
            "logs",
            nargs="+",
            type=pathlib.Path,
            metavar="LOG",
            help="log of one or more nodes, one JSON object per line",
        )
        parser.add_argument(
            "request_id", metavar="ID", help="the request's identifier"
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Print the log lines in order of time; fail if there are none."""
        lines: list[dict[str, t.Any]] = []
        for path in parsed.logs:
            with path.open(encoding="utf-8", errors="replace") as log:
                lines += _parse_log(log)
        ids = _call_tree_ids(lines, parsed.request_id)
        found = [line for line in lines if line.get("id") in ids]
        if not found:
            print(
                f"no line names {parsed.request_id}; answered requests are "
                "sampled, see docs/OPERATIONS.md",
                file=sys.stderr,
            )
            return base.EXIT_FAULT
        for line in sorted(found, key=lambda line: line.get("time", 0)):
            print(_format_line(line))
        return base.EXIT_OK


def _parse_log(log: t.Iterable[str]) -> t.Iterator[dict[str, t.Any]]:
    """Yield the JSON objects of a log.

    Log collectors may put a prefix before the object of a line.
    """
    for text in log:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The process was killed while it wrote the line.
            continue
        if isinstance(line, dict):
            yield line


def _call_tree_ids(lines: list[dict[str, t.Any]], root: str) -> set[str]:
    """Return the identifiers of a request and all calls below it."""
    children: dict[str, set[str]] = {}
    for line in lines:
        if "parent" in line:
            children.setdefault(line["parent"], set()).add(line.get("id", ""))
    ids: set[str] = set()
    pending = [root]
    while pending:
        name = pending.pop()
        if name not in ids:
            ids.add(name)
            pending += children.get(name, ())
    return ids


def _format_line(line: dict[str, t.Any]) -> str:
    leading = " ".join(str(line.get(name, "-")) for name in _LEADING)
    rest = " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in line.items()
        if name not in _LEADING
    )
    return f"{leading} {rest}"
