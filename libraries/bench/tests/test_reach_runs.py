"""Proof that the randomised runs of targets in doubt see faults."""

import pytest

from tarragonward_bench.soak import run_seed
from tarragonward_placement import TargetHealthTracker
from tarragonward_placement import const as c

SEEDS = range(1, 16)


def probe_nothing(reach, registered, now):
    return []


def select_all(reach, targets, now):
    return targets


def probe_the_first(reach, domain, doubt, registered, now):
    return [each for each in registered if each.failure_domain == domain][:2]


@pytest.mark.parametrize("seed", [*SEEDS, 10, 14, 19, 28])
def test_a_sound_target_comes_back_and_a_dead_one_gets_little(seed):
    assert not run_seed("reach", seed).violation


@pytest.mark.parametrize(
    ("owner", "name", "fault"),
    [
        (TargetHealthTracker, "take_due_probes", probe_nothing),
        (TargetHealthTracker, "select", select_all),
        (TargetHealthTracker, "_pick_domain_probes", probe_the_first),
        (c, "EJECTION_MAX_SECONDS", 30.0),
        (c, "REQUEST_TRIAL_MAX_EJECTION_SECONDS", 30.0),
        (c, "REQUEST_TRIAL_MAX_EJECTION_SECONDS", 0.05),
    ],
)
def test_a_view_without_a_safeguard_is_found_out(monkeypatch, owner, name, fault):
    monkeypatch.setattr(owner, name, fault)
    assert any(run_seed("reach", seed).violation for seed in SEEDS)
