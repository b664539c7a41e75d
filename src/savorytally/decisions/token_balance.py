"""Rate tokens of one organisation that a node has borrowed.

A loan is a batch of rate tokens that the owner of a shard grants to a node
until it expires. The node spends borrowed tokens on admitted requests.
"""

import dataclasses
import typing as t

from ..peer import quota_messages
from ..world import organisation
from . import bucket

MARGIN_TOKENS = 1.0
LOW_TOKENS = 0.5
ROUND_TRIP_S = 0.05
HORIZON_MIN_S = 0.1
HORIZON_MAX_S = 1.0
HORIZON_PER_BURST = 0.5
HORIZON_GROWTH = 1.05
HORIZON_SHORT_FACTOR = 0.5
SURPLUS_FACTOR = 2.0
REPLY_TIMEOUT_S = 0.15
UNRESPONSIVE_WAIT_S = 1.0
LOAN_RENEWAL_S = bucket.LOAN_S / 2
REPORT_TOKENS = 1.0
IDLE_AFTER_S = 6.0
DEMAND_WEIGHT = 0.2
EMPTY_WAIT_S = 0.05
NOT_OWNER_WAIT_S = 1.0
PENDING_WAIT_MS = 2


@dataclasses.dataclass(slots=True)
class _Holding:
    """Tokens borrowed from one shard, and the latest request to its owner.

    ``counted`` is the number of tokens that the owner records as unspent.
    """

    tokens: float = 0.0
    counted: float = 0.0
    wanted: float = 0.0
    expires_at: float = 0.0
    sequence: int = 0
    requested_at: float = 0.0
    waiting: bool = False
    empty_until: float = 0.0


