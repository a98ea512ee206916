"""Tests of how long targets are used whose records are gone."""

import pytest

from tarragonward_gateway import const as c
from tarragonward_gateway.withdrawals import LapseReason, SourceView, choose_linger

DRAIN_SECONDS = 2.0
# A third of a service, which looks like records that have expired.
MANY = {"withdrawn": 3, "ready": 9}


@pytest.mark.parametrize("age", [0.0, 0.4, 0.8, 1.2, 1.7])
@pytest.mark.parametrize("is_full_read", [False, True])
@pytest.mark.parametrize("is_after_outage", [False, True])
def test_linger_ends_in_time_after_last_confirmation(
    age, is_full_read, is_after_outage
):
    """A withdrawal heard late must not add up to more than the drain time."""
    view = SourceView(age, is_after_outage, is_full_read=is_full_read)
    linger = choose_linger(view, DRAIN_SECONDS, **MANY)
    assert age + linger.seconds <= DRAIN_SECONDS - c.SEND_MARGIN_SECONDS + 1e-9


def test_target_is_removed_at_once_if_its_drain_time_may_be_over():
    assert choose_linger(SourceView(1.9), DRAIN_SECONDS, **MANY) is None


@pytest.mark.parametrize(
    ("view", "reason"),
    [
        (SourceView(4.0, True, False, True), LapseReason.OUTAGE),
        (SourceView(9.0), LapseReason.UNCONFIRMED),
        # The source was silent for less than it takes to see that it fails.
        (SourceView(2.5), LapseReason.MANY),
        (SourceView(4.0), LapseReason.MANY),
        (SourceView(4.0, is_restored=True), LapseReason.RESTORED),
    ],
)
def test_targets_are_used_on_if_their_records_lapsed_in_an_outage(view, reason):
    """A service whose records all expire with the source must keep its targets."""
    linger = choose_linger(view, DRAIN_SECONDS, 9, 9)
    assert linger.reason is reason
    assert linger.seconds >= DRAIN_SECONDS * c.GUESSED_LINGER_SHARE


def test_few_withdrawn_targets_are_removed_at_once():
    assert choose_linger(SourceView(0.0), DRAIN_SECONDS, 2, 9) is None
    assert choose_linger(SourceView(9.0), DRAIN_SECONDS, 0, 9) is None
