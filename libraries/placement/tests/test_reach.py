"""Tests of what a host remembers of targets that it could not connect to."""

from dataclasses import dataclass

from tarragonward_placement import TargetReach


@dataclass(frozen=True)
class Target:
    id: str


NEAR, FAR = Target("near"), Target("far")


def test_a_cut_link_costs_one_request_its_wait_not_all():
    """The far domain's link is cut; its targets stay registered, and grow idle.

    Being least busy they would be chosen first by each request, each waiting for a
    connection in vain. Seen in docs/incidents/shelfwise-inc-71f2.md.
    """
    reach = TargetReach()
    assert reach.note_failed("far", 10.0)
    assert reach.select([NEAR, FAR], 10.4) == [NEAR]
    assert not reach.note_failed("far", 10.4)


def test_after_its_rest_one_request_tries_a_target_and_others_wait():
    reach = TargetReach()
    reach.note_failed("far", 10.0)
    assert list(reach.select([NEAR, FAR], 10.6)) == [NEAR, FAR]
    reach.note_chosen("far", 10.6)
    assert reach.select([NEAR, FAR], 10.7) == [NEAR]
    assert reach.note_reached("far")
    assert list(reach.select([NEAR, FAR], 10.7)) == [NEAR, FAR]


def test_rests_grow_and_end():
    reach, now = TargetReach(), 0.0
    for _ in range(20):
        reach.note_failed("far", now)
        now += 1.0
    assert reach.select([NEAR, FAR], now - 1.0 + 1.9) == [NEAR]
    assert list(reach.select([NEAR, FAR], now - 1.0 + 2.1)) == [NEAR, FAR]


def test_nothing_is_refused_for_a_guess():
    """All targets rest: a choice among them is better than none."""
    reach = TargetReach()
    reach.note_failed("near", 0.0)
    reach.note_failed("far", 0.0)
    assert list(reach.select([NEAR, FAR], 0.1)) == [NEAR, FAR]


def test_what_is_remembered_is_bounded():
    reach = TargetReach()
    for number in range(10_000):
        reach.note_failed(f"i-{number}", 0.0)
    assert reach.resting <= 4_096