class TokenBalance:
    """Spends borrowed tokens and requests more before they run out.

    :param organisation_id: the organisation.
    :param shards: number of shards of the organisation's rate in this region.
    :param home: index of the shard whose owner is asked first.
    :param incarnation: this node's incarnation.
    :param sequences: sequence numbers for requests, unique in this node.
    :param now: time of the first request.
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
        self._next_shard = home
        self._settled_tokens = 0.0
        self._reported_refusals = 0
        self._measured_attempts = 0
        self._demand_per_s = 0.0
        self._used_at = now
        self._measured_at = now
        self._horizon_s = HORIZON_MIN_S
        self._horizon_limit_s = HORIZON_MIN_S
        self._low_tokens = LOW_TOKENS
        self.low = False

    @property
    def idle(self) -> bool:
        """Whether no token is held, requested or needed."""
        open_items = any(
            item.tokens or item.waiting for item in self._holdings
        )
        return self._demand_per_s == 0.0 and not open_items

    def learn_contract(self, contract: organisation.Contract) -> None:
        """Limit the borrowing horizon by the contract's burst."""
        rate_per_s = max(contract.rate_per_s, 1e-9)
        horizon_s = HORIZON_PER_BURST * contract.burst / rate_per_s
        self._horizon_limit_s = min(
            max(horizon_s, HORIZON_MIN_S), HORIZON_MAX_S
        )
        self._horizon_s = min(self._horizon_s, self._horizon_limit_s)

    def take(self, now: float) -> bool:
        """Spend one token; return whether one was available."""
        if now >= self.expires_at:
            self._settle(now)
        if self.tokens < 1.0:
            self.low = True
            return False
        self.tokens -= 1.0
        self.admitted += 1
        self.low = self.tokens < self._low_tokens
        return True

    def unspent(self, now: float) -> float:
        """Return the number of tokens that may still be spent."""
        self._settle(now)
        return self.tokens

    def refuse(self, now: float) -> int:
        """Count a refusal and return the retry delay in milliseconds."""
        self.refused += 1
        self._used_at = now
        times = [item.empty_until - now for item in self._holdings]
        return max(int(min(times) * 1000), bucket.WAIT_MIN_MS)

    def pending(self, now: float) -> bool:
        """Return whether an owner's reply may soon bring a token."""
        return any(
            item.empty_until <= now or (item.waiting and item.wanted)
            for item in self._holdings
        )

    def tick(
        self, now: float
    ) -> t.Iterator[tuple[int, quota_messages.TokenRequest]]:
        """Yield token requests that are due, each with its shard's index."""
        self._settle(now)
        self._measure_demand(now)
        if now - self._used_at > IDLE_AFTER_S:
            self._demand_per_s = 0.0
            yield from self._return_all(now)
            return
        yield from self.poll(now)
        yield from self._renew_loans(now)

    def poll(
        self, now: float
    ) -> t.Iterator[tuple[int, quota_messages.TokenRequest]]:
        """Yield a token request if the tokens left do not cover demand."""
        self._settle(now)
        self._expire_requests(now)
        self.low = False
        self._low_tokens = max(self._demand_per_s * ROUND_TRIP_S, LOW_TOKENS)
        wanted = self._target_tokens() - self.tokens
        if self.tokens < self._low_tokens + LOW_TOKENS and wanted > 0.0:
            yield from self._request_tokens(wanted, now)

    def granted(self, message: quota_messages.TokenGrant, now: float) -> None:
        """Add the tokens granted in reply to the latest request."""
        if not 0 <= message.index < len(self._holdings):
            return
        item = self._holdings[message.index]
        if not item.waiting or message.sequence != item.sequence:
            return
        self._settle(now)
        item.waiting = False
        item.tokens = min(item.tokens, message.kept_tokens) + message.tokens
        item.counted += message.tokens
        item.expires_at = item.requested_at + bucket.LOAN_S
        self._adjust_horizon(bool(message.wait_ms))
        if message.wait_ms:
            item.empty_until = now + max(message.wait_ms / 1000, EMPTY_WAIT_S)
            self._next_shard = (message.index + 1) % len(self._holdings)
        self._update_total(now)

    def not_owner(self, message: quota_messages.NotOwner, now: float) -> None:
        """Switch to another shard because the host does not own this one."""
        if not 0 <= message.index < len(self._holdings):
            return
        item = self._holdings[message.index]
        if not item.waiting or message.sequence != item.sequence:
            return
        item.waiting = False
        item.empty_until = now + NOT_OWNER_WAIT_S
        self._next_shard = (message.index + 1) % len(self._holdings)

    def _adjust_horizon(self, short: bool) -> None:
        """Adjust the borrowing horizon.

        It shrinks when an owner ran short of tokens and grows otherwise.

        :param short: whether the owner lent less than requested.
        """
        if short:
            self._horizon_s = max(
                self._horizon_s * HORIZON_SHORT_FACTOR, HORIZON_MIN_S
            )
            return
        self._horizon_s = min(
            self._horizon_s * HORIZON_GROWTH, self._horizon_limit_s
        )

    def _measure_demand(self, now: float) -> None:
        """Update the moving average of demand."""
        attempts = self.admitted + self.refused - self._measured_attempts
        self._measured_attempts += attempts
        elapsed_s = now - self._measured_at
        self._measured_at = now
        if attempts:
            self._used_at = now
        if elapsed_s <= 0.0:
            return
        latest = attempts / elapsed_s
        weight = min(DEMAND_WEIGHT * elapsed_s / 0.1, 1.0)
        self._demand_per_s += weight * (latest - self._demand_per_s)

    def _target_tokens(self) -> float:
        """Return the number of tokens needed within the horizon."""
        return self._demand_per_s * self._horizon_s + MARGIN_TOKENS

    def _renew_loans(
        self, now: float
    ) -> t.Iterator[tuple[int, quota_messages.TokenRequest]]:
        """Report spent tokens, extend loans and return surplus tokens."""
        target = self._target_tokens()
        surplus = max(self.tokens - target * SURPLUS_FACTOR, 0.0)
        for index, item in enumerate(self._holdings):
            if item.waiting or not item.counted:
                continue
            spent = item.counted - item.tokens >= REPORT_TOKENS
            period_s = self._horizon_s / 2 if spent else LOAN_RENEWAL_S
            if now - item.requested_at < period_s:
                continue
            returned = min(surplus, item.tokens)
            surplus -= returned
            item.tokens -= returned
            self._update_total(now)
            yield index, self._borrow(index, returned, 0.0, now)

    def _request_tokens(
        self, wanted: float, now: float
    ) -> t.Iterator[tuple[int, quota_messages.TokenRequest]]:
        """Yield a request to the next shard that may have tokens.

        At most one request for tokens is outstanding.
        """
        if any(item.waiting and item.wanted for item in self._holdings):
            return
        count = len(self._holdings)
        for step in range(count):
            index = (self._next_shard + step) % count
            item = self._holdings[index]
            if item.empty_until <= now and not item.waiting:
                yield index, self._borrow(index, 0.0, wanted, now)
                return

    def _expire_requests(self, now: float) -> None:
        """Give up overdue requests and avoid their shards for a while."""
        for index, item in enumerate(self._holdings):
            if item.waiting and now - item.requested_at > REPLY_TIMEOUT_S:
                item.waiting = False
                item.empty_until = now + UNRESPONSIVE_WAIT_S
                self._next_shard = (index + 1) % len(self._holdings)

    def _return_all(
        self, now: float
    ) -> t.Iterator[tuple[int, quota_messages.TokenRequest]]:
        """Yield requests that return every unspent token."""
        for index, item in enumerate(self._holdings):
            item.waiting = False
            if item.tokens > 0.0:
                unspent, item.tokens = item.tokens, 0.0
                self._update_total(now)
                request = self._borrow(index, unspent, 0.0, now)
                item.waiting = False
                yield index, request

    def _borrow(
        self, index: int, returned: float, wanted: float, now: float
    ) -> quota_messages.TokenRequest:
        """Return a request that also reports held and returned tokens."""
        item = self._holdings[index]
        item.sequence = next(self._sequences)
        item.requested_at = now
        item.waiting = True
        item.counted = item.tokens
        item.wanted = wanted
        refused, self._reported_refusals = (
            self.refused - self._reported_refusals,
            self.refused,
        )
        return quota_messages.TokenRequest(
            organisation_id=self._organisation_id,
            index=index,
            incarnation=self._incarnation,
            sequence=item.sequence,
            held=item.tokens,
            returned=returned,
            wanted=wanted,
            refused=refused,
        )

    def _settle(self, now: float) -> None:
        """Deduct spent tokens from the holdings and drop expired tokens.

        The holding that expires first is charged first.
        """
        spent = self._settled_tokens - self.tokens
        if not spent and now < self.expires_at:
            return
        by_expiry = sorted(self._holdings, key=lambda item: item.expires_at)
        for item in by_expiry:
            charged = min(item.tokens, spent)
            item.tokens -= charged
            spent -= charged
            if item.expires_at <= now:
                item.tokens = 0.0
        self._update_total(now)

    def _update_total(self, now: float) -> None:
        """Recompute the total and the first expiry over all holdings."""
        held = [item for item in self._holdings if item.tokens > 0.0]
        self.tokens = sum(item.tokens for item in held)
        self._settled_tokens = self.tokens
        self.expires_at = min(
            (item.expires_at for item in held), default=float("inf")
        )
