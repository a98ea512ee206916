"""Tests of the randomised runs of crashing requests, rate limits and cooldowns."""

import pytest

from tarragonward_bench.harm import (
    ColdPlan,
    ColdRun,
    CooldownPlan,
    CooldownRun,
    CrashPlan,
    CrashRun,
    LimitPlan,
    LimitRun,
    SegmentPlan,
    SegmentRun,
    run_cold_seed,
    run_cooldown_seed,
    run_crash_seed,
    run_limit_seed,
    run_segment_seed,
)
from tarragonward_bench.harm.spread import measure_crash_propagation
from tarragonward_gateway.suspect_gossip import SuspectGossip
from tarragonward_placement import TargetCooldowns, cold_targets, target_limits
from tarragonward_requests import SegmentTracker, const

# Seeds of runs with many crashing requests, and whether hosts fail in them.
CROWDED_SEEDS = ((7, False), (4, True), (6, True), (7, True), (123, True), (128, True))


@pytest.mark.parametrize("seed", range(1, 5))
def test_crashing_requests_are_soon_refused(seed):
    assert run_crash_seed(seed)


def test_requests_that_crash_the_same_targets_are_all_refused_in_time():
    """Each one's crashes seem explained by another's, so all of them are sent on."""
    late = {}
    for seed, has_troubles in CROWDED_SEEDS:
        plan = CrashPlan(
            targets=18,
            crashing_requests=8,
            requests_a_second=54.0,
            has_troubles=has_troubles,
        )
        try:
            CrashRun(plan, seed).run()
        except AssertionError as err:
            late[seed, has_troubles] = str(err)
    assert not late


def test_many_crashing_requests_are_refused_in_time_after_a_loss_of_all_hosts():
    """All hosts are killed at once, and what they knew is lost with them."""
    plan = CrashPlan(targets=18, crashing_requests=8, requests_a_second=54.0)
    assert CrashRun(plan, 1).run()


@pytest.mark.parametrize("seed", [66, 77, 80])
def test_many_crashing_requests_are_refused_in_time_amid_losses_of_hosts(seed):
    """Hosts that start know too little, and eight requests excuse each other."""
    plan = CrashPlan(targets=18, crashing_requests=8, requests_a_second=54.0)
    assert CrashRun(plan, seed).run()


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 7])
def test_hosts_that_stay_refuse_all_of_many_crashing_requests_in_time(seed):
    """Requests that run on the same targets seem to explain each other's crashes."""
    plan = CrashPlan(
        targets=18, crashing_requests=8, requests_a_second=54.0, has_troubles=False
    )
    assert CrashRun(plan, seed).run()


def test_runs_detect_hosts_that_share_no_crashes(monkeypatch):
    """Without gossip each host would let a request crash three targets."""
    monkeypatch.setattr(SuspectGossip, "take_due", lambda self, now: [])
    monkeypatch.setattr(SuspectGossip, "choose_next", lambda self: [])
    with pytest.raises(AssertionError, match="sends late"):
        for seed in range(1, 4):
            CrashRun(CrashPlan(hosts=40, targets=80), seed).run()


def test_runs_detect_refusal_of_harmless_requests(monkeypatch):
    """With a threshold of one crash all requests in progress beside it are refused."""
    monkeypatch.setattr(const, "REFUSE_AFTER_CRASHES", 1)
    with pytest.raises(AssertionError, match="without a crashing request"):
        CrashRun(CrashPlan(crashing_requests=0, has_troubles=False), 1).run()


@pytest.mark.parametrize("seed", [*range(1, 5), 8, 20])
def test_segments_that_crash_targets_are_soon_refused(seed):
    """Prompts, no two alike, share a segment; sound ones share all of the others."""
    assert run_segment_seed(seed)


def test_runs_detect_hosts_that_know_no_segments(monkeypatch):
    """With requests told apart as a whole only, each prompt crashes three targets."""
    monkeypatch.setattr(SegmentTracker, "record_crash", lambda *args: ())
    with pytest.raises(AssertionError, match="sends late"):
        SegmentRun(SegmentPlan(has_troubles=False), 1).run()


