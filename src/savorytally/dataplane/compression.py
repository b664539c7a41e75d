"""Compresses configurations that nodes send each other."""

import zlib

# Level 1 suffices for the repetition in a configuration.
LEVEL = 1
DECOMPRESSED_MAX_BYTES = 1 << 26


def compress(raw: bytes) -> bytes:
    """Compress a configuration."""
    return zlib.compress(raw, LEVEL)


def decompress(compressed: bytes) -> bytes:
    """Decompress a configuration.

    :raises ValueError: if the bytes are truncated or not compressed data, or
        if the result would exceed the size limit.
    """
    reader = zlib.decompressobj()
    try:
        raw = reader.decompress(compressed, DECOMPRESSED_MAX_BYTES)
    except (zlib.error, TypeError) as error:
        raise ValueError(
            f"a peer's configuration can't be decompressed: {error}"
        ) from error
    if reader.unconsumed_tail:
        raise ValueError("a peer's configuration is too large")
    if not reader.eof:
        raise ValueError("a peer's configuration is truncated")
    return raw
