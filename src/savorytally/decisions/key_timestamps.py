"""Extracts the creation time from time-ordered idempotency keys."""

import re
import uuid

UUID_VERSION = 7
ULID = re.compile(r"[0-7][0-9A-HJKMNP-TV-Z]{25}")
ULID_ALPHABET = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
ULID_TIME_DIGITS = 10
UUID_TIME_SHIFT = 80


def created_at(key: str) -> float | None:
    """Return when a key was created, ``None`` if it has no timestamp.

    Version 7 UUIDs and ULIDs begin with a timestamp in milliseconds.

    :return: seconds since the Unix epoch.
    """
    text = key.strip()
    if ULID.fullmatch(text.upper()):
        return _ulid_ms(text.upper()) / 1000
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != UUID_VERSION:
        return None
    return (value.int >> UUID_TIME_SHIFT) / 1000


def _ulid_ms(text: str) -> int:
    """Return the timestamp of a ULID in milliseconds."""
    value = 0
    for digit in text[:ULID_TIME_DIGITS]:
        value = value * len(ULID_ALPHABET) + ULID_ALPHABET.index(digit)
    return value
