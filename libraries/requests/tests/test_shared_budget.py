"""Tests of one host's part of the shared retry budget, on a fake clock."""

import pytest

from tarragonward_core import InvariantViolationError, invariants
from tarragonward_requests import RetryBudgetBounds, SharedRetryBudget

BOUNDS = RetryBudgetBounds(share=0.2, slack=90.0, window_seconds=10.0)
# Seconds after the start of a host, past its first window.
STEADY_AT = 20.0


def count_retries(budget, hosts, now, is_urgent=True):
    count = 0
    while budget.can_retry("s", hosts, now, is_urgent):
        budget.record_retry("s", hosts, now)
        count += 1
    return count


def test_the_slack_is_divided_among_the_hosts():
    alone = count_retries(SharedRetryBudget(BOUNDS, 0.0), 1, STEADY_AT)
    assert (
        0
        < 9 * count_retries(SharedRetryBudget(BOUNDS, 0.0), 9, STEADY_AT)
        <= alone
        <= 90
    )


def test_own_requests_allow_a_share_of_retries_for_one_window():
    budget = SharedRetryBudget(RetryBudgetBounds(0.2, 0.0, 10.0), 0.0)
    for _ in range(100):
        budget.record_request("s", STEADY_AT)
        budget.record_request("other", STEADY_AT)
    assert count_retries(budget, 9, STEADY_AT) == 18
    assert count_retries(budget, 9, STEADY_AT + 9.0) == 0
    assert count_retries(budget, 9, STEADY_AT + 10.6) == 0
    assert not budget.can_retry("none", 9, STEADY_AT, is_urgent=True)


def test_retries_expire_after_the_window_and_not_sooner():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    first = count_retries(budget, 3, STEADY_AT)
    assert count_retries(budget, 3, STEADY_AT + 10.0) == 0
    assert count_retries(budget, 3, STEADY_AT + 10.4) == 0
    assert count_retries(budget, 3, STEADY_AT + 10.6) == first


def test_a_part_is_reserved_for_urgent_retries():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    assert count_retries(budget, 3, STEADY_AT, is_urgent=False) > 0
    assert not budget.can_retry("s", 3, STEADY_AT, is_urgent=False)
    assert budget.can_retry("s", 3, STEADY_AT, is_urgent=True)


def test_restarts_within_a_window_do_not_renew_the_slack():
    """A host uses up its budget, is killed and restarted, twice within a window.

    No incarnation knows what the previous one sent. In its first window each uses only
    a small part, so that all three stay within the host's part of the slack.
    """
    spent = count_retries(SharedRetryBudget(BOUNDS, 0.0), 1, STEADY_AT)
    for start in (STEADY_AT + 1.0, STEADY_AT + 3.0):
        spent += count_retries(SharedRetryBudget(BOUNDS, start), 1, start + 1.0)
    assert spent <= BOUNDS.slack


def test_a_retry_beyond_the_budget_violates_an_invariant():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    count_retries(budget, 9, STEADY_AT)
    before, invariants.strict = invariants.strict, True
    try:
        with pytest.raises(InvariantViolationError):
            budget.record_retry("s", 9, STEADY_AT)
    finally:
        invariants.strict = before


def test_a_retry_that_was_never_sent_is_refunded_once():
    budget = SharedRetryBudget(BOUNDS, 0.0)
    count = count_retries(budget, 9, STEADY_AT)
    budget.refund_retry("s", STEADY_AT)
    budget.refund_retry("s", STEADY_AT + 1.0)
    assert count_retries(budget, 9, STEADY_AT) == 1
    assert count > 1
