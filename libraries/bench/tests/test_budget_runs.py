"""Proof that the randomised runs of the shared budget see faults."""

import pytest

from tarragonward_bench.soak import run_seed
from tarragonward_membership import SeedMembership
from tarragonward_membership import const as membership_const
from tarragonward_requests import const as requests_const

SEEDS = range(1, 41)


def count_only_who_is_there(members, now):
    return members.count_hosts()


@pytest.mark.parametrize(
    ("owner", "name", "fault"),
    [
        (requests_const, "BUDGET_YOUNG_PART", 0.75),
        (membership_const, "HOSTS_GUESSED_A_SEED", 1),
        (SeedMembership, "count_most_hosts", count_only_who_is_there),
    ],
)
def test_a_budget_without_a_safeguard_is_found_out(monkeypatch, owner, name, fault):
    monkeypatch.setattr(owner, name, fault)
    assert any(run_seed("budget", seed).violation for seed in SEEDS)
