"""Tests of target health: ejection, probes and restoration."""

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
    service: str = "s"


LOCAL, REMOTE = Target("near"), Target("far", "b")


def test_a_cut_link_delays_one_request_and_not_all():
    """The link to the far domain is cut; its targets stay registered and become idle.

    As the least busy targets they would be chosen first, and each request would wait
    for a connection in vain. Seen in docs/incidents/shelfwise-inc-71f2.md.
    """
    health = TargetHealthTracker()
    ejected = TargetEjected("far", Evidence.NOT_CONNECTED)
    assert health.observe(REMOTE, Evidence.NOT_CONNECTED, 10.0) == (ejected,)
    assert health.select([LOCAL, REMOTE], 10.4) == [LOCAL]
    assert health.observe(REMOTE, Evidence.NOT_CONNECTED, 10.4) == ()
    assert health.select([LOCAL, REMOTE], 1000.0) == [LOCAL]


def test_a_probe_connection_restores_a_target():
    health = TargetHealthTracker()
    health.observe(REMOTE, Evidence.NOT_CONNECTED, 10.0)
    assert health.take_due_probes([LOCAL, REMOTE], 10.3) == []
    assert health.take_due_probes([LOCAL, REMOTE], 10.5) == [REMOTE]
    assert health.take_due_probes([LOCAL, REMOTE], 10.6) == []
    assert health.observe(REMOTE, Evidence.CONNECTED, 10.6) == (TargetRestored("far"),)
    assert list(health.select([LOCAL, REMOTE], 10.7)) == [LOCAL, REMOTE]
    assert health.take_due_probes([LOCAL, REMOTE], 20.0) == []


def test_after_its_back_off_a_target_gets_one_trial_request():
    """A connection proves nothing if another target now has the address."""
    health = TargetHealthTracker()
    health.observe(REMOTE, Evidence.REPLACED, 10.0)
    assert health.observe(REMOTE, Evidence.CONNECTED, 10.1) == ()
    assert health.select([LOCAL, REMOTE], 10.3) == [LOCAL]
    assert health.take_due_probes([LOCAL, REMOTE], 10.6) == []
    assert list(health.select([LOCAL, REMOTE], 10.6)) == [LOCAL, REMOTE]
    health.start_trial(REMOTE, 10.6)
    assert health.select([LOCAL, REMOTE], 10.7) == [LOCAL]
    assert health.observe(REMOTE, Evidence.ANSWERED, 10.7) == (TargetRestored("far"),)
    assert list(health.select([LOCAL, REMOTE], 10.7)) == [LOCAL, REMOTE]


def test_ejections_grow_up_to_a_maximum():
    health, now = TargetHealthTracker(), 0.0
    for _ in range(20):
        health.observe(REMOTE, Evidence.REPLACED, now)
        now += 1.0
    assert health.select([LOCAL, REMOTE], now - 1.0 + 1.9) == [LOCAL]
    assert list(health.select([LOCAL, REMOTE], now - 1.0 + 2.1)) == [LOCAL, REMOTE]


def test_probes_of_a_dead_target_back_off_to_one_per_second():
    health = TargetHealthTracker()
    health.observe(REMOTE, Evidence.NOT_CONNECTED, 0.0)
    probed_tenths = [
        now for now in range(100) if health.take_due_probes([REMOTE], now / 10 + 0.05)
    ]
    assert probed_tenths == [4, 12, *range(22, 100, 10)]


def test_a_target_that_accepts_connections_but_fails_is_ejected_for_longer_each_time():
    health = TargetHealthTracker()
    for now in (0.0, 1.0, 2.0):
        assert health.observe(REMOTE, Evidence.SILENT, now)
        health.observe(REMOTE, Evidence.CONNECTED, now)
    health.observe(REMOTE, Evidence.SILENT, 10.0)
    assert health.take_due_probes([LOCAL, REMOTE], 10.9) == []
    assert health.take_due_probes([LOCAL, REMOTE], 11.1) == [REMOTE]


def test_a_target_that_fails_all_its_requests_at_once_is_ejected():
    """It answers with errors at once, so it is always the least busy target."""
    health = TargetHealthTracker()
    assert health.observe(REMOTE, Evidence.FAILED, 0.0) == ()
    assert health.observe(REMOTE, Evidence.FAILED, 0.0)
    assert health.select([LOCAL, REMOTE], 0.3) == [LOCAL]
    assert health.take_due_probes([LOCAL, REMOTE], 0.5) == []
    assert health.observe(REMOTE, Evidence.CONNECTED, 0.5) == ()
    assert list(health.select([LOCAL, REMOTE], 0.5)) == [LOCAL, REMOTE]
    health.start_trial(REMOTE, 0.5)
    assert health.select([LOCAL, REMOTE], 2.4) == [LOCAL]
    assert health.observe(REMOTE, Evidence.ANSWERED, 2.4) == (TargetRestored("far"),)


