"""Tests of the rate and memory limits of client accounts."""

from random import Random

import pytest

from tarragonward_placement import (
    AccountLimits,
    FleetView,
    PlacementRequest,
    share_by_weight,
)

CAPACITY = 100_000.0


def make_request(account, tokens, priority=0):
    return PlacementRequest("r", account, "m", tokens, 0, priority, 60.0)


@pytest.mark.parametrize("seed", range(10))
def test_shares_are_max_min_fair(seed):
    random = Random(seed)
    names = [f"a{n}" for n in range(random.randint(1, 12))]
    demand = {name: random.random() * 40 for name in names}
    weights = {name: random.choice((0.5, 1.0, 3.0)) for name in names}
    shares = share_by_weight(100.0, demand, weights)
    assert sum(shares.values()) <= 100.0 + 1e-6
    assert all(shares[name] <= demand[name] + 1e-9 for name in names)
    short = [name for name in names if shares[name] < demand[name] - 1e-6]
    if short:
        assert sum(shares.values()) == pytest.approx(100.0)
    for name in short:
        own_ratio = shares[name] / weights[name]
        assert all(shares[n] / weights[n] <= own_ratio + 1e-6 for n in names)


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_small_accounts_are_admitted_while_a_large_one_floods(is_cut_off):
    """One account offers four times the fleet's capacity through every host.

    Each host knows its own part and the others' demand or, cut off, only its own. The
    small account stays within its share and must not be refused because of the flood.
    """
    hosts = [AccountLimits() for _ in range(4)]
    admitted = {"flood": 0, "small": 0}
    offered = {"flood": 0, "small": 0}
    random = Random(7)
    for tick in range(4_000):
        now = tick / 100
        host = random.choice(hosts)
        account, tokens = random.choice((("flood", 7_900), ("small", 100)))
        others = {}
        for other in hosts:
            if other is not host:
                for name, rate in other.get_demand(now).items():
                    others[name] = others.get(name, 0.0) + rate
        fleet = FleetView(4, {}, None if is_cut_off else others)
        offered[account] += tokens
        if host.check(make_request(account, tokens), CAPACITY, fleet, now) is None:
            admitted[account] += tokens
    assert admitted["small"] == offered["small"]
    assert admitted["flood"] <= 1.25 * CAPACITY * 40
    assert admitted["flood"] >= 0.5 * CAPACITY * 40


def test_urgent_requests_of_an_account_go_before_its_others():
    limits = AccountLimits()
    fleet = FleetView(1, {}, {})
    admitted = {-1: 0, 0: 0, 1: 0}
    for tick in range(3_000):
        priority = (-1, 0, 1)[tick % 3]
        request = make_request("one", 4_000, priority)
        if limits.check(request, CAPACITY, fleet, tick / 100) is None:
            admitted[priority] += 1
    assert admitted[-1] > admitted[0] > admitted[1]


def test_an_account_that_holds_nothing_may_place_a_long_prompt():
    limits = AccountLimits()
    fleet = FleetView(8, {}, {})
    held = {"large": 900_000.0}
    assert limits.check_memory(make_request("small", 1_000_000), held, 8e6, fleet)
    assert not limits.check_memory(make_request("large", 1_000_000), held, 8e6, fleet)
