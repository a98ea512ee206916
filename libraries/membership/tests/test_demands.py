"""Tests of demand digests."""

import msgpack
import pytest

from tarragonward_core import Address
from tarragonward_membership import OTHER_ACCOUNTS
from tarragonward_membership.demands import DemandDigest

ACCOUNTS = [f"account-{n}" for n in range(16)]
RATES = {name: 100.0 * (n + 1) for n, name in enumerate(ACCOUNTS)}


def build_digest(port):
    digest = DemandDigest(Address("10.0.0.1", port), "a")
    digest.set_accounts(ACCOUNTS)
    return digest


@pytest.mark.parametrize("is_local", [True, False])
def test_demand_of_many_accounts_fits_the_byte_limit(is_local):
    """A demand too large for a message would never be sent and block all others.

    The messages of a large fleet have 60 bytes for demand, and 16 accounts need 100.
    So the largest accounts are sent, and the others as one sum.
    """
    sender, receiver = build_digest(1), build_digest(2)
    sender.set_own_rates(RATES, 0.0)
    items = sender.encode(60, is_local, 0.0)
    assert 0 < len(msgpack.packb(items)) <= 60
    if not is_local:
        receiver = DemandDigest(Address("10.0.0.1", 2), "b")
        receiver.set_accounts(ACCOUNTS)
    receiver.merge(items, 0.0)
    demand = receiver.get_demand([Address("10.0.0.1", 1)], ["a"], 0.0)
    assert demand["account-15"] == pytest.approx(1_600, rel=0.05)
    assert sum(demand.values()) == pytest.approx(sum(RATES.values()), rel=0.05)
    assert demand[OTHER_ACCOUNTS] > 0


def test_frequent_updates_of_own_demand_do_not_displace_that_of_other_hosts():
    digest = build_digest(1)
    other = build_digest(2)
    other.set_own_rates(RATES, 0.0)
    digest.merge(other.encode(300, True, 0.0), 0.0)
    keys = set()
    for step in range(40):
        digest.set_own_rates(RATES, 0.02 * step)
        keys |= {item[0] for item in digest.encode(60, True, 0.02 * step)}
    assert keys == {"10.0.0.1:1", "10.0.0.1:2"}


def test_unknown_demand_in_a_large_domain_is_extrapolated_from_known_hosts():
    digest = build_digest(1)
    for port in range(2, 12):
        other = build_digest(port)
        other.set_own_rates({"account-1": 100.0}, 0.0)
        digest.merge(other.encode(300, True, 0.0), 0.0)
    live = [Address("10.0.0.1", port) for port in range(2, 52)]
    demand = digest.get_demand(live, [], 0.0, local_host_count=50)
    assert demand["account-1"] == pytest.approx(5_000, rel=0.05)
