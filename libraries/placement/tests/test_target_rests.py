"""Tests of the rests that targets ask for."""

from types import SimpleNamespace

import pytest

from tarragonward_placement import TargetRests
from tarragonward_placement.const import (
    MAX_REST_SECONDS,
    MAX_TARGET_RESTS,
    REST_TRIAL_SECONDS,
)

TARGETS = [SimpleNamespace(id=name) for name in "abc"]


@pytest.fixture
def rests():
    return TargetRests()


def select(rests, now, is_retry=False):
    awake = rests.get_awake(TARGETS, now)
    return "".join(target.id for target in rests.prefer(awake, now, is_retry))


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
    rests.begin("u", 3.0 + REST_TRIAL_SECONDS, 0.0)
    rests.drop_ended(1.5 + REST_TRIAL_SECONDS)
    assert len(rests) == 1
    assert rests.is_resting("u", 2.0)


def test_memory_of_rests_is_bounded(rests):
    """The rests that end first are forgotten first."""
    for number in range(MAX_TARGET_RESTS + 10):
        rests.begin(f"t{number}", 60.0 + number, 0.0)
    assert len(rests) == MAX_TARGET_RESTS
    assert not rests.is_resting("t0", 0.0)
    assert rests.is_resting(f"t{MAX_TARGET_RESTS + 9}", 0.0)


def test_resting_target_is_not_selected_even_if_all_rest(rests):
    for name in "abc":
        rests.begin(name, 3.0, 0.0)
    assert select(rests, 1.0) == ""
    assert select(rests, 3.0) == "abc"


def test_target_that_refused_gets_no_retry_until_it_accepts_a_request(rests):
    """A request that meets two refusing targets is refused although a third serves."""
    rests.begin("a", 3.0, 0.0)
    assert select(rests, 4.0) == "abc"
    assert select(rests, 4.0, is_retry=True) == "bc"
    rests.record_accepted("a", 4.0)
    assert select(rests, 4.0, is_retry=True) == "abc"


def test_answer_during_the_rest_does_not_show_that_a_target_accepts(rests):
    """It belongs to a request from before the refusal."""
    rests.begin("a", 3.0, 0.0)
    rests.record_accepted("a", 1.0)
    assert select(rests, 2.0) == "bc"
    assert select(rests, 4.0, is_retry=True) == "bc"


def test_rest_that_another_host_reports_is_a_hint(rests):
    """It may be wrong or late, so no request is refused because of it."""
    rests.record_reported("a", 3.0, 0.0)
    assert select(rests, 1.0) == "bc"
    assert not rests.is_resting("a", 1.0)
    for name in "bc":
        rests.begin(name, 3.0, 0.0)
    assert select(rests, 1.0) == "a"


def test_reported_rest_that_has_ended_is_ignored(rests):
    rests.record_reported("a", 1.0, 2.0)
    assert not len(rests)
