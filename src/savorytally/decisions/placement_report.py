"""States which upstream a request would be sent to, and why not to others.

The report is made from what :class:`.placement.Placement` knows, at the mean
of its random draw, and changes nothing.
"""

import dataclasses
import enum
import typing as t


class Reason(enum.Enum):
    """Why an upstream is chosen or passed over."""

    CHOSEN = "chosen"
    NOT_READY = "not_ready"
    EVACUATED = "evacuated"
    REGION = "region_not_permitted"
    LEAVING = "leaving"
    DRAINING = "draining"
    UNLISTED = "unlisted"
    AVOIDED = "avoided"
    RATE_LIMIT = "rate_limit"
    SLOWER = "slower"
    # Nearer upstreams have capacity.
    FURTHER = "further"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """What a node knows of an upstream.

    :param instance_id: the identifier of the instance.
    :param data_centre: its data centre.
    :param region: its region.
    :param listed: whether it is in the host list.
    :param ready: whether its entry in the list says that it accepts requests.
    :param evacuated: whether its data centre is evacuated.
    :param offered: whether it may get requests, also with all others busy.
    :param preferred: whether it is the one that the node would choose.
    :param leaving: whether its host has announced that it leaves.
    :param draining: whether the upstream advertises that it leaves.
    :param drained: whether its drain time has passed.
    :param avoided_s: how much longer it counts as unreachable.
    :param rate_limit_s: time until its advertised rate allows a request.
    :param cold_s: how much longer it is cold.
    :param expected_s: expected response time with all penalties.
    :param in_flight: requests from this node that have not ended.
    :param load: requests at its gate when last reported.
    :param limit: its concurrency limit when last reported, 0 if unknown.
    :param slots: requests that it runs at once, by the host list.
    :param report_age_s: age of the last report, ``None`` without one.
    :param failure_rate: its failure rate, from 0 to 1.
    """

    instance_id: str
    data_centre: str
    region: str
    listed: bool
    ready: bool
    evacuated: bool
    offered: bool
    preferred: bool
    leaving: bool
    draining: bool
    drained: bool
    avoided_s: float
    rate_limit_s: float
    cold_s: float
    expected_s: float
    in_flight: int
    load: int
    limit: int
    slots: int
    report_age_s: float | None
    failure_rate: float

    @property
    def excluded(self) -> bool:
        """Whether it gets nothing at present, whatever the load."""
        return not self.offered or self.leaving or self.drained


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Parts of an expected response time, in seconds.

    :param run_s: expected run time.
    :param wait_s: expected wait for a free slot.
    :param distance_s: penalty for another data centre or region.
    :param failure_s: penalty for failures.
    :param spread_s: range over which equal upstreams are spread at random.
    """

    run_s: float
    wait_s: float
    distance_s: float
    failure_s: float
    spread_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """An upstream and why it is chosen or passed over."""

    candidate: Candidate
    reason: Reason


def judge(
    candidates: t.Iterable[Candidate], regions: frozenset[str] | None
) -> list[Verdict]:
    """Return the verdict on each upstream, the best ones first.

    :param regions: the regions that the request may be sent to, all if
        ``None``.
    """
    ordered = sorted(
        candidates,
        key=lambda item: (not item.preferred, item.excluded, item.expected_s),
    )
    verdicts = []
    for item in ordered:
        reason = _passed_over(item, regions)
        if item.preferred:
            reason = Reason.CHOSEN
        elif (
            reason is Reason.SLOWER and item.expected_s < ordered[0].expected_s
        ):
            reason = Reason.FURTHER
        verdicts.append(Verdict(item, reason))
    return verdicts


def _passed_over(item: Candidate, regions: frozenset[str] | None) -> Reason:
    """Return why an upstream that is not chosen is passed over."""
    checks = (
        (not item.ready, Reason.NOT_READY),
        (item.evacuated, Reason.EVACUATED),
        (regions is not None and item.region not in regions, Reason.REGION),
        (item.leaving, Reason.LEAVING),
        (item.draining, Reason.DRAINING),
        (not item.listed and not item.offered, Reason.UNLISTED),
        (item.avoided_s > 0.0, Reason.AVOIDED),
        (item.rate_limit_s > 0.0, Reason.RATE_LIMIT),
    )
    return next((reason for holds, reason in checks if holds), Reason.SLOWER)
