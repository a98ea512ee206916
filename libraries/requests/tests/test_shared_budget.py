"""One host's part of the repeats that all hosts may send, on a fake clock."""

import pytest

from tarragonward_core import InvariantViolationError, invariants
from tarragonward_requests import RetryBudgetBounds, SharedRetryBudget

BOUNDS = RetryBudgetBounds(share=0.2, slack=90.0, window_seconds=10.0)
OLD = 20.0


def count_retries(budget, hosts, now, is_urgent=True):
    count = 0
    while budget.can_retry("s", hosts, now, is_urgent):
        budget.record_retry("s", hosts, now)
        count += 1
    return count


def test_the_slack_is_divided_among_the_hosts():
    alone = count_retries(SharedRetryBudget(BOUNDS, 0.0), 1, OLD)
    assert 0 < 9 * count_retries(SharedRetryBudget(BOUNDS, 0.0), 9, OLD) <= alone <= 90


def test_own_requests_allow_a_share_of_them_for_one_window():
    budget = SharedRetryBudget(RetryBudgetBounds(0.2, 0.0, 10.0), 0.0)
    for _ in range(100):
        budget.record_request("s", OLD)
        budget.record_request("other", OLD)
    assert count_retries(budget, 9, OLD) == 18
    assert count_retries(budget, 9, OLD + 9.0) == 0
    assert count_retries(budget, 9, OLD + 10.6) == 0
    assert not budget.can_retry("none", 9, OLD, is_urgent=True)


def test_repeats_are_forgotten_after_the_window_and_not_sooner():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    first = count_retries(budget, 3, OLD)
    assert count_retries(budget, 3, OLD + 10.0) == 0
    assert count_retries(budget, 3, OLD + 10.4) == 0
    assert count_retries(budget, 3, OLD + 10.6) == first


def test_a_part_is_kept_for_answers_that_broke_off():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    assert count_retries(budget, 3, OLD, is_urgent=False) > 0
    assert not budget.can_retry("s", 3, OLD, is_urgent=False)
    assert budget.can_retry("s", 3, OLD, is_urgent=True)


def test_restarts_within_a_window_do_not_renew_the_slack():
    """A host repeats all it may, is killed, starts, repeats, and again.

    No life knows what the one before it sent. A young life uses a small part only,
    so one old life and two young ones stay within what is the host's.
    """
    spent = count_retries(SharedRetryBudget(BOUNDS, 0.0), 1, OLD)
    for start in (OLD + 1.0, OLD + 3.0):
        spent += count_retries(SharedRetryBudget(BOUNDS, start), 1, start + 1.0)
    assert spent <= BOUNDS.slack


def test_a_repeat_beyond_the_budget_is_noticed():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    count_retries(budget, 9, OLD)
    before, invariants.strict = invariants.strict, True
    try:
        with pytest.raises(InvariantViolationError):
            budget.record_retry("s", 9, OLD)
    finally:
        invariants.strict = before


def test_what_was_never_sent_is_given_back_once():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    count = count_retries(budget, 9, OLD)
    budget.refund_retry("s", OLD)
    budget.refund_retry("s", OLD + 1.0)
    assert count_retries(budget, 9, OLD) == 1
    assert count > 1
