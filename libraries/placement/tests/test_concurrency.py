"""Tests of the limits on requests at full targets."""

import pytest

from tarragonward_placement import ConcurrencyLimits
from tarragonward_placement.const import (
    FULL_TARGET_RETRY_SECONDS,
    UNUSED_LIMIT_SECONDS,
)


@pytest.fixture
def limits():
    return ConcurrencyLimits()


def test_target_that_refused_nothing_has_no_limit(limits):
    assert limits.may_send("t", 10_000, 0.0)


def test_full_target_gets_a_request_only_when_another_has_ended(limits):
    limits.record_refused("t", 10, 1.0)
    assert not limits.may_send("t", 10, 1.0)
    assert limits.may_send("t", 9, 1.0)
    assert limits.may_send("other", 10, 1.0)


def test_limit_grows_by_one_for_as_many_ended_requests(limits):
    limits.record_refused("t", 10, 1.0)
    for _ in range(11):
        limits.record_ended("t")
    assert limits.may_send("t", 10, 1.0)
    assert not limits.may_send("t", 11, 1.0)


def test_further_refusals_do_not_raise_the_limit(limits):
    """A burst is refused one by one, while fewer and fewer of it are in flight."""
    for others in (10, 30, 20):
        limits.record_refused("t", others, 1.0)
    assert not limits.may_send("t", 10, 1.0)
    assert limits.may_send("t", 9, 1.0)


def test_limit_that_keeps_requests_back_is_not_forgotten(limits):
    """All that were held would be sent at once, and be refused again."""
    limits.record_refused("t", 2, 1.0)
    for step in range(20):
        assert not limits.may_send("t", 2, 1.0 + step * UNUSED_LIMIT_SECONDS / 2)


def test_target_that_is_full_of_other_hosts_requests_is_tried_after_a_while(limits):
    limits.record_refused("t", 0, 1.0)
    assert not limits.may_send("t", 0, 1.0 + FULL_TARGET_RETRY_SECONDS / 2)
    assert limits.may_send("t", 0, 1.0 + FULL_TARGET_RETRY_SECONDS)
    assert not limits.may_send("t", 1, 1.0 + FULL_TARGET_RETRY_SECONDS)


def test_limit_that_keeps_nothing_back_is_forgotten(limits):
    limits.record_refused("t", 10, 1.0)
    limits.record_refused("gone", 10, 1.0)
    later = 1.0 + UNUSED_LIMIT_SECONDS + 0.1
    assert limits.may_send("t", 10_000, later)
    limits.record_refused("t", 10, later)
    assert len(limits) == 1
