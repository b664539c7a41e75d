"""Reads JSON files that may contain comments."""

import dataclasses
import pathlib
import re
import typing as t

import pyjson5

from . import fields

_POSITION = re.compile(r" near (\d+)")


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """The content of a file.

    :param value: the parsed JSON value.
    """

    value: t.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A file that can't be read or does not contain JSON.

    :param fault: the reason, without any of the file's content.
    """

    fault: fields.Fault


def load(path: pathlib.Path) -> Loaded | Unreadable:
    """Read and parse a JSON5 file."""
    try:
        text = path.read_text("utf-8")
    except OSError as error:
        reason = error.strerror or type(error).__name__
        return Unreadable(fields.Fault("", reason))
    except ValueError:
        return Unreadable(fields.Fault("", "is not encoded in UTF-8"))
    return parse(text)


def parse(text: str) -> Loaded | Unreadable:
    """Parse JSON5 text."""
    try:
        return Loaded(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        return Unreadable(fields.Fault("", _describe(error, text)))


def _describe(error: pyjson5.Json5Exception, text: str) -> str:
    # The exception's other arguments hold the parsed part of the text, which
    # may contain a secret.
    message = str(error.args[0]) if error.args else type(error).__name__
    found = _POSITION.search(message)
    if found is None:
        return f"is not JSON: {message}"
    line = text.count("\n", 0, int(found[1])) + 1
    return f"is not JSON, line {line}: {message[: found.start()]}"
