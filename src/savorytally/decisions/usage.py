"""What operators see of the organisations' use of their rates."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """An organisation's use of its rate at one node, since its start.

    :param organisation_id: the organisation.
    :param tokens: tokens that the node may spend at the moment.
    :param admitted: requests that were within the rate.
    :param refused: requests that were over the rate.
    """

    organisation_id: str
    tokens: float
    admitted: int
    refused: int
