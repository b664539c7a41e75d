"""Reads the whole published configuration document from the platform.

Nodes keep only the parts of a document that they need. The whole document
is read again when an operator checks a patch against it. A check blocks the
event loop for about 0.2 s per megabyte, so that large documents can only be
checked on the command line.
"""

import dataclasses
import json

from .. import fields
from .. import ports
from ..world import sections


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The document can't be read at present.

    :param fault: the reason.
    """

    fault: fields.Fault


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The document is larger than a serving node may check.

    :param limit_bytes: the maximum size.
    """

    limit_bytes: int


ReadResult = sections.Whole | Unavailable | TooLarge


async def read(platform: ports.Platform, limit_bytes: int) -> ReadResult:
    """Read the document, with its sections if it is divided into them.

    :param limit_bytes: maximum size of the document and its sections.
    """
    try:
        return await _read(platform, limit_bytes)
    except (OSError, RecursionError, ValueError) as error:
        return Unavailable(fields.Fault("", str(error)))


async def _read(platform: ports.Platform, limit_bytes: int) -> ReadResult:
    value = await platform.read(sections.HEAD, 0, 0.0)
    if value is None:
        return Unavailable(fields.Fault("", "no document is published"))
    remaining_bytes = limit_bytes - len(value.body)
    if remaining_bytes < 0:
        return TooLarge(limit_bytes)
    head = sections.read_head(json.loads(value.body))
    if isinstance(head, sections.Whole):
        return _as_object(head)
    if isinstance(head, sections.Refused):
        return Unavailable(head.faults[0])
    bodies = {}
    for item in head.sections.values():
        section_value = await platform.read(item.value_name, 0, 0.0)
        if section_value is None:
            continue
        remaining_bytes -= len(section_value.body)
        if remaining_bytes < 0:
            return TooLarge(limit_bytes)
        bodies[item.name] = section_value.body
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
