"""Tests of the cooldowns that targets ask for."""

from types import SimpleNamespace

import pytest

from tarragonward_placement import TargetCooldowns
from tarragonward_placement.const import (
    COOLDOWN_TRIAL_SECONDS,
    MAX_COOLDOWN_SECONDS,
    MAX_TARGET_COOLDOWNS,
)

TARGETS = [SimpleNamespace(id=name) for name in "abc"]


@pytest.fixture
def cooldowns():
    return TargetCooldowns()


def select(cooldowns, now, is_retry=False):
    available = cooldowns.get_available(TARGETS, now)
    return "".join(target.id for target in cooldowns.prefer(available, now, is_retry))


def test_cooldown_lasts_as_long_as_it_was_asked_for(cooldowns):
    assert cooldowns.begin("t", 3.0, 10.0)
    assert cooldowns.is_cooling_down("t", 12.9)
    assert cooldowns.compute_wait("t", 12.0) == 1.0
    assert not cooldowns.is_cooling_down("t", 13.0)
    assert cooldowns.compute_wait("t", 14.0) == 0.0
    assert not cooldowns.is_cooling_down("other", 12.0)


def test_later_end_of_two_cooldowns_counts(cooldowns):
    """A second refusal may name a shorter time, and a longer one may come after it."""
    assert cooldowns.begin("t", 5.0, 0.0)
    assert not cooldowns.begin("t", 1.0, 1.0)
    assert cooldowns.compute_wait("t", 1.0) == 4.0
    assert cooldowns.begin("t", 5.0, 1.0)
    assert cooldowns.compute_wait("t", 1.0) == 5.0


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_no_time_is_no_cooldown(cooldowns, seconds):
    assert not cooldowns.begin("t", seconds, 0.0)
    assert not len(cooldowns)


def test_cooldown_is_bounded(cooldowns):
    """A target that asks for ages must not be lost for as long as a host runs."""
    cooldowns.begin("t", 1e308, 0.0)
    assert cooldowns.compute_wait("t", 0.0) == MAX_COOLDOWN_SECONDS


def test_ended_cooldowns_are_forgotten(cooldowns):
    cooldowns.begin("t", 1.0, 0.0)
    cooldowns.begin("u", 3.0 + COOLDOWN_TRIAL_SECONDS, 0.0)
    cooldowns.drop_ended(1.5 + COOLDOWN_TRIAL_SECONDS)
    assert len(cooldowns) == 1
    assert cooldowns.is_cooling_down("u", 2.0)


def test_memory_of_cooldowns_is_bounded(cooldowns):
    """The cooldowns that end first are forgotten first."""
    for number in range(MAX_TARGET_COOLDOWNS + 10):
        cooldowns.begin(f"t{number}", 60.0 + number, 0.0)
    assert len(cooldowns) == MAX_TARGET_COOLDOWNS
    assert not cooldowns.is_cooling_down("t0", 0.0)
    assert cooldowns.is_cooling_down(f"t{MAX_TARGET_COOLDOWNS + 9}", 0.0)


def test_resting_target_is_not_selected_even_if_all_cooldown(cooldowns):
    for name in "abc":
        cooldowns.begin(name, 3.0, 0.0)
    assert select(cooldowns, 1.0) == ""
    assert select(cooldowns, 3.0) == "abc"


def test_target_that_refused_gets_no_retry_until_it_accepts_a_request(cooldowns):
    """A request that meets two refusing targets is refused although a third serves."""
    cooldowns.begin("a", 3.0, 0.0)
    assert select(cooldowns, 4.0) == "abc"
    assert select(cooldowns, 4.0, is_retry=True) == "bc"
    cooldowns.record_accepted("a", 4.0)
    assert select(cooldowns, 4.0, is_retry=True) == "abc"


def test_answer_during_the_cooldown_does_not_show_that_a_target_accepts(cooldowns):
    """It belongs to a request from before the refusal."""
    cooldowns.begin("a", 3.0, 0.0)
    cooldowns.record_accepted("a", 1.0)
    assert select(cooldowns, 2.0) == "bc"
    assert select(cooldowns, 4.0, is_retry=True) == "bc"


def test_cooldown_that_another_host_reports_is_a_hint(cooldowns):
    """It may be wrong or late, so no request is refused because of it."""
    cooldowns.record_reported("a", 3.0, 0.0)
    assert select(cooldowns, 1.0) == "bc"
    assert not cooldowns.is_cooling_down("a", 1.0)
    for name in "bc":
        cooldowns.begin(name, 3.0, 0.0)
    assert select(cooldowns, 1.0) == "a"


def test_reported_cooldown_that_has_ended_is_ignored(cooldowns):
    cooldowns.record_reported("a", 1.0, 2.0)
    assert not len(cooldowns)
