"""Bounds on the retries in a call tree, and the decision to retry."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from savorytally import outcomes
from savorytally import results
from savorytally.decisions import retry


class Tree:
    """Simulates a call tree.

    :param draws: numbers that determine fan-out, failures and lost results.
    """

    def __init__(self, draws: list[int]) -> None:
        self._draws = list(draws)
        self.attempts = 0
        self.retries = 0

    def call(self, budget: retry.RetryBudget, depth: int) -> None:
        """Attempt one call until it succeeds or the budget is spent."""
        while True:
            self.attempts += 1
            lent = budget.lend()
            child = retry.RetryBudget(lent)
            if depth < 22:
                for _ in range(self._draw(3)):
                    self.call(child, depth + 1)
            lost = self._draw(4) == 0
            budget.return_unused(0 if lost else child.left, lent)
            if self._draw(2) == 0 or not budget.spend():
                return
            self.retries += 1

    def _draw(self, below: int) -> int:
        return self._draws.pop() % below if self._draws else 0


class TestRetryBudget:
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 11), max_size=400),
        strategies.integers(0, 8),
    )
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_tree_never_exceeds_root_budget(self, draws, bound):
        tree = Tree(draws)
        tree.call(retry.RetryBudget(bound), 0)
        assert tree.retries <= bound

    def test_returned_retries_never_exceed_the_lent_ones(self):
        budget = retry.RetryBudget(3)
        lent = budget.lend()
        budget.return_unused(lent + 5, lent)
        assert budget.left == 3

    def test_budget_reaches_depth_22(self):
        budgets = [retry.RetryBudget(3)]
        lent = []
        for _ in range(22):
            lent.append(budgets[-1].lend())
            budgets.append(retry.RetryBudget(lent[-1]))
        assert sum(budget.left for budget in budgets) == 3


class TestRetryRatio:
    def test_retries_follow_first_attempts(self):
        ratio = retry.RetryRatio(0.25, reserve=2.0)
        assert [ratio.spend() for _ in range(3)] == [True, True, False]
        for _ in range(4):
            ratio.first_attempt()
        assert [ratio.spend() for _ in range(2)] == [True, False]


class TestShouldRetry:
    @pytest.mark.parametrize("code", results.all_codes())
    def test_non_idempotent_only_after_not_run(self, code):
        failure = outcomes.Failure(code)
        attempt = retry.Attempt(idempotent=False, remaining_s=1.0)
        assert not retry.should_retry(failure, attempt) or code.not_run

    def test_no_time_left(self):
        failure = outcomes.Failure(results.NOT_DISPATCHED)
        attempt = retry.Attempt(True, remaining_s=0.01, needed_s=0.02)
        assert not retry.should_retry(failure, attempt)

    def test_busy_response_is_retried_only_if_idempotent(self):
        busy = outcomes.Answer(503, (), b"")
        assert retry.should_retry(busy, retry.Attempt(True, 1.0))
        assert not retry.should_retry(busy, retry.Attempt(False, 1.0))


class TestCombinedOutcome:
    def test_not_run_only_if_no_attempt_may_have_run(self):
        codes = results.all_codes()
        for first, second in itertools.product(codes, codes):
            earlier = outcomes.Failure(first)
            combined = retry.combined_outcome(
                earlier, outcomes.Failure(second)
            )
            both = first.not_run and second.not_run
            assert combined.code.not_run <= both, (first, second)

    def test_answer_replaces_an_unknown_outcome(self):
        unknown = outcomes.Failure(results.OUTCOME_UNKNOWN)
        answer = outcomes.Answer(200, (), b"")
        assert retry.combined_outcome(unknown, answer) is answer
