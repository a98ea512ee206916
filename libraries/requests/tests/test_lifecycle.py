"""Tests of the life cycle's decisions, one by one."""

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


def test_a_lost_connection_is_resumed_and_an_overlap_is_given_once(lifecycle):
    assert lifecycle.handle(text(1, 0, "ab"), 1) == [DeliverText("ab", 2)]
    lost = AttemptFailed(1, AttemptFault.CONNECTION_LOST)
    assert lifecycle.handle(lost, 1) == [StartAttempt(2, 2, True)]
    assert lifecycle.handle(text(1, 2, "x"), 1) == []
    assert lifecycle.handle(text(2, 1, "bc"), 1) == [DeliverText("c", 1)]


def test_a_resume_that_fails_goes_on_elsewhere_from_what_was_given(lifecycle):
    lifecycle.handle(text(1, 0, "ab"), 1)
    lifecycle.handle(AttemptFailed(1, AttemptFault.CONNECTION_LOST), 1)
    refused = AttemptFailed(2, AttemptFault.NOT_CONNECTED)
    assert lifecycle.handle(refused, 1) == [CancelAttempt(2), StartAttempt(3, 2, False)]


def test_a_gap_is_resumed_at_the_offset(lifecycle):
    assert lifecycle.handle(text(1, 1, "b"), 1) == [StartAttempt(2, 0, True)]


def test_the_end_lost_after_the_last_token_is_not_asked_for_again(lifecycle):
    """The connection ends between the last token and the finish line.

    Asking another engine for no more tokens gave one too many; all that was asked for
    was given out, so the answer is whole.
    """
    lifecycle.handle(text(1, 0, "abcd"), 1)
    end = get_end(lifecycle.handle(AttemptFailed(1, AttemptFault.CONNECTION_LOST), 1))
    assert (end.code, end.finish_reason) == (ResultCode.OK, "length")


def test_a_refusal_after_text_is_never_told_as_not_run(lifecycle):
    """The engine dies after some text, and no other engine has room.

    The request waits for a place; given up, its code must not say "not run".
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


def test_a_refusal_before_anything_ran_is_told_at_once(lifecycle):
    refused = PlacementRefused(1, ResultCode.OVERLOADED, 2.5)
    assert get_end(lifecycle.handle(refused, 0)) == EndRequest(
        ResultCode.OVERLOADED, "error", 2.5
    )


def test_faults_that_come_together_do_not_use_the_attempts_up_at_once(lifecycle):
    """An engine dies in the moment in which the other's connections are reset.

    Resumed, refused, failed over, reset, gone: all of it took 40 ms, and the request
    was given up while the second engine was sound. Later attempts wait.
    """
    now = 1.0
    faults = ["CONNECTION_LOST", "NOT_CONNECTED", "CONNECTION_LOST", "STREAM_GONE"]
    for attempt, fault in enumerate([*faults, "NOT_CONNECTED"], 1):
        effects = lifecycle.handle(AttemptFailed(attempt, AttemptFault[fault]), now)
        now += effects[-1].delay_seconds
    assert effects[-1].attempt == 6
    assert now >= 1.4


def test_a_budget_used_up_ends_the_request_at_once_with_when_to_come_back():
    budget = RetryBudget(share=0.0, floor=1.0)
    first, second = (RequestLifecycle(n, 10.0, budget, 4) for n in "ab")
    for lifecycle in (first, second):
        lifecycle.start(0.0)
    silent = AttemptFailed(1, AttemptFault.SILENT)
    assert first.handle(silent, 1)[-1] == StartAttempt(2, 0, False)
    end = get_end(second.handle(silent, 1))
    assert end.code is ResultCode.ENGINES_FAILED
    assert end.retry_after_seconds is not None


def test_the_budget_forgets_an_earlier_load():
    budget = RetryBudget(share=0.5, floor=0.0, window_seconds=10)
    for _ in range(4):
        budget.record_first_attempt(0.0)
    assert budget.compute_balance(9.9) == 2.0
    assert not budget.try_spend(1.0, 10.0)


def test_nothing_is_written_after_a_pause_past_the_deadline(lifecycle):
    """The process is paused with text in its queue and wakes past the deadline."""
    end = get_end(lifecycle.handle(text(1, 0, "ab"), 10.0))
    assert end.code is ResultCode.DEADLINE_EXCEEDED
    assert lifecycle.handle(AttemptFinished(1, 2, "stop"), 10.0) == []


def test_waking_early_for_the_deadline_changes_nothing(lifecycle):
    assert lifecycle.handle(DeadlineTimerFired(), 9.99) == []


def test_a_request_that_ends_three_engines_is_given_to_no_fourth():
    """A prompt that crashes what runs it was tried on engine after engine."""
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
