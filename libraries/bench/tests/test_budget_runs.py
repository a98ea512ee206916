"""Tests that the simulation of the shared retry budget detects faults."""

import pytest

from tarragonward_bench.soak import run_seed
from tarragonward_membership import SeedMembership
from tarragonward_membership import const as membership_const
from tarragonward_requests import const as requests_const

SEEDS = range(1, 16)


def count_present_hosts(members, now):
    return members.count_hosts()


@pytest.mark.parametrize(
    ("owner", "name", "fault", "seeds"),
    [
        (requests_const, "BUDGET_FIRST_WINDOW_SLACK_SHARE", 0.75, SEEDS),
        (membership_const, "STARTUP_HOSTS_PER_SEED", 1, (151, 155)),
        (SeedMembership, "get_max_host_count", count_present_hosts, SEEDS),
    ],
)
def test_budget_without_a_safeguard_exceeds_the_limit(
    monkeypatch, owner, name, fault, seeds
):
    monkeypatch.setattr(owner, name, fault)
    assert any(run_seed("budget", seed).violation for seed in seeds)


@pytest.mark.parametrize("seed", [157, 163, 694])
def test_retries_one_window_apart_stay_within_the_limit(seed):
    """All hosts spend their parts at once, and again exactly one window later.

    The window of the limit includes both ends, so both bursts count. These seeds
    reproduce it.
    """
    assert not run_seed("budget", seed).violation
