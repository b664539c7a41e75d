"""Compresses configurations on their way between nodes."""

import zlib

# The repetition in a configuration is found at the lowest effort.
EFFORT = 1
UNPACKED_MAX_BYTES = 1 << 26


def pack(raw: bytes) -> bytes:
    """Compress a configuration."""
    return zlib.compress(raw, EFFORT)


def unpack(packed: bytes) -> bytes:
    """Undo :func:`pack`.

    :raises ValueError: if the bytes are cut short, are no configuration or
        would hold more than is allowed.
    """
    reader = zlib.decompressobj()
    try:
        raw = reader.decompress(packed, UNPACKED_MAX_BYTES)
    except (zlib.error, TypeError) as error:
        raise ValueError(f"a peer's configuration: {error}") from error
    if reader.unconsumed_tail:
        raise ValueError("a peer's configuration is too large")
    if not reader.eof:
        raise ValueError("a peer's configuration is cut short")
    return raw
