"""Tests of how long reserved memory is renewed."""

import pytest

from tarragonward_placement import ReservationTracker, ReservationUse

HOLD, FREE, UNUSED = 2.8, 4.0, 9.0
USED, IDLE = ReservationUse.USED, ReservationUse.UNUSED
UNKNOWN, GONE = ReservationUse.UNKNOWN, ReservationUse.GONE


def look(tracker, *uses, at=1.0):
    """Look once a second; return for how long each renewal is."""
    return [tracker.choose_hold(use, at + n, at + n) for n, use in enumerate(uses)]


@pytest.fixture
def tracker():
    return ReservationTracker(0.0, HOLD, FREE, UNUSED)


@pytest.mark.parametrize(
    "uses",
    [
        (USED, IDLE, IDLE, IDLE),
        (USED, UNKNOWN, IDLE, IDLE),
        (USED, IDLE, UNKNOWN, IDLE),
    ],
)
def test_memory_expires_in_time_after_its_last_use(tracker, uses):
    """An answer is lost; no renewal after the last use may last beyond the bound."""
    holds = look(tracker, *uses)
    assert holds[0] == HOLD
    assert all(n + hold < FREE for n, hold in enumerate(holds))
    assert holds[-1] == 0.0


def test_memory_that_is_not_used_yet_is_renewed(tracker):
    """An engine may have others to serve first; a prompt without memory is refused."""
    assert look(tracker, IDLE, IDLE, UNKNOWN, IDLE, USED) == [HOLD] * 5
    assert look(ReservationTracker(0.0, HOLD, FREE, UNUSED), IDLE, at=6.5) == [0.0]


def test_preempted_prompt_keeps_memory_that_it_uses_again(tracker):
    assert look(tracker, USED, IDLE, IDLE, USED)[-1] == HOLD


def test_memory_of_engines_that_tell_nothing_is_kept(tracker):
    """A look that fails is no sign that memory is unused, nor that it is used."""
    holds = look(tracker, USED, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN)
    assert all(holds)
    assert holds[1:3] == [2.5, 1.5]


def test_expired_memory_is_not_renewed(tracker):
    assert look(tracker, USED, GONE) == [HOLD, 0.0]
    assert look(ReservationTracker(0.0, HOLD, FREE, UNUSED), GONE) == [0.0]
