"""Tests of what a host remembers of targets that it could not connect to."""

from dataclasses import dataclass

from tarragonward_placement import (
    DomainEjected,
    DomainRestored,
    Evidence,
    TargetEjected,
    TargetHealthTracker,
    TargetRestored,
)


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
    reach = TargetHealthTracker()
    doubted = TargetEjected("far", Evidence.NOT_CONNECTED)
    assert reach.observe(FAR, Evidence.NOT_CONNECTED, 10.0) == (doubted,)
    assert reach.select([NEAR, FAR], 10.4) == [NEAR]
    assert reach.observe(FAR, Evidence.NOT_CONNECTED, 10.4) == ()
    assert reach.select([NEAR, FAR], 1000.0) == [NEAR]


def test_a_connection_without_a_request_takes_a_target_back():
    reach = TargetHealthTracker()
    reach.observe(FAR, Evidence.NOT_CONNECTED, 10.0)
    assert reach.take_due_probes([NEAR, FAR], 10.3) == []
    assert reach.take_due_probes([NEAR, FAR], 10.5) == [FAR]
    assert reach.take_due_probes([NEAR, FAR], 10.6) == []
    assert reach.observe(FAR, Evidence.CONNECTED, 10.6) == (TargetRestored("far"),)
    assert list(reach.select([NEAR, FAR], 10.7)) == [NEAR, FAR]
    assert reach.take_due_probes([NEAR, FAR], 20.0) == []


def test_after_its_rest_one_request_tries_a_target_and_others_wait():
    """A connection proves nothing of a target whose address another one uses."""
    reach = TargetHealthTracker()
    reach.observe(FAR, Evidence.REPLACED, 10.0)
    assert reach.observe(FAR, Evidence.CONNECTED, 10.1) == ()
    assert reach.select([NEAR, FAR], 10.3) == [NEAR]
    assert reach.take_due_probes([NEAR, FAR], 10.6) == []
    assert list(reach.select([NEAR, FAR], 10.6)) == [NEAR, FAR]
    reach.start_trial(FAR, 10.6)
    assert reach.select([NEAR, FAR], 10.7) == [NEAR]
    assert reach.observe(FAR, Evidence.ANSWERED, 10.7) == (TargetRestored("far"),)
    assert list(reach.select([NEAR, FAR], 10.7)) == [NEAR, FAR]


def test_rests_grow_and_end():
    reach, now = TargetHealthTracker(), 0.0
    for _ in range(20):
        reach.observe(FAR, Evidence.REPLACED, now)
        now += 1.0
    assert reach.select([NEAR, FAR], now - 1.0 + 1.9) == [NEAR]
    assert list(reach.select([NEAR, FAR], now - 1.0 + 2.1)) == [NEAR, FAR]


def test_probes_of_a_dead_target_grow_rare_to_one_a_second():
    reach = TargetHealthTracker()
    reach.observe(FAR, Evidence.NOT_CONNECTED, 0.0)
    tenths = [
        now for now in range(100) if reach.take_due_probes([FAR], now / 10 + 0.05)
    ]
    assert tenths == [4, 12, *range(22, 100, 10)]


def test_a_target_that_takes_connections_but_fails_waits_longer_each_time():
    reach = TargetHealthTracker()
    for now in (0.0, 1.0, 2.0):
        assert reach.observe(FAR, Evidence.SILENT, now)
        reach.observe(FAR, Evidence.CONNECTED, now)
    reach.observe(FAR, Evidence.SILENT, 10.0)
    assert reach.take_due_probes([NEAR, FAR], 10.9) == []
    assert reach.take_due_probes([NEAR, FAR], 11.1) == [FAR]


def test_a_target_that_fails_all_its_work_at_once_is_left_out():
    """Its answers are errors and come at once, so it is the least busy of all."""
    reach = TargetHealthTracker()
    assert reach.observe(FAR, Evidence.FAILED, 0.0) == ()
    assert reach.observe(FAR, Evidence.FAILED, 0.0)
    assert reach.select([NEAR, FAR], 0.3) == [NEAR]
    assert reach.take_due_probes([NEAR, FAR], 0.5) == []
    assert reach.observe(FAR, Evidence.CONNECTED, 0.5) == ()
    assert list(reach.select([NEAR, FAR], 0.5)) == [NEAR, FAR]
    reach.start_trial(FAR, 0.5)
    assert reach.select([NEAR, FAR], 2.4) == [NEAR]
    assert reach.observe(FAR, Evidence.ANSWERED, 2.4) == (TargetRestored("far"),)


