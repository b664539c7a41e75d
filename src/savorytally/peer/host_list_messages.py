"""Messages by which owners of shards confirm their host list with others.

An owner that can't read the platform continues only while most of the hosts
that it queries hold no newer list. A new owner's waiting time starts when
most of them hold the list that makes it the owner.
"""

import dataclasses

from . import messages


@messages.message(50)
@dataclasses.dataclass(frozen=True, slots=True)
class HostListQuery(messages.Message):
    """Queries which host list the receiver holds, and for how long.

    :param nonce: number that the answer repeats.
    :param version: version of the host list that the query is about.
    """

    nonce: int
    version: int


@messages.message(51)
@dataclasses.dataclass(frozen=True, slots=True)
class HostListReply(messages.Message):
    """Answers ``HostListQuery``.

    :param nonce: the query's nonce.
    :param list_version: version of the host list that the sender holds.
    :param held_ms: how long the sender has held the queried version or a
        newer one, -1 if it holds neither.
    """

    nonce: int
    list_version: int
    held_ms: int
