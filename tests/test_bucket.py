"""Lending by an owner's bucket and borrowing by a node's token balance."""

import itertools

from savorytally.decisions import bucket
from savorytally.decisions import token_balance
from savorytally.peer import quota_messages
from savorytally.world import organisation

CONTRACT = organisation.Contract(frozenset(), rate_per_s=10.0, burst=20.0)
BORROWER = ("b0", 1)
OTHER = ("g0", 1)


def full_bucket(now=100.0):
    made = bucket.Bucket(now)
    made.learn_contract(CONTRACT, 1.0, now)
    made.fill(float("-inf"), now)
    return made


class TestLending:
    def test_new_bucket_is_empty(self):
        made = bucket.Bucket(100.0)
        made.learn_contract(CONTRACT, 1.0, 100.0)
        assert made.lend(BORROWER, 1, (0.0, 0.0), 5.0, 0, 100.0).tokens == 0.0

    def test_unused_bucket_stores_accrued_tokens(self):
        made = bucket.Bucket(100.0)
        made.learn_contract(CONTRACT, 1.0, 100.0)
        made.fill(99.5, 100.0)
        assert made.stored == 5.0

    def test_lent_tokens_limit_refill_until_reported_spent(self):
        made = full_bucket()
        made.lend(BORROWER, 1, (0.0, 0.0), 20.0, 0, 100.0)
        made.settle(102.0)
        assert made.stored == 0.0
        made.lend(BORROWER, 2, (5.0, 0.0), 0.0, 0, 102.0)
        made.settle(104.0)
        assert made.stored == 15.0

    def test_duplicate_request_is_ignored(self):
        made = full_bucket()
        assert made.lend(BORROWER, 1, (0.0, 0.0), 5.0, 0, 100.0)
        assert made.lend(BORROWER, 1, (0.0, 0.0), 5.0, 0, 100.0) is None

    def test_new_owner_does_not_extend_earlier_loans(self):
        made = bucket.Bucket(100.0)
        made.learn_contract(CONTRACT, 1.0, 100.0)
        made.inherit(0.0, 5.0, 0.0, 100.0)
        grant = made.lend(BORROWER, 1, (5.0, 0.0), 0.0, 0, 100.0)
        assert grant.kept == 0.0
        assert made.outstanding == 5.0

    def test_lower_burst_limits_renewed_loans(self):
        made = full_bucket()
        made.lend(BORROWER, 1, (0.0, 0.0), 20.0, 0, 100.0)
        lower = organisation.Contract(frozenset(), 10.0, burst=8.0)
        made.learn_contract(lower, 1.0, 100.5)
        grant = made.lend(BORROWER, 2, (20.0, 0.0), 5.0, 0, 100.5)
        assert (grant.kept, grant.tokens) == (8.0, 0.0)


class TestShares:
    def test_lent_share_is_deducted_until_it_expires(self):
        made = full_bucket()
        share = made.lend_share(OTHER, 1, 0.5, 100.0)
        assert share == 0.5
        assert made.stored == 10.0
        made.settle(100.0 + bucket.SHARE_LOAN_S)
        assert made.stored == 10.0
        made.settle(103.0 + bucket.SHARE_LOAN_S)
        assert made.stored > 10.0

    def test_smaller_loan_does_not_free_the_larger_one(self):
        made = full_bucket()
        made.lend_share(OTHER, 1, 0.5, 100.0)
        made.lend_share(OTHER, 2, 0.1, 101.0)
        assert made.share_lent(102.0) == 0.5


class TestTokenBalance:
    def make(self):
        made = token_balance.TokenBalance(
            "o", 1, 0, 1, itertools.count(1), 100.0
        )
        made.learn_contract(CONTRACT)
        made.take(100.0)
        (_, request), *_ = made.poll(100.0)
        return made, request

    def lend(self, request, kept=0.0, tokens=5.0):
        return quota_messages.TokenGrant(
            "o", 0, request.sequence, kept, tokens, 0
        )

    def test_spends_only_lent_tokens(self):
        made, request = self.make()
        made.granted(self.lend(request), 100.1)
        taken = [made.take(100.2) for _ in range(6)]
        assert taken == [True] * 5 + [False]

    def test_loan_expiry_counts_from_the_request(self):
        made, request = self.make()
        made.granted(self.lend(request), 102.9)
        assert made.take(100.0 + bucket.LOAN_S - 0.01)
        assert not made.take(100.0 + bucket.LOAN_S)

    def test_duplicate_grant_is_ignored(self):
        made, request = self.make()
        made.granted(self.lend(request), 100.1)
        made.granted(self.lend(request), 100.1)
        assert made.unspent(100.1) == 5.0

    def test_owner_limits_the_kept_tokens(self):
        made, request = self.make()
        made.granted(self.lend(request), 100.1)
        renewal = dict(made.tick(102.0))[0]
        made.granted(self.lend(renewal, kept=1.0, tokens=0.0), 102.1)
        assert made.unspent(102.1) == 1.0
