"""Positions in the history of the platform's store."""

import typing as t

# Bits of a revision in a position that is encoded as a number.
REVISION_BITS = 40


class Position(t.NamedTuple):
    """A revision of the store, in the order in which states were published.

    A store that is restored from a copy goes back to an earlier revision and
    assigns later ones again. Its era increases each time, so that revisions
    of different eras do not compare as numbers.

    :param era: how often the store has been restored; 0 if it states none.
    :param revision: the store's revision.
    """

    era: int
    revision: int

    def to_number(self) -> int:
        """Return a number from which :func:`from_number` reads the position.

        It is greater than every revision.
        """
        return (self.era + 1) << REVISION_BITS | self.revision


def from_number(number: int) -> Position | None:
    """Read a position, ``None`` if the number is a revision without an era."""
    era = (number >> REVISION_BITS) - 1
    if era < 0:
        return None
    return Position(era, number & ((1 << REVISION_BITS) - 1))
