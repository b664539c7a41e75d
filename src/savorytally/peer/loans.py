"""Messages by which quota is lent and shards change hands."""

import dataclasses

from . import messages


@messages.message(40)
@dataclasses.dataclass(frozen=True, slots=True)
class Borrow(messages.Message):
    """Asks a shard's owner for tokens and accounts for earlier ones.

    The sender accepts no answer to an earlier request any more.

    :param organisation_id: the organisation.
    :param index: the shard of the sender's place.
    :param incarnation: the sender's incarnation.
    :param sequence: rises with every request to this shard.
    :param held: unspent tokens of this shard that the sender holds.
    :param returned: tokens that it gives back unspent.
    :param wanted: tokens that it asks for.
    :param refused: requests that it refused since its last request.
    """

    organisation_id: str
    index: int
    incarnation: int
    sequence: int
    held: float
    returned: float
    wanted: float
    refused: int


@messages.message(41)
@dataclasses.dataclass(frozen=True, slots=True)
class Lend(messages.Message):
    """Answers ``Borrow``; the loan's time counts from that request.

    :param organisation_id: the organisation.
    :param index: the shard.
    :param sequence: the request that is answered.
    :param kept: held tokens that the sender may keep.
    :param tokens: tokens that are lent in addition.
    :param wait_ms: when more may be available, 0 if at any time.
    """

    organisation_id: str
    index: int
    sequence: int
    kept: float
    tokens: float
    wait_ms: int


@messages.message(42)
@dataclasses.dataclass(frozen=True, slots=True)
class BorrowShare(messages.Message):
    """Asks the same shard's owner in another place for part of its share.

    :param organisation_id: the organisation.
    :param index: the shard.
    :param region_id: the place that is asked.
    :param incarnation: the sender's incarnation.
    :param sequence: rises with every request to this shard.
    :param share: fraction of the contract wanted, earlier loans included.
    """

    organisation_id: str
    index: int
    region_id: str
    incarnation: int
    sequence: int
    share: float


@messages.message(43)
@dataclasses.dataclass(frozen=True, slots=True)
class LendShare(messages.Message):
    """Answers ``BorrowShare``; replaces the earlier loan when it arrives.

    :param organisation_id: the organisation.
    :param index: the shard.
    :param region_id: the place that lends.
    :param sequence: the request that is answered.
    :param share: fraction of the contract that is lent.
    """

    organisation_id: str
    index: int
    region_id: str
    sequence: int
    share: float


@messages.message(44)
@dataclasses.dataclass(frozen=True, slots=True)
class Claim(messages.Message):
    """Asks the previous owner to release a shard to the sender.

    :param organisation_id: the organisation.
    :param index: the shard of the sender's place.
    :param nonce: repeated in the answer.
    """

    organisation_id: str
    index: int
    nonce: int


@messages.message(45)
@dataclasses.dataclass(frozen=True, slots=True)
class Release(messages.Message):
    """Answers ``Claim``: the sender has stopped acting for the shard.

    :param organisation_id: the organisation.
    :param index: the shard.
    :param nonce: of the claim.
    :param stored: tokens in the bucket.
    :param lent: tokens that borrowers may still spend.
    :param share_lent: fraction of the contract lent to other places.
    """

    organisation_id: str
    index: int
    nonce: int
    stored: float
    lent: float
    share_lent: float


@messages.message(46)
@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner(messages.Message):
    """Answers ``Borrow``: the receiver does not act for the shard.

    :param organisation_id: the organisation.
    :param index: the shard.
    :param sequence: the request that is answered.
    """

    organisation_id: str
    index: int
    sequence: int
