"""Tests of the randomised runs of harm to targets."""

import pytest

from tarragonward_bench.harm import CrashPlan, CrashRun, run_crash_seed
from tarragonward_gateway.suspect_gossip import SuspectGossip
from tarragonward_requests import const


@pytest.mark.parametrize("seed", range(1, 5))
def test_requests_that_crash_targets_are_soon_sent_to_none(seed):
    assert run_crash_seed(seed)


def test_hosts_that_tell_each_other_nothing_are_found_out(monkeypatch):
    """Each host would let three targets end: the runs must see it."""
    monkeypatch.setattr(SuspectGossip, "take_due", lambda self, now: [])
    monkeypatch.setattr(SuspectGossip, "choose_in_turn", lambda self: [])
    with pytest.raises(AssertionError, match="sends late"):
        for seed in range(1, 4):
            CrashRun(CrashPlan(hosts=40, targets=80), seed).run()


def test_innocents_that_pay_for_one_crash_are_found_out(monkeypatch):
    """All that is beside a crash would be refused: the runs must see it."""
    monkeypatch.setattr(const, "CRASHES_UNTIL_REFUSED", 1)
    with pytest.raises(AssertionError, match="without a culprit"):
        CrashRun(CrashPlan(culprits=0, has_troubles=False), 1).run()
