"""Tests that the simulation of target health detects faults."""

import pytest

from tarragonward_bench.soak import run_seed
from tarragonward_placement import TargetHealthTracker
from tarragonward_placement import const as c

SEEDS = range(1, 16)


def probe_nothing(tracker, registered, now):
    return []


def select_all(tracker, targets, now):
    return targets


def probe_first_targets(tracker, group, ejection, registered, now):
    return [each for each in registered if each.failure_domain == group[0]][:2]


@pytest.mark.parametrize("seed", [*SEEDS, 10, 14, 19, 28])
def test_healthy_target_is_restored_and_unhealthy_one_gets_few_requests(seed):
    assert not run_seed("reach", seed).violation


@pytest.mark.parametrize(
    ("owner", "name", "fault"),
    [
        (TargetHealthTracker, "take_due_probes", probe_nothing),
        (TargetHealthTracker, "select", select_all),
        (TargetHealthTracker, "_pick_group_probes", probe_first_targets),
        (c, "EJECTION_MAX_SECONDS", 30.0),
        (c, "REQUEST_TRIAL_MAX_EJECTION_SECONDS", 30.0),
        (c, "REQUEST_TRIAL_MAX_EJECTION_SECONDS", 0.05),
    ],
)
def test_health_tracking_without_a_safeguard_violates_a_bound(
    monkeypatch, owner, name, fault
):
    monkeypatch.setattr(owner, name, fault)
    assert any(run_seed("reach", seed).violation for seed in SEEDS)
