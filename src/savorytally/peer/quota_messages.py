"""Messages that lend rate tokens and hand over quota shards.

An organisation's rate is divided into shards, each with an owner. Other
hosts borrow tokens from the owner: a loan is a batch of tokens that is valid
until it expires. Owners of the same shard in other regions lend each other
shares of the contract.
"""

import dataclasses

from . import messages


@messages.message(40)
@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest(messages.Message):
    """Requests rate tokens from a shard's owner and reports earlier loans.

    The sender ignores answers to its earlier requests from now on.

    :param organisation_id: the organisation.
    :param index: index of the shard in the sender's region.
    :param incarnation: the sender's incarnation.
    :param sequence: increases with every request to this shard.
    :param held: unspent tokens of this shard that the sender holds.
    :param returned: unspent tokens that the sender returns.
    :param wanted: number of tokens requested.
    :param refused: client requests rejected since the last token request.
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
class TokenGrant(messages.Message):
    """Answers ``TokenRequest``; the loan's lifetime starts with that request.

    :param organisation_id: the organisation.
    :param index: index of the shard.
    :param sequence: sequence number of the request that is answered.
    :param kept_tokens: number of held tokens that the borrower may keep.
    :param tokens: number of tokens lent in addition.
    :param wait_ms: time until more tokens may be available, 0 if they may
        be available at any time.
    """

    organisation_id: str
    index: int
    sequence: int
    kept_tokens: float
    tokens: float
    wait_ms: int


@messages.message(42)
@dataclasses.dataclass(frozen=True, slots=True)
class ShareRequest(messages.Message):
    """Requests part of the contract from the shard's owner in a region.

    :param organisation_id: the organisation.
    :param index: index of the shard.
    :param region_id: the region of the receiving owner.
    :param incarnation: the sender's incarnation.
    :param sequence: increases with every request to this shard.
    :param share: requested fraction of the contract, including what is
        already lent to the sender.
    """

    organisation_id: str
    index: int
    region_id: str
    incarnation: int
    sequence: int
    share: float


@messages.message(43)
@dataclasses.dataclass(frozen=True, slots=True)
class ShareGrant(messages.Message):
    """Answers ``ShareRequest``; the loan replaces the earlier one.

    :param organisation_id: the organisation.
    :param index: index of the shard.
    :param region_id: the lender's region.
    :param sequence: sequence number of the request that is answered.
    :param share: fraction of the contract that is lent.
    """

    organisation_id: str
    index: int
    region_id: str
    sequence: int
    share: float


@messages.message(44)
@dataclasses.dataclass(frozen=True, slots=True)
class ShardClaim(messages.Message):
    """Requests that the previous owner release a shard to the sender.

    :param organisation_id: the organisation.
    :param index: index of the shard in the sender's region.
    :param nonce: number that the answer repeats.
    """

    organisation_id: str
    index: int
    nonce: int


@messages.message(45)
@dataclasses.dataclass(frozen=True, slots=True)
class ShardRelease(messages.Message):
    """Answers ``ShardClaim``: the sender no longer acts as the shard's owner.

    :param organisation_id: the organisation.
    :param index: index of the shard.
    :param nonce: the claim's nonce.
    :param stored: tokens in the shard's token bucket.
    :param lent: tokens that borrowers may still spend.
    :param share_lent: fraction of the contract lent to other regions.
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
    """Answers ``TokenRequest``: the sender of this answer is not the owner.

    :param organisation_id: the organisation.
    :param index: index of the shard.
    :param sequence: sequence number of the request that is answered.
    """

    organisation_id: str
    index: int
    sequence: int