def test_faults_that_a_request_may_cause_eject_only_in_a_row():
    health = TargetHealthTracker()
    for evidence in (Evidence.FAILED, Evidence.ANSWERED, Evidence.LOST):
        assert health.observe(REMOTE, evidence, 0.0) == ()
    assert list(health.select([LOCAL, REMOTE], 0.0)) == [LOCAL, REMOTE]
    assert health.observe(REMOTE, Evidence.SPOILED, 0.0)
    assert health.select([LOCAL, REMOTE], 0.0) == [LOCAL]


def test_all_targets_are_selected_if_all_are_ejected():
    """All targets are ejected: choosing among them is better than refusing."""
    health = TargetHealthTracker()
    health.observe(LOCAL, Evidence.NOT_CONNECTED, 0.0)
    health.observe(REMOTE, Evidence.NOT_CONNECTED, 0.0)
    assert list(health.select([LOCAL, REMOTE], 0.1)) == [LOCAL, REMOTE]


def test_tracked_targets_are_bounded():
    health = TargetHealthTracker()
    for number in range(10_000):
        health.observe(Target(f"i-{number}"), Evidence.NOT_CONNECTED, 0.0)
    assert health.ejected_count <= 4_096
    health.retain_only([REMOTE])
    assert not health.ejected_count
    assert not health.ejected_domain_count


REMOTES = [Target(f"far-{number}", "b") for number in range(6)]


def fail_two(now):
    health = TargetHealthTracker()
    health.observe(REMOTES[0], Evidence.NOT_CONNECTED, now)
    assert health.observe(REMOTES[1], Evidence.NOT_CONNECTED, now)[1:] == (
        DomainEjected("b", "s"),
    )
    return health


def test_a_domain_is_ejected_after_two_targets_fail_to_connect():
    """A stream loses its engine when the link is cut, and has one more send.

    If targets were ejected one by one, its next engine would lie behind the same cut
    and the answer would break off, although nine others there had failed. Request
    24a381e194057a3f of docs/incidents/shelfwise-inc-71f2.md.
    """
    health = fail_two(10.0)
    assert health.select([LOCAL, *REMOTES], 10.1) == [LOCAL]


def test_one_connection_restores_a_domain_where_some_targets_crashed():
    """Two targets crash at once and four beside them live on: the link is not cut.

    The domain is probed through its other targets; the dead ones are restored one by
    one.
    """
    health = fail_two(10.0)
    assert health.take_due_probes(REMOTES, 10.5) == REMOTES[2:4]
    assert health.select([LOCAL, *REMOTES[2:]], 10.6) == [LOCAL]
    assert health.observe(REMOTES[3], Evidence.CONNECTED, 10.6) == (
        DomainRestored("b", "s"),
    )
    assert list(health.select([LOCAL, *REMOTES], 10.7)) == [LOCAL, *REMOTES[2:]]
    assert health.take_due_probes(REMOTES, 10.7) == REMOTES[:2]


def test_the_one_live_target_of_a_dead_domain_is_probed_in_turn():
    """Five of six targets crash; probed in pairs, the sixth is third at the latest.

    With random probes it could stay unused for as long as the others are listed.
    """
    health = fail_two(10.0)
    probed = [health.take_due_probes(REMOTES, now) for now in (10.5, 11.5, 12.6)]
    assert sorted(t.id for turn in probed for t in turn) == [t.id for t in REMOTES]


def test_an_answer_between_two_failures_keeps_the_domain():
    health = TargetHealthTracker()
    health.observe(REMOTES[0], Evidence.NOT_CONNECTED, 10.0)
    health.observe(REMOTES[4], Evidence.ANSWERED, 10.0)
    health.observe(REMOTES[1], Evidence.NOT_CONNECTED, 10.0)
    assert list(health.select([LOCAL, REMOTES[5]], 10.1)) == [LOCAL, REMOTES[5]]


def test_replaced_targets_do_not_eject_their_domain():
    """The link to their domain works: another target answered there."""
    health = TargetHealthTracker()
    for target in REMOTES[:4]:
        assert health.observe(target, Evidence.REPLACED, 10.0)
    assert list(health.select([LOCAL, *REMOTES], 10.1)) == [LOCAL, *REMOTES[4:]]


def test_targets_of_an_ejected_domain_are_preferred_to_ejected_targets():
    """The local target is known to be dead; the rest of the ejected domain may live."""
    health = fail_two(10.0)
    health.observe(LOCAL, Evidence.NOT_CONNECTED, 10.0)
    assert list(health.select([LOCAL, *REMOTES], 10.1)) == REMOTES[2:]


def test_targets_without_a_recent_connection_are_unverified():
    health = TargetHealthTracker()
    health.observe(LOCAL, Evidence.CONNECTED, 10.0)
    assert health.get_unverified([LOCAL, REMOTE], 10.4) == [REMOTE]
    assert health.get_unverified([LOCAL, REMOTE], 10.5) == [LOCAL, REMOTE]
