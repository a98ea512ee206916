"""Tests of what a host remembers of targets that it could not connect to."""

from dataclasses import dataclass

from tarragonward_placement import TargetReach


@dataclass(frozen=True)
class Target:
    id: str
    failure_domain: str = "a"


NEAR, FAR = Target("near"), Target("far", "b")


def test_a_cut_link_costs_one_request_its_wait_not_all():
    """The far domain's link is cut; its targets stay registered, and grow idle.

    Being least busy they would be chosen first by each request, each waiting for a
    connection in vain. Seen in docs/incidents/shelfwise-inc-71f2.md.
    """
    reach = TargetReach()
    assert reach.note_failed(FAR, 10.0)
    assert reach.select([NEAR, FAR], 10.4) == [NEAR]
    assert not reach.note_failed(FAR, 10.4)


def test_after_its_rest_one_request_tries_a_target_and_others_wait():
    reach = TargetReach()
    reach.note_failed(FAR, 10.0)
    assert list(reach.select([NEAR, FAR], 10.6)) == [NEAR, FAR]
    reach.note_chosen(FAR, 10.6)
    assert reach.select([NEAR, FAR], 10.7) == [NEAR]
    assert reach.note_reached(FAR)
    assert list(reach.select([NEAR, FAR], 10.7)) == [NEAR, FAR]


def test_rests_grow_and_end():
    reach, now = TargetReach(), 0.0
    for _ in range(20):
        reach.note_failed(FAR, now)
        now += 1.0
    assert reach.select([NEAR, FAR], now - 1.0 + 1.9) == [NEAR]
    assert list(reach.select([NEAR, FAR], now - 1.0 + 2.1)) == [NEAR, FAR]


def test_nothing_is_refused_for_a_guess():
    """All targets rest: a choice among them is better than none."""
    reach = TargetReach()
    reach.note_failed(NEAR, 0.0)
    reach.note_failed(FAR, 0.0)
    assert list(reach.select([NEAR, FAR], 0.1)) == [NEAR, FAR]


def test_what_is_remembered_is_bounded():
    reach = TargetReach()
    for number in range(10_000):
        reach.note_failed(Target(f"i-{number}"), 0.0)
    assert reach.resting <= 4_096


FARS = [Target(f"far-{number}", "b") for number in range(6)]


def fail_three(now):
    reach = TargetReach()
    for target in FARS[:3]:
        reach.note_failed(target, now)
    return reach


def test_a_domain_behind_a_cut_is_learned_after_three_targets_not_after_all():
    """A stream loses its engine at the cut, and has one more send.

    Learned one by one, its next engine lies behind the same cut and the answer breaks
    off, though nine others there had failed. Request 24a381e194057a3f of
    docs/incidents/shelfwise-inc-71f2.md.
    """
    reach = fail_three(10.0)
    assert reach.select([NEAR, *FARS], 10.1) == [NEAR]


def test_a_domain_where_some_crashed_is_tried_again_by_one_request():
    """Three targets crash at once, three beside them live on: not a cut link."""
    reach = fail_three(10.0)
    assert list(reach.select([NEAR, *FARS[3:]], 10.6)) == [NEAR, *FARS[3:]]
    reach.note_chosen(FARS[3], 10.6)
    assert reach.select([NEAR, *FARS[3:]], 10.7) == [NEAR]
    reach.note_reached(FARS[3])
    assert list(reach.select([NEAR, *FARS[3:]], 10.7)) == [NEAR, *FARS[3:]]


def test_an_answer_in_between_shows_that_the_link_stands():
    reach = TargetReach()
    reach.note_failed(FARS[0], 10.0)
    reach.note_failed(FARS[1], 10.0)
    reach.note_reached(FARS[4])
    reach.note_failed(FARS[2], 10.0)
    assert list(reach.select([NEAR, FARS[5]], 10.1)) == [NEAR, FARS[5]]


def test_targets_whose_addresses_others_use_rest_alone():
    """Their domain's link stands: another target answered there."""
    reach = TargetReach()
    for target in FARS[:4]:
        assert reach.note_replaced(target, 10.0)
    assert list(reach.select([NEAR, *FARS], 10.1)) == [NEAR, *FARS[4:]]
