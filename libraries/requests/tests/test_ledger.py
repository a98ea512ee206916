"""Tests of the owner's ledger of calls."""

from tarragonward_core import ResultCode
from tarragonward_requests import CallLedger, RecordedAnswer, Reply, Send

ANSWER = RecordedAnswer(200, "application/json", b"{}")


def test_a_repeat_gets_the_recorded_answer():
    ledger = CallLedger(60)
    assert ledger.accept("k", b"d", 0, 1) == Send()
    assert ledger.mark_sent("k")
    ledger.record_answer("k", ANSWER)
    assert ledger.accept("k", b"d", 0, 2) == Reply(ResultCode.OK, ANSWER)


def test_another_body_under_the_same_key_is_refused():
    ledger = CallLedger(60)
    ledger.accept("k", b"d", 0, 1)
    assert ledger.accept("k", b"e", 0, 1) == Reply(ResultCode.KEY_REUSED)


def test_a_key_older_than_the_retention_is_refused_and_forgotten():
    ledger = CallLedger(60)
    ledger.accept("k", b"d", 0, 1)
    assert ledger.accept("k", b"d", 0, 61) == Reply(ResultCode.KEY_EXPIRED)
    assert len(ledger) == 0
