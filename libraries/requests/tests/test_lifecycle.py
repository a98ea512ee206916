"""Tests of the decisions in a request's life cycle."""

import pytest

from tarragonward_core import Conclusion, ResultCode
from tarragonward_requests import (
    AttemptFailed,
    AttemptFault,
    AttemptFinished,
    CancelAttempt,
    DeadlineTimerFired,
    DeliverText,
    EndRequest,
    PlacementRefused,
    RequestLifecycle,
    RetryBudget,
    StartAttempt,
    TextArrived,
)


@pytest.fixture
def lifecycle():
    lifecycle = RequestLifecycle("r", 10.0, RetryBudget(floor=3), max_tokens=4)
    assert lifecycle.start(0.0) == [StartAttempt(1, 0, False)]
    return lifecycle


def text(attempt, offset, pieces):
    return TextArrived(attempt, offset, tuple(pieces))


def get_end(effects):
    return next(e for e in effects if isinstance(e, EndRequest))


def test_a_lost_connection_is_resumed_and_an_overlap_is_delivered_once(lifecycle):
    assert lifecycle.handle(text(1, 0, "ab"), 1) == [DeliverText("ab", 2)]
    lost = AttemptFailed(1, AttemptFault.CONNECTION_LOST)
    assert lifecycle.handle(lost, 1) == [StartAttempt(2, 2, True)]
    assert lifecycle.handle(text(1, 2, "x"), 1) == []
    assert lifecycle.handle(text(2, 1, "bc"), 1) == [DeliverText("c", 1)]


def test_a_failed_resume_fails_over_at_the_delivered_offset(lifecycle):
    lifecycle.handle(text(1, 0, "ab"), 1)
    lifecycle.handle(AttemptFailed(1, AttemptFault.CONNECTION_LOST), 1)
    refused = AttemptFailed(2, AttemptFault.NOT_CONNECTED)
    assert lifecycle.handle(refused, 1) == [CancelAttempt(2), StartAttempt(3, 2, False)]


def test_a_gap_is_resumed_at_the_delivered_offset(lifecycle):
    assert lifecycle.handle(text(1, 1, "b"), 1) == [StartAttempt(2, 0, True)]


def test_a_connection_lost_after_the_last_token_completes_the_answer(lifecycle):
    """The connection is lost between the last token and the end of the stream.

    An attempt for zero more tokens on another engine would return one too many.
    """
    lifecycle.handle(text(1, 0, "abcd"), 1)
    end = get_end(lifecycle.handle(AttemptFailed(1, AttemptFault.CONNECTION_LOST), 1))
    assert (end.code, end.finish_reason) == (ResultCode.OK, "length")


def test_a_refusal_after_text_is_never_reported_as_not_run(lifecycle):
    """The engine fails after some text, and no other engine has capacity.

    The request waits for a target; when it gives up, its code must not say "not run".
    """
    lifecycle.handle(text(1, 0, "a"), 1)
    lifecycle.handle(AttemptFailed(1, AttemptFault.SILENT), 1)
    effects, attempt = [], 2
    while not lifecycle.has_ended:
        refused = PlacementRefused(attempt, ResultCode.OVERLOADED, 5.0)
        effects = lifecycle.handle(refused, 2)
        attempt += 1
    end = get_end(effects)
    assert end.code.conclusion is Conclusion.RUN
    assert end.retry_after_seconds is not None


def test_a_refusal_before_anything_ran_is_reported_at_once(lifecycle):
    refused = PlacementRefused(1, ResultCode.OVERLOADED, 2.5)
    assert get_end(lifecycle.handle(refused, 0)) == EndRequest(
        ResultCode.OVERLOADED, "error", 2.5
    )


def test_simultaneous_faults_do_not_use_up_the_attempts(lifecycle):
    """An engine crashes while the connections of the other one are reset.

    Without backoff, all attempts failed within 40 ms, and the request was given up
    although the second engine was healthy.
    """
    now = 1.0
    faults = ["CONNECTION_LOST", "NOT_CONNECTED", "CONNECTION_LOST", "STREAM_GONE"]
    for attempt, fault in enumerate([*faults, "NOT_CONNECTED"], 1):
        effects = lifecycle.handle(AttemptFailed(attempt, AttemptFault[fault]), now)
        now += effects[-1].delay_seconds
    assert effects[-1].attempt == 6
    assert now >= 1.4


def test_an_exhausted_budget_ends_the_request_with_retry_after():
    budget = RetryBudget(share=0.0, floor=1.0)
    first, second = (RequestLifecycle(n, 10.0, budget, 4) for n in "ab")
    for lifecycle in (first, second):
        lifecycle.start(0.0)
    silent = AttemptFailed(1, AttemptFault.SILENT)
    assert first.handle(silent, 1)[-1] == StartAttempt(2, 0, False)
    end = get_end(second.handle(silent, 1))
    assert end.code is ResultCode.ENGINES_FAILED
    assert end.retry_after_seconds is not None


def test_the_budget_discards_load_outside_its_window():
    budget = RetryBudget(share=0.5, floor=0.0, window_seconds=10)
    for _ in range(4):
        budget.record_first_attempt(0.0)
    assert budget.compute_balance(9.9) == 2.0
    assert not budget.try_spend(1.0, 10.0)


def test_nothing_is_delivered_after_a_pause_past_the_deadline(lifecycle):
    """A process pause with queued text lasts until after the deadline."""
    end = get_end(lifecycle.handle(text(1, 0, "ab"), 10.0))
    assert end.code is ResultCode.DEADLINE_EXCEEDED
    assert lifecycle.handle(AttemptFinished(1, 2, "stop"), 10.0) == []


def test_an_early_deadline_timer_has_no_effect(lifecycle):
    assert lifecycle.handle(DeadlineTimerFired(), 9.99) == []


def test_engine_that_has_crashed_is_not_asked_for_its_stream(lifecycle):
    """The crash was seen at once; an attempt to resume the stream is not needed."""
    crashed = AttemptFailed(1, AttemptFault.CRASHED)
    start = lifecycle.handle(crashed, 1)[-1]
    assert start == StartAttempt(2, 0, False)


def test_crashes_that_were_seen_at_once_end_a_request_after_the_third():
    lifecycle = RequestLifecycle("r", 10.0, RetryBudget(floor=30), max_tokens=4)
    lifecycle.start(0.0)
    for attempt in (1, 2, 3):
        crashed = AttemptFailed(attempt, AttemptFault.CRASHED)
        effects = lifecycle.handle(crashed, 1)
    assert get_end(effects).code is ResultCode.FORWARD_CRASHED_TARGETS


def test_a_request_that_crashes_three_engines_is_sent_to_no_fourth():
    """A prompt that crashes its engines must not be retried on all of them in turn."""
    lifecycle = RequestLifecycle("r", 10.0, RetryBudget(floor=30), max_tokens=4)
    lifecycle.start(0.0)
    for attempt in (1, 3, 5):
        lost = AttemptFailed(attempt, AttemptFault.CONNECTION_LOST)
        assert lifecycle.handle(lost, 1) == [StartAttempt(attempt + 1, 0, True)]
        gone = AttemptFailed(attempt + 1, AttemptFault.NOT_CONNECTED)
        effects = lifecycle.handle(gone, 1)
    end = get_end(effects)
    assert end.code is ResultCode.FORWARD_CRASHED_TARGETS
    assert end.retry_after_seconds is None
