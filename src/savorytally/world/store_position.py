"""Positions in the history of the platform's store."""

import typing as t

# Bits of a revision in a position that is encoded as a number.
REVISION_BITS = 40
# With the greatest era, the number still has 64 bits.
ERA_MAX = (1 << 24) - 2


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

    @property
    def valid(self) -> bool:
        """Whether it can be encoded as a number of 64 bits."""
        in_range = 0 <= self.revision < 1 << REVISION_BITS
        return in_range and 0 <= self.era <= ERA_MAX

    def to_version(self) -> int:
        """Return a number that orders positions; see :func:`from_version`.

        It is the revision itself before the first restore.
        """
        return self.era << REVISION_BITS | self.revision

    def to_number(self) -> int:
        """Return a number from which :func:`from_number` reads the position.

        It is greater than every revision.
        """
        return Position(self.era + 1, self.revision).to_version()


def from_version(version: int) -> Position:
    """Return the position of a number from :meth:`Position.to_version`."""
    revision = version & ((1 << REVISION_BITS) - 1)
    return Position(version >> REVISION_BITS, revision)


def from_number(number: int) -> Position | None:
    """Read a position, ``None`` if the number is a revision without an era."""
    found = from_version(number)
    return Position(found.era - 1, found.revision) if found.era else None
