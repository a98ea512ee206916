"""Proof that the randomised runs of the shared budget see faults."""

import pytest

from tarragonward_bench.soak import run_seed
from tarragonward_membership import SeedMembership
from tarragonward_membership import const as membership_const
from tarragonward_requests import const as requests_const

SEEDS = range(1, 16)


def count_only_who_is_there(members, now):
    return members.count_hosts()


@pytest.mark.parametrize(
    ("owner", "name", "fault", "seeds"),
    [
        (requests_const, "BUDGET_FIRST_WINDOW_SLACK_SHARE", 0.75, SEEDS),
        (membership_const, "STARTUP_HOSTS_PER_SEED", 1, (151, 155)),
        (SeedMembership, "get_max_host_count", count_only_who_is_there, SEEDS),
    ],
)
def test_a_budget_without_a_safeguard_is_found_out(
    monkeypatch, owner, name, fault, seeds
):
    monkeypatch.setattr(owner, name, fault)
    assert any(run_seed("budget", seed).violation for seed in seeds)


@pytest.mark.parametrize("seed", [157, 163, 694])
def test_repeats_a_window_apart_do_not_fall_into_one(seed):
    """All hosts spend their parts at one moment, and again just a window later.

    The rule's window holds both ends, so both lots counted. Found at these seeds.
    """
    assert not run_seed("budget", seed).violation
