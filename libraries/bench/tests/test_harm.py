"""Tests of the randomised runs of harm to targets."""

import pytest

from tarragonward_bench.harm import (
    CrashPlan,
    CrashRun,
    LimitPlan,
    LimitRun,
    run_crash_seed,
    run_limit_seed,
)
from tarragonward_bench.harm.spread import measure_spread
from tarragonward_gateway.suspect_gossip import SuspectGossip
from tarragonward_placement import target_limits
from tarragonward_requests import const


@pytest.mark.parametrize("seed", range(1, 5))
def test_requests_that_crash_targets_are_soon_sent_to_none(seed):
    assert run_crash_seed(seed)


def test_hosts_that_tell_each_other_nothing_are_found_out(monkeypatch):
    """Each host would let three targets end: the runs must see it."""
    monkeypatch.setattr(SuspectGossip, "take_due", lambda self, now: [])
    monkeypatch.setattr(SuspectGossip, "choose_next", lambda self: [])
    with pytest.raises(AssertionError, match="sends late"):
        for seed in range(1, 4):
            CrashRun(CrashPlan(hosts=40, targets=80), seed).run()


def test_innocents_that_pay_for_one_crash_are_found_out(monkeypatch):
    """All that is beside a crash would be refused: the runs must see it."""
    monkeypatch.setattr(const, "REFUSE_AFTER_CRASHES", 1)
    with pytest.raises(AssertionError, match="without a culprit"):
        CrashRun(CrashPlan(culprits=0, has_troubles=False), 1).run()


@pytest.mark.parametrize("seed", range(1, 5))
def test_targets_that_name_limits_get_no_more(seed):
    assert run_limit_seed(seed)


def test_hosts_that_each_take_the_whole_limit_are_found_out(monkeypatch):
    """Each host keeps to the limit by itself, and all together exceed it."""
    monkeypatch.setattr(
        target_limits, "compute_host_share", lambda number, rate, view: 0.9 * rate
    )
    with pytest.raises(AssertionError, match="a second"):
        LimitRun(LimitPlan(hosts=40, requests_a_second=400.0), 1).run()


def test_all_hosts_know_of_a_third_crash_within_the_bound():
    """Three hosts of forty see one crash each; all must refuse within three seconds."""
    assert measure_spread(40, 1).all_seconds < 3.0


def test_hosts_that_lost_all_and_hear_few_learn_of_a_culprit_anew():
    """All hosts lose power, most are then cut off alone: each lets two targets end."""
    CrashRun(CrashPlan(40, 3, 80, 2, 240.0), 300).run()
