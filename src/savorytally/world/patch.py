"""Applies an operator's patch to a versioned configuration document.

A patch holds RFC 6902 operations and the version that they apply to::

    {"against": 7, "operations": [
        {"op": "replace", "path": "/organisations/a/rate_per_s", "value": 50}
    ]}

Applying it returns the whole document of the next version, or the reason
why it does not apply. The original document is never changed.
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
    """The document that results from a patch.

    :param value: the document, ready to be published.
    :param configuration: the configuration that the document holds.
    """

    value: Json
    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The reason why a patch was not applied.

    :param code: the result code.
    :param faults: every fault; their places refer to the patch, or to the
        resulting document if that is invalid.
    """

    code: results.ResultCode
    faults: tuple[fields.Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A well-formed patch.

    :param against: version of the document that it applies to.
    :param operations: its operations in order.
    """

    against: int
    operations: tuple[t.Mapping[str, Json], ...]


Outcome = Patched | Refused


def read(value: Json) -> Patch | Refused:
    """Convert a parsed patch document into a patch."""
    faults: list[fields.Fault] = []
    root = fields.Section(value, "", faults)
    against = root.number("against", int, 1, document.VERSION_MAX)
    operations = root.take("operations", list)
    root.reject_unknown()
    if len(operations) > OPERATIONS_MAX:
        root.fault("operations", f"must be at most {OPERATIONS_MAX}")
    for index, operation in enumerate(operations):
        text = _check_operation(operation)
        if text:
            faults.append(fields.Fault(f"/operations/{index}", text))
    if faults:
        return Refused(results.PATCH_FAULT, tuple(faults))
    return Patch(against, tuple(operations))


def apply(current: Json, change: Patch) -> Outcome:
    """Apply a patch to a document.

    :param current: the parsed document, which is not modified.
    :param change: the patch.
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
    """Convert a parsed patch document and apply it.

    :param current: the parsed document, which is not modified.
    :param value: the parsed patch document.
    """
    change = read(value)
    if isinstance(change, Refused):
        return change
    return apply(current, change)


def make(old: Json, new: Json) -> Json:
    """Return the patch document that turns one document into another.

    :param old: the original document, with its version.
    :param new: the target document; its version is ignored.
    """
    target = {**new, "version": old["version"]}
    operations = jsonpatch.make_patch(old, target).patch
    return {"against": old["version"], "operations": operations}


def _check(value: Json) -> Outcome:
    checked = document.read(value)
    if isinstance(checked, document.Refused):
        return Refused(results.CONFIGURATION_FAULT, checked.faults)
    return Patched(value, checked)


def _refuse(code: results.ResultCode, place: str, text: str) -> Refused:
    return Refused(code, (fields.Fault(place, text),))


def _check_operation(operation: Json) -> str:
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
