"""Reads the published configuration document whole.

Nodes keep only what they need of a document. The whole of it is read anew
when an operator has a patch checked. Checking keeps the loop busy for about
0.2 s a megabyte, so that a large document is left to the command line.
"""

import dataclasses
import json

from .. import fields
from .. import ports
from ..world import sections


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The document can't be read at the moment.

    :param fault: the reason.
    """

    fault: fields.Fault


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The document exceeds what a serving node checks.

    :param limit_bytes: the most that it checks.
    """

    limit_bytes: int


Outcome = sections.Whole | Unavailable | TooLarge


async def read(platform: ports.Platform, limit_bytes: int) -> Outcome:
    """Read the document, and its sections if it is divided.

    :param limit_bytes: the most that is read.
    """
    try:
        return await _read(platform, limit_bytes)
    except (OSError, RecursionError, ValueError) as error:
        return Unavailable(fields.Fault("", str(error)))


async def _read(platform: ports.Platform, limit_bytes: int) -> Outcome:
    value = await platform.read(sections.HEAD, 0, 0.0)
    if value is None:
        return Unavailable(fields.Fault("", "no document is published"))
    left_bytes = limit_bytes - len(value.body)
    if left_bytes < 0:
        return TooLarge(limit_bytes)
    head = sections.read_head(json.loads(value.body))
    if isinstance(head, sections.Whole):
        return _as_object(head)
    if isinstance(head, sections.Refused):
        return Unavailable(head.faults[0])
    bodies = {}
    for item in head.sections.values():
        part = await platform.read(item.value_name, 0, 0.0)
        if part is None:
            continue
        left_bytes -= len(part.body)
        if left_bytes < 0:
            return TooLarge(limit_bytes)
        bodies[item.name] = part.body
    document = sections.assemble(head, bodies)
    if isinstance(document, sections.Missing):
        missing = document.sections[0]
        text = f"version {missing.version} is not published yet"
        place = fields.pointer("/sections", missing.name)
        return Unavailable(fields.Fault(place, text))
    if isinstance(document, sections.Refused):
        return Unavailable(document.faults[0])
    return document


def _as_object(document: sections.Whole) -> sections.Whole | Unavailable:
    if isinstance(document.value, dict):
        return document
    return Unavailable(fields.Fault("", "must be an object"))
