"""Tests of the owner's ledger of calls."""

import pytest

from tarragonward_core import Conclusion, ResultCode, invariants
from tarragonward_requests import CallLedger, RecordedAnswer, Reply, Send, Wait

ANSWER = RecordedAnswer(200, "application/json", b"{}")
LIMIT = 5.0


@pytest.fixture(autouse=True)
def strict(monkeypatch):
    monkeypatch.setattr(invariants, "strict", True)


def accept(ledger, key="k", digest=b"d", minted_at=0, now=1.0):
    return ledger.accept(key, digest, minted_at, now, now + LIMIT)


def run(ledger, key="k", now=1.0, answer=ANSWER):
    assert accept(ledger, key, now=now) == Send()
    assert ledger.mark_sent(key, now)
    return ledger.record_answer(key, answer, now)


def test_a_repeat_gets_the_recorded_answer():
    ledger = CallLedger(60)
    run(ledger)
    assert accept(ledger, now=2) == Reply(ResultCode.OK, ANSWER)


def test_another_body_under_the_same_key_is_refused():
    ledger = CallLedger(60)
    accept(ledger)
    assert accept(ledger, digest=b"e") == Reply(ResultCode.KEY_REUSED)


def test_a_repeat_waits_while_the_first_copy_is_in_flight():
    ledger = CallLedger(60)
    accept(ledger)
    assert accept(ledger) == Wait()
    assert ledger.mark_sent("k", 1.0)
    assert accept(ledger) == Wait()
    assert not ledger.mark_sent("k", 1.0)


def test_a_paused_owner_that_wakes_past_the_limit_does_not_send():
    """The owner is paused between connecting and writing; the clerk has given up.

    It wakes after the time limit with its connection open and would write next. The
    check before the write finds the limit passed and leaves a tombstone, so that the
    booking cannot appear after the clerk was told that it was not run.
    """
    ledger = CallLedger(60)
    accept(ledger)
    assert not ledger.mark_sent("k", 1.0 + LIMIT)
    assert accept(ledger, now=7).code is ResultCode.CALL_NOT_RUN
    assert not ledger.mark_sent("k", 7)


def test_a_repeat_that_looks_past_the_limit_makes_not_run_final():
    ledger = CallLedger(60)
    accept(ledger)
    assert ledger.read("k", 1.0 + LIMIT).code is ResultCode.CALL_NOT_RUN
    assert not ledger.mark_sent("k", 2.0)


def test_a_copy_that_arrives_past_its_limit_leaves_a_tombstone():
    ledger = CallLedger(60)
    assert ledger.accept("k", b"d", 0, 9, 9).code is ResultCode.CALL_NOT_RUN
    assert accept(ledger, now=9).code is ResultCode.CALL_NOT_RUN


def test_not_run_is_never_said_of_a_call_that_was_sent():
    ledger = CallLedger(60)
    accept(ledger)
    ledger.mark_sent("k", 1)
    assert ledger.record_failure("k", 2).code is ResultCode.OUTCOME_UNKNOWN
    assert accept(ledger, now=3).code.conclusion is Conclusion.UNKNOWN


def test_a_record_stays_while_its_call_is_in_flight_past_the_retention():
    """The key grows too old while its call waits for a slow service.

    A ledger that goes by the key's age alone forgets the record under the call; the
    answer then finds no record, and the repeat is told "expired" of a call that ran.
    """
    ledger = CallLedger(60)
    ledger.accept("k", b"d", 0, 59, 200)
    assert ledger.mark_sent("k", 59)
    assert accept(ledger, now=100) == Wait()
    ledger.record_answer("k", ANSWER, 110)
    assert accept(ledger, now=169).answer == ANSWER
    assert accept(ledger, now=171).code is ResultCode.KEY_EXPIRED
    assert len(ledger) == 0


def test_new_calls_are_refused_past_the_bound_and_no_record_is_forgotten():
    ledger = CallLedger(60, max_records=2)
    run(ledger, "a", now=1)
    run(ledger, "b", now=3)
    refused = accept(ledger, "c", now=4)
    assert refused == Reply(ResultCode.OVERLOADED, retry_after_seconds=57)
    assert accept(ledger, "a", now=4).answer == ANSWER


def test_a_key_refused_for_want_of_room_never_runs_later():
    """Told "not run", the clerk books with a new key; then the old copy arrives.

    By then the ledger has room again. It keeps no record of what it refused, so it
    must refuse all unknown keys of that age, or the booking doubles.
    """
    ledger = CallLedger(60, max_records=1)
    run(ledger, "a", now=1)
    assert accept(ledger, "c", minted_at=10, now=12).code is ResultCode.OVERLOADED
    late = accept(ledger, "c", minted_at=10, now=62)
    assert late.code is ResultCode.CALL_NOT_RUN
    assert ledger.choose_mint_time(10.5) > 10


def test_recorded_bytes_stay_within_their_bound():
    limit = 190 * 1024
    ledger = CallLedger(60, max_recorded_bytes=limit)
    large = RecordedAnswer(200, "text/plain", bytes(60 * 1024))
    codes = []
    for number in range(6):
        if accept(ledger, str(number)) == Send():
            ledger.mark_sent(str(number), 1)
            ledger.record_answer(str(number), large, 1)
            codes.append(accept(ledger, str(number)).code)
    assert ledger.recorded_bytes <= limit
    assert codes[:3] == [ResultCode.OK] * 3
    assert accept(ledger, "new", minted_at=1).code is ResultCode.OVERLOADED


def test_an_answer_too_large_to_keep_says_that_the_call_has_run():
    ledger = CallLedger(60)
    huge = RecordedAnswer(200, "text/plain", bytes(65 * 1024))
    assert run(ledger, answer=huge).answer == huge
    assert accept(ledger) == Reply(ResultCode.ANSWER_NOT_KEPT)
    assert ResultCode.ANSWER_NOT_KEPT.conclusion is Conclusion.RUN


def test_a_closed_ledger_answers_repeats_and_takes_nothing_new():
    ledger = CallLedger(60)
    run(ledger)
    ledger.close()
    assert accept(ledger).answer == ANSWER
    assert accept(ledger, "new").code is ResultCode.CALL_NOT_RUN
