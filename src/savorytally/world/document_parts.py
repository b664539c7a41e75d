"""Divides a published document into independently versioned parts.

Each member of the document's objects becomes a part of its own, so that a
change of one organisation, route or host is propagated in a few hundred
bytes.
"""

import json
import typing as t

Json = t.Any

_REST = ""
_DIVIDED = "divided"
_OTHER = "other"


def divide(document: Json) -> dict[str, bytes]:
    """Divide a parsed document and return its parts by name.

    :param document: any JSON value; only objects are divided.
    """
    if not isinstance(document, dict):
        return {_REST: _encode({_OTHER: document, _DIVIDED: None})}
    parts: dict[str, bytes] = {}
    other: dict[str, Json] = {}
    divided: list[str] = []
    for kind, members in document.items():
        if not isinstance(members, dict) or "/" in kind:
            other[kind] = members
            continue
        divided.append(kind)
        for name, member in members.items():
            parts[f"{kind}/{name}"] = _encode(member)
    parts[_REST] = _encode({_OTHER: other, _DIVIDED: divided})
    return parts


def join(parts: t.Mapping[str, bytes]) -> Json:
    """Return the document that was divided into these parts.

    :raises ValueError: if a part is missing or malformed.
    """
    return join_partly_decoded(parts, frozenset())


def join_partly_decoded(
    parts: t.Mapping[str, bytes], encoded: frozenset[str]
) -> Json:
    """Return the document that was divided into these parts, partly decoded.

    :param encoded: names of the objects whose members are left encoded as
        bytes, so that a reader that has decoded the same bytes before need
        not decode them again.
    :raises ValueError: if a part is missing or malformed.
    """
    if _REST not in parts:
        raise ValueError("the part with the other fields is missing")
    rest = json.loads(parts[_REST])
    if rest[_DIVIDED] is None:
        return rest[_OTHER]
    document = {**rest[_OTHER], **{kind: {} for kind in rest[_DIVIDED]}}
    for name, body in parts.items():
        if name == _REST:
            continue
        kind, _, member = name.partition("/")
        value = body if kind in encoded else json.loads(body)
        document[kind][member] = value
    return document


def _encode(value: Json) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode("ascii")
