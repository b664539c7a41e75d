"""Tokens of one organisation that a node's entry has borrowed."""

import dataclasses
import typing as t

from ..peer import loans
from ..world import organisation
from . import bucket

CUSHION_TOKENS = 3.0
HORIZON_MIN_S = 0.2
HORIZON_MAX_S = 1.0
HORIZON_PER_BURST = 0.3
SURPLUS_FACTOR = 2.0
LOW_PART = 0.6
REPLY_TIMEOUT_S = 0.6
RENEW_S = bucket.LOAN_S / 2
IDLE_S = 2.0
DEMAND_WEIGHT = 0.2
EMPTY_WAIT_S = 0.2
NOT_OWNER_WAIT_S = 0.5


@dataclasses.dataclass(slots=True)
class _Holding:
    """Tokens borrowed from one shard and the request under way."""

    tokens: float = 0.0
    expires_at: float = 0.0
    sequence: int = 0
    asked_at: float = 0.0
    waiting: bool = False
    empty_until: float = 0.0


class Account:
    """Spends borrowed tokens and asks for more ahead of demand.

    :param organisation_id: the organisation.
    :param shards: number of shards in the node's place.
    :param home: the shard that is asked first.
    :param incarnation: this node's incarnation.
    :param sequences: numbers for requests, never given out twice.
    :param now: the time of the first request.
    """

    def __init__(
        self,
        organisation_id: str,
        shards: int,
        home: int,
        incarnation: int,
        sequences: t.Iterator[int],
        now: float,
    ) -> None:
        self.tokens = 0.0
        self.expires_at = 0.0
        self.admitted = 0
        self.refused = 0
        self._organisation_id = organisation_id
        self._incarnation = incarnation
        self._sequences = sequences
        self._holdings = [_Holding() for _ in range(shards)]
        self._next = home
        self._settled = 0.0
        self._attempts = 0
        self._demand_per_s = 0.0
        self._used_at = now
        self._ticked_at = now
        self._horizon_s = HORIZON_MIN_S

    @property
    def idle(self) -> bool:
        """Whether nothing is held, awaited or demanded."""
        open_items = any(
            item.tokens or item.waiting for item in self._holdings
        )
        return self._demand_per_s == 0.0 and not open_items

    def learn_contract(self, contract: organisation.Contract) -> None:
        """Fit the time for which tokens are borrowed to the burst."""
        rate_per_s = max(contract.rate_per_s, 1e-9)
        horizon_s = HORIZON_PER_BURST * contract.burst / rate_per_s
        self._horizon_s = min(max(horizon_s, HORIZON_MIN_S), HORIZON_MAX_S)

    def take(self, now: float) -> bool:
        """Spend one token; return whether there was one."""
        if now >= self.expires_at:
            self._settle(now)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.admitted += 1
        return True

    def wait_ms(self, now: float) -> int:
        """Return when a token may be available."""
        if any(item.waiting for item in self._holdings):
            return bucket.WAIT_MIN_MS
        times = [item.empty_until - now for item in self._holdings]
        return max(int(min(times) * 1000), bucket.WAIT_MIN_MS)

    def tick(self, now: float) -> t.Iterator[tuple[int, loans.Borrow]]:
        """Yield requests to the owners of shards."""
        self._settle(now)
        self._measure(now)
        self._give_up(now)
        if now - self._used_at > IDLE_S:
            self._demand_per_s = 0.0
            yield from self._return_all(now)
            return
        target = self._demand_per_s * self._horizon_s + CUSHION_TOKENS
        if self.tokens < target * LOW_PART:
            yield from self._ask(target - self.tokens, now)
        yield from self._renew(target, now)

    def lent(self, message: loans.Lend, now: float) -> None:
        """Add what an owner lent in answer to the latest request."""
        if not 0 <= message.index < len(self._holdings):
            return
        item = self._holdings[message.index]
        if not item.waiting or message.sequence != item.sequence:
            return
        self._settle(now)
        item.waiting = False
        item.tokens = min(item.tokens, message.kept) + message.tokens
        item.expires_at = item.asked_at + bucket.LOAN_S
        if message.wait_ms:
            item.empty_until = now + max(message.wait_ms / 1000, EMPTY_WAIT_S)
            self._next = (message.index + 1) % len(self._holdings)
        self._sum(now)

    def not_owner(self, message: loans.NotOwner, now: float) -> None:
        """Ask another shard for a time."""
        if not 0 <= message.index < len(self._holdings):
            return
        item = self._holdings[message.index]
        if not item.waiting or message.sequence != item.sequence:
            return
        item.waiting = False
        item.empty_until = now + NOT_OWNER_WAIT_S
        self._next = (message.index + 1) % len(self._holdings)

    def _measure(self, now: float) -> None:
        attempts = self.admitted + self.refused - self._attempts
        self._attempts += attempts
        elapsed_s = now - self._ticked_at
        self._ticked_at = now
        if attempts:
            self._used_at = now
        if elapsed_s <= 0.0:
            return
        latest = attempts / elapsed_s
        weight = min(DEMAND_WEIGHT * elapsed_s / 0.1, 1.0)
        self._demand_per_s += weight * (latest - self._demand_per_s)

    def _renew(
        self, target: float, now: float
    ) -> t.Iterator[tuple[int, loans.Borrow]]:
        """Prolong loans and give back what demand no longer needs."""
        surplus = max(self.tokens - target * SURPLUS_FACTOR, 0.0)
        for index, item in enumerate(self._holdings):
            old = now - item.asked_at > RENEW_S
            if item.tokens <= 0.0 or not old or item.waiting:
                continue
            returned = min(surplus, item.tokens)
            surplus -= returned
            item.tokens -= returned
            self._sum(now)
            yield index, self._borrow(index, returned, 0.0, now)

    def _ask(
        self, wanted: float, now: float
    ) -> t.Iterator[tuple[int, loans.Borrow]]:
        if any(item.waiting for item in self._holdings):
            return
        count = len(self._holdings)
        for step in range(count):
            index = (self._next + step) % count
            if self._holdings[index].empty_until <= now:
                yield index, self._borrow(index, 0.0, wanted, now)
                return

    def _give_up(self, now: float) -> None:
        """Stop waiting for an answer that is overdue."""
        for index, item in enumerate(self._holdings):
            if item.waiting and now - item.asked_at > REPLY_TIMEOUT_S:
                item.waiting = False
                item.empty_until = now + EMPTY_WAIT_S
                self._next = (index + 1) % len(self._holdings)

    def _return_all(self, now: float) -> t.Iterator[tuple[int, loans.Borrow]]:
        for index, item in enumerate(self._holdings):
            item.waiting = False
            if item.tokens > 0.0:
                unspent, item.tokens = item.tokens, 0.0
                self._sum(now)
                request = self._borrow(index, unspent, 0.0, now)
                item.waiting = False
                yield index, request

    def _borrow(
        self, index: int, returned: float, wanted: float, now: float
    ) -> loans.Borrow:
        item = self._holdings[index]
        item.sequence = next(self._sequences)
        item.asked_at = now
        item.waiting = True
        return loans.Borrow(
            organisation_id=self._organisation_id,
            index=index,
            incarnation=self._incarnation,
            sequence=item.sequence,
            held=item.tokens,
            returned=returned,
            wanted=wanted,
        )

    def _settle(self, now: float) -> None:
        """Charge spent tokens to holdings and drop what has expired."""
        spent = self._settled - self.tokens
        order = sorted(self._holdings, key=lambda item: item.expires_at)
        for item in order:
            part = min(item.tokens, spent)
            item.tokens -= part
            spent -= part
            if item.expires_at <= now:
                item.tokens = 0.0
        self._sum(now)

    def _sum(self, now: float) -> None:
        held = [item for item in self._holdings if item.tokens > 0.0]
        self.tokens = sum(item.tokens for item in held)
        self._settled = self.tokens
        self.expires_at = min(
            (item.expires_at for item in held), default=float("inf")
        )
