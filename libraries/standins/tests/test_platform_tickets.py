"""Tests that what becomes of reservations is judged as the platform's page says."""

import pytest

from tarragonward_standins.platform_engine import Reservation
from tarragonward_standins.platform_reservations import (
    ReservationLog,
    check_reservations,
)


@pytest.fixture
def log():
    log = ReservationLog("i")
    log.update([Reservation("t", 9, 30.0, 0.0)], 0.0)
    return log


def judge(log, now):
    return check_reservations(log.records, now)


def test_a_reservation_that_is_used_and_freed_breaks_nothing(log):
    record = log.get("t")
    record.begin_use("r")
    record.end_use("r", 20.0)
    log.update([], 23.9)
    assert judge(log, 99.0) == []


def test_memory_that_stays_set_aside_after_its_last_use_is_found(log):
    record = log.get("t")
    record.begin_use("r")
    assert judge(log, 99.0) == []
    record.end_use("r", 20.0)
    assert judge(log, 23.9) == []
    assert judge(log, 24.1) == [("LEAK", "i/t")]


def test_memory_that_no_request_uses_is_found(log):
    assert judge(log, 8.9) == []
    assert judge(log, 9.1) == [("STUCK", "i/t")]
    log.update([], 9.2)
    assert judge(log, 99.0) == [("STUCK", "i/t")]


def test_two_requests_on_one_reservation_are_found(log):
    record = log.get("t")
    record.begin_use("r")
    record.begin_use("q")
    record.end_use("q", 1.0)
    assert judge(log, 2.0) == [("LIMIT", "i/t")]


def test_a_reservation_made_anew_under_its_id_is_another_one(log):
    log.update([], 5.0)
    log.update([Reservation("t", 9, 30.0, 6.0)], 6.0)
    assert len(log.records) == 2
    assert judge(log, 14.0) == []
