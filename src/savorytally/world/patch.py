"""Applies an operator's patch to a numbered configuration document.

A patch is an RFC 6902 document made against a stated version::

    {"against": 7, "operations": [
        {"op": "replace", "path": "/organisations/a/rate_per_s", "value": 50}
    ]}

It yields the whole document of the next version, or an outcome that says
why not; the document that it was made against is never changed.
"""

import copy
import dataclasses
import typing as t

import jsonpatch
import jsonpointer

from .. import fields
from .. import results
from . import configuration
from . import document

OPERATIONS_MAX = 10_000

_VERSION = "/version"
_APPLY_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    LookupError,
    TypeError,
    ValueError,
)

Json = t.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Patched:
    """The next document.

    :param value: the document, ready to be published.
    :param configuration: the same, checked.
    """

    value: Json
    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The reason why a patch yields no document.

    :param code: the numbered reason.
    :param faults: everything that is wrong; places are in the patch, or
        in the resulting document if that is at fault.
    """

    code: results.ResultCode
    faults: tuple[fields.Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A well-formed patch.

    :param against: version of the document that it was made against.
    :param operations: its operations in order.
    """

    against: int
    operations: tuple[t.Mapping[str, Json], ...]


Outcome = Patched | Refused


def read(value: Json) -> Patch | Refused:
    """Turn a parsed patch document into a patch."""
    faults: list[fields.Fault] = []
    root = fields.Section(value, "", faults)
    against = root.number("against", int, 1, document.VERSION_MAX)
    operations = root.take("operations", list)
    root.finish()
    if len(operations) > OPERATIONS_MAX:
        root.fault("operations", f"must be at most {OPERATIONS_MAX}")
    for index, operation in enumerate(operations):
        text = _fault_of(operation)
        if text:
            faults.append(fields.Fault(f"/operations/{index}", text))
    if faults:
        return Refused(results.PATCH_FAULT, tuple(faults))
    return Patch(against, tuple(operations))


def apply(current: Json, change: Patch) -> Outcome:
    """Apply a patch to the document that is in force.

    :param current: the parsed document, which is left as it is.
    """
    version = current.get("version") if isinstance(current, dict) else None
    if change.against != version:
        text = f"is {change.against}, but the document is {version}"
        return _refuse(results.PATCH_VERSION_MISMATCH, "/against", text)
    value = copy.deepcopy(current)
    for index, operation in enumerate(change.operations):
        try:
            step = jsonpatch.JsonPatch([operation])
            value = step.apply(value, in_place=True)
        except _APPLY_ERRORS as error:
            place = f"/operations/{index}"
            text = f"does not apply: {error}"
            return _refuse(results.PATCH_FAULT, place, text)
    value["version"] = change.against + 1
    return _check(value)


def apply_value(current: Json, value: Json) -> Outcome:
    """Read a parsed patch document and apply it."""
    change = read(value)
    if isinstance(change, Refused):
        return change
    return apply(current, change)


def make(old: Json, new: Json) -> Json:
    """Return the patch document that turns one document into another.

    :param old: the document to start from, with its version.
    :param new: the wished document; its version is ignored.
    """
    wished = {**new, "version": old["version"]}
    operations = jsonpatch.make_patch(old, wished).patch
    return {"against": old["version"], "operations": operations}


def _check(value: Json) -> Outcome:
    checked = document.read(value)
    if isinstance(checked, document.Refused):
        return Refused(results.CONFIGURATION_FAULT, checked.faults)
    return Patched(value, checked)


def _refuse(code: results.ResultCode, place: str, text: str) -> Refused:
    return Refused(code, (fields.Fault(place, text),))


def _fault_of(operation: Json) -> str:
    if not isinstance(operation, dict):
        return "must be an object"
    try:
        jsonpatch.JsonPatch([operation])
    except _APPLY_ERRORS as error:
        return f"is no operation of RFC 6902: {error}"
    if operation["op"] == "test":
        return ""
    written = [operation["path"]]
    if operation["op"] == "move":
        written.append(operation.get("from"))
    for place in written:
        if place in ("", _VERSION):
            return "must not change the version or the whole document"
    return ""
