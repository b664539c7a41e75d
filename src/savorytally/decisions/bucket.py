"""An owner's token bucket for one shard of an organisation's rate.

Stored tokens and tokens that borrowers may still spend never exceed the
burst, so that admissions in any window stay within burst + rate x time.
"""

import dataclasses

from ..world import organisation
from . import ownership

LOAN_S = 3.0
SHARE_LOAN_S = ownership.SHARD_LOAN_MAX_S
SHARE_USE_S = SHARE_LOAN_S - LOAN_S - ownership.CLOCK_MARGIN_S
DEMAND_PERIOD_S = 1.0
DEMAND_WEIGHT = 0.5
SHARE_RENEW_S = SHARE_USE_S / 2
SHARE_RESERVE = 0.05
SHARE_HEADROOM = 1.25
LENDER_HEADROOM = 1.15
RENEWED_PART = 0.5
LACKING_PART = 0.02
IDLE_PER_S = 0.01
GRANT_PART = 1.0
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
    """Fractions lent to one owner in another place, newest last.

    The borrower uses one of them, so that the greatest is deducted.
    """

    sequence: int = 0
    parts: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def deducted(self, now: float) -> float:
        """Return the fraction that may still be in use."""
        self.parts = [item for item in self.parts if item[1] > now]
        return max((share for share, _ in self.parts), default=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What a borrower gets.

    :param kept: unspent tokens that it may keep and spend.
    :param tokens: tokens lent in addition.
    :param wait_ms: when more may be available, 0 if at any time.
    """

    kept: float
    tokens: float
    wait_ms: int


class Bucket:
    """Stores, lends and accounts for the tokens of one shard.

    A new bucket is empty.

    :param now: when it begins to fill.
    """

    def __init__(self, now: float) -> None:
        self._share = 0.0
        self._rate = 0.0
        self._burst = 0.0
        self._stored = 0.0
        self._at = now
        self._loans: dict[Borrower, _Loan] = {}
        self._lent: dict[Borrower, _ShareLoan] = {}
        self._extra: dict[str, tuple[float, float]] = {}
        self._asked = 0.0
        self._refused = 0
        self._spent = 0.0
        self._spent_per_s = 0.0
        self._refused_per_s = 0.0
        self._turn = 0
        self._measured_at = now

    @property
    def stored(self) -> float:
        """Tokens in the bucket."""
        return self._stored

    @property
    def outstanding(self) -> float:
        """Tokens that borrowers may still spend."""
        return sum(loan.tokens for loan in self._loans.values())

    @property
    def lacking(self) -> bool:
        """Whether borrowers had to refuse requests lately."""
        return self._refused_per_s > LACKING_PART * self._spent_per_s

    @property
    def idle(self) -> bool:
        """Whether it is full, without loans and without demand."""
        busy = self._loans or self._lent or self._extra or self._asked
        full = self._stored >= self._burst * self._share
        return not busy and full and self._spent_per_s < IDLE_PER_S

    def learn_contract(
        self, contract: organisation.Contract, share: float, now: float
    ) -> None:
        """Apply a new rate and burst; outstanding loans stay counted.

        :param share: fraction of the contract that is pinned to the shard.
        """
        self.settle(now)
        self._share = share
        self._rate = contract.rate_per_s
        self._burst = contract.burst
        self._clip(now)

    def fill(self, since: float, now: float) -> None:
        """Store what accrued while the shard had an owner but no demand."""
        if not self._rate:
            return
        accrued = self._rate * self._share * (now - since)
        self._stored = min(accrued, self._capacity(now))

    def inherit(
        self, stored: float, lent: float, share_lent: float, now: float
    ) -> None:
        """Take over from the predecessor, whose loans still run."""
        margin_s = ownership.CLOCK_MARGIN_S
        until = now + LOAN_S + margin_s
        self._loans[("", 0)] = _Loan(0, lent, until)
        until = now + SHARE_LOAN_S + margin_s
        self._lent[("", 0)] = _ShareLoan(0, [(share_lent, until)])
        self._stored = stored
        self._at = now
        self._clip(now)

    def settle(self, now: float) -> None:
        """Refill up to now and drop the loans that have expired."""
        for lender, (_, until) in sorted(
            self._extra.items(), key=lambda item: item[1][1]
        ):
            if until > now:
                break
            self._refill(until)
            del self._extra[lender]
            self._clip(until)
        self._refill(now)
        expired = [
            key for key, loan in self._loans.items() if loan.expires_at <= now
        ]
        for key in expired:
            del self._loans[key]
        for key in [key for key in self._lent if not self._lent[key].parts]:
            del self._lent[key]
        self._measure(now)

    def lend(
        self,
        borrower: Borrower,
        sequence: int,
        account: tuple[float, float],
        wanted: float,
        refused: int,
        now: float,
    ) -> Grant | None:
        """Account for a borrower's tokens and lend it more.

        :param account: tokens that it holds and that it gives back.
        :param refused: requests that it refused since it last asked.
        :return: ``None`` if a later request was seen already.
        """
        self.settle(now)
        loan = self._loans.get(borrower) or _Loan()
        if sequence <= loan.sequence:
            return None
        known = loan.tokens
        held = min(max(account[0], 0.0), known)
        returned = min(max(account[1], 0.0), known - held)
        room = self._capacity(now) - (self.outstanding - known)
        loan.sequence = sequence
        loan.tokens = held
        loan.expires_at = now + LOAN_S + ownership.CLOCK_MARGIN_S
        self._loans[borrower] = loan
        self._stored += returned
        self._clip(now)
        tokens = self._grant(wanted)
        self._stored -= tokens
        loan.tokens += tokens
        self._asked += wanted
        self._refused += refused
        self._spent += known - held - returned
        wait_ms = self._wait_ms(wanted - tokens, now)
        return Grant(min(held, max(room, 0.0)), tokens, wait_ms)

    def lend_share(
        self, borrower: Borrower, sequence: int, wanted: float, now: float
    ) -> float | None:
        """Lend part of the share to another place for a time.

        :param wanted: fraction of the contract, earlier loans included.
        :return: the fraction lent, ``None`` if a later request was seen.
        """
        self.settle(now)
        loan = self._lent.setdefault(borrower, _ShareLoan())
        if sequence <= loan.sequence:
            return None
        loan.sequence = sequence
        offer = loan.deducted(now) + self._surplus(now)
        if self.lacking:
            offer *= RENEWED_PART
        share = min(max(wanted, 0.0), offer)
        until = now + SHARE_LOAN_S + ownership.CLOCK_MARGIN_S
        if share > 0.0:
            loan.parts.append((share, until))
        self._clip(now)
        return share

    def borrowed(
        self, lender: str, share: float, until: float, now: float
    ) -> None:
        """Use a fraction that another place lent, in place of its last.

        :param until: when it must no longer be used.
        """
        self.settle(now)
        self._extra.pop(lender, None)
        if share > 0.0 and until > now:
            self._extra[lender] = (share, until)
        self._clip(now)

    def extra_of(self, lender: str) -> float:
        """Return the fraction borrowed from another place."""
        return self._extra.get(lender, (0.0, 0.0))[0]

    def next_lender(self, others: list[str], now: float) -> str:
        """Return the place whose loan expires soonest, else the next one.

        :param others: the other places.
        """
        ending = [
            name
            for name in others
            if name in self._extra
            and self._extra[name][1] - now < SHARE_RENEW_S
        ]
        if ending:
            return min(ending, key=lambda name: self._extra[name][1])
        self._turn += 1
        return others[self._turn % len(others)]

    def extra_wanted(self, now: float) -> float:
        """Return the fraction to be borrowed from other places in all."""
        if not self._rate:
            return 0.0
        demand_per_s = self._spent_per_s
        if self.lacking:
            demand_per_s += self._refused_per_s
        needed = demand_per_s * SHARE_HEADROOM / self._rate
        own = self._share - self.share_lent(now)
        extra = max(min(needed, 1.0) - own, 0.0)
        return extra if self._extra or self.lacking else 0.0

    def share_lent(self, now: float) -> float:
        """Return the fraction that other places may still use."""
        return sum(loan.deducted(now) for loan in self._lent.values())

    def _share_now(self, now: float) -> float:
        extra = sum(share for share, _ in self._extra.values())
        return max(self._share + extra - self.share_lent(now), 0.0)

    def _surplus(self, now: float) -> float:
        """Return the fraction that can be lent to another place now.

        Borrowed fractions are not lent on; they expire at another time.
        """
        if not self._rate or not self._burst:
            return 0.0
        if self.lacking:
            return 0.0
        needed = self._spent_per_s * LENDER_HEADROOM / self._rate
        bound = self.outstanding / self._burst
        kept = max(needed, bound, SHARE_RESERVE * self._share)
        return max(self._share - self.share_lent(now) - kept, 0.0)

    def _refill(self, now: float) -> None:
        if now <= self._at:
            return
        rate_per_s = self._rate * self._share_now(self._at)
        self._stored += rate_per_s * (now - self._at)
        self._at = now
        self._clip(now)

    def _capacity(self, now: float) -> float:
        return self._burst * self._share_now(now)

    def _clip(self, now: float) -> None:
        room = self._capacity(now) - self.outstanding
        self._stored = max(min(self._stored, room), 0.0)

    def _grant(self, wanted: float) -> float:
        part = max(self._stored * GRANT_PART, GRANT_MIN_TOKENS)
        return max(min(wanted, part, self._stored), 0.0)

    def _wait_ms(self, short: float, now: float) -> int:
        if short <= 0.0:
            return 0
        rate_per_s = self._rate * self._share_now(now)
        if not rate_per_s:
            return WAIT_MAX_MS
        needed = max(GRANT_MIN_TOKENS - self._stored, 0.0)
        wait_ms = int(1000 * needed / rate_per_s)
        return min(max(wait_ms, WAIT_MIN_MS), WAIT_MAX_MS)

    def _measure(self, now: float) -> None:
        elapsed_s = now - self._measured_at
        if elapsed_s < DEMAND_PERIOD_S:
            return
        latest = self._spent / elapsed_s
        self._spent_per_s += DEMAND_WEIGHT * (latest - self._spent_per_s)
        latest = self._refused / elapsed_s
        self._refused_per_s += DEMAND_WEIGHT * (latest - self._refused_per_s)
        self._spent = 0.0
        self._asked = 0.0
        self._refused = 0
        self._measured_at = now
