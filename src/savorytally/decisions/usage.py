"""Usage of the organisations' rates as reported to operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """An organisation's usage of its rate at one node since the node's start.

    :param organisation_id: the organisation.
    :param tokens: tokens that the node may spend now.
    :param admitted: number of requests within the rate.
    :param refused: number of requests over the rate.
    """

    organisation_id: str
    tokens: float
    admitted: int
    refused: int
