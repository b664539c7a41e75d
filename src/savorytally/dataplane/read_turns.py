"""Shares the time of an event loop among connections that receive much.

Bytes cost time by what they contain: a body in chunks of two bytes takes far
longer to parse than the same body in one piece. Without a bound, one sender of
such bytes delays all other connections of the process, in each turn of the
loop and by all that was received.
"""

import asyncio
import typing as t

# Bytes parsed at a time, at first and at most. A piece with few parts is
# followed by a larger one.
PIECE_BYTES = 1 << 12
PIECE_MAX_BYTES = 1 << 16
FEW_PARTS = 16
# Pieces of a body that are gathered before they are kept as one.
GATHERED_BYTES = 1 << 14
# Parts of messages, such as headers and pieces of bodies, that are parsed in
# one turn of the loop, over all connections.
TURN_PARTS = 2000


class Reader(t.Protocol):
    """A connection that parses what it has received."""

    def parse(self, data: bytes | memoryview) -> bool:
        """Parse a piece; return whether the connection remains usable."""

    def parsed(self) -> None:
        """Act on what was parsed: all that was received, or up to the end."""

    def hold_reading(self, held: bool) -> None:
        """Stop receiving more, or receive again."""


class Body:
    """A body that arrives in pieces of any size.

    Small pieces are gathered, since each object costs more than the bytes in
    it; large ones are kept as they are, since buffers that grow are larger
    than what they hold.
    """

    __slots__ = ("_gathered", "_parts")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._gathered = bytearray()

    def add(self, piece: bytes) -> None:
        """Add the next piece."""
        if len(piece) < PIECE_BYTES:
            self._gathered += piece
            if len(self._gathered) >= GATHERED_BYTES:
                self._keep_gathered()
            return
        self._keep_gathered()
        self._parts.append(piece)

    def whole(self) -> bytes:
        """Return the body."""
        if not self._parts:
            return bytes(self._gathered)
        self._keep_gathered()
        parts = self._parts
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _keep_gathered(self) -> None:
        if self._gathered:
            self._parts.append(bytes(self._gathered))
            self._gathered.clear()


class ReadTurns:
    """The received bytes that wait for their turn.

    Readers report each part with :meth:`count`. What exceeds a turn waits;
    meanwhile the reader receives nothing more, and waiting readers take turns
    piece by piece.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._parts = 0
        self._turn_due = False
        self._waiting: dict[Reader, memoryview] = {}
        # Size of the next piece of those that wait.
        self._piece_bytes: dict[Reader, int] = {}
        # Readers that receive nothing more until their turn is over.
        self._held: set[Reader] = set()

    def count(self) -> None:
        """Count a part of a message."""
        self._parts += 1

    def feed(self, reader: Reader, data: bytes) -> None:
        """Parse received bytes, now or in later turns."""
        if reader in self._waiting:
            rest = b"".join((self._waiting[reader], data))
            self._waiting[reader] = memoryview(rest)
            return
        spent = self._waiting or self._parts >= TURN_PARTS
        if len(data) <= PIECE_BYTES and not spent:
            # Most messages are short.
            reader.parse(data)
            reader.parsed()
            self._await_turn()
            return
        self._waiting[reader] = memoryview(data)
        while reader in self._waiting and self._parts < TURN_PARTS:
            self._parse_piece(reader)
        if reader in self._waiting:
            self._held.add(reader)
            reader.hold_reading(True)
        self._await_turn()

    def finish(self, reader: Reader) -> None:
        """Parse at once what waits: the connection ends."""
        while reader in self._waiting:
            self._parse_piece(reader)

    def drop(self, reader: Reader) -> None:
        """Forget what waits: the connection was given up."""
        self._waiting.pop(reader, None)
        self._piece_bytes.pop(reader, None)
        self._held.discard(reader)

    def _parse_piece(self, reader: Reader) -> None:
        data = self._waiting.pop(reader)
        size = self._piece_bytes.get(reader, PIECE_BYTES)
        # Behind the others that wait; the reader may be dropped meanwhile.
        self._waiting[reader] = data[size:]
        before = self._parts
        usable = reader.parse(data[:size])
        if usable and self._waiting.get(reader):
            few = self._parts - before <= FEW_PARTS
            larger = min(4 * size, PIECE_MAX_BYTES)
            self._piece_bytes[reader] = larger if few else PIECE_BYTES
            return
        self._waiting.pop(reader, None)
        self._piece_bytes.pop(reader, None)
        if reader in self._held:
            self._held.discard(reader)
            reader.hold_reading(False)
        reader.parsed()

    def _await_turn(self) -> None:
        if not self._turn_due and (self._waiting or self._parts):
            self._turn_due = True
            self._loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._turn_due = False
        self._parts = 0
        try:
            while self._waiting and self._parts < TURN_PARTS:
                self._parse_piece(next(iter(self._waiting)))
        finally:
            if self._waiting:
                self._await_turn()