def test_runs_detect_refusal_of_sound_prompts(monkeypatch):
    """Refused by what is common to all of them, sound prompts are refused, too."""
    monkeypatch.setattr(SegmentTracker, "record_answered", lambda *args: ())
    monkeypatch.setattr(SegmentTracker, "record_prompt", lambda *args: None)
    with pytest.raises(AssertionError, match="sound prompts refused"):
        SegmentRun(SegmentPlan(has_troubles=False), 1).run()


@pytest.mark.parametrize("seed", range(1, 5))
def test_advertised_limits_are_kept(seed):
    assert run_limit_seed(seed)


def test_runs_detect_hosts_that_each_use_the_full_limit(monkeypatch):
    """Each host alone stays below the limit, but all hosts together exceed it."""
    monkeypatch.setattr(
        target_limits, "compute_host_share", lambda number, rate, view: 0.9 * rate
    )
    with pytest.raises(AssertionError, match="a second"):
        LimitRun(LimitPlan(hosts=40, requests_a_second=400.0), 1).run()


def test_all_hosts_learn_of_a_third_crash_within_the_bound():
    """Three of forty hosts see one crash each; all must refuse within three seconds."""
    assert measure_crash_propagation(40, 1).all_seconds < 3.0


def test_hosts_without_state_learn_of_a_crashing_request_again():
    """All hosts lose their state, then most are isolated: each crashes two targets."""
    CrashRun(CrashPlan(40, 3, 80, 2, 240.0), 300).run()


@pytest.mark.parametrize("seed", range(1, 5))
def test_targets_get_the_cooldowns_that_they_ask_for(seed):
    assert run_cooldown_seed(seed)


def test_runs_detect_hosts_that_disregard_cooldowns(monkeypatch):
    """A target that refuses requests has no work, so it is chosen first each time."""
    monkeypatch.setattr(
        TargetCooldowns, "begin", lambda self, target, seconds, now: False
    )
    with pytest.raises(AssertionError, match="during a cooldown"):
        CooldownRun(CooldownPlan(), 1).run()


def test_hosts_that_share_cooldowns_refuse_fewer_requests():
    """A quarter of the targets refuse requests for some seconds, in turn."""
    shared, alone = (
        CooldownRun(CooldownPlan(has_troubles=False, shares_cooldowns=shares), 1).run()
        for shares in (True, False)
    )
    assert shared.refused_sends < alone.refused_sends
    assert shared.refused_count < alone.refused_count


@pytest.mark.parametrize("seed", [1, 2, 6, 9])
def test_segment_in_use_that_begins_to_crash_targets_is_refused_in_time(seed):
    """A fifth of all prompts hold it, so all targets crash within a second."""
    plan = SegmentPlan(
        crashing_segments=0,
        requests_a_second=54.0,
        targets=18,
        has_troubles=False,
        turning_share=0.2,
    )
    SegmentRun(plan, seed).run()


@pytest.mark.parametrize("seed", [13, 37, 60, 70, 74, 76, 89, 93, 99])
def test_segment_in_half_of_the_prompts_that_begins_to_crash_targets(seed):
    """Sound prompts are refused, or targets crash on, amid losses of hosts."""
    plan = SegmentPlan(
        crashing_segments=1, requests_a_second=54.0, targets=18, turning_share=0.5
    )
    SegmentRun(plan, seed).run()


@pytest.mark.parametrize("seed", range(1, 5))
def test_cold_targets_are_not_crowded(seed):
    """Hosts are killed, frozen and cut off while targets start again, cold."""
    assert run_cold_seed(seed)


def test_runs_detect_hosts_that_each_send_to_a_cold_target_at_its_full_rate(
    monkeypatch,
):
    """Each host alone stays below the bound, but all hosts together exceed it."""
    monkeypatch.setattr(
        cold_targets, "compute_host_share", lambda number, rate, *_: 0.9 * rate
    )
    with pytest.raises(AssertionError, match="in a second"):
        ColdRun(ColdPlan(hosts=40, requests_a_second=600.0), 1).run()
