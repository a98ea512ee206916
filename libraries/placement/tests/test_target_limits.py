"""Tests of how hosts divide the rate limits that targets advertise."""

import random

import pytest

from tarragonward_placement import (
    HostView,
    LimitEntry,
    TargetLimits,
    compute_host_share,
)

TARGET = 7
WINDOW = 4.0


def name_hosts(count, first=0):
    return frozenset(f"h{number}" for number in range(first, first + count))


def make_limits(rate=1.0, now=0.0, seed=1):
    limits = TargetLimits(random.Random(seed))
    limits.record_advertised(TARGET, rate, now)
    return limits


def count_allowed(rate):
    """Return how many requests a target accepts in a window, by the users' rule."""
    return 1.5 * rate * WINDOW + 5


@pytest.mark.parametrize("hosts", [1, 2, 7, 9, 195, 320])
@pytest.mark.parametrize("rate", [0.05, 0.3, 1.0, 2.5, 40.0, 1_000.0])
def test_shares_add_up_to_nearly_the_rate_and_never_more(hosts, rate):
    known = name_hosts(hosts)
    shares = [
        compute_host_share(TARGET, rate, HostView(h, known, hosts)) for h in known
    ]
    assert 0.8 * rate < sum(shares) <= rate
    # The saved allowances of all hosts, and what they accrue in a window.
    saved = sum(share > 0 for share in shares)
    assert saved + sum(shares) * WINDOW <= count_allowed(rate)


@pytest.mark.parametrize("rate", [0.3, 1.0, 40.0])
def test_hosts_with_different_views_stay_within_the_rule(rate):
    """Each side of a cut drops the other from its view, but not from the host count."""
    hosts, shares = 195, []
    for first, count in ((0, 150), (150, 45)):
        known = name_hosts(count, first)
        shares += [
            compute_host_share(TARGET, rate, HostView(h, known, hosts)) for h in known
        ]
    saved = sum(share > 0 for share in shares)
    assert saved + sum(shares) * WINDOW <= count_allowed(rate)


def test_a_host_that_knows_few_hosts_uses_no_target_with_a_low_limit():
    """Otherwise a host that has just started would take the whole limit for itself."""
    view = HostView("h1", name_hosts(3), 195)
    assert compute_host_share(TARGET, 1.0, view) == 0.0


@pytest.mark.parametrize("rate", [0.3, 1.0, 8.0])
def test_hosts_that_use_their_whole_allowance_stay_within_the_rule(rate):
    known = name_hosts(9)
    hosts = {name: make_limits(rate, seed=n) for n, name in enumerate(known)}
    sent = []
    for step in range(4_000):
        now = step * 0.01
        for name, limits in hosts.items():
            if limits.may_send(TARGET, HostView(name, known, 9), now):
                limits.record_send(TARGET)
                sent.append(now)
    busiest_window = max(sum(at <= s < at + WINDOW for s in sent) for at in sent)
    assert busiest_window <= count_allowed(rate)
    assert len(sent) > 0.6 * rate * 40.0


def test_a_limit_ends_when_the_target_advertises_none():
    limits = make_limits(0.1)
    view = HostView("h0", name_hosts(1), 1)
    limits.may_send(TARGET, view, 1.0)
    limits.record_send(TARGET)
    assert not limits.may_send(TARGET, view, 1.0)
    assert 0 < limits.compute_wait(TARGET, view, 1.0) <= 20.0
    assert limits.record_advertised(TARGET, None, 2.0)
    assert limits.may_send(TARGET, view, 2.0)
    assert not len(limits)


def test_the_newest_entry_wins_in_any_order():
    """Entries that arrive out of order must not restore a limit that has ended."""
    entries = [LimitEntry(TARGET, 1.0, 3.0), LimitEntry(TARGET, None, 1.0)]
    for entries_in_order in (entries, entries[::-1]):
        limits = make_limits(2.0, now=-9.0)
        for entry in entries_in_order:
            limits.apply_entry(entry, 0.0)
        assert not limits.is_limited(TARGET)


def test_only_a_changed_limit_is_reported_as_new():
    limits = make_limits(1.0)
    assert not limits.record_advertised(TARGET, 1.0, 1.0)
    assert limits.record_advertised(TARGET, 2.0, 2.0)
    assert not limits.record_advertised(8, None, 2.0)


def test_a_request_that_was_not_sent_is_refunded():
    limits = make_limits(0.01)
    view = HostView("h0", name_hosts(1), 1)
    limits.may_send(TARGET, view, 1_000.0)
    limits.record_send(TARGET)
    limits.refund_send(TARGET)
    assert limits.may_send(TARGET, view, 1_000.0)


def test_limits_of_removed_targets_are_forgotten():
    limits = make_limits(1.0)
    limits.keep_only({TARGET}, 999.0)
    assert limits.is_limited(TARGET)
    limits.keep_only(set(), 999.0)
    assert not limits.is_limited(TARGET)


def test_an_entry_survives_packing():
    for entry in (LimitEntry(7, 0.25, 1.5), LimitEntry(7, None, 0.0)):
        assert LimitEntry.unpack(entry.pack()) == entry


@pytest.mark.parametrize("item", [(1, "2", 3), (1, 2), (True, 1, 1), (-2, 1, 1)])
def test_a_malformed_entry_is_refused(item):
    with pytest.raises(ValueError):
        LimitEntry.unpack(item)
