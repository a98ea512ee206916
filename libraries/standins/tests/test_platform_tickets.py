"""Tests that what becomes of reservations is judged as the platform's page says."""

import pytest

from tarragonward_standins.platform_engine import Ticket
from tarragonward_standins.platform_tickets import TicketJournal, judge_tickets


@pytest.fixture
def journal():
    journal = TicketJournal("i")
    journal.note([Ticket("t", 9, 30.0, 0.0)], 0.0)
    return journal


def judge(journal, now):
    return judge_tickets(journal.records, now)


def test_a_reservation_that_is_used_and_freed_breaks_nothing(journal):
    record = journal.get("t")
    record.begin_use("r")
    record.end_use("r", 20.0)
    journal.note([], 23.9)
    assert judge(journal, 99.0) == []


def test_memory_that_stays_set_aside_after_its_last_use_is_found(journal):
    record = journal.get("t")
    record.begin_use("r")
    assert judge(journal, 99.0) == []
    record.end_use("r", 20.0)
    assert judge(journal, 23.9) == []
    assert judge(journal, 24.1) == [("LEAK", "i/t")]


def test_memory_that_no_request_uses_is_found(journal):
    assert judge(journal, 8.9) == []
    assert judge(journal, 9.1) == [("STUCK", "i/t")]
    journal.note([], 9.2)
    assert judge(journal, 99.0) == [("STUCK", "i/t")]


def test_two_requests_on_one_reservation_are_found(journal):
    record = journal.get("t")
    record.begin_use("r")
    record.begin_use("q")
    record.end_use("q", 1.0)
    assert judge(journal, 2.0) == [("LIMIT", "i/t")]


def test_a_reservation_made_anew_under_its_id_is_another_one(journal):
    journal.note([], 5.0)
    journal.note([Ticket("t", 9, 30.0, 6.0)], 6.0)
    assert len(journal.records) == 2
    assert judge(journal, 14.0) == []
