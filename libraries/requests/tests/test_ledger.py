"""Tests of the call ledger."""

import pytest

from tarragonward_core import Conclusion, ResultCode, invariants
from tarragonward_requests import CallLedger, RecordedAnswer, Reply, Send, Wait

ANSWER = RecordedAnswer(200, "application/json", b"{}")
TIME_LIMIT_SECONDS = 5.0


@pytest.fixture(autouse=True)
def raise_on_violations(monkeypatch):
    monkeypatch.setattr(invariants, "strict", True)


def accept(ledger, key="k", digest=b"d", minted_at=0, now=1.0):
    return ledger.accept(key, digest, minted_at, now, now + TIME_LIMIT_SECONDS)


def run_call(ledger, key="k", now=1.0, answer=ANSWER):
    assert accept(ledger, key, now=now) == Send()
    assert ledger.mark_sent(key, now)
    return ledger.record_answer(key, answer, now)


def test_a_repeat_gets_the_recorded_answer():
    ledger = CallLedger(60)
    run_call(ledger)
    assert accept(ledger, now=2) == Reply(ResultCode.OK, ANSWER)


def test_a_different_body_under_the_same_key_is_refused():
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


def test_an_owner_paused_past_the_deadline_does_not_send():
    """A process pause between connecting and writing lasts until after the deadline.

    The check before the write leaves a tombstone, so the call cannot run after the
    caller was told that it did not.
    """
    ledger = CallLedger(60)
    accept(ledger)
    assert not ledger.mark_sent("k", 1.0 + TIME_LIMIT_SECONDS)
    assert accept(ledger, now=7).code is ResultCode.CALL_NOT_RUN
    assert not ledger.mark_sent("k", 7)


def test_a_repeat_that_reads_past_the_deadline_makes_not_run_final():
    ledger = CallLedger(60)
    accept(ledger)
    assert ledger.read("k", 1.0 + TIME_LIMIT_SECONDS).code is ResultCode.CALL_NOT_RUN
    assert not ledger.mark_sent("k", 2.0)


def test_a_copy_that_arrives_past_its_deadline_leaves_a_tombstone():
    ledger = CallLedger(60)
    assert ledger.accept("k", b"d", 0, 9, 9).code is ResultCode.CALL_NOT_RUN
    assert accept(ledger, now=9).code is ResultCode.CALL_NOT_RUN


def test_not_run_is_never_reported_for_a_call_that_was_sent():
    ledger = CallLedger(60)
    accept(ledger)
    ledger.mark_sent("k", 1)
    assert ledger.record_failure("k", 2).code is ResultCode.OUTCOME_UNKNOWN
    assert accept(ledger, now=3).code.conclusion is Conclusion.UNKNOWN


def test_a_record_stays_while_its_call_is_in_flight_past_the_retention():
    """The key expires while its call waits for a slow service.

    If records expired by the age of their key, the answer would find no record, and a
    repeat would get "key expired" although the call ran.
    """
    ledger = CallLedger(60)
    ledger.accept("k", b"d", 0, 59, 200)
    assert ledger.mark_sent("k", 59)
    assert accept(ledger, now=100) == Wait()
    ledger.record_answer("k", ANSWER, 110)
    assert accept(ledger, now=169).answer == ANSWER
    assert accept(ledger, now=171).code is ResultCode.KEY_EXPIRED
    assert len(ledger) == 0


def test_a_full_ledger_refuses_new_calls_and_keeps_its_records():
    ledger = CallLedger(60, max_records=2)
    run_call(ledger, "a", now=1)
    run_call(ledger, "b", now=3)
    refused = accept(ledger, "c", now=4)
    assert refused == Reply(ResultCode.OVERLOADED, retry_after_seconds=57)
    assert accept(ledger, "a", now=4).answer == ANSWER


def test_a_key_refused_by_a_full_ledger_never_runs_later():
    """After "not run" the caller uses a new key, then a copy of the old one arrives.

    By then the ledger has room again. It has no record of the refused call, so it must
    refuse all unknown keys of that age, or the call would run twice.
    """
    ledger = CallLedger(60, max_records=1)
    run_call(ledger, "a", now=1)
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


def test_an_answer_too_large_to_record_is_reported_as_run():
    ledger = CallLedger(60)
    huge = RecordedAnswer(200, "text/plain", bytes(65 * 1024))
    assert run_call(ledger, answer=huge).answer == huge
    assert accept(ledger) == Reply(ResultCode.ANSWER_NOT_KEPT)
    assert ResultCode.ANSWER_NOT_KEPT.conclusion is Conclusion.RUN


def test_a_closed_ledger_answers_repeats_and_refuses_new_calls():
    ledger = CallLedger(60)
    run_call(ledger)
    ledger.close()
    assert accept(ledger).answer == ANSWER
    assert accept(ledger, "new").code is ResultCode.CALL_NOT_RUN