def test_faults_that_may_be_one_requests_alone_count_only_in_a_row():
    reach = TargetHealthTracker()
    for evidence in (Evidence.FAILED, Evidence.ANSWERED, Evidence.LOST):
        assert reach.observe(FAR, evidence, 0.0) == ()
    assert list(reach.select([NEAR, FAR], 0.0)) == [NEAR, FAR]
    assert reach.observe(FAR, Evidence.SPOILED, 0.0)
    assert reach.select([NEAR, FAR], 0.0) == [NEAR]


def test_nothing_is_refused_for_a_guess():
    """All targets rest: a choice among them is better than none."""
    reach = TargetHealthTracker()
    reach.observe(NEAR, Evidence.NOT_CONNECTED, 0.0)
    reach.observe(FAR, Evidence.NOT_CONNECTED, 0.0)
    assert list(reach.select([NEAR, FAR], 0.1)) == [NEAR, FAR]


def test_what_is_remembered_is_bounded():
    reach = TargetHealthTracker()
    for number in range(10_000):
        reach.observe(Target(f"i-{number}"), Evidence.NOT_CONNECTED, 0.0)
    assert reach.ejected_count <= 4_096
    reach.retain_only([FAR])
    assert not reach.ejected_count
    assert not reach.ejected_domain_count


FARS = [Target(f"far-{number}", "b") for number in range(6)]


def fail_two(now):
    reach = TargetHealthTracker()
    reach.observe(FARS[0], Evidence.NOT_CONNECTED, now)
    assert reach.observe(FARS[1], Evidence.NOT_CONNECTED, now)[1:] == (
        DomainEjected("b"),
    )
    return reach


def test_a_domain_behind_a_cut_is_learned_after_two_targets_not_after_all():
    """A stream loses its engine at the cut, and has one more send.

    Learned one by one, its next engine lies behind the same cut and the answer breaks
    off, though nine others there had failed. Request 24a381e194057a3f of
    docs/incidents/shelfwise-inc-71f2.md.
    """
    reach = fail_two(10.0)
    assert reach.select([NEAR, *FARS], 10.1) == [NEAR]


def test_a_domain_where_some_crashed_is_taken_back_by_one_connection():
    """Two targets crash at once, four beside them live on: not a cut link.

    The domain is tried, not its dead targets; they come back each by itself.
    """
    reach = fail_two(10.0)
    assert reach.take_due_probes(FARS, 10.5) == FARS[2:4]
    assert reach.select([NEAR, *FARS[2:]], 10.6) == [NEAR]
    assert reach.observe(FARS[3], Evidence.CONNECTED, 10.6) == (DomainRestored("b"),)
    assert list(reach.select([NEAR, *FARS], 10.7)) == [NEAR, *FARS[2:]]
    assert reach.take_due_probes(FARS, 10.7) == FARS[:2]


def test_one_living_target_of_a_dead_domain_is_found_within_its_turn():
    """Five of six targets crash; two a try, the sixth is tried at the third at most.

    Tried at random, the sixth could stay unused for as long as the others are listed.
    """
    reach = fail_two(10.0)
    tried = [reach.take_due_probes(FARS, now) for now in (10.5, 11.5, 12.6)]
    assert sorted(t.id for turn in tried for t in turn) == [t.id for t in FARS]


def test_an_answer_in_between_shows_that_the_link_stands():
    reach = TargetHealthTracker()
    reach.observe(FARS[0], Evidence.NOT_CONNECTED, 10.0)
    reach.observe(FARS[4], Evidence.ANSWERED, 10.0)
    reach.observe(FARS[1], Evidence.NOT_CONNECTED, 10.0)
    assert list(reach.select([NEAR, FARS[5]], 10.1)) == [NEAR, FARS[5]]


def test_targets_whose_addresses_others_use_rest_alone():
    """Their domain's link stands: another target answered there."""
    reach = TargetHealthTracker()
    for target in FARS[:4]:
        assert reach.observe(target, Evidence.REPLACED, 10.0)
    assert list(reach.select([NEAR, *FARS], 10.1)) == [NEAR, *FARS[4:]]


def test_where_all_are_in_doubt_those_of_a_doubted_domain_come_first():
    """The near target is known dead; of the domain behind two others is not known."""
    reach = fail_two(10.0)
    reach.observe(NEAR, Evidence.NOT_CONNECTED, 10.0)
    assert list(reach.select([NEAR, *FARS], 10.1)) == FARS[2:]


def test_only_what_was_not_connected_to_lately_is_unsure():
    reach = TargetHealthTracker()
    reach.observe(NEAR, Evidence.CONNECTED, 10.0)
    assert reach.get_unverified([NEAR, FAR], 10.4) == [FAR]
    assert reach.get_unverified([NEAR, FAR], 10.5) == [NEAR, FAR]
