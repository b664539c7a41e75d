"""Token bucket that an owner keeps for one shard of an organisation's rate.

The tokens stored in the bucket and those that borrowers may still spend never
exceed the burst together, so that admissions in any window stay within burst +
rate x time. An owner may also lend a share, a fraction of the contract's rate
and burst, to the owner of the same shard in another region.
"""

import dataclasses

from ..world import organisation
from . import shard_ownership

LOAN_S = 3.0
SHARE_LOAN_S = shard_ownership.SHARD_LOAN_MAX_S
SHARE_USE_S = SHARE_LOAN_S - LOAN_S - shard_ownership.CLOCK_MARGIN_S
DEMAND_PERIOD_S = 1.0
DEMAND_WEIGHT = 0.5
SHARE_RENEW_S = SHARE_USE_S / 2
SHARE_RESERVE = 0.05
SHARE_HEADROOM = 1.25
LENDER_HEADROOM = 1.15
RENEWAL_FRACTION = 0.5
SHORTAGE_FRACTION = 0.02
IDLE_PER_S = 0.01
GRANT_FRACTION = 1.0
GRANT_MIN_TOKENS = 1.0
WAIT_MIN_MS = 50
WAIT_MAX_MS = 60_000

Borrower = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Loan:
    """Tokens that one incarnation of a borrower may still spend."""

    sequence: int = 0
    tokens: float = 0.0
    expires_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _ShareLoan:
    """Shares lent to one owner in another region, newest last.

    The borrower uses only one of them at a time, so the largest is deducted
    from the lender's share.
    """

    sequence: int = 0
    parts: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def deducted(self, now: float) -> float:
        """Return the share that the borrower may still be using."""
        self.parts = [item for item in self.parts if item[1] > now]
        return max((share for share, _ in self.parts), default=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An owner's reply to a token request.

    :param kept: unspent tokens that the borrower may keep and spend.
    :param tokens: additional tokens lent.
    :param wait_ms: time in milliseconds after which more may be available, 0
        if nothing is missing.
    """

    kept: float
    tokens: float
    wait_ms: int


class Bucket:
    """Stores, lends and accounts for the tokens of one shard.

    A new bucket is empty.

    :param now: when it starts to fill.
    """

    def __init__(self, now: float) -> None:
        self._share = 0.0
        self._rate = 0.0
        self._burst = 0.0
        self._stored = 0.0
        self._refilled_at = now
        self._loans: dict[Borrower, _Loan] = {}
        self._share_loans: dict[Borrower, _ShareLoan] = {}
        self._borrowed_shares: dict[str, tuple[float, float]] = {}
        self._requested = 0.0
        self._refused = 0
        self._spent = 0.0
        self._spent_per_s = 0.0
        self._refused_per_s = 0.0
        self._round_robin = 0
        self._measured_at = now

    @property
    def stored(self) -> float:
        """Number of tokens in the bucket."""
        return self._stored

    @property
    def outstanding(self) -> float:
        """Number of lent tokens that borrowers may still spend."""
        return sum(loan.tokens for loan in self._loans.values())

    @property
    def short_of_tokens(self) -> bool:
        """Whether borrowers recently rejected requests for lack of tokens."""
        return self._refused_per_s > SHORTAGE_FRACTION * self._spent_per_s

    @property
    def idle(self) -> bool:
        """Whether the bucket is full and has neither loans nor demand."""
        busy = (
            self._loans
            or self._share_loans
            or self._borrowed_shares
            or self._requested
        )
        full = self._stored >= self._burst * self._share
        return not busy and full and self._spent_per_s < IDLE_PER_S

    def learn_contract(
        self, contract: organisation.Contract, share: float, now: float
    ) -> None:
        """Apply a new rate and burst; outstanding loans remain deducted.

        :param contract: rate and burst of the organisation.
        :param share: fraction of the contract that is assigned to the shard.
        """
        self.settle(now)
        self._share = share
        self._rate = contract.rate_per_s
        self._burst = contract.burst
        self._limit_stored(now)

    def fill(self, since: float, now: float) -> None:
        """Store the tokens that accrued while the shard had no demand.

        :param since: when this host became the shard's owner.
        """
        if not self._rate:
            return
        accrued = self._rate * self._share * (now - since)
        self._stored = min(accrued, self._capacity(now))

    def inherit(
        self, stored: float, lent: float, share_lent: float, now: float
    ) -> None:
        """Take over the tokens and loans of the previous owner.

        :param stored: tokens in the previous owner's bucket.
        :param lent: tokens that its borrowers may still spend.
        :param share_lent: share that other regions may still use.
        """
        margin_s = shard_ownership.CLOCK_MARGIN_S
        until = now + LOAN_S + margin_s
        self._loans[("", 0)] = _Loan(0, lent, until)
        until = now + SHARE_LOAN_S + margin_s
        self._share_loans[("", 0)] = _ShareLoan(0, [(share_lent, until)])
        self._stored = stored
        self._refilled_at = now
        self._limit_stored(now)

    def settle(self, now: float) -> None:
        """Refill the bucket up to now and drop expired loans."""
        for lender, (_, until) in sorted(
            self._borrowed_shares.items(), key=lambda item: item[1][1]
        ):
            if until > now:
                break
            self._refill(until)
            del self._borrowed_shares[lender]
            self._limit_stored(until)
        self._refill(now)
        expired = [
            key for key, loan in self._loans.items() if loan.expires_at <= now
        ]
        for key in expired:
            del self._loans[key]
        for key in [
            key
            for key in self._share_loans
            if not self._share_loans[key].parts
        ]:
            del self._share_loans[key]
        self._update_rates(now)

    def lend(
        self,
        borrower: Borrower,
        sequence: int,
        reported: tuple[float, float],
        wanted: float,
        refused: int,
        now: float,
    ) -> Grant | None:
        """Update a borrower's loan from its report and lend it more tokens.

        :param borrower: host and incarnation of the borrower.
        :param sequence: sequence number of its request.
        :param reported: tokens that it holds and tokens that it returns.
        :param wanted: tokens that it requests.
        :param refused: requests that it rejected since its last report.
        :return: ``None`` if the request is a duplicate or out of order.
        """
        self.settle(now)
        loan = self._loans.get(borrower) or _Loan()
        if sequence <= loan.sequence:
            return None
        recorded = loan.tokens
        held = min(max(reported[0], 0.0), recorded)
        returned = min(max(reported[1], 0.0), recorded - held)
        headroom = self._capacity(now) - (self.outstanding - recorded)
        loan.sequence = sequence
        loan.tokens = held
        loan.expires_at = now + LOAN_S + shard_ownership.CLOCK_MARGIN_S
        self._loans[borrower] = loan
        self._stored += returned
        self._limit_stored(now)
        tokens = self._grantable(wanted)
        self._stored -= tokens
        loan.tokens += tokens
        self._requested += wanted
        self._refused += refused
        self._spent += recorded - held - returned
        wait_ms = self._wait_ms(wanted - tokens, now)
        return Grant(min(held, max(headroom, 0.0)), tokens, wait_ms)

    def lend_share(
        self, borrower: Borrower, sequence: int, wanted: float, now: float
    ) -> float | None:
        """Lend a part of this region's share to another region.

        :param wanted: fraction of the contract, including earlier loans.
        :return: the share lent, ``None`` if the request is a duplicate or out
            of order.
        """
        self.settle(now)
        loan = self._share_loans.setdefault(borrower, _ShareLoan())
        if sequence <= loan.sequence:
            return None
        loan.sequence = sequence
        offer = loan.deducted(now) + self._lendable_share(now)
        if self.short_of_tokens:
            offer *= RENEWAL_FRACTION
        share = min(max(wanted, 0.0), offer)
        until = now + SHARE_LOAN_S + shard_ownership.CLOCK_MARGIN_S
        if share > 0.0:
            loan.parts.append((share, until))
        self._limit_stored(now)
        return share

    def set_borrowed_share(
        self, lender: str, share: float, until: float, now: float
    ) -> None:
        """Replace the share borrowed from another region.

        :param lender: the lending region.
        :param share: the share lent.
        :param until: when its use must end.
        """
        self.settle(now)
        self._borrowed_shares.pop(lender, None)
        if share > 0.0 and until > now:
            self._borrowed_shares[lender] = (share, until)
        self._limit_stored(now)

    def share_from(self, lender: str) -> float:
        """Return the share borrowed from another region."""
        return self._borrowed_shares.get(lender, (0.0, 0.0))[0]

    def next_lending_region(self, others: list[str], now: float) -> str:
        """Return the region from which to borrow next.

        A loan that is about to expire comes first, otherwise the regions take
        turns.

        :param others: the other regions.
        """
        expiring = [
            name
            for name in others
            if name in self._borrowed_shares
            and self._borrowed_shares[name][1] - now < SHARE_RENEW_S
        ]
        if expiring:
            return min(
                expiring, key=lambda name: self._borrowed_shares[name][1]
            )
        self._round_robin += 1
        return others[self._round_robin % len(others)]

    def share_wanted(self, now: float) -> float:
        """Return the total share to borrow from other regions."""
        if not self._rate:
            return 0.0
        demand_per_s = self._spent_per_s
        if self.short_of_tokens:
            demand_per_s += self._refused_per_s
        needed = demand_per_s * SHARE_HEADROOM / self._rate
        own_share = self._share - self.share_lent(now)
        extra = max(min(needed, 1.0) - own_share, 0.0)
        return extra if self._borrowed_shares or self.short_of_tokens else 0.0

    def share_lent(self, now: float) -> float:
        """Return the share that other regions may still use."""
        return sum(loan.deducted(now) for loan in self._share_loans.values())

    def _effective_share(self, now: float) -> float:
        """Return the share in use here, including loans in both directions."""
        extra = sum(share for share, _ in self._borrowed_shares.values())
        return max(self._share + extra - self.share_lent(now), 0.0)

    def _lendable_share(self, now: float) -> float:
        """Return the share that may be lent to another region now.

        Borrowed shares are not lent on because they expire at a different
        time.
        """
        if not self._rate or not self._burst:
            return 0.0
        if self.short_of_tokens:
            return 0.0
        needed = self._spent_per_s * LENDER_HEADROOM / self._rate
        committed = self.outstanding / self._burst
        retained = max(needed, committed, SHARE_RESERVE * self._share)
        return max(self._share - self.share_lent(now) - retained, 0.0)

    def _refill(self, now: float) -> None:
        if now <= self._refilled_at:
            return
        rate_per_s = self._rate * self._effective_share(self._refilled_at)
        self._stored += rate_per_s * (now - self._refilled_at)
        self._refilled_at = now
        self._limit_stored(now)

    def _capacity(self, now: float) -> float:
        """Return the number of tokens that the current share allows."""
        return self._burst * self._effective_share(now)

    def _limit_stored(self, now: float) -> None:
        """Limit the stored tokens to the capacity that is not on loan."""
        headroom = self._capacity(now) - self.outstanding
        self._stored = max(min(self._stored, headroom), 0.0)

    def _grantable(self, wanted: float) -> float:
        """Return how many of the requested tokens to lend."""
        part = max(self._stored * GRANT_FRACTION, GRANT_MIN_TOKENS)
        return max(min(wanted, part, self._stored), 0.0)

    def _wait_ms(self, missing: float, now: float) -> int:
        """Return after how many milliseconds more tokens may be available.

        :param missing: number of tokens requested but not lent.
        """
        if missing <= 0.0:
            return 0
        rate_per_s = self._rate * self._effective_share(now)
        if not rate_per_s:
            return WAIT_MAX_MS
        needed = max(GRANT_MIN_TOKENS - self._stored, 0.0)
        wait_ms = int(1000 * needed / rate_per_s)
        return min(max(wait_ms, WAIT_MIN_MS), WAIT_MAX_MS)

    def _update_rates(self, now: float) -> None:
        """Update the moving averages of spent tokens and rejections."""
        elapsed_s = now - self._measured_at
        if elapsed_s < DEMAND_PERIOD_S:
            return
        latest = self._spent / elapsed_s
        self._spent_per_s += DEMAND_WEIGHT * (latest - self._spent_per_s)
        latest = self._refused / elapsed_s
        self._refused_per_s += DEMAND_WEIGHT * (latest - self._refused_per_s)
        self._spent = 0.0
        self._requested = 0.0
        self._refused = 0
        self._measured_at = now
