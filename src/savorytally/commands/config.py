"""``savorytally config``: commands for configuration documents."""

import argparse
import pathlib
import sys
import typing as t

from .. import fields
from .. import files
from .. import registry
from .. import results
from . import base

if t.TYPE_CHECKING:
    from ..world import sections

actions: registry.Registry[type[base.Command]] = registry.Registry("action")


@base.commands.register("config")
class ConfigCommand:
    """Check, show, compare, patch and divide configuration documents."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the actions as subcommands."""
        base.add_commands(parser, actions, "ACTION")

    def run(self, parsed: argparse.Namespace) -> int:
        """Do nothing; an action is required."""
        return base.EXIT_USAGE


@actions.register("check")
class CheckAction:
    """Check documents and list every fault with its place."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the documents."""
        parser.add_argument(
            "documents",
            nargs="+",
            type=pathlib.Path,
            metavar="FILE",
            help="configuration document, JSON with comments; - for stdin",
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Check all documents and return the highest exit code."""
        return max(_check_one(path) for path in parsed.documents)


@actions.register("show")
class ShowAction:
    """Print a checked document as plain JSON, ready to be published."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the argument for the document."""
        _add_document(parser, "document")

    def run(self, parsed: argparse.Namespace) -> int:
        """Print the document."""
        value = _read(parsed.document)
        if value is None:
            return base.EXIT_FAULT
        return base.print_json(value)


@actions.register("diff")
class DiffAction:
    """Print the patch that turns one document into another."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for both documents."""
        _add_document(parser, "old")
        _add_document(parser, "new")

    def run(self, parsed: argparse.Namespace) -> int:
        """Print the patch."""
        from ..world import patch

        old = _read(parsed.old)
        new = _read(parsed.new)
        if old is None or new is None:
            return base.EXIT_FAULT
        return base.print_json(patch.make(old, new))


@actions.register("patch")
class PatchAction:
    """Apply a patch to its version and print the next document."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the document and the patch."""
        _add_document(parser, "document")
        parser.add_argument(
            "patch",
            type=pathlib.Path,
            metavar="PATCH",
            help='{"against": VERSION, "operations": [...]}, see RFC 6902',
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Print the next document."""
        from ..world import patch

        current = _read(parsed.document)
        if current is None:
            return base.EXIT_FAULT
        loaded = base.read_file(parsed.patch)
        if isinstance(loaded, files.Unreadable):
            faults = (loaded.fault,)
            return base.print_faults(results.PATCH_FAULT, parsed.patch, faults)
        outcome = patch.apply_value(current, loaded.value)
        if isinstance(outcome, patch.Patched):
            return base.print_json(outcome.value)
        path = parsed.patch
        if outcome.code is results.CONFIGURATION_FAULT:
            path = parsed.document
        return base.print_faults(outcome.code, path, outcome.faults)


@actions.register("split")
class SplitAction:
    """Write a document as one file per value; publish the head last."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments for the document, previous head and directory."""
        _add_document(parser, "document")
        parser.add_argument(
            "--previous",
            type=pathlib.Path,
            metavar="HEAD",
            help="head of the previous version; unchanged sections are kept",
        )
        parser.add_argument(
            "--output",
            type=pathlib.Path,
            required=True,
            metavar="DIRECTORY",
            help="directory for the file of each changed value",
        )

    def run(self, parsed: argparse.Namespace) -> int:
        """Write the head and the changed sections."""
        from ..world import sections

        value = _read(parsed.document)
        if value is None:
            return base.EXIT_FAULT
        previous = None
        if parsed.previous is not None:
            previous = _read_head(parsed.previous)
            if previous is None:
                return base.EXIT_FAULT
        split = sections.split(value, previous)
        return _write_split(split, previous, parsed.output)


def _add_document(parser: argparse.ArgumentParser, name: str) -> None:
    parser.add_argument(
        name,
        type=pathlib.Path,
        metavar=name.upper(),
        help="configuration document, JSON with comments; - for stdin",
    )


def _check_one(path: pathlib.Path) -> int:
    value = _read(path)
    if value is None:
        return base.EXIT_FAULT
    counts = ", ".join(
        f"{len(value.get(kind, ()))} {kind}"
        for kind in ("organisations", "services", "routes")
    )
    print(f"{path}: version {value['version']}, {counts}")
    return base.EXIT_OK


def _read(path: pathlib.Path) -> dict[str, t.Any] | None:
    from ..world import document

    loaded = base.read_file(path)
    if isinstance(loaded, files.Unreadable):
        return _refuse(path, (loaded.fault,))
    read = document.read(loaded.value)
    if isinstance(read, document.Refused):
        return _refuse(path, read.faults)
    return loaded.value


def _read_head(path: pathlib.Path) -> "sections.Head | None":
    from ..world import sections

    loaded = base.read_file(path)
    if isinstance(loaded, files.Unreadable):
        return _refuse(path, (loaded.fault,))
    head = sections.read_head(loaded.value)
    if isinstance(head, sections.Refused):
        return _refuse(path, head.faults)
    if isinstance(head, sections.Whole):
        text = "is not the head of a divided document"
        return _refuse(path, (fields.Fault("", text),))
    return head


def _refuse(path: pathlib.Path, faults: t.Iterable[fields.Fault]) -> None:
    base.print_faults(results.CONFIGURATION_FAULT, path, faults)


def _write_split(
    split: "sections.Split",
    previous: "sections.Head | None",
    output: pathlib.Path,
) -> int:
    from ..world import sections

    before = previous.sections if previous else {}
    held = {name: item.digest for name, item in before.items()}
    bodies = {
        item.value_name: split.bodies[item.name]
        for item in sections.changed(split.head, held)
    }
    bodies[sections.HEAD] = sections.write_head(split.head)
    try:
        for name, body in bodies.items():
            path = output / f"{name}.json"
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(body)
            print(path)
    except OSError as error:
        print(f"savorytally: {error}", file=sys.stderr)
        return base.EXIT_FAULT
    return base.EXIT_OK
