"""Tests of the checks of reservations against the platform's rules."""

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


def check(log, now):
    return check_reservations(log.records, now)


def test_used_and_freed_reservation_has_no_violation(log):
    record = log.get("t")
    record.begin_use("r")
    record.end_use("r", 20.0)
    log.update([], 23.9)
    assert check(log, 99.0) == []


def test_reservation_kept_after_its_last_use_is_a_leak(log):
    record = log.get("t")
    record.begin_use("r")
    assert check(log, 99.0) == []
    record.end_use("r", 20.0)
    assert check(log, 23.9) == []
    assert check(log, 24.1) == [("LEAK", "i/t")]


def test_unused_reservation_is_a_violation(log):
    assert check(log, 8.9) == []
    assert check(log, 9.1) == [("STUCK", "i/t")]
    log.update([], 9.2)
    assert check(log, 99.0) == [("STUCK", "i/t")]


def test_shared_reservation_is_a_violation(log):
    record = log.get("t")
    record.begin_use("r")
    record.begin_use("q")
    record.end_use("q", 1.0)
    assert check(log, 2.0) == [("LIMIT", "i/t")]


def test_reservation_recreated_with_same_id_is_a_new_record(log):
    log.update([], 5.0)
    log.update([Reservation("t", 9, 30.0, 6.0)], 6.0)
    assert len(log.records) == 2
    assert check(log, 14.0) == []
