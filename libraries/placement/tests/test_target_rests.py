"""Tests of the rests that targets ask for."""

import pytest

from tarragonward_placement import TargetRests
from tarragonward_placement.const import MAX_REST_SECONDS, MAX_TARGET_RESTS


@pytest.fixture
def rests():
    return TargetRests()


def test_rest_lasts_as_long_as_it_was_asked_for(rests):
    assert rests.begin("t", 3.0, 10.0)
    assert rests.is_resting("t", 12.9)
    assert rests.compute_wait("t", 12.0) == 1.0
    assert not rests.is_resting("t", 13.0)
    assert rests.compute_wait("t", 14.0) == 0.0
    assert not rests.is_resting("other", 12.0)


def test_later_end_of_two_rests_counts(rests):
    """A second refusal may name a shorter time, and a longer one may come after it."""
    assert rests.begin("t", 5.0, 0.0)
    assert not rests.begin("t", 1.0, 1.0)
    assert rests.compute_wait("t", 1.0) == 4.0
    assert rests.begin("t", 5.0, 1.0)
    assert rests.compute_wait("t", 1.0) == 5.0


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_no_time_is_no_rest(rests, seconds):
    assert not rests.begin("t", seconds, 0.0)
    assert not len(rests)


def test_rest_is_bounded(rests):
    """A target that asks for ages must not be lost for as long as a host runs."""
    rests.begin("t", 1e308, 0.0)
    assert rests.compute_wait("t", 0.0) == MAX_REST_SECONDS


def test_ended_rests_are_forgotten(rests):
    rests.begin("t", 1.0, 0.0)
    rests.begin("u", 3.0, 0.0)
    rests.drop_ended(2.0)
    assert len(rests) == 1
    assert rests.is_resting("u", 2.0)


def test_memory_of_rests_is_bounded(rests):
    """The rests that end first are forgotten first."""
    for number in range(MAX_TARGET_RESTS + 10):
        rests.begin(f"t{number}", 60.0 + number, 0.0)
    assert len(rests) == MAX_TARGET_RESTS
    assert not rests.is_resting("t0", 0.0)
    assert rests.is_resting(f"t{MAX_TARGET_RESTS + 9}", 0.0)
