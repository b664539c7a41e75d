"""Reads the published configuration document whole.

Nodes keep only what they need of a document. The whole of it is read anew
when an operator has a patch checked.
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


async def read(platform: ports.Platform) -> sections.Whole | Unavailable:
    """Read the document, and its sections if it is divided."""
    try:
        return await _read(platform)
    except (OSError, RecursionError, ValueError) as error:
        return Unavailable(fields.Fault("", str(error)))


async def _read(platform: ports.Platform) -> sections.Whole | Unavailable:
    value = await platform.read(sections.HEAD, 0, 0.0)
    if value is None:
        return Unavailable(fields.Fault("", "no document is published"))
    head = sections.read_head(json.loads(value.body))
    if isinstance(head, sections.Whole):
        return _as_object(head)
    if isinstance(head, sections.Refused):
        return Unavailable(head.faults[0])
    bodies = {}
    for item in head.sections.values():
        part = await platform.read(item.value_name, item.version - 1, 0.0)
        if part is not None:
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
